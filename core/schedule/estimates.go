package schedule

import (
	"time"

	"dotterelgw/core/ids"
)

const (
	// initialWork is the expected work of a statement before any was measured.
	initialWork = 15 * time.Millisecond
	// measurementWeight is the weight of the latest measurement in a moving average.
	measurementWeight = 0.1
	// maxOrganisations bounds the number of organisations whose work is told apart.
	maxOrganisations = 4096
)

// Estimates learns the work of statements by organisation and priority.
type Estimates struct {
	byOrganisation map[kind]time.Duration
	byPriority     [levels]time.Duration
}

// kind tells statements apart that are expected to need different times.
type kind struct {
	organisation ids.OrganisationID
	level        int
}

func kindOf(organisation ids.OrganisationID, priority int) kind {
	return kind{organisation, levelOf(priority)}
}

// Observe adds the time for which a statement held a slot.
func (estimates *Estimates) Observe(organisation ids.OrganisationID, priority int, took time.Duration) {
	key := kindOf(organisation, priority)
	average := &estimates.byPriority[key.level]
	*average = movingAverage(*average, took)
	known, ok := estimates.byOrganisation[key]
	if !ok && len(estimates.byOrganisation) >= maxOrganisations {
		return
	}
	if estimates.byOrganisation == nil {
		estimates.byOrganisation = make(map[kind]time.Duration)
	}
	estimates.byOrganisation[key] = movingAverage(known, took)
}

// Expect returns the expected work of a statement.
func (estimates *Estimates) Expect(organisation ids.OrganisationID, priority int) time.Duration {
	key := kindOf(organisation, priority)
	if known := estimates.byOrganisation[key]; known > 0 {
		return known
	}
	if known := estimates.byPriority[key.level]; known > 0 {
		return known
	}
	return initialWork
}

func movingAverage(average, latest time.Duration) time.Duration {
	if average == 0 {
		return latest
	}
	return average + time.Duration(measurementWeight*float64(latest-average))
}
