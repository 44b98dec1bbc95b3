package schedule

import (
	"math"
	"time"
)

const (
	// minReturn is the shortest time after which a refused caller is told to come back.
	minReturn = 10 * time.Millisecond
	// maxReturn is the longest such time: what is expected after it is too uncertain.
	maxReturn = 3 * time.Second
)

// returns spreads the callers that come back over the time at which room is expected for them.
type returns struct {
	// promisedUntil is the time by which those that were told to come back are expected to be served, by priority.
	promisedUntil [levels]time.Duration
	// beyond counts the callers for which there is no room within maxReturn.
	beyond uint64
}

// next returns the time after which the next caller of the priority is to come back, given when there is room for the first one,
// and the time that the server needs for it.
func (returns *returns) next(now time.Duration, level int, roomIn, work time.Duration) time.Duration {
	at := max(now+max(roomIn, minReturn), returns.promisedUntil[level])
	if at-now > maxReturn {
		// Those that can't be given a time of their own are spread evenly: multiples of the golden ratio don't cluster.
		returns.beyond++
		_, fraction := math.Modf(float64(returns.beyond) * math.Phi)
		return maxReturn/2 + time.Duration(fraction*float64(maxReturn/2))
	}
	returns.promisedUntil[level] = at + work
	return at - now
}
