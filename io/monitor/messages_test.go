package monitor

import (
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"

	"dotterelgw/core/catalog"
	"dotterelgw/core/leader"
	"dotterelgw/core/position"
)

// Guards against fields of an observation that are lost in transit, observations that become newer in transit, and
// datagrams that grow too large: 24 servers have to fit into one.
func TestSharedObservation(t *testing.T) {
	const maxBytes = 200
	server := catalog.Server{ID: "i-7f3a91c2d4", StartedMS: 1789535857757}
	sent := leader.Observation{SentAt: 3 * time.Second, Status: leader.Status{
		Role: catalog.RolePrimary, Term: 7, Received: position.Position{Term: 7, Log: 120933}, PausedTerm: 8, Lag: 20 * time.Millisecond, ActiveStatements: 4,
		Connections: 31, Applied: position.Position{Term: 6, Log: 120901},
	}}
	encoded, err := cbor.Marshal(encode(server, sent, 5*time.Second))
	if err != nil {
		t.Fatal(err)
	}
	if len(encoded) > maxBytes {
		t.Errorf("%d bytes, want %d at most", len(encoded), maxBytes)
	}
	var received serverState
	if err := cbor.Unmarshal(encoded, &received); err != nil {
		t.Fatal(err)
	}
	want := sent
	want.SentAt = 8 * time.Second
	if got := received.observation(10 * time.Second); got != want {
		t.Errorf("received %+v, want %+v", got, want)
	}
	received.AgeUS = -1
	if got := received.observation(10 * time.Second); got.SentAt > 10*time.Second {
		t.Errorf("an observation of %v, newer than the question", got.SentAt)
	}
}
