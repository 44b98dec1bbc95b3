package observer

import (
	"testing"
	"time"
)

// Guards against needless status requests, and against missing ones when no other VM passes on the state of the server.
func TestDue(t *testing.T) {
	const long = time.Minute
	for name, test := range map[string]struct {
		situation Situation
		wait      time.Duration
		ask       bool
	}{
		"unused":                           {Situation{VMs: 7, Age: long, SinceAsked: long}, recheckInterval, false},
		"recently observed":                {Situation{VMs: 7, Used: true, Age: 100 * time.Millisecond, SinceAsked: long}, StaleAfter - 100*time.Millisecond + staleMargin, true},
		"no observation from others":       {Situation{VMs: 7, Used: true, Age: long, SinceAsked: long}, 0, true},
		"observer":                         {Situation{VMs: 295, Observes: true, Age: 0, SinceAsked: Interval}, 0, true},
		"performs failovers":               {Situation{VMs: 295, OnDuty: true, SinceAsked: 400 * time.Millisecond}, 600 * time.Millisecond, true},
		"no response to the observer":      {Situation{VMs: 295, Observes: true, Silent: true, SinceAsked: retryInterval}, 0, true},
		"no response in a small fleet":     {Situation{VMs: 7, Used: true, Silent: true, SinceAsked: retryInterval}, 0, true},
		"no response, unused":              {Situation{VMs: 7, Silent: true, SinceAsked: long}, recheckInterval, false},
		"no response, observer reached it": {Situation{VMs: 295, Used: true, Silent: true, Regained: true, SinceAsked: 590 * time.Millisecond}, 0, true},
	} {
		t.Run(name, func(t *testing.T) {
			if wait, ask := test.situation.Due(); wait != test.wait || ask != test.ask {
				t.Errorf("wait %v, ask %t; want %v, %t", wait, ask, test.wait, test.ask)
			}
		})
	}
}

// Guards against all VMs querying a server at once, which takes up the connections that statements need. 295 VMs use a server
// that accepts 216 connections, and they get no state from others: the observer is overloaded, or the server responds to no VM.
func TestAllVMsAsk(t *testing.T) {
	const (
		vms         = 295
		connections = 216
		requestTime = 300 * time.Millisecond
	)
	for name, test := range map[string]struct {
		silent, regained bool
		most             int
	}{
		"no response of the observers": {most: connections / 4},
		"silent":                       {silent: true, most: connections / 4},
		"responds again":               {silent: true, regained: true, most: vms},
	} {
		t.Run(name, func(t *testing.T) {
			requests := 0
			for vm := range vms {
				// The last requests of the VMs are spread evenly over the interval.
				situation := Situation{VMs: vms, Used: true, Silent: test.silent, Regained: test.regained, Age: time.Minute}
				interval, _ := situation.interval()
				situation.SinceAsked = interval * time.Duration(vm) / vms
				if wait, ask := situation.Due(); ask && wait < requestTime {
					requests++
				}
			}
			if requests > test.most {
				t.Errorf("%d of %d VMs send a status request within %v", requests, vms, requestTime)
			}
		})
	}
}
