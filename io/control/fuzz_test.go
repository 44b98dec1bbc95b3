package control

import (
	"context"
	"testing"

	"google.golang.org/protobuf/proto"

	"dotterelgw/core/config"
	"dotterelgw/core/member"
	"dotterelgw/io/peer/peerpb"
)

// FuzzExchange guards against a malformed or hostile heartbeat that crashes the process or removes an entry that this VM
// holds.
func FuzzExchange(f *testing.F) {
	seeds := []*peerpb.Heartbeat{
		{},
		{Vm: "vm-02", Revision: -1, ConfirmedAgeMs: -1 << 62, WantAll: true},
		{Vm: "vm-02", Revision: 1 << 62, ConfirmedAgeMs: 1, PlatformReachable: true, Digest: 7},
		{Vm: "vm-02", Revision: 9, Entries: []*peerpb.Entry{nil, {Key: "/dotterelgw/contracts/x", Value: []byte("{"), Revision: 9}, {Revision: -3}}},
		{Vm: "vm-02", Revision: 3, Entries: []*peerpb.Entry{{Key: "/dotterelgw/contracts/org", Revision: 1}}, Silent: []string{"vm-01", ""}},
	}
	for _, seed := range seeds {
		data, err := proto.Marshal(seed)
		if err != nil {
			continue // a nil entry cannot be sent
		}
		f.Add(data)
	}
	f.Fuzz(func(t *testing.T, data []byte) {
		heartbeat := &peerpb.Heartbeat{}
		if proto.Unmarshal(data, heartbeat) != nil {
			return
		}
		self := member.Member{ID: "vm-01", Address: "10.0.0.1:7000", Zone: "a"}
		controller := New(self, nil, nil, nil)
		held := config.Entry{Key: config.ContractKey("org"), Value: contractValue(t, "x", "org", false), Revision: 2}
		controller.publish(controller.entries.ApplyComplete([]config.Entry{held}, 2))
		_, _ = controller.Exchange(context.Background(), heartbeat)
		if entry, ok := controller.Entry(held.Key); !ok || entry.Revision < held.Revision {
			t.Errorf("the entry went back to revision %d", entry.Revision)
		}
	})
}
