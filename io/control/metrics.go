package control

import (
	"time"

	"github.com/rcrowley/go-metrics"
)

// WithMetrics registers the controller's counters and gauges.
func WithMetrics(registry metrics.Registry) Option {
	return func(controller *Controller) { controller.measures = newMeasures(registry) }
}

// measures holds what staff need to see of the control loop.
type measures struct {
	// asked and failed count heartbeats to partners and those without a usable answer.
	asked, failed metrics.Counter
	// applied counts configuration entries that changed.
	applied metrics.Counter
	// differed counts answers whose entries differed at equal revision.
	differed metrics.Counter
	// stops counts how often the VM stopped admitting because its confirmation was too old.
	stops metrics.Counter
	// age is the age of the confirmation in milliseconds, -1 for none.
	age metrics.Gauge
	// members, relay and revision show the present state; relay is 1 while the VM is a relay.
	members, relay, revision metrics.Gauge
}

func newMeasures(registry metrics.Registry) *measures {
	return &measures{
		asked:    metrics.NewRegisteredCounter("control.exchanges", registry),
		failed:   metrics.NewRegisteredCounter("control.exchanges_failed", registry),
		applied:  metrics.NewRegisteredCounter("control.entries_applied", registry),
		differed: metrics.NewRegisteredCounter("control.entries_differed", registry),
		stops:    metrics.NewRegisteredCounter("control.admission_stops", registry),
		age:      metrics.NewRegisteredGauge("control.confirmed_age_ms", registry),
		members:  metrics.NewRegisteredGauge("control.members", registry),
		relay:    metrics.NewRegisteredGauge("control.relay", registry),
		revision: metrics.NewRegisteredGauge("control.revision", registry),
	}
}

// observe updates the gauges and logs when the VM stops or resumes admitting. The caller holds the mutex.
func (controller *Controller) observe(now time.Duration) {
	old, known := controller.freshness.Age(now)
	controller.measures.age.Update(age(old, known))
	controller.measures.members.Update(int64(len(controller.Members())))
	controller.measures.revision.Update(int64(controller.entries.Revision()))
	relay := int64(0)
	if controller.view.IsRelay() {
		relay = 1
	}
	controller.measures.relay.Update(relay)
	switch admitting := controller.Admitting(); {
	case admitting && !controller.admitted:
		_ = controller.logger.Log("msg", "admitting requests", "revision", controller.entries.Revision())
		controller.admitted = true
	case !admitting && controller.admitted:
		_ = controller.logger.Log("msg", "not admitting requests", "confirmed_ago", old, "revision", controller.entries.Revision())
		controller.measures.stops.Inc(1)
		controller.admitted = false
	}
}
