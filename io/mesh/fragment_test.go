package mesh

import (
	"bytes"
	"testing"
	"time"

	"dotterelgw/core/ids"
)

// Guards against a message reassembled from fragments of two, against the acceptance of fragments with an invalid index or count,
// and against incomplete messages that accumulate in memory.
func TestAssembly(t *testing.T) {
	long := bytes.Repeat([]byte("0123456789"), 3000)
	fragments := split(long)
	other := split(bytes.Repeat([]byte("x"), len(long)))
	t.Run("out of order with duplicates", func(t *testing.T) {
		var assembly assembly
		var complete []byte
		for _, index := range []int{2, 2, 0, 3, 1} {
			complete = assembly.add(0, "vm1", fragments[index])
		}
		for index := 4; index < len(fragments); index++ {
			complete = assembly.add(0, "vm1", fragments[index])
		}
		if !bytes.Equal(complete, long) || assembly.bytes != 0 {
			t.Errorf("%d bytes reassembled, %d held", len(complete), assembly.bytes)
		}
	})
	t.Run("two messages", func(t *testing.T) {
		var assembly assembly
		for _, received := range append([]fragment{fragments[0]}, other[1:]...) {
			if complete := assembly.add(0, "vm1", received); complete != nil {
				t.Errorf("reassembled %d bytes", len(complete))
			}
		}
	})
	t.Run("invalid index or count", func(t *testing.T) {
		var assembly assembly
		for _, invalid := range []fragment{{Count: maxFragments + 1}, {Count: 2, Index: 2}, {Count: 2, Index: -1}, {}} {
			if complete := assembly.add(0, "vm1", invalid); complete != nil || len(assembly.partials) > 0 {
				t.Errorf("%+v was accepted", invalid)
			}
		}
	})
	t.Run("never complete", func(t *testing.T) {
		var assembly assembly
		for index := range 5000 {
			received := fragments[0]
			received.MessageID = uint64(index)
			assembly.add(time.Duration(index)*time.Millisecond, ids.VMID(rune(index)), received)
			if assembly.bytes > maxIncompleteBytes+fragmentBytes {
				t.Fatalf("%d bytes held", assembly.bytes)
			}
		}
	})
}
