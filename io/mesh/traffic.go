package mesh

import (
	"sync"

	"github.com/rcrowley/go-metrics"

	"dotterelgw/core/ids"
)

// traffic counts the datagrams that this VM sends, by the kind of message and by whether the receiver is in the same availability zone.
type traffic struct {
	registry metrics.Registry
	zone     ids.AvailabilityZone

	mutex    sync.Mutex
	counters map[trafficKey]trafficCounters
}

// trafficKey selects the counters of a message.
type trafficKey struct {
	kind     Kind
	sameZone bool
}

// trafficCounters counts datagrams and their payload in bytes.
type trafficCounters struct{ datagrams, bytes metrics.Counter }

// CountTraffic counts the datagrams that this VM, in the availability zone, sends from now on. It must be called before Run.
func (mesh *Mesh) CountTraffic(registry metrics.Registry, zone ids.AvailabilityZone) {
	mesh.traffic = &traffic{registry: registry, zone: zone, counters: make(map[trafficKey]trafficCounters)}
}

// count counts one datagram. It does nothing if traffic is not counted.
func (traffic *traffic) count(kind Kind, receiver ids.AvailabilityZone, bytes int) {
	if traffic == nil {
		return
	}
	counters := traffic.countersOf(trafficKey{kind: kind, sameZone: receiver == traffic.zone})
	counters.datagrams.Inc(1)
	counters.bytes.Inc(int64(bytes))
}

func (traffic *traffic) countersOf(key trafficKey) trafficCounters {
	traffic.mutex.Lock()
	defer traffic.mutex.Unlock()
	counters, ok := traffic.counters[key]
	if !ok {
		suffix := string(key.kind) + "_other_zone"
		if key.sameZone {
			suffix = string(key.kind) + "_same_zone"
		}
		counters = trafficCounters{
			datagrams: metrics.GetOrRegisterCounter("peer_datagrams_"+suffix, traffic.registry),
			bytes:     metrics.GetOrRegisterCounter("peer_bytes_"+suffix, traffic.registry),
		}
		traffic.counters[key] = counters
	}
	return counters
}
