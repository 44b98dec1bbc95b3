package monitor

import (
	"context"
	"io"
	"testing"
	"time"

	"dotterelgw/core/catalog"
	"dotterelgw/core/ids"
	"dotterelgw/core/statement"
	"dotterelgw/io/dbpool"
	"dotterelgw/io/observe"
)

// closingDialer opens connections that their server closes at once.
type closingDialer struct{}

// Dial implements dbpool.Dialer.Dial.
func (closingDialer) Dial(context.Context, catalog.Server, ids.OrganisationID) (dbpool.Link, error) {
	return closedLink{&statusLink{backend: &backend{}}}, nil
}

type closedLink struct{ *statusLink }

// Usable implements dbpool.Link.Usable.
func (closedLink) Usable() bool { return false }

// Surplus tells the pool that answers are matched by their order.
func (closedLink) Surplus() string { return "" }

// Guards against a primary that is never replaced, although it answers nothing, because it accepts connections before it closes them.
func TestServerThatClosesEachConnection(t *testing.T) {
	eventLog := observe.NewEventLog(io.Discard, "vm1")
	t.Cleanup(func() { eventLog.Close(time.Second) })
	monitor := New(t.Context(), closingDialer{}, "z", eventLog)
	monitor.SetServers(0, []catalog.Server{{ID: "a", Group: testGroup, Role: catalog.RolePrimary, Slots: 4}})
	server := monitor.Server("a")
	for began := time.Now(); server.SilentFor() == 0; time.Sleep(10 * time.Millisecond) {
		if time.Since(began) > testWait {
			t.Fatal("the server counts as one that answers")
		}
		_, _ = monitor.SendControl(server, dbpool.Call{Kind: statement.Status})
	}
}
