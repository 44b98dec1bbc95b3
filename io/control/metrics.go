package control

import (
	"time"

	"github.com/rcrowley/go-metrics"
)

// WithMetrics registers the controller's counters and gauges.
func WithMetrics(registry metrics.Registry) Option {
	return func(controller *Controller) { controller.metricSet = newMetricSet(registry) }
}

// metricSet holds the metrics of the control loop.
type metricSet struct {
	// exchanges counts heartbeats sent to peers. exchangesFailed counts those without a usable reply.
	exchanges, exchangesFailed metrics.Counter
	// entriesApplied counts changed configuration entries.
	entriesApplied metrics.Counter
	// digestMismatches counts replies whose digest differed from this VM's at the same revision.
	digestMismatches metrics.Counter
	// admissionStops counts how often the VM stopped admitting because its confirmation was too old.
	admissionStops metrics.Counter
	// confirmationAge is the age of the confirmation in milliseconds, or -1 if there is none.
	confirmationAge metrics.Gauge
	// members is the number of live VMs, relay is 1 while this VM is a relay, and revision is the configuration revision.
	members, relay, revision metrics.Gauge
}

func newMetricSet(registry metrics.Registry) *metricSet {
	return &metricSet{
		exchanges:        metrics.NewRegisteredCounter("control.exchanges", registry),
		exchangesFailed:  metrics.NewRegisteredCounter("control.exchanges_failed", registry),
		entriesApplied:   metrics.NewRegisteredCounter("control.entries_applied", registry),
		digestMismatches: metrics.NewRegisteredCounter("control.entries_differed", registry),
		admissionStops:   metrics.NewRegisteredCounter("control.admission_stops", registry),
		confirmationAge:  metrics.NewRegisteredGauge("control.confirmed_age_ms", registry),
		members:          metrics.NewRegisteredGauge("control.members", registry),
		relay:            metrics.NewRegisteredGauge("control.relay", registry),
		revision:         metrics.NewRegisteredGauge("control.revision", registry),
	}
}

// updateMetrics updates the gauges, and logs and counts changes of Admitting. The caller holds the mutex.
func (controller *Controller) updateMetrics(now time.Duration) {
	confirmedAgo, known := controller.tracker.Age(now)
	controller.metricSet.confirmationAge.Update(confirmationAge(confirmedAgo, known))
	controller.metricSet.members.Update(int64(len(controller.Members())))
	controller.metricSet.revision.Update(int64(controller.entries.Revision()))
	relay := int64(0)
	if controller.view.IsRelay() {
		relay = 1
	}
	controller.metricSet.relay.Update(relay)
	switch admitting := controller.Admitting(); {
	case admitting && !controller.wasAdmitting:
		_ = controller.logger.Log("msg", "admitting requests", "revision", controller.entries.Revision())
		controller.wasAdmitting = true
	case !admitting && controller.wasAdmitting:
		_ = controller.logger.Log("msg", "not admitting requests", "confirmed_ago", confirmedAgo, "revision", controller.entries.Revision())
		controller.metricSet.admissionStops.Inc(1)
		controller.wasAdmitting = false
	}
}
