package group

import "github.com/rcrowley/go-metrics"

// counters counts status requests and the outcomes of barriers and confirmations.
type counters struct {
	requests  metrics.Counter // status requests sent
	failures  metrics.Counter // status requests not answered in time
	barriers  metrics.Counter // barriers that confirmed a leader, however many callers shared them
	refused   metrics.Counter // callers whose wait for a barrier timed out or was cancelled
	confirmed metrics.Counter // writes confirmed as durable
	unknown   metrics.Counter // writes whose outcome remained unknown
}

func newCounters(registry metrics.Registry) counters {
	return counters{
		requests:  metrics.NewRegisteredCounter("group.status_requests", registry),
		failures:  metrics.NewRegisteredCounter("group.status_failures", registry),
		barriers:  metrics.NewRegisteredCounter("group.barriers", registry),
		refused:   metrics.NewRegisteredCounter("group.barriers_refused", registry),
		confirmed: metrics.NewRegisteredCounter("group.writes_confirmed", registry),
		unknown:   metrics.NewRegisteredCounter("group.writes_unknown", registry),
	}
}

// WithMetrics registers the counters with the registry.
func WithMetrics(registry metrics.Registry) Option {
	return func(groups *Groups) { groups.counters = newCounters(registry) }
}
