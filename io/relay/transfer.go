package relay

import (
	"dotterelgw/core/config"
	"dotterelgw/core/ids"
	"dotterelgw/core/relay"
	"dotterelgw/io/platform"
)

// transfer collects the records of an era that another VM has reached and this one has not. Nothing that this VM holds of an earlier
// era carries over, since a restore may undo any of it, so all records are transferred, in as many responses as they need. Meanwhile
// the VM keeps those that it has.
type transfer struct {
	// upTo is the revision up to which all records have been received.
	upTo    ids.Revision
	entries map[string]config.Entry
}

// startOfEra returns the revision before all changes of the era.
func startOfEra(era ids.Era) ids.Revision { return ids.NewRevision(era, 0) }

// request returns the request for the records that the topic lacks. The topic's mutex is held.
func (topic *topic) request() topicRequest {
	wanted := topicRequest{Prefix: topic.Prefix, After: topic.reported, KeyCount: topic.changeLog.Keys(), ServiceUnreachable: topic.serviceUnreachable}
	if topic.transfer != nil {
		wanted.After, wanted.KeyCount = topic.transfer.upTo, len(topic.transfer.entries)
	}
	return wanted
}

// continueFrom returns the request as one for the records of the change log's era. A VM that is still in an earlier one needs all of
// them.
func (wanted topicRequest) continueFrom(changeLog *relay.ChangeLog) topicRequest {
	if era := changeLog.Revision().Era(); wanted.After.Era() < era {
		wanted.After, wanted.KeyCount = startOfEra(era), 0
	}
	return wanted
}

// receive adds an update of a later era to the transfer, and returns the listing of all records once the update completes them. There is
// no progress if the next record is too long for a response.
func (topic *topic) receive(update topicUpdate) (listing platform.WatchEvent, complete, progress bool) {
	topic.mutex.Lock()
	defer topic.mutex.Unlock()
	era := update.event.Revision.Era()
	if topic.transfer == nil || topic.transfer.upTo.Era() < era {
		topic.transfer = &transfer{upTo: startOfEra(era), entries: make(map[string]config.Entry)}
	}
	transfer := topic.transfer
	if update.after > transfer.upTo || update.event.Revision < transfer.upTo {
		// The response answers a request of an earlier transfer, or was overtaken.
		return platform.WatchEvent{}, false, true
	}
	progress = update.complete || update.event.Revision > transfer.upTo
	for _, entry := range update.event.Entries {
		if entry.Value == nil {
			delete(transfer.entries, entry.Key)
			continue
		}
		transfer.entries[entry.Key] = entry
	}
	transfer.upTo = update.event.Revision
	if !update.complete {
		return platform.WatchEvent{}, false, progress
	}
	topic.transfer = nil
	listing = platform.WatchEvent{Listing: true, Revision: update.event.Revision, RequestedAt: update.event.RequestedAt}
	for _, entry := range transfer.entries {
		listing.Entries = append(listing.Entries, entry)
	}
	return listing, true, progress
}

// cancelTransfer discards what was received of a later era, since the source does not know what changed meanwhile.
func (topic *topic) cancelTransfer() {
	topic.mutex.Lock()
	defer topic.mutex.Unlock()
	topic.transfer = nil
}
