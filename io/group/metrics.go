package group

import "github.com/rcrowley/go-metrics"

// counters counts what the polling costs and how waits end.
type counters struct {
	requests  metrics.Counter // status requests sent
	failures  metrics.Counter // status requests without an answer in time
	barriers  metrics.Counter // status rounds that ended a wait for a leadership barrier
	refused   metrics.Counter // callers whose wait for a barrier failed
	confirmed metrics.Counter // writes found to be durable
	unknown   metrics.Counter // writes whose outcome stayed unknown
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
