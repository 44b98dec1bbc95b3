package evacuation

import (
	"maps"
	"slices"
	"time"

	"dotterelgw/core/ids"
)

// closingMargin is the time before the end of the time limit at which a VM closes a zone. A statement that was sent just before may still be
// on its way.
const closingMargin = 500 * time.Millisecond

// Tracker follows the requests of the operator as one VM reads them. It is not safe for concurrent use.
type Tracker struct {
	// within is the time after a request by which nothing may be sent to the zone.
	within time.Duration
	zones  Zones
	// confirmedAt is the latest time at which the requests are known to have been the newest; it is valid if listed is set.
	confirmedAt time.Duration
	listed      bool
}

// NewTracker returns a tracker without requests for the time limit.
func NewTracker(within time.Duration) *Tracker {
	return &Tracker{within: within, zones: make(Zones)}
}

// Zones returns the state of all zones.
func (tracker *Tracker) Zones() Zones { return maps.Clone(tracker.zones) }

// Listed reports whether the requests have been read once.
func (tracker *Tracker) Listed() bool { return tracker.listed }

// Age returns the time since the requests were last known to be the newest.
func (tracker *Tracker) Age(now time.Duration) time.Duration { return now - tracker.confirmedAt }

// Confirm records a time at which the requests were the newest. Answers of several relays arrive in any order, so only a later time
// counts.
func (tracker *Tracker) Confirm(at time.Duration) {
	if tracker.listed {
		tracker.confirmedAt = max(tracker.confirmedAt, at)
	}
}

// Replace replaces all requests by the listed ones and returns the zones that changed.
func (tracker *Tracker) Replace(now time.Duration, requested []ids.AvailabilityZone) (changed []ids.AvailabilityZone) {
	for zone, evacuation := range tracker.zones {
		if !evacuation.Withdrawn && !slices.Contains(requested, zone) && tracker.Withdraw(now, zone) {
			changed = append(changed, zone)
		}
	}
	for _, zone := range requested {
		if tracker.Request(now, zone) {
			changed = append(changed, zone)
		}
	}
	tracker.listed = true
	return changed
}

// Request records a request and reports whether it is new. The store doesn't tell when it accepted the request, but the request wasn't there
// when the requests were last confirmed. A VM that has read none before closes the zone at once.
func (tracker *Tracker) Request(now time.Duration, zone ids.AvailabilityZone) bool {
	evacuation, known := tracker.zones[zone]
	if known && !evacuation.Withdrawn {
		return false
	}
	closesAt := now
	if tracker.listed {
		closesAt = max(now, tracker.confirmedAt+tracker.within-min(closingMargin, tracker.within/2))
	}
	tracker.zones[zone] = Evacuation{ClosesAt: closesAt}
	return true
}

// Withdraw records that the request was withdrawn and reports whether there was one. A zone that wasn't closed yet is open at once.
func (tracker *Tracker) Withdraw(now time.Duration, zone ids.AvailabilityZone) bool {
	evacuation, known := tracker.zones[zone]
	switch {
	case !known || evacuation.Withdrawn:
		return false
	case now < evacuation.ClosesAt:
		delete(tracker.zones, zone)
	default:
		evacuation.Withdrawn, evacuation.WithdrawnAt = true, now
		tracker.zones[zone] = evacuation
	}
	return true
}
