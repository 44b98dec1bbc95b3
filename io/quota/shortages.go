package quota

import (
	"sync/atomic"
	"time"

	"github.com/rcrowley/go-metrics"

	"dotterelgw/core/ids"
	"dotterelgw/core/quota"
	"dotterelgw/io/clock"
	"dotterelgw/io/observe"
)

// shortageInterval is the time between two checks of which budgets are used up, for the log and the metrics.
const shortageInterval = 500 * time.Millisecond

// Option is an option of New.
type Option func(*Limiter)

// WithEventLog logs when the budget of an organisation is used up and when it has room again.
func WithEventLog(eventLog *observe.EventLog) Option {
	return func(limiter *Limiter) { limiter.eventLog = eventLog }
}

// WithMetrics registers the metrics of the limiter.
func WithMetrics(registry metrics.Registry) Option {
	return func(limiter *Limiter) {
		limiter.waits = metrics.GetOrRegisterCounter("quota_waits", registry)
		limiter.lent = metrics.GetOrRegisterCounter("quota_operations_lent", registry)
		limiter.borrowed = metrics.GetOrRegisterCounter("quota_operations_borrowed", registry)
		gauge := metrics.NewFunctionalGauge(func() int64 { return limiter.usedUp.Load() })
		_ = registry.Register("quota_organisations_used_up", gauge)
	}
}

// counters counts what the limiter did.
type counters struct {
	// waits counts the operations that waited for a loan, lent and borrowed those that passed between this VM and others.
	waits, lent, borrowed metrics.Counter
	// usedUp is the number of organisations whose budgets are used up.
	usedUp atomic.Int64
}

// newCounters returns counters that belong to no registry.
func newCounters() counters {
	return counters{waits: metrics.NewCounter(), lent: metrics.NewCounter(), borrowed: metrics.NewCounter()}
}

// countLoan adds the operations of a loan to the counter.
func countLoan(counter metrics.Counter, loan quota.Loan) {
	for _, item := range loan.Items {
		counter.Inc(item.Amount)
	}
}

// reportShortages logs which budgets are used up and which no longer, and returns the former. Known are those of the call before.
func (limiter *Limiter) reportShortages(known map[ids.OrganisationID]quota.Shortage) map[ids.OrganisationID]quota.Shortage {
	limiter.mutex.Lock()
	current := limiter.accounts.Shortages(clock.Now())
	limiter.mutex.Unlock()
	limiter.usedUp.Store(int64(len(current)))
	if limiter.eventLog == nil {
		return current
	}
	for id, shortage := range current {
		if _, ok := known[id]; !ok {
			limiter.logShortage("rate_used_up", shortage)
		}
	}
	for id, shortage := range known {
		if _, ok := current[id]; !ok {
			limiter.logShortage("rate_available", shortage)
		}
	}
	return current
}

// logShortage logs what this VM knows or last knew of a budget that is used up.
func (limiter *Limiter) logShortage(event string, shortage quota.Shortage) {
	limiter.eventLog.LimitedEvent(event, "organisation", shortage.Organisation, "rate", shortage.Rate, "empty_answers", shortage.EmptyAnswers,
		"ask_interval_ms", shortage.AskInterval.Milliseconds(), "arrived_per_s", shortage.ArrivedPerSecond,
		"admitted_per_s", shortage.AdmittedPerSecond)
}
