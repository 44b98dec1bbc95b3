package membership_test

import (
	"testing"
	"time"

	"dotterelgw/core/ids"
	"dotterelgw/core/membership"
)

// Guards against a member that counts as ended although a VM reaches it, or may reach it, and against one that never does.
func TestIsolation(t *testing.T) {
	type round struct {
		reached bool
		answers map[ids.VMID]bool
	}
	asked := []ids.VMID{"vm2", "vm3"}
	nobody := round{false, map[ids.VMID]bool{"vm2": false, "vm3": false}}
	for name, test := range map[string]struct {
		rounds []round
		want   bool
	}{
		"nobody reaches it":              {[]round{nobody, nobody, nobody}, true},
		"too few rounds":                 {[]round{nobody, nobody}, false},
		"another VM reaches it":          {[]round{nobody, nobody, {false, map[ids.VMID]bool{"vm2": false, "vm3": true}}}, false},
		"this VM reaches it":             {[]round{nobody, nobody, {true, nil}}, false},
		"a VM does not answer":           {[]round{nobody, nobody, {false, map[ids.VMID]bool{"vm2": false}}}, false},
		"a VM answers in a later round":  {[]round{nobody, nobody, {false, map[ids.VMID]bool{"vm2": false}}, nobody}, true},
		"reached in between":             {[]round{nobody, nobody, {true, nil}, nobody}, false},
		"a VM that left the fleet tells": {[]round{nobody, nobody, {false, map[ids.VMID]bool{"vm2": false, "vm3": false, "vm9": true}}}, true},
	} {
		t.Run(name, func(t *testing.T) {
			var isolation membership.Isolation
			for _, round := range test.rounds {
				isolation.Update(time.Second, round.reached, asked, round.answers)
			}
			if got := isolation.IsComplete(); got != test.want {
				t.Errorf("complete: %t, want %t", got, test.want)
			}
		})
	}
}
