package leader

import (
	"time"

	"dotterelgw/core/position"
)

const (
	// historySize is the number of samples kept; with sampleSpacing they span the ages that routes accept, a few seconds.
	historySize = 128
	// sampleSpacing is the least time between two samples.
	sampleSpacing = 30 * time.Millisecond
)

// sample is a position of the primary that covers every write acknowledged before the time.
type sample struct {
	at       time.Duration
	position position.Position
}

// History keeps the positions of a primary over the last seconds, oldest first.
type History struct {
	samples []sample
}

// Clear forgets all samples.
func (history *History) Clear() { history.samples = history.samples[:0] }

// Add notes a position. A sample that comes right after another replaces nothing: the older one covers less but asks less.
func (history *History) Add(at time.Duration, position position.Position) {
	last := len(history.samples) - 1
	if last >= 0 && at < history.samples[last].at+sampleSpacing {
		return
	}
	if len(history.samples) == historySize {
		copy(history.samples, history.samples[1:])
		history.samples = history.samples[:last]
	}
	history.samples = append(history.samples, sample{at: at, position: position})
}

// Floor returns the oldest position that covers every write acknowledged before the time. An older position asks less
// of a replica that lags.
func (history *History) Floor(before time.Duration) (position.Position, bool) {
	for _, sample := range history.samples {
		if sample.at >= before {
			return sample.position, true
		}
	}
	return position.Position{}, false
}

// Missing returns the time of the oldest sample that a server which has reached the position lacks; false if it lacks none.
func (history *History) Missing(reached position.Position) (time.Duration, bool) {
	for _, sample := range history.samples {
		if reached.Less(sample.position) {
			return sample.at, true
		}
	}
	return 0, false
}
