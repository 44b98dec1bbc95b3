package evacuation

import (
	"time"

	"dotterelgw/core/ids"
)

// Phase is the progress of the evacuation of an availability zone on one VM.
type Phase uint8

// The phases of an evacuation, in their order.
const (
	// Open means that the servers of the zone are used like any.
	Open Phase = iota
	// Leaving means that the evacuation was requested and its time limit has not passed: what can run elsewhere does.
	Leaving
	// Closed means that nothing is sent to the servers of the zone.
	Closed
	// Returning means that the request was withdrawn after the zone was closed: the servers get a growing part of the reads.
	Returning
)

// String returns the name of the phase for logs.
func (phase Phase) String() string {
	return [...]string{"open", "leaving", "closed", "returning"}[phase]
}

// returnTime is how long the servers of a zone that returns take to get their full part of the reads. All VMs open connections to them
// anew, and each takes a slot of a server for 12 ms or so.
const returnTime = 4 * time.Second

// Evacuation is the state of one availability zone.
type Evacuation struct {
	// ClosesAt is the time from which on nothing is sent to the servers of the zone.
	ClosesAt time.Duration
	// Withdrawn reports whether the request was withdrawn, at WithdrawnAt.
	Withdrawn   bool
	WithdrawnAt time.Duration
}

// Phase returns the phase at the time.
func (evacuation Evacuation) Phase(now time.Duration) Phase {
	switch {
	case evacuation.Withdrawn && now >= evacuation.WithdrawnAt+returnTime:
		return Open
	case evacuation.Withdrawn:
		return Returning
	case now >= evacuation.ClosesAt:
		return Closed
	}
	return Leaving
}

// Zones holds the availability zones that are evacuated or return. A zone that is not in it is open. It is immutable once published.
type Zones map[ids.AvailabilityZone]Evacuation

// Phase returns the phase of the zone at the time.
func (zones Zones) Phase(zone ids.AvailabilityZone, now time.Duration) Phase {
	evacuation, ok := zones[zone]
	if !ok {
		return Open
	}
	return evacuation.Phase(now)
}

// IsRequested reports whether the operator requests the evacuation of the zone.
func (zones Zones) IsRequested(zone ids.AvailabilityZone) bool {
	evacuation, ok := zones[zone]
	return ok && !evacuation.Withdrawn
}

// Requested returns the number of zones whose evacuation is requested.
func (zones Zones) Requested() int {
	count := 0
	for _, evacuation := range zones {
		if !evacuation.Withdrawn {
			count++
		}
	}
	return count
}

// Avoids reports whether a read takes a server of the zone only if no server elsewhere can run it. The sample is between 0 and 1 and
// spreads the reads over the time in which a zone returns.
func (zones Zones) Avoids(zone ids.AvailabilityZone, now time.Duration, sample float64) bool {
	switch zones.Phase(zone, now) {
	case Leaving:
		return true
	case Returning:
		return sample >= float64(now-zones[zone].WithdrawnAt)/float64(returnTime)
	}
	return false
}
