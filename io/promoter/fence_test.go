package promoter

import (
	"io"
	"testing"
	"time"

	"dotterelgw/core/catalog"
	"dotterelgw/core/ids"
	"dotterelgw/core/position"
	"dotterelgw/io/clock"
	"dotterelgw/io/mesh"
	"dotterelgw/io/monitor"
	"dotterelgw/io/observe"
)

// startingVM returns the promoter and the monitor of a VM that knows no servers yet.
func startingVM(t *testing.T) (*Promoter, *monitor.Monitor) {
	t.Helper()
	eventLog := observe.NewEventLog(io.Discard, "vm1")
	t.Cleanup(func() { eventLog.Close(time.Second) })
	network, err := mesh.New("vm1", "127.0.0.1:0", eventLog)
	if err != nil {
		t.Fatal(err)
	}
	groups := monitor.New(t.Context(), nil, "z", eventLog)
	return &Promoter{groups: groups, mesh: network, eventLog: eventLog, fenceTokens: make(map[ids.GroupID]Token)}, groups
}

// acknowledges reports whether the VM passes on the success of a write of the old primary.
func acknowledges(groups *monitor.Monitor) bool {
	return groups.Group("g").Acknowledge(time.Now().Add(30*time.Millisecond), position.Position{Term: 1, Log: 5})
}

// Guards against a VM that acknowledges a fence before it knows the group and does not hold it. It reads that no fence is stored; the
// notice arrives, and its answer counts, so that the holder of the duty does not wait; then the VM learns of the servers, is assured by
// what it has read, and acknowledges writes of the old primary.
func TestFenceBeforeTheGroupIsKnown(t *testing.T) {
	promoter, groups := startingVM(t)
	readAt := clock.Now()
	promoter.handleFence("vm2", notice{Group: "g", Term: 2})
	groups.SetFences(nil, readAt)
	groups.SetServers(readAt, []catalog.Server{{ID: "a", Group: "g"}})
	if acknowledges(groups) {
		t.Error("a VM that has answered the fence acknowledges a write of the old primary")
	}
}

// Guards against a fence that ends by a notice of the VM that held the duty before: it was frozen while it sent the notice, and both
// VMs fenced primaries of the same term.
func TestFenceOutlastsNoticesOfAnEarlierHolder(t *testing.T) {
	const term, earlier, later = 2, Token(7), Token(9)
	for name, end := range map[string]func(promoter *Promoter, token Token){
		"nobody promoted": func(promoter *Promoter, token Token) {
			promoter.handleRelease("vm2", notice{Group: "g", Term: term, Token: token})
		},
		"primary promoted": func(promoter *Promoter, token Token) {
			promoter.handleNewPrimary("vm2", notice{Group: "g", Term: term, Token: token, StartTerm: 1, StartLog: 5})
		},
	} {
		t.Run(name, func(t *testing.T) {
			promoter, groups := startingVM(t)
			readAt := clock.Now()
			groups.SetFences(nil, readAt)
			groups.SetServers(readAt, []catalog.Server{{ID: "a", Group: "g"}})
			promoter.handleFence("vm2", notice{Group: "g", Term: term, Token: earlier})
			promoter.handleFence("vm3", notice{Group: "g", Term: term, Token: later})
			end(promoter, earlier)
			if acknowledges(groups) {
				t.Error("acknowledges a write although the later fence has not ended")
			}
			end(promoter, later)
			if !acknowledges(groups) {
				t.Error("does not acknowledge a write after the later fence has ended")
			}
		})
	}
}
