package route

import (
	"time"

	"dotterelgw/core/ids"
	"dotterelgw/core/position"
)

// View is what a VM knows of a group; it is immutable once published.
type View struct {
	// Group is the group that the view describes.
	Group ids.GroupID
	// Term is the highest term known for the group.
	Term ids.Term
	// Primary is the index in Servers of the primary of Term, or -1 for none.
	Primary int
	// Servers holds the group's servers in the order of the group record.
	Servers []Server
	// Starts holds, for each known term in rising order, the position at which it began.
	Starts []position.Position
}

// Server is what a VM knows of one backend server.
type Server struct {
	// ID names the server.
	ID ids.BackendServerID
	// Address is the server's host and port.
	Address string
	// Zone is the server's availability zone.
	Zone ids.AvailabilityZone
	// Reachable states that the last status request was answered in time.
	Reachable bool
	// Leaving states that the server takes no new work.
	Leaving bool
	// Replayed is the position up to which reads on the server see the log.
	Replayed position.Position
	// CurrentAt is the time at which the confirmed primary was at a position that this server has replayed.
	CurrentAt time.Duration
	// Busy is the number of this VM's connections to the server that are in use.
	Busy int
}
