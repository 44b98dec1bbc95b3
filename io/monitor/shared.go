package monitor

import (
	"time"

	"dotterelgw/core/catalog"
	"dotterelgw/core/ids"
	"dotterelgw/core/leader"
	"dotterelgw/core/position"
)

// sharedObserved is an observation of one life of a server. It is encoded without the names of its fields, since every VM gets
// those of all servers several times a second.
type sharedObserved struct {
	_ struct{} `cbor:",toarray"`
	// Server and Born name the life of the server.
	Server ids.BackendServerID
	Born   int64
	// AgeUS is the time in microseconds from the sending of the status request to the sending of this message.
	AgeUS int64

	Role                     catalog.Role
	Term, Paused             ids.Term
	ReceivedTerm             ids.Term
	ReceivedLog              ids.LogPosition
	AppliedTerm              ids.Term
	AppliedLog               ids.LogPosition
	LagUS, Busy, Connections int64
}

// share encodes an observation for another VM.
func share(server *Server, observed leader.Observation, now time.Duration) sharedObserved {
	info := server.Info()
	return sharedObserved{
		Server: info.ID, Born: info.Born, AgeUS: (now - observed.SentAt).Microseconds(),
		Role: observed.Role, Term: observed.Term, Paused: observed.Paused,
		ReceivedTerm: observed.Received.Term, ReceivedLog: observed.Received.Log,
		AppliedTerm: observed.Applied.Term, AppliedLog: observed.Applied.Log,
		LagUS: observed.Lag.Microseconds(), Busy: int64(observed.Busy), Connections: int64(observed.Connections),
	}
}

// observation decodes the observation; askedAt is the time of this VM's question, from which its age counts.
func (shared sharedObserved) observation(askedAt time.Duration) leader.Observation {
	return leader.Observation{
		SentAt: askedAt - time.Duration(max(shared.AgeUS, 0))*time.Microsecond,
		Status: leader.Status{
			Role: shared.Role, Term: shared.Term, Paused: shared.Paused,
			Received: position.Position{Term: shared.ReceivedTerm, Log: shared.ReceivedLog},
			Applied:  position.Position{Term: shared.AppliedTerm, Log: shared.AppliedLog},
			Lag:      time.Duration(shared.LagUS) * time.Microsecond, Busy: int(shared.Busy), Connections: int(shared.Connections),
		},
	}
}
