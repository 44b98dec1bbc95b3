package directory

import (
	"time"

	"dotterelgw/core/evacuation"
	"dotterelgw/core/ids"
	"dotterelgw/io/clock"
	"dotterelgw/io/platform"
)

// OnEvacuations registers a function that is called with all evacuations after each change. OnEvacuations must be called before Run.
func (directory *Directory) OnEvacuations(callback func(evacuation.Zones)) {
	directory.onEvacuations = append(directory.onEvacuations, callback)
}

// Evacuated returns the availability zones that are evacuated or return, as this VM last read them.
func (directory *Directory) Evacuated() evacuation.Zones {
	directory.mutex.Lock()
	defer directory.mutex.Unlock()
	return directory.evacuations.Zones()
}

// watchesEvacuations reports whether evacuations are watched.
func (directory *Directory) watchesEvacuations() bool { return directory.format.EvacuationPrefix != "" }

// applyEvacuations applies the changes of the operator's requests. Of the changes in one event, the last one of a zone counts.
func (directory *Directory) applyEvacuations(event platform.WatchEvent) {
	now := clock.Now()
	directory.mutex.Lock()
	changed := directory.updateEvacuations(now, event)
	if !event.RequestedAt.IsZero() {
		directory.evacuations.Confirm(now - time.Since(event.RequestedAt))
	}
	zones := directory.evacuations.Zones()
	directory.mutex.Unlock()
	if !changed {
		return
	}
	for _, callback := range directory.onEvacuations {
		callback(zones)
	}
}

// updateEvacuations applies the entries of the event and reports whether an evacuation changed. The mutex is held.
func (directory *Directory) updateEvacuations(now time.Duration, event platform.WatchEvent) (changed bool) {
	age := directory.evacuations.Age(now)
	var listed, zones []ids.AvailabilityZone
	for _, entry := range event.Entries {
		zone, err := directory.format.DecodeEvacuation(entry.Key)
		switch {
		case err != nil:
			directory.eventLog.LimitedEvent("evacuation_faulty", "key", entry.Key, "revision", entry.Revision, "err", err)
		case event.Listing && entry.Value != nil:
			listed = append(listed, zone)
		case entry.Value != nil && directory.evacuations.Request(now, zone), entry.Value == nil && directory.evacuations.Withdraw(now, zone):
			zones = append(zones, zone)
		}
	}
	if event.Listing {
		zones = directory.evacuations.Replace(now, listed)
	}
	for _, zone := range zones {
		directory.logEvacuation(now, zone, age, event)
	}
	return len(zones) > 0
}

// logEvacuation logs a change. The mutex is held.
func (directory *Directory) logEvacuation(now time.Duration, zone ids.AvailabilityZone, age time.Duration, event platform.WatchEvent) {
	state := directory.evacuations.Zones()[zone]
	directory.eventLog.Event("evacuation_changed", "availability_zone", zone, "phase", state.Phase(now),
		"requested", directory.evacuations.Zones().IsRequested(zone), "closes_in_ms", max(state.ClosesAt-now, 0).Milliseconds(),
		"confirmed_age_ms", age.Milliseconds(), "listing", event.Listing, "revision", event.Revision)
}
