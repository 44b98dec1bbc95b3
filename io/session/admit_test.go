package session

import (
	"context"
	"testing"

	"dotterelgw/core/contract"
	"dotterelgw/core/ids"
)

// open is a control and limiter that admit everything.
type open struct{ held contract.Contract }

func (open *open) Contract(ids.OrganisationID) (*contract.Contract, ids.Revision, bool) {
	return &open.held, 1, true
}

func (open *open) Admitting() bool { return true }

func (open *open) Admit(ids.OrganisationID) bool { return true }

func (open *open) Wait(context.Context, ids.OrganisationID) bool { return false }

func newAdmission(t testing.TB) *Session {
	open := &open{held: contract.Contract{Keys: []contract.Key{{ID: "bot"}}, Routes: []contract.Route{{Name: "app"}}}}
	session := &Session{
		server: New(Dependencies{Control: open, Limiter: open}), request: request{statements: 1},
		caller: Caller{Organisation: "frissito", Owner: "frissito", Key: "bot", Route: "app"},
	}
	if refused := session.admit(); refused != nil {
		t.Fatal(refused)
	}
	return session
}

// TestAdmitAllocates guards against allocation on the admission path, which every statement takes.
func TestAdmitAllocates(t *testing.T) {
	session := newAdmission(t)
	if count := testing.AllocsPerRun(100, func() { _ = session.admit() }); count != 0 {
		t.Errorf("%v allocations", count)
	}
}

// BenchmarkAdmit measures the checks of one statement without the rate limiter's own work.
func BenchmarkAdmit(b *testing.B) {
	session := newAdmission(b)
	for range b.N {
		_ = session.admit()
	}
}
