package platform

import (
	"slices"
	"sync"
	"time"
)

const (
	defaultWritesPerSecond = 500
	defaultReadsPerSecond  = 2000
)

// Switches holds the faults that the stand-in currently injects.
type Switches struct {
	// Outage makes every call fail with Unavailable and ends watch streams.
	Outage bool `json:"outage"`
	// VMsOutage makes requests for the VM list fail with status 503.
	VMsOutage bool `json:"vms_outage"`
	// SlowMS is a delay in milliseconds of each call, half before and half after its effect, and of each watch response.
	SlowMS int `json:"slow_ms"`
	// LoseAnswers is the number of coming Txn calls that take effect and then fail with Unavailable.
	LoseAnswers int `json:"lose_answers"`
	// Partitioned names the clients whose calls and watches get no response until their deadline.
	Partitioned []string `json:"partitioned"`
	// VMsLagMS is the lag of the VM list in milliseconds.
	VMsLagMS int `json:"vms_lag_ms"`
	// WritesPerSecond is the rate above which writes fail with ResourceExhausted; 0 means no limit.
	WritesPerSecond int `json:"writes_per_second"`
	// ReadsPerSecond is the rate above which reads fail with ResourceExhausted; 0 means no limit.
	ReadsPerSecond int `json:"reads_per_second"`
}

// injector holds the switches and applies them to calls, which it counts.
type injector struct {
	mutex    sync.Mutex
	switches Switches
	changed  chan struct{} // closed and replaced at each change
	calls    map[string]map[string]int64
	watches  map[string]int64
	reads    bucket
	writes   bucket
}

func newInjector() *injector {
	return &injector{
		switches: Switches{WritesPerSecond: defaultWritesPerSecond, ReadsPerSecond: defaultReadsPerSecond, Partitioned: []string{}},
		changed:  make(chan struct{}),
		calls:    map[string]map[string]int64{},
		watches:  map[string]int64{},
	}
}

// get returns the switches and a channel that is closed at their next change.
func (injector *injector) get() (Switches, <-chan struct{}) {
	injector.mutex.Lock()
	defer injector.mutex.Unlock()
	switches := injector.switches
	switches.Partitioned = slices.Clone(switches.Partitioned)
	return switches, injector.changed
}

func (injector *injector) change(edit func(*Switches)) Switches {
	injector.mutex.Lock()
	defer injector.mutex.Unlock()
	edited := injector.switches
	edited.Partitioned = slices.Clone(edited.Partitioned)
	edit(&edited)
	if edited.Partitioned == nil {
		edited.Partitioned = []string{}
	}
	injector.switches = edited
	close(injector.changed)
	injector.changed = make(chan struct{})
	return edited
}

// consumeLostAnswer decrements LoseAnswers and reports whether the response of the current call is to be lost.
func (injector *injector) consumeLostAnswer() bool {
	injector.mutex.Lock()
	defer injector.mutex.Unlock()
	if injector.switches.LoseAnswers <= 0 {
		return false
	}
	injector.switches.LoseAnswers--
	return true
}

func (injector *injector) count(method, client string) {
	injector.mutex.Lock()
	defer injector.mutex.Unlock()
	byClient := injector.calls[method]
	if byClient == nil {
		byClient = map[string]int64{}
		injector.calls[method] = byClient
	}
	byClient[client]++
}

func (injector *injector) countWatch(client string, change int64) {
	injector.mutex.Lock()
	defer injector.mutex.Unlock()
	injector.watches[client] += change
	if injector.watches[client] == 0 {
		delete(injector.watches, client)
	}
}

// Counts holds the numbers of calls that reached the stand-in, including refused ones.
type Counts struct {
	// Calls holds the number of calls since the last reset by method and client; a watch stream counts once, when it is
	// opened.
	Calls map[string]map[string]int64 `json:"calls"`
	// Totals holds the number of calls since the last reset by method.
	Totals map[string]int64 `json:"totals"`
	// PendingWatches holds the number of open watch streams by client.
	PendingWatches map[string]int64 `json:"pending_watches"`
}

func (injector *injector) counts(reset bool) Counts {
	injector.mutex.Lock()
	defer injector.mutex.Unlock()
	counts := Counts{Calls: map[string]map[string]int64{}, Totals: map[string]int64{}, PendingWatches: map[string]int64{}}
	for method, byClient := range injector.calls {
		counts.Calls[method] = map[string]int64{}
		for client, calls := range byClient {
			counts.Calls[method][client] = calls
			counts.Totals[method] += calls
		}
	}
	for client, watches := range injector.watches {
		counts.PendingWatches[client] = watches
	}
	if reset {
		injector.calls = map[string]map[string]int64{}
	}
	return counts
}

// allow reports whether the rate limit admits one more call.
func (injector *injector) allow(write bool) bool {
	injector.mutex.Lock()
	defer injector.mutex.Unlock()
	if write {
		return injector.writes.take(injector.switches.WritesPerSecond, time.Now())
	}
	return injector.reads.take(injector.switches.ReadsPerSecond, time.Now())
}

// bucket is a token bucket with a capacity of one second's worth of calls.
type bucket struct {
	tokens float64
	at     time.Time
}

func (bucket *bucket) take(perSecond int, now time.Time) bool {
	if perSecond <= 0 {
		return true
	}
	limit := float64(perSecond)
	if bucket.at.IsZero() {
		bucket.tokens = limit
	} else {
		bucket.tokens = min(limit, bucket.tokens+now.Sub(bucket.at).Seconds()*limit)
	}
	bucket.at = now
	if bucket.tokens < 1 {
		return false
	}
	bucket.tokens--
	return true
}
