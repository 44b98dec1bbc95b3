package mesh

import (
	"bytes"
	"testing"
	"time"

	"dotterelgw/core/ids"
)

// Guards against parts of different messages being joined, against parts out of bounds, and against parts that fill the memory
// because the others never arrive.
func TestAssembly(t *testing.T) {
	long := bytes.Repeat([]byte("0123456789"), 3000)
	split := parts(long)
	other := parts(bytes.Repeat([]byte("x"), len(long)))
	t.Run("in any order, with doubles", func(t *testing.T) {
		var assembly assembly
		var whole []byte
		for _, index := range []int{2, 2, 0, 3, 1} {
			whole = assembly.add(0, "vm1", split[index])
		}
		for index := 4; index < len(split); index++ {
			whole = assembly.add(0, "vm1", split[index])
		}
		if !bytes.Equal(whole, long) || assembly.bytes != 0 {
			t.Errorf("%d bytes joined, %d held", len(whole), assembly.bytes)
		}
	})
	t.Run("two messages", func(t *testing.T) {
		var assembly assembly
		for _, received := range append([]part{split[0]}, other[1:]...) {
			if whole := assembly.add(0, "vm1", received); whole != nil {
				t.Errorf("joined %d bytes", len(whole))
			}
		}
	})
	t.Run("out of bounds", func(t *testing.T) {
		var assembly assembly
		for _, spoilt := range []part{{Count: maxParts + 1}, {Count: 2, Index: 2}, {Count: 2, Index: -1}, {}} {
			if whole := assembly.add(0, "vm1", spoilt); whole != nil || len(assembly.partials) > 0 {
				t.Errorf("%+v was taken", spoilt)
			}
		}
	})
	t.Run("never whole", func(t *testing.T) {
		var assembly assembly
		for index := range 5000 {
			received := split[0]
			received.Number = uint64(index)
			assembly.add(time.Duration(index)*time.Millisecond, ids.VMID(rune(index)), received)
			if assembly.bytes > maxPartial+partBytes {
				t.Fatalf("%d bytes held", assembly.bytes)
			}
		}
	})
}
