package route

import (
	"time"

	"dotterelgw/core/ids"
	"dotterelgw/core/position"
)

// Request describes the statement for which a server is chosen.
type Request struct {
	// ReadOnly reports whether the statement may run on a replica.
	ReadOnly bool
	// Position is the log position that the session must see. The zero value requires none.
	Position position.Position
	// MaxStaleness is the maximum staleness that the route accepts, or 0 if the route has no such limit.
	MaxStaleness time.Duration
	// Now is the current time on the clock of the servers' CurrentAt.
	Now time.Duration
	// Zone is the availability zone of this VM.
	Zone ids.AvailabilityZone
}

// Choose returns the index of the server for the request, or -1 and false if no server qualifies. Writes go to the primary.
// Reads go to a replica that has reached the position and, if the route has a maximum age, is no staler than that. Replicas in
// the local availability zone are preferred, then those with the fewest busy connections, then those with the least lag. If no
// replica qualifies, reads go to the primary.
func Choose(view *View, request Request) (server int, ok bool) {
	if view == nil {
		return -1, false
	}
	best := -1
	if request.ReadOnly {
		for index := range view.Servers {
			if index != view.Primary && view.qualifies(index, &request) && (best < 0 || view.preferred(index, best, request.Zone)) {
				best = index
			}
		}
	}
	if best < 0 && view.primaryServes(&request) {
		best = view.Primary
	}
	return best, best >= 0
}

// primaryServes reports whether the primary can serve the request. If the session has seen a later term than that of the view,
// the primary of the view has been replaced.
func (view *View) primaryServes(request *Request) bool {
	if view.Primary < 0 || view.Primary >= len(view.Servers) || view.Term < request.Position.Term {
		return false
	}
	primary := &view.Servers[view.Primary]
	return primary.Reachable && !primary.Leaving
}

// qualifies reports whether the server is available and recent enough for the read.
func (view *View) qualifies(index int, request *Request) bool {
	server := &view.Servers[index]
	if !server.Reachable || server.Leaving {
		return false
	}
	if request.MaxStaleness > 0 {
		if server.CurrentAt <= 0 || request.Now-server.CurrentAt > request.MaxStaleness {
			return false
		}
	} else if request.Position == (position.Position{}) {
		// Without a position or a maximum age there is no proof that a replica is recent enough.
		return false
	}
	return position.Reached(server.Replayed, request.Position, view.Starts)
}

// preferred reports whether one qualified server is preferred to another.
func (view *View) preferred(index, than int, zone ids.AvailabilityZone) bool {
	left, right := &view.Servers[index], &view.Servers[than]
	if sameZone := left.Zone == zone; sameZone != (right.Zone == zone) {
		return sameZone
	}
	if left.Busy != right.Busy {
		return left.Busy < right.Busy
	}
	return right.Replayed.Less(left.Replayed)
}
