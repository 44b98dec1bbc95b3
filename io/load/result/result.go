package result

import (
	"encoding/json"
	"fmt"
	"os"

	"dotterelgw/io/load/experiment"
	"dotterelgw/io/load/history"
)

// Result is the outcome of one run. It is stored as JSON.
type Result struct {
	// Experiment is the experiment that was run. Began is the start time in RFC 3339.
	Experiment *experiment.Experiment `json:"experiment"`
	Began      string                 `json:"began"`
	// Commit is the commit of the programs. LoadAverage is the load average of the machine at the start of the run.
	Commit      string `json:"commit,omitempty"`
	LoadAverage string `json:"load_average,omitempty"`
	// Complete is false if the run was interrupted.
	Complete bool `json:"complete"`
	// Total is the summary over all organisations; Organisations holds one summary for each.
	Total         Organisation   `json:"total"`
	Organisations []Organisation `json:"organisations"`
	// WorstServed is the organisation with the lowest service level.
	WorstServed string `json:"worst_served"`
	// Replica is the share of reads served by replicas.
	Replica ReplicaShare `json:"replica"`
	// Failures holds the injected failures and, for groups, the failover gaps that they caused.
	Failures []Failure `json:"failures,omitempty"`
	// Reasons counts the unacknowledged requests by SQLSTATE, reason and outcome.
	Reasons map[string]int `json:"reasons,omitempty"`
	// Violations holds the broken guarantees; ViolationCount counts them by kind.
	Violations     []history.Violation     `json:"violations,omitempty"`
	ViolationCount map[history.Anomaly]int `json:"violation_count,omitempty"`
	// Seconds holds the figures of each second of the run.
	Seconds []Second `json:"seconds"`
	// Notes lists what could not be measured.
	Notes []string `json:"notes,omitempty"`
}

// Organisation is a summary of the requests of one organisation, without those of the warm-up.
type Organisation struct {
	Name     string `json:"name"`
	Requests int    `json:"requests"`
	OK       int    `json:"ok"`
	Refused  int    `json:"refused"`
	Failed   int    `json:"failed"`
	Unknown  int    `json:"unknown"`
	// RefusedWithinRate counts requests that were refused for any reason although they were within rate and burst.
	// RefusedForRate counts requests refused for the rate; WronglyRefused counts those of them that were within it.
	RefusedWithinRate int `json:"refused_within_rate"`
	RefusedForRate    int `json:"refused_for_rate"`
	WronglyRefused    int `json:"wrongly_refused"`
	// ServiceLevel is the share of requests that were acknowledged within the objective. Requests that were rightly refused
	// for the rate are excluded from the total.
	ServiceLevel float64 `json:"service_level"`
	// Latency covers all acknowledged requests, measured from their scheduled start. Reads and Writes cover its two parts.
	Latency Latency `json:"latency"`
	Reads   Latency `json:"reads"`
	Writes  Latency `json:"writes"`
}

// WrongfulShare returns the share of requests that were refused for the rate although they were within it.
func (organisation *Organisation) WrongfulShare() float64 {
	return share(organisation.WronglyRefused, organisation.Requests)
}

// ReplicaShare is the share of reads served by replicas, according to the counters of the proxies.
type ReplicaShare struct {
	// Measured is false if the counters could not be read.
	Measured bool `json:"measured"`
	// Replica and Primary are the increases of the counters route_replica and route_primary during the run.
	Replica int64 `json:"replica"`
	Primary int64 `json:"primary"`
	// Reads counts the acknowledged reads of the run, including the warm-up.
	Reads int64 `json:"reads"`
	// Share is Replica ÷ Reads, at most 1.
	Share float64 `json:"share"`
}

// NewReplicaShare computes the share from the counters. A read that a replica refuses and the proxy then sends to the
// primary increases both counters, so the share is an upper bound.
func NewReplicaShare(replica, primary, reads int64) ReplicaShare {
	share := ReplicaShare{Measured: true, Replica: replica, Primary: primary, Reads: reads}
	if reads > 0 {
		share.Share = min(1, float64(replica)/float64(reads))
	}
	return share
}

// Failure is one injected failure with its effect.
type Failure struct {
	// At and Until are the times at which the failure was injected and undone, in seconds since the start of the run.
	At     float64 `json:"at_s"`
	Until  float64 `json:"until_s,omitempty"`
	Target string  `json:"target"`
	// Server is the server to which a target such as primary:g1 was resolved.
	Server string `json:"server,omitempty"`
	Group  string `json:"group,omitempty"`
	What   string `json:"what"`
	Error  string `json:"error,omitempty"`
	// Happened is false if the failure was not injected, because the run ended earlier or because of Error.
	Happened bool `json:"happened"`
	// GapMS is the failover gap in milliseconds: the longest time without an acknowledged write of the group that ended
	// after the failure. Recovered is false if no write was acknowledged after the failure.
	GapMS     float64 `json:"gap_ms,omitempty"`
	Recovered bool    `json:"recovered"`
}

// Second holds the figures of the requests whose scheduled start lies in one second of the run.
type Second struct {
	OK      int `json:"ok"`
	Refused int `json:"refused"`
	Failed  int `json:"failed"`
	Unknown int `json:"unknown"`
	// P50MS and P99MS are latency percentiles of the acknowledged requests, in milliseconds.
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
