package proxy

import (
	"fmt"
	"io"
	"testing"
	"time"

	"dotterelgw/core/catalog"
	"dotterelgw/io/clock"
	"dotterelgw/io/dbpool"
	"dotterelgw/io/monitor"
	"dotterelgw/io/observe"
)

// Guards against servers that are left, or replaced as primaries, for faults of this VM or of the one that holds their connections.
func TestLossThatSaysNothingAboutTheServer(t *testing.T) {
	eventLog := observe.NewEventLog(io.Discard, "vm1")
	t.Cleanup(func() { eventLog.Close(time.Second) })
	for name, cause := range map[string]error{"home lost": dbpool.ErrHomeLost, "no memory": dbpool.ErrNoMemory, "answer to another call": dbpool.ErrUnmatched} {
		groups := monitor.New(t.Context(), statusDialer{}, "z", eventLog)
		groups.SetServers(0, []catalog.Server{{ID: "a", Group: "group", Role: catalog.RolePrimary, Slots: 4}})
		server := groups.Server("a")
		latency := server.ExpectedLatency()
		server.Begin()
		recordLoss(server, clock.Now()-10*time.Second, fmt.Errorf("reading an answer: %w", cause))
		if after := server.ExpectedLatency(); after > latency+time.Second {
			t.Errorf("%s: the expected time of the server rose from %v to %v", name, latency, after)
		}
	}
}
