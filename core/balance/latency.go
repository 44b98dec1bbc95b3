package balance

import "time"

const (
	// gain is the weight of a new latency in the average.
	gain = 0.2
	// initial is the latency assumed of a server that nothing is known of.
	initial = 15 * time.Millisecond
	// forgetAfter is the time without answers after which half of what was learnt is forgotten, so that a server that
	// was slow is tried again.
	forgetAfter = time.Second
)

// Latency is the moving average of the time that a server takes to answer.
type Latency struct {
	average time.Duration
	updated time.Duration
}

// Observe adds an answer's latency.
func (latency *Latency) Observe(now, took time.Duration) {
	if latency.updated == 0 {
		latency.average = took
	} else {
		latency.average += time.Duration(gain * float64(took-latency.average))
	}
	latency.updated = now
}

// Estimate returns the latency to expect.
func (latency *Latency) Estimate(now time.Duration) time.Duration {
	if latency.updated == 0 {
		return initial
	}
	average := latency.average
	for age := now - latency.updated; age > forgetAfter && average > initial; age -= forgetAfter {
		average = initial + (average-initial)/2
	}
	return average
}
