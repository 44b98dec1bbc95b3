package home

import (
	"dotterelgw/core/ids"
	"dotterelgw/core/statement"
	"dotterelgw/io/dbpool"
)

// kind is the kind of a frame. Frames travel between builds, so values are only ever added.
type kind uint8

const (
	// kindHello, kindChallenge and kindProof open a stream.
	kindHello     kind = 1
	kindChallenge kind = 2
	kindProof     kind = 3
	// kindRun hands a statement over.
	kindRun kind = 4
	// kindReply carries the answer of a backend server.
	kindReply kind = 5
	// kindRefusal means that a statement was not sent to its server.
	kindRefusal kind = 6
	// kindLost means that a statement was sent to its server and not answered.
	kindLost kind = 7
	// kindClose ends a virtual link and rolls back its transaction.
	kindClose kind = 8
	// kindLeaving means that the home stops by plan.
	kindLeaving kind = 9
	// kindPing and kindPong show that the other end is alive.
	kindPing kind = 10
	kindPong kind = 11
)

// linkID identifies a virtual link within a stream; 0 is the stream itself.
type linkID uint32

// hello is the first message of the VM that opens a stream.
type hello struct {
	VM    ids.VMID `cbor:"1,keyasint"`
	Nonce []byte   `cbor:"2,keyasint"`
}

// challenge is the answer of the home, which proves that it knows the secret.
type challenge struct {
	Nonce         []byte `cbor:"1,keyasint"`
	Authenticator []byte `cbor:"2,keyasint"`
	Leaving       bool   `cbor:"3,keyasint,omitempty"`
}

// proof shows that the VM that opens the stream knows the secret.
type proof struct {
	Authenticator []byte `cbor:"1,keyasint"`
}

// run is a statement that is handed over. Server to TotalMS are set only for the first statement of a virtual link.
type run struct {
	Server ids.BackendServerID `cbor:"1,keyasint,omitempty"`
	// StartedMS is the start time of the server process that is meant.
	StartedMS    int64              `cbor:"2,keyasint,omitempty"`
	Organisation ids.OrganisationID `cbor:"3,keyasint,omitempty"`
	Priority     int                `cbor:"4,keyasint,omitempty"`
	// WaitMS is how long the statement may wait for a connection, and TotalMS the time until its caller gives up.
	WaitMS  int64 `cbor:"5,keyasint,omitempty"`
	TotalMS int64 `cbor:"6,keyasint,omitempty"`
	// AnswerMS is how long the server has to answer.
	AnswerMS int64 `cbor:"7,keyasint"`
	// Values holds the values of the session.
	Values map[string]string `cbor:"8,keyasint,omitempty"`
	// Shape is the definition of the prepared statement that is executed.
	Shape string              `cbor:"9,keyasint,omitempty"`
	ID    statement.RequestID `cbor:"10,keyasint,omitempty"`
	Kind  statement.Kind      `cbor:"11,keyasint"`
	Text  string              `cbor:"12,keyasint,omitempty"`
	Name  string              `cbor:"13,keyasint,omitempty"`
	Value string              `cbor:"14,keyasint,omitempty"`
	Term  ids.Term            `cbor:"15,keyasint,omitempty"`
	Log   ids.LogPosition     `cbor:"16,keyasint,omitempty"`
	// AgeMS is the time since the operation arrived at the caller's VM, and ObjectiveMS its target latency; 0 means unknown.
	AgeMS       int64 `cbor:"17,keyasint,omitempty"`
	ObjectiveMS int64 `cbor:"18,keyasint,omitempty"`
	// PrimaryOnly states that no replica could run the statement.
	PrimaryOnly bool `cbor:"19,keyasint,omitempty"`
	// Group is the group of the position of Term and Log. VMs of earlier builds leave it out.
	Group ids.GroupID `cbor:"20,keyasint,omitempty"`
}

// reply is the answer of a server.
type reply struct {
	Rows      []string                   `cbor:"1,keyasint,omitempty"`
	Code      statement.Code             `cbor:"2,keyasint,omitempty"`
	Signature string                     `cbor:"3,keyasint,omitempty"`
	Message   string                     `cbor:"4,keyasint,omitempty"`
	State     statement.TransactionState `cbor:"5,keyasint,omitempty"`
	Term      ids.Term                   `cbor:"6,keyasint,omitempty"`
	Log       ids.LogPosition            `cbor:"7,keyasint,omitempty"`
	// TookMS is the time in milliseconds from the receipt of the statement to its answer.
	TookMS int64 `cbor:"8,keyasint,omitempty"`
}

// cause is why a home refused a statement.
type cause uint8

const (
	// causeQueueFull means that no connection is expected to become free in time.
	causeQueueFull cause = 1
	// causeTimeout means that no connection became free in time.
	causeTimeout cause = 2
	// causeUnreachable means that the home can't open a connection, or doesn't know the server.
	causeUnreachable cause = 3
	// causeLeaving means that the home stops.
	causeLeaving cause = 4
	// causeSuspended means that nothing may be sent to the server at present.
	causeSuspended cause = 5
	// causeUnusable means that the home's connection was closed, or held an answer to no call. VMs of earlier builds take another home.
	causeUnusable cause = 6
)

// refused tells why a statement was not sent to its server.
type refused struct {
	Cause cause  `cbor:"1,keyasint"`
	Note  string `cbor:"2,keyasint,omitempty"`
	// RoomInMS is the time after which room is expected; 0 means unknown.
	RoomInMS int64 `cbor:"3,keyasint,omitempty"`
}

// lost tells why an answer of a server did not arrive.
type lost struct {
	Note string `cbor:"1,keyasint,omitempty"`
	// NoMemory reports that the home had no memory for the answer, which says nothing about the server.
	NoMemory bool `cbor:"2,keyasint,omitempty"`
	// Unmatched reports that the answer belonged to another call, which doesn't say that the server can't be reached.
	Unmatched bool `cbor:"3,keyasint,omitempty"`
}

// reason returns the error that the loss stands for on the VM of the caller.
func (lost lost) reason() error {
	switch {
	case lost.NoMemory:
		return dbpool.ErrNoMemory
	case lost.Unmatched:
		return dbpool.ErrUnmatched
	}
	return errServerLost
}
