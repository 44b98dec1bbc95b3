package balance

import (
	"math"
	"time"
)

const (
	// smoothing is the weight of a new sample in the moving average.
	smoothing = 0.2
	// initialLatency is the estimate for a server without samples.
	initialLatency = 15 * time.Millisecond
	// halfLife is the time without samples after which the excess of the average over initialLatency is halved, so that a
	// server that was slow is tried again.
	halfLife = time.Second
)

// Latency is an exponentially weighted moving average of a server's response time. The zero value has no samples.
type Latency struct {
	average time.Duration
	updated time.Duration
}

// Observe adds the response time of one request.
func (latency *Latency) Observe(now, took time.Duration) {
	if latency.updated == 0 {
		latency.average = took
	} else {
		latency.average += time.Duration(smoothing * float64(took-latency.average))
	}
	latency.updated = now
}

// Estimate returns the expected response time. An average above initialLatency decays towards it while there are no samples.
func (latency *Latency) Estimate(now time.Duration) time.Duration {
	if latency.updated == 0 {
		return initialLatency
	}
	average := latency.average
	for age := now - latency.updated; age > halfLife && average > initialLatency; age -= halfLife {
		average = initialLatency + (average-initialLatency)/2
	}
	return average
}

// Age returns the time since the last sample, or the longest duration if there are no samples.
func (latency *Latency) Age(now time.Duration) time.Duration {
	if latency.updated == 0 {
		return math.MaxInt64
	}
	return now - latency.updated
}
