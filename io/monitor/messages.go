package monitor

import (
	"time"

	"dotterelgw/core/catalog"
	"dotterelgw/core/ids"
	"dotterelgw/core/leader"
	"dotterelgw/core/position"
	"dotterelgw/io/mesh"
)

// Kinds of datagrams.
const (
	kindQuery   mesh.Kind = "observe"
	kindReply   mesh.Kind = "observed"
	kindSuspect mesh.Kind = "suspect"
)

// groupsPerReply bounds the groups in one datagram: three servers of each group take about 250 bytes.
const groupsPerReply = 20

// maxSharedAge is the age from which on an observation is useless to another VM.
const maxSharedAge = leader.LeaseDuration

// queryRequest asks a VM for the state of groups.
type queryRequest struct {
	// Number matches replies to requests.
	Number uint64        `cbor:"number"`
	Groups []ids.GroupID `cbor:"groups"`
	// Observe makes the VM poll the servers itself; otherwise it queries the VMs that do.
	Observe bool `cbor:"observe"`
}

// queryReply is a part of the answer.
type queryReply struct {
	Number uint64       `cbor:"number"`
	Groups []groupState `cbor:"groups"`
	// AssuredUS holds, for each of the groups, how long ago in microseconds no order to promote a server of it was pending. VMs of earlier
	// versions leave it out.
	AssuredUS []int64 `cbor:"assured_us,omitempty"`
	// Last marks the last part.
	Last bool `cbor:"last"`
}

// suspicion reports that a server of the group did not answer the VM that observes it.
type suspicion struct {
	Group ids.GroupID `cbor:"group"`
}

// groupState holds what a VM knows of a group.
type groupState struct {
	_       struct{} `cbor:",toarray"`
	Group   ids.GroupID
	Servers []serverState
}

// serverState is an observation of one incarnation of a server. It is encoded without field names, since every VM
// receives those of all servers several times a second.
type serverState struct {
	_ struct{} `cbor:",toarray"`
	// Server and Born identify the incarnation of the server.
	Server ids.BackendServerID
	Born   int64
	// AgeUS is the time in microseconds between sending the status request and sending this message.
	AgeUS int64

	Role                     catalog.Role
	Term, Paused             ids.Term
	ReceivedTerm             ids.Term
	ReceivedLog              ids.LogPosition
	AppliedTerm              ids.Term
	AppliedLog               ids.LogPosition
	LagUS, Busy, Connections int64
}

// encode encodes an observation for another VM.
func encode(info catalog.Server, observed leader.Observation, now time.Duration) serverState {
	return serverState{
		Server: info.ID, Born: info.StartedMS, AgeUS: (now - observed.SentAt).Microseconds(),
		Role: observed.Role, Term: observed.Term, Paused: observed.PausedTerm,
		ReceivedTerm: observed.Received.Term, ReceivedLog: observed.Received.Log,
		AppliedTerm: observed.Applied.Term, AppliedLog: observed.Applied.Log,
		LagUS: observed.Lag.Microseconds(), Busy: int64(observed.ActiveStatements), Connections: int64(observed.Connections),
	}
}

// observation decodes the observation. Its age counts from askedAt, the time at which this VM sent its query.
func (shared serverState) observation(askedAt time.Duration) leader.Observation {
	return leader.Observation{
		SentAt: askedAt - time.Duration(max(shared.AgeUS, 0))*time.Microsecond,
		Status: leader.Status{
			Role: shared.Role, Term: shared.Term, PausedTerm: shared.Paused,
			Received: position.Position{Term: shared.ReceivedTerm, Log: shared.ReceivedLog},
			Applied:  position.Position{Term: shared.AppliedTerm, Log: shared.AppliedLog},
			Lag:      time.Duration(shared.LagUS) * time.Microsecond, ActiveStatements: int(shared.Busy), Connections: int(shared.Connections),
		},
	}
}

// encode returns what this VM knows of the group's servers, without observations that are too old.
func (group *Group) encode(now time.Duration) groupState {
	shared := groupState{Group: group.id}
	for _, server := range group.Servers() {
		observed, known := group.Observed(server.ID())
		if known && now-observed.SentAt <= maxSharedAge {
			shared.Servers = append(shared.Servers, encode(server.Info(), observed, now))
		}
	}
	return shared
}

// record stores what another VM knows; askedAt is the time at which the query was sent.
func (group *Group) record(shared groupState, askedAt time.Duration) {
	for _, observed := range shared.Servers {
		server := group.server(observed.Server)
		if server != nil && server.Info().StartedMS == observed.Born {
			server.record(observed.observation(askedAt))
		}
	}
}
