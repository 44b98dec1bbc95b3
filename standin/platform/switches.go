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

// Switches are the faults that the stand-in injects at the moment.
type Switches struct {
	// Outage answers every call with Unavailable and ends watches.
	Outage bool `json:"outage"`
	// VMsOutage answers requests for the VM list with status 503.
	VMsOutage bool `json:"vms_outage"`
	// SlowMS is a delay in milliseconds of each call, half before and half after its effect, and of each watch response.
	SlowMS int `json:"slow_ms"`
	// LoseAnswers is the number of Txn calls still to come that take effect and then fail with Unavailable.
	LoseAnswers int `json:"lose_answers"`
	// Partitioned holds the clients whose calls and watches get no answer until their deadline.
	Partitioned []string `json:"partitioned"`
	// VMsLagMS is the time in milliseconds by which the VM list lags behind.
	VMsLagMS int `json:"vms_lag_ms"`
	// WritesPerSecond is the rate above which writes fail with ResourceExhausted; 0 sets no limit.
	WritesPerSecond int `json:"writes_per_second"`
	// ReadsPerSecond is the rate above which reads fail with ResourceExhausted; 0 sets no limit.
	ReadsPerSecond int `json:"reads_per_second"`
}

// board holds the switches and the call counts.
type board struct {
	mutex    sync.Mutex
	switches Switches
	changed  chan struct{} // closed and replaced at each change
	calls    map[string]map[string]int64
	watches  map[string]int64
	reads    bucket
	writes   bucket
}

func newBoard() *board {
	return &board{
		switches: Switches{WritesPerSecond: defaultWritesPerSecond, ReadsPerSecond: defaultReadsPerSecond, Partitioned: []string{}},
		changed:  make(chan struct{}),
		calls:    map[string]map[string]int64{},
		watches:  map[string]int64{},
	}
}

// get returns the switches and a channel that closes at their next change.
func (board *board) get() (Switches, <-chan struct{}) {
	board.mutex.Lock()
	defer board.mutex.Unlock()
	switches := board.switches
	switches.Partitioned = slices.Clone(switches.Partitioned)
	return switches, board.changed
}

func (board *board) change(edit func(*Switches)) Switches {
	board.mutex.Lock()
	defer board.mutex.Unlock()
	edited := board.switches
	edited.Partitioned = slices.Clone(edited.Partitioned)
	edit(&edited)
	if edited.Partitioned == nil {
		edited.Partitioned = []string{}
	}
	board.switches = edited
	close(board.changed)
	board.changed = make(chan struct{})
	return edited
}

// takeLostAnswer states whether the answer of the call that just took effect is to be lost.
func (board *board) takeLostAnswer() bool {
	board.mutex.Lock()
	defer board.mutex.Unlock()
	if board.switches.LoseAnswers <= 0 {
		return false
	}
	board.switches.LoseAnswers--
	return true
}

func (board *board) count(method, client string) {
	board.mutex.Lock()
	defer board.mutex.Unlock()
	byClient := board.calls[method]
	if byClient == nil {
		byClient = map[string]int64{}
		board.calls[method] = byClient
	}
	byClient[client]++
}

func (board *board) countWatch(client string, change int64) {
	board.mutex.Lock()
	defer board.mutex.Unlock()
	board.watches[client] += change
	if board.watches[client] == 0 {
		delete(board.watches, client)
	}
}

// Counts holds the numbers of calls that reached the stand-in, refused ones included.
type Counts struct {
	// Calls counts by method and then by client since the last reset; a watch counts once, when it opens.
	Calls map[string]map[string]int64 `json:"calls"`
	// Totals counts by method.
	Totals map[string]int64 `json:"totals"`
	// PendingWatches holds the number of open watch streams by client.
	PendingWatches map[string]int64 `json:"pending_watches"`
}

func (board *board) counts(reset bool) Counts {
	board.mutex.Lock()
	defer board.mutex.Unlock()
	counts := Counts{Calls: map[string]map[string]int64{}, Totals: map[string]int64{}, PendingWatches: map[string]int64{}}
	for method, byClient := range board.calls {
		counts.Calls[method] = map[string]int64{}
		for client, calls := range byClient {
			counts.Calls[method][client] = calls
			counts.Totals[method] += calls
		}
	}
	for client, watches := range board.watches {
		counts.PendingWatches[client] = watches
	}
	if reset {
		board.calls = map[string]map[string]int64{}
	}
	return counts
}

// withinRate states whether the rate leaves room for one more call.
func (board *board) withinRate(write bool) bool {
	board.mutex.Lock()
	defer board.mutex.Unlock()
	if write {
		return board.writes.take(board.switches.WritesPerSecond, time.Now())
	}
	return board.reads.take(board.switches.ReadsPerSecond, time.Now())
}

// bucket is a token bucket that holds at most one second's worth of calls.
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
