package session

import (
	"context"
	"testing"

	"dotterelgw/core/contract"
	"dotterelgw/core/ids"
)

// permissive implements Control and Limiter and admits all requests.
type permissive struct{ current contract.Contract }

func (permissive *permissive) Contract(ids.OrganisationID) (*contract.Contract, ids.Revision, bool) {
	return &permissive.current, 1, true
}

func (permissive *permissive) Admitting() bool { return true }

func (permissive *permissive) Admit(ids.OrganisationID) bool { return true }

func (permissive *permissive) Wait(context.Context, ids.OrganisationID) bool { return false }

func newAdmittedSession(t testing.TB) *Session {
	permissive := &permissive{current: contract.Contract{Keys: []contract.Key{{ID: "bot"}}, Routes: []contract.Route{{Name: "app"}}}}
	session := &Session{
		server: New(Dependencies{Control: permissive, Limiter: permissive}), request: request{statements: 1},
		caller: Caller{Organisation: "frissito", Owner: "frissito", Key: "bot", Route: "app"},
	}
	if refused := session.admit(); refused != nil {
		t.Fatal(refused)
	}
	return session
}

// TestAdmitAllocates guards against allocations on the admission path, which every statement takes.
func TestAdmitAllocates(t *testing.T) {
	session := newAdmittedSession(t)
	if count := testing.AllocsPerRun(100, func() { _ = session.admit() }); count != 0 {
		t.Errorf("%v allocations", count)
	}
}

// BenchmarkAdmit measures the admission checks of one statement, without the work of the rate limiter.
func BenchmarkAdmit(b *testing.B) {
	session := newAdmittedSession(b)
	for range b.N {
		_ = session.admit()
	}
}
