package node

import (
	"time"

	"dotterelgw/io/directory"
	"dotterelgw/io/fleet"
	"dotterelgw/io/promoter"
	"dotterelgw/io/relay"
)

// A relay's watch confirms records as of the time of its request. When the next confirmation arrives, the previous one
// is up to two wait times old, and older if a request was lost.
const (
	// catalogReadTime is the part of the time limit for applying a configuration that is reserved for reading it from
	// the store.
	catalogReadTime = 800 * time.Millisecond
	// evacuationReadTime is the part of the time limit of an evacuation that is reserved for reading it from the store.
	evacuationReadTime = 1500 * time.Millisecond
	// serversStaleAfter is well below the 7 s after which a leaving server gets no new work.
	serversStaleAfter = 5 * time.Second
	// dutyStaleAfter bounds how long a VM takes to learn that the promotion duty is vacant.
	dutyStaleAfter = 4 * time.Second
	// fleetStaleAfter bounds how long a new VM stays unknown. A removed VM is counted for longer anyway.
	fleetStaleAfter = 22 * time.Second
)

// recordPrefix is the common key prefix of all records written by VMs.
const recordPrefix = "dotterelgw/"

// topics returns the records that VMs relay to each other.
func topics(format directory.Format, configuration Configuration, evacuation Evacuation) []relay.Topic {
	within := configuration.applyWithin()
	catalogStaleAfter := max(within-catalogReadTime, within/2)

	topics := []relay.Topic{
		{Prefix: format.CatalogKey, WatchServiceAtStart: true, StaleAfter: catalogStaleAfter},
		{Prefix: format.ServerPrefix, Equivalent: format.SameServer, StaleAfter: serversStaleAfter},
		{Prefix: promoter.DutyKeyPrefix, StaleAfter: dutyStaleAfter},
		{Prefix: fleet.Prefix, WatchServiceAtStart: true, StaleAfter: fleetStaleAfter},
	}
	if evacuation.Enabled() {
		// A VM closes a zone at the latest when its time limit ends, counted from the last confirmation without the request.
		within := evacuation.within()
		topics = append(topics, relay.Topic{Prefix: format.EvacuationPrefix, StaleAfter: max(within-evacuationReadTime, within/2)})
	}
	return topics
}
