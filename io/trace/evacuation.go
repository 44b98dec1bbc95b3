package trace

import (
	"cmp"
	"io"
	"maps"
	"slices"
)

const (
	evacuationChangedEvent = "evacuation_changed"
	zoneClosedEvent        = "zone_closed"
	evacuationWaitsEvent   = "evacuation_waits"
	promotionDoneEvent     = "promotion_done"
	// zoneKey and groupKey are the keys of the fields with the availability zone and the database group of a line.
	zoneKey, groupKey = "availability_zone", "group"
)

// Evacuation is the state of one availability zone, as the last lines of the logs tell.
type Evacuation struct {
	// Zone is the name of the zone.
	Zone string
	// State is "requested", "in progress", "done" or "withdrawn".
	State string
	// Leaving and Closed hold the VMs that still send statements to the zone, and those that send none any more.
	Leaving, Closed []string
	// Kept holds the primaries that are kept in the zone.
	Kept []KeptPrimary
}

// KeptPrimary is a primary that is kept in an evacuated zone.
type KeptPrimary struct {
	Group, Primary, Reason string
}

// Evacuations reads the logs of all VMs and returns the zones that they name, ordered by name.
func Evacuations(logs ...io.Reader) ([]Evacuation, error) {
	var lines []Line
	for _, log := range logs {
		err := scan(log, func(line Line) {
			switch line.Get(eventKey) {
			case evacuationChangedEvent, zoneClosedEvent, evacuationWaitsEvent, promotionDoneEvent:
				lines = append(lines, line)
			}
		})
		if err != nil {
			return nil, err
		}
	}
	slices.SortStableFunc(lines, func(one, other Line) int { return one.Time.Compare(other.Time) })
	zones, kept := make(zoneStates), make(map[string]Line)
	for _, line := range lines {
		switch line.Get(eventKey) {
		case evacuationWaitsEvent:
			kept[line.Get(groupKey)] = line
		case promotionDoneEvent:
			delete(kept, line.Get(groupKey))
		default:
			zones.apply(line)
		}
	}
	var evacuations []Evacuation
	for _, zone := range slices.Sorted(maps.Keys(zones)) {
		evacuations = append(evacuations, zones[zone].summarize(zone, kept))
	}
	return evacuations, nil
}

// zoneStates holds the state of each zone.
type zoneStates map[string]zoneState

// zoneState maps the VMs to whether they have closed the zone; VMs for which it is open are not in it.
type zoneState map[string]bool

// apply applies a line of a VM about a zone.
func (zones zoneStates) apply(line Line) {
	zone, vm := line.Get(zoneKey), line.Get("vm")
	if zones[zone] == nil {
		zones[zone] = make(zoneState)
	}
	switch {
	case line.Get(eventKey) == zoneClosedEvent:
		if line.Get("closed") == "true" {
			zones[zone][vm] = true
		}
	case line.Get("requested") == "true":
		zones[zone][vm] = line.Get("phase") == "closed"
	default:
		delete(zones[zone], vm)
	}
}

// summarize returns the state of the zone, given the last line about the primary of each group.
func (zone zoneState) summarize(name string, kept map[string]Line) Evacuation {
	evacuation := Evacuation{Zone: name}
	for _, vm := range slices.Sorted(maps.Keys(zone)) {
		if zone[vm] {
			evacuation.Closed = append(evacuation.Closed, vm)
		} else {
			evacuation.Leaving = append(evacuation.Leaving, vm)
		}
	}
	for _, line := range kept {
		if line.Get(zoneKey) == name && line.Get("reason") != "none" {
			evacuation.Kept = append(evacuation.Kept, KeptPrimary{Group: line.Get(groupKey), Primary: line.Get("primary"), Reason: line.Get("reason")})
		}
	}
	slices.SortFunc(evacuation.Kept, func(one, other KeptPrimary) int { return cmp.Compare(one.Group, other.Group) })
	switch {
	case len(zone) == 0:
		evacuation.State = "withdrawn"
	case len(evacuation.Closed) == 0:
		evacuation.State = "requested"
	case len(evacuation.Leaving) > 0 || len(evacuation.Kept) > 0:
		evacuation.State = "in progress"
	default:
		evacuation.State = "done"
	}
	return evacuation
}
