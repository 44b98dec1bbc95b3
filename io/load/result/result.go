package result

import (
	"encoding/json"
	"fmt"
	"os"

	"dotterelgw/io/load/experiment"
	"dotterelgw/io/load/history"
)

// Result is the outcome of one run; it is stored as JSON.
type Result struct {
	// Experiment is what was run; Began is the start in RFC 3339.
	Experiment *experiment.Experiment `json:"experiment"`
	Began      string                 `json:"began"`
	// Commit is the commit of the programs, LoadAverage the machine's load average when the run began.
	Commit      string `json:"commit,omitempty"`
	LoadAverage string `json:"load_average,omitempty"`
	// Complete is false if the run was interrupted.
	Complete bool `json:"complete"`
	// Total sums all organisations up, Organisations holds each one.
	Total         Organisation   `json:"total"`
	Organisations []Organisation `json:"organisations"`
	// WorstServed is the organisation with the lowest service level.
	WorstServed string `json:"worst_served"`
	// Replica is the share of reads served by replicas.
	Replica ReplicaShare `json:"replica"`
	// Failures holds what was broken and, for groups, the failover gap.
	Failures []Failure `json:"failures,omitempty"`
	// Reasons counts the requests that were not acknowledged by SQLSTATE and reason.
	Reasons map[string]int `json:"reasons,omitempty"`
	// Violations holds the broken guarantees; ViolationCount counts them by fault.
	Violations     []history.Violation   `json:"violations,omitempty"`
	ViolationCount map[history.Fault]int `json:"violation_count,omitempty"`
	// Seconds holds the course of the run.
	Seconds []Second `json:"seconds"`
	// Notes states what could not be measured.
	Notes []string `json:"notes,omitempty"`
}

// Organisation sums the requests of one organisation up, without those of the warm-up.
type Organisation struct {
	Name     string `json:"name"`
	Requests int    `json:"requests"`
	OK       int    `json:"ok"`
	Refused  int    `json:"refused"`
	Failed   int    `json:"failed"`
	Unknown  int    `json:"unknown"`
	// RefusedWithinRate counts refusals for any reason although the request was within rate and burst. RefusedForRate
	// counts refusals for the rate, WronglyRefused those of them that were within it.
	RefusedWithinRate int `json:"refused_within_rate"`
	RefusedForRate    int `json:"refused_for_rate"`
	WronglyRefused    int `json:"wrongly_refused"`
	// ServiceLevel is the share of requests acknowledged within the objective, of those not rightly refused for the rate.
	ServiceLevel float64 `json:"service_level"`
	// Latency is that of acknowledged requests, from the intended start; Reads and Writes are parts of it.
	Latency Latency `json:"latency"`
	Reads   Latency `json:"reads"`
	Writes  Latency `json:"writes"`
}

// WrongfulShare returns the wrongly refused share of all requests.
func (organisation *Organisation) WrongfulShare() float64 {
	return share(organisation.WronglyRefused, organisation.Requests)
}

// ReplicaShare is the share of reads served by replicas, from the counters of the proxies.
type ReplicaShare struct {
	// Measured is false if the counters could not be read.
	Measured bool `json:"measured"`
	// Replica and Primary are the growth of the counters route_replica and route_primary during the run.
	Replica int64 `json:"replica"`
	Primary int64 `json:"primary"`
	// Reads counts the acknowledged reads during the run, warm-up included.
	Reads int64 `json:"reads"`
	// Share is Replica ÷ Reads, at most 1.
	Share float64 `json:"share"`
}

// NewReplicaShare computes the share. A replica that refuses a read which the proxy then sends to the primary is counted
// by both counters, so the share is an upper bound in that case.
func NewReplicaShare(replica, primary, reads int64) ReplicaShare {
	share := ReplicaShare{Measured: true, Replica: replica, Primary: primary, Reads: reads}
	if reads > 0 {
		share.Share = min(1, float64(replica)/float64(reads))
	}
	return share
}

// Failure is one fault with its effect.
type Failure struct {
	// At and Until are seconds since the start of the run.
	At     float64 `json:"at_s"`
	Until  float64 `json:"until_s,omitempty"`
	Target string  `json:"target"`
	// Server is the server that a target such as primary:g1 stood for.
	Server string `json:"server,omitempty"`
	Group  string `json:"group,omitempty"`
	What   string `json:"what"`
	Error  string `json:"error,omitempty"`
	// Happened is false if the run ended before.
	Happened bool `json:"happened"`
	// GapMS is the longest time in milliseconds without an acknowledged write of the group that ended after the fault
	// began; Recovered is false if no write was acknowledged afterwards.
	GapMS     float64 `json:"gap_ms,omitempty"`
	Recovered bool    `json:"recovered"`
}

// Second is one second of the run, by intended start.
type Second struct {
	OK      int `json:"ok"`
	Refused int `json:"refused"`
	Failed  int `json:"failed"`
	Unknown int `json:"unknown"`
	// P50MS and P99MS are latencies of acknowledged requests.
	P50MS float64 `json:"p50_ms"`
	P99MS float64 `json:"p99_ms"`
}

func share(part, whole int) float64 {
	if whole == 0 {
		return 0
	}
	return float64(part) / float64(whole)
}

// Save writes the result to a file.
func (result *Result) Save(file string) error {
	text, err := json.MarshalIndent(result, "", "  ")
	if err != nil {
		return fmt.Errorf("encoding the result: %w", err)
	}
	if err := os.WriteFile(file, append(text, '\n'), 0o600); err != nil {
		return fmt.Errorf("writing the result: %w", err)
	}
	return nil
}

// Read reads a result from a file.
func Read(file string) (*Result, error) {
	text, err := os.ReadFile(file)
	if err != nil {
		return nil, fmt.Errorf("reading the result: %w", err)
	}
	result := &Result{}
	if err := json.Unmarshal(text, result); err != nil {
		return nil, fmt.Errorf("decoding %s: %w", file, err)
	}
	return result, nil
}
