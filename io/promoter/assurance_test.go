package promoter

import (
	"slices"
	"testing"

	"dotterelgw/core/ids"
)

// Guards against an order to promote that does not wait for a VM which has registered and read the fences just before one was stored, and
// of which the holder of the duty has not heard yet.
func TestUnknownVMs(t *testing.T) {
	for name, test := range map[string]struct{ registered, peers, want []ids.VMID }{
		"all known":       {[]ids.VMID{"vm1", "vm2"}, []ids.VMID{"vm2"}, nil},
		"one has started": {[]ids.VMID{"vm1", "vm2", "vm3"}, []ids.VMID{"vm2"}, []ids.VMID{"vm3"}},
		"one has lapsed":  {[]ids.VMID{"vm1"}, []ids.VMID{"vm2"}, nil},
	} {
		t.Run(name, func(t *testing.T) {
			if got := unknownVMs(test.registered, test.peers, "vm1"); !slices.Equal(got, test.want) {
				t.Errorf("unknown %v, want %v", got, test.want)
			}
		})
	}
}
