package dbpool

import (
	"strconv"
	"sync/atomic"
	"time"

	"github.com/rcrowley/go-metrics"

	"dotterelgw/core/schedule"
	"dotterelgw/io/observe"
)

const (
	// sampleSize is the number of waits that a histogram keeps.
	sampleSize = 256
	// sampleAlpha weights the sample towards the last five minutes.
	sampleAlpha = 0.015
)

// ScheduleObserver counts and logs what the schedules of a VM's pools decide. A nil observer does nothing.
type ScheduleObserver struct {
	registry metrics.Registry
	eventLog *observe.EventLog
	// waitingCount and runningCount sum over the pools.
	waitingCount, runningCount atomic.Int64
}

// NewScheduleObserver returns an observer that registers its metrics.
func NewScheduleObserver(registry metrics.Registry, eventLog *observe.EventLog) *ScheduleObserver {
	observer := &ScheduleObserver{registry: registry, eventLog: eventLog}
	_ = registry.Register("schedule_waiting", metrics.NewFunctionalGauge(observer.waitingCount.Load))
	_ = registry.Register("schedule_running", metrics.NewFunctionalGauge(observer.runningCount.Load))
	for _, cause := range []schedule.Cause{schedule.Full, schedule.Displaced, schedule.Late, noConnection} {
		observer.refusals(cause)
	}
	return observer
}

func (observer *ScheduleObserver) refusals(cause schedule.Cause) metrics.Counter {
	return metrics.GetOrRegisterCounter("schedule_refused_"+string(cause), observer.registry)
}

func (observer *ScheduleObserver) waiting(change int64) {
	if observer != nil {
		observer.waitingCount.Add(change)
	}
}

func (observer *ScheduleObserver) started(priority int, waited time.Duration) {
	if observer == nil {
		return
	}
	observer.runningCount.Add(1)
	observer.registry.GetOrRegister("schedule_wait_us."+strconv.Itoa(priority), func() metrics.Histogram {
		return metrics.NewHistogram(metrics.NewExpDecaySample(sampleSize, sampleAlpha))
	}).(metrics.Histogram).Update(waited.Microseconds())
}

func (observer *ScheduleObserver) ended() {
	if observer != nil {
		observer.runningCount.Add(-1)
	}
}

func (observer *ScheduleObserver) refused(waiting *waiter, full *QueueFullError) {
	if observer == nil {
		return
	}
	observer.refusals(full.Cause).Inc(1)
	observer.eventLog.LimitedEvent("schedule_refused", "server", full.Server, "organisation", waiting.Organisation,
		"priority", waiting.Priority, "continues", waiting.Continues, "primary_only", waiting.PrimaryOnly, "cause", full.Cause,
		"expected_ms", full.Expected.Milliseconds(), "left_ms", full.Left.Milliseconds(), "waited_ms", time.Since(waiting.arrived).Milliseconds(),
		"waiting", full.Waiting, "running", full.Running, "room_in_ms", full.RoomIn.Milliseconds())
}
