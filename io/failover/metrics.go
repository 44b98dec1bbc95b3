package failover

import "github.com/rcrowley/go-metrics"

// counters counts the operations of this VM's executor.
type counters struct {
	watched   metrics.Gauge   // groups that this VM watches
	claims    metrics.Counter // terms claimed by compare-and-swap
	completed metrics.Counter // promotions that this VM completed
	calls     metrics.Counter // group functions called at servers
	failed    metrics.Counter // group functions that were refused or not answered
}

func newCounters(registry metrics.Registry) counters {
	return counters{
		watched:   metrics.NewRegisteredGauge("orderer.groups_watched", registry),
		claims:    metrics.NewRegisteredCounter("orderer.terms_claimed", registry),
		completed: metrics.NewRegisteredCounter("orderer.promotions_completed", registry),
		calls:     metrics.NewRegisteredCounter("orderer.orders", registry),
		failed:    metrics.NewRegisteredCounter("orderer.orders_failed", registry),
	}
}

// WithMetrics registers the counters with the registry.
func WithMetrics(registry metrics.Registry) Option {
	return func(executor *Executor) { executor.counters = newCounters(registry) }
}
