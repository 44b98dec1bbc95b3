package leader

import (
	"time"

	"dotterelgw/core/position"
)

const (
	// historySize is the number of samples kept. At sampleInterval they span a few seconds, the staleness that routes allow.
	historySize = 128
	// sampleInterval is the minimum time between two samples.
	sampleInterval = 30 * time.Millisecond
)

// sample is a log position of the primary that covers every write acknowledged before at.
type sample struct {
	at       time.Duration
	position position.Position
}

// History holds the log positions of a primary over the last few seconds, oldest first.
type History struct {
	samples []sample
}

// Clear forgets all samples.
func (history *History) Clear() { history.samples = history.samples[:0] }

// Add records a position unless the last sample is less than sampleInterval old. The last sample is kept in that case:
// it is an older position, which replicas reach sooner.
func (history *History) Add(at time.Duration, position position.Position) {
	last := len(history.samples) - 1
	if last >= 0 && at < history.samples[last].at+sampleInterval {
		return
	}
	if len(history.samples) == historySize {
		copy(history.samples, history.samples[1:])
		history.samples = history.samples[:last]
	}
	history.samples = append(history.samples, sample{at: at, position: position})
}

// MinPosition returns the oldest position that covers every write acknowledged before the time, or false if none does.
// The oldest is preferred, as more of the lagging replicas have reached it.
func (history *History) MinPosition(before time.Duration) (position.Position, bool) {
	for _, sample := range history.samples {
		if sample.at >= before {
			return sample.position, true
		}
	}
	return position.Position{}, false
}

// FirstMissing returns the time of the oldest sample beyond the position that a server has reached, or false if there is
// none.
func (history *History) FirstMissing(reached position.Position) (time.Duration, bool) {
	for _, sample := range history.samples {
		if reached.Less(sample.position) {
			return sample.at, true
		}
	}
	return 0, false
}
