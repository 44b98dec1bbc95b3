package route

import (
	"time"

	"dotterelgw/core/ids"
	"dotterelgw/core/position"
)

// Request describes the statement for which a server is chosen.
type Request struct {
	// ReadOnly states that the statement may run on a replica.
	ReadOnly bool
	// Position is the position that the session must see; the zero value asks for none.
	Position position.Position
	// MaxAge is the greatest age of the data that the route accepts; 0 on routes that state none.
	MaxAge time.Duration
	// Now is the time on the clock of the view's CurrentAt.
	Now time.Duration
	// Zone is the availability zone of this VM.
	Zone ids.AvailabilityZone
}

// Choose returns the index of the server that runs the request. A request that is not read-only gets the primary. A
// read-only one gets a replica that has reached the position and, if the route states an age, is not older; replicas
// in the own availability zone come first, then those with fewest busy connections, then those with the least lag.
// The primary serves reads for which no replica qualifies. It returns -1 and false when no server fits.
func Choose(view *View, request Request) (server int, ok bool) {
	if view == nil {
		return -1, false
	}
	best := -1
	if request.ReadOnly {
		for index := range view.Servers {
			if index != view.Primary && view.qualifies(index, &request) && (best < 0 || view.better(index, best, request.Zone)) {
				best = index
			}
		}
	}
	if best < 0 && view.primaryServes(&request) {
		best = view.Primary
	}
	return best, best >= 0
}

// primaryServes states whether the primary can take the request. A session that has seen a later term than the
// view's knows that this primary was replaced.
func (view *View) primaryServes(request *Request) bool {
	if view.Primary < 0 || view.Primary >= len(view.Servers) || view.Term < request.Position.Term {
		return false
	}
	primary := &view.Servers[view.Primary]
	return primary.Reachable && !primary.Leaving
}

func (view *View) qualifies(index int, request *Request) bool {
	server := &view.Servers[index]
	if !server.Reachable || server.Leaving {
		return false
	}
	if request.MaxAge > 0 {
		if server.CurrentAt <= 0 || request.Now-server.CurrentAt > request.MaxAge {
			return false
		}
	} else if request.Position == (position.Position{}) {
		// Without a position and an accepted age nothing shows that a replica is recent enough.
		return false
	}
	return position.Reached(server.Replayed, request.Position, view.Starts)
}

func (view *View) better(index, than int, zone ids.AvailabilityZone) bool {
	left, right := &view.Servers[index], &view.Servers[than]
	if here := left.Zone == zone; here != (right.Zone == zone) {
		return here
	}
	if left.Busy != right.Busy {
		return left.Busy < right.Busy
	}
	return right.Replayed.Less(left.Replayed)
}
