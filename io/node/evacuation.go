package node

import (
	"fmt"
	"time"

	"github.com/rcrowley/go-metrics"

	"dotterelgw/core/evacuation"
	"dotterelgw/io/directory"
	"dotterelgw/io/settings"
)

// Evacuation holds the limits for evacuated availability zones and cold backend servers.
type Evacuation struct {
	// ApplyMS is the time in milliseconds from the request of the operator until nothing may be sent to the availability zone; 0 if no
	// requests are watched.
	ApplyMS float64 `toml:"apply_ms"`
	// ColdOverage multiplies the rate that the configuration allows for a cold server.
	ColdOverage float64 `toml:"cold_overage"`
	// ColdSlack is the number of statements in a second that a cold server takes beyond that.
	ColdSlack float64 `toml:"cold_slack"`
}

// Enabled reports whether requests of the operator are watched.
func (evacuation Evacuation) Enabled() bool { return evacuation.ApplyMS > 0 }

// within returns the time limit of an evacuation.
func (evacuation Evacuation) within() time.Duration {
	return time.Duration(evacuation.ApplyMS * float64(time.Millisecond))
}

// format returns the format of the records that the settings call for: without a limit, requests and cold times are not read.
func (evacuation Evacuation) format(format directory.Format) directory.Format {
	format.EvacuateWithin = evacuation.within()
	if !evacuation.Enabled() {
		format.EvacuationPrefix = ""
	}
	if !evacuation.LimitsCold() {
		format.DecodeServer = withoutColdTime(format.DecodeServer)
	}
	return format
}

// followEvacuations passes the requests of the operator on to those who choose servers.
func (node *Node) followEvacuations(registry metrics.Registry) {
	node.directory.OnEvacuations(node.monitor.SetEvacuated)
	node.directory.OnEvacuations(func(evacuation.Zones) { node.proxy.RecheckTransactions() })
	node.monitor.RegisterEvacuationMetrics(registry)
}

// Limits of the settings.
const (
	maxEvacuationMS = 60 * 60 * 1000
	maxColdOverage  = 1000
	maxColdSlack    = 1e6
)

// check reports the settings that are out of range.
func (evacuation Evacuation) check() []settings.InvalidSetting {
	var invalidSettings []settings.InvalidSetting
	fault := func(key string, value float64, allowed string) {
		invalidSettings = append(invalidSettings, settings.InvalidSetting{Key: "evacuation." + key, Value: fmt.Sprint(value), Allowed: allowed})
	}
	if apply := evacuation.ApplyMS; apply != 0 && !(apply >= minApplyMS && apply <= maxEvacuationMS) {
		fault("apply_ms", evacuation.ApplyMS, fmt.Sprintf("0, or %d to %d", minApplyMS, maxEvacuationMS))
	}
	if overage := evacuation.ColdOverage; !(overage >= 0 && overage <= maxColdOverage) {
		fault("cold_overage", evacuation.ColdOverage, fmt.Sprintf("0 to %d", maxColdOverage))
	}
	if slack := evacuation.ColdSlack; !(slack >= 0 && slack <= maxColdSlack) {
		fault("cold_slack", evacuation.ColdSlack, fmt.Sprintf("0 to %g", float64(maxColdSlack)))
	}
	return invalidSettings
}
