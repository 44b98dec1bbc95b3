package route

import (
	"time"

	"dotterelgw/core/ids"
	"dotterelgw/core/position"
)

// View is a VM's snapshot of the state of a group. It is immutable once published.
type View struct {
	// Group identifies the group.
	Group ids.GroupID
	// Term is the highest term known for the group.
	Term ids.Term
	// Primary is the index in Servers of the primary of Term, or -1 if there is none.
	Primary int
	// Servers holds the group's servers in the order of the group record.
	Servers []Server
	// Starts holds the start position of each known term, in ascending order of terms.
	Starts []position.Position
}

// Server is a VM's view of one backend server.
type Server struct {
	// ID identifies the server.
	ID ids.BackendServerID
	// Address is the server's host and port.
	Address string
	// Zone is the server's availability zone.
	Zone ids.AvailabilityZone
	// Reachable reports whether the server responded to the last status request in time.
	Reachable bool
	// Leaving reports whether the server is draining and accepts no new work.
	Leaving bool
	// Replayed is the log position up to which the server has replayed, so that reads see it.
	Replayed position.Position
	// CurrentAt is the latest known time at which the confirmed primary was at a position that this server has replayed. 0 means
	// that it is unknown.
	CurrentAt time.Duration
	// Busy is the number of connections from this VM to the server that are in use.
	Busy int
}
