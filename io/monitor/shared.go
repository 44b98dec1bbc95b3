package monitor

import (
	"time"

	"dotterelgw/core/catalog"
	"dotterelgw/core/ids"
	"dotterelgw/core/leader"
	"dotterelgw/core/position"
	"dotterelgw/io/mesh"
)

// The kinds of datagrams.
const (
	kindAsk     mesh.Kind = "observe"
	kindShare   mesh.Kind = "observed"
	kindSuspect mesh.Kind = "suspect"
)

// groupsPerReply bounds the groups in one datagram: three servers of each take about 250 bytes.
const groupsPerReply = 20

// maxShared is the age from which on an observation is of no use to another VM.
const maxShared = leader.LeaseDuration

// shareRequest asks a VM for the state of groups.
type shareRequest struct {
	// Number tells the answers to several requests apart.
	Number uint64        `cbor:"number"`
	Groups []ids.GroupID `cbor:"groups"`
	// Observe has the VM ask the servers itself; else it asks those that do.
	Observe bool `cbor:"observe"`
}

// shareReply is a part of the answer.
type shareReply struct {
	Number uint64        `cbor:"number"`
	Groups []sharedGroup `cbor:"groups"`
	// Last states that this is the last part.
	Last bool `cbor:"last"`
}

// suspicion tells that a server of the group did not answer the VM that observes it.
type suspicion struct {
	Group ids.GroupID `cbor:"group"`
}

// sharedGroup holds what a VM knows of a group.
type sharedGroup struct {
	_       struct{} `cbor:",toarray"`
	Group   ids.GroupID
	Servers []sharedObserved
}

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
func share(info catalog.Server, observed leader.Observation, now time.Duration) sharedObserved {
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

// share returns what this VM knows of the group's servers.
func (group *Group) share(now time.Duration) sharedGroup {
	shared := sharedGroup{Group: group.id}
	for _, server := range group.Servers() {
		observed, known := group.Observed(server.ID())
		if known && now-observed.SentAt <= maxShared {
			shared.Servers = append(shared.Servers, share(server.Info(), observed, now))
		}
	}
	return shared
}

// learn takes what another VM knows; askedAt is the time of the question.
func (group *Group) learn(shared sharedGroup, askedAt time.Duration) {
	for _, observed := range shared.Servers {
		server := group.server(observed.Server)
		if server != nil && server.Info().Born == observed.Born {
			server.learn(observed.observation(askedAt))
		}
	}
}
