package observer

import (
	"testing"
	"time"
)

// Guards against a VM that asks a server needlessly, and against one that does not when nobody else tells it the state.
func TestDue(t *testing.T) {
	const long = time.Minute
	for name, test := range map[string]struct {
		situation Situation
		wait      time.Duration
		ask       bool
	}{
		"unused":                          {Situation{VMs: 7, Age: long, SinceAsked: long}, restInterval, false},
		"observed a moment ago":           {Situation{VMs: 7, Used: true, Age: 100 * time.Millisecond, SinceAsked: long}, Stale - 100*time.Millisecond + staleSlack, true},
		"nobody tells":                    {Situation{VMs: 7, Used: true, Age: long, SinceAsked: long}, 0, true},
		"observer":                        {Situation{VMs: 295, Observes: true, Age: 0, SinceAsked: Interval}, 0, true},
		"on duty":                         {Situation{VMs: 295, OnDuty: true, SinceAsked: 400 * time.Millisecond}, 600 * time.Millisecond, true},
		"silent to the observer":          {Situation{VMs: 295, Observes: true, Silent: true, SinceAsked: askAgain}, 0, true},
		"silent in a small fleet":         {Situation{VMs: 7, Used: true, Silent: true, SinceAsked: askAgain}, 0, true},
		"silent and unused":               {Situation{VMs: 7, Silent: true, SinceAsked: long}, restInterval, false},
		"silent, reached by the observer": {Situation{VMs: 295, Used: true, Silent: true, Regained: true, SinceAsked: 590 * time.Millisecond}, 0, true},
	} {
		t.Run(name, func(t *testing.T) {
			if wait, ask := test.situation.Due(); wait != test.wait || ask != test.ask {
				t.Errorf("wait %v, ask %t; want %v, %t", wait, ask, test.wait, test.ask)
			}
		})
	}
}

// Pattern: 295 VMs use a server that takes 216 connections, and nobody tells them its state: the observer is overloaded, or the server
// does not answer any of them. Guards against all VMs asking the server at once, which takes the connections of statements.
func TestAllVMsAsk(t *testing.T) {
	const (
		vms         = 295
		connections = 216
		held        = 300 * time.Millisecond
	)
	for name, test := range map[string]struct {
		silent, regained bool
		most             int
	}{
		"no answer of the observers": {most: connections / 4},
		"silent":                     {silent: true, most: connections / 4},
		"answers again":              {silent: true, regained: true, most: vms},
	} {
		t.Run(name, func(t *testing.T) {
			asks := 0
			for vm := range vms {
				// The VMs last asked at any time within their pace.
				situation := Situation{VMs: vms, Used: true, Silent: test.silent, Regained: test.regained, Age: time.Minute}
				every, _ := situation.every()
				situation.SinceAsked = every * time.Duration(vm) / vms
				if wait, ask := situation.Due(); ask && wait < held {
					asks++
				}
			}
			if asks > test.most {
				t.Errorf("%d of %d VMs ask within %v", asks, vms, held)
			}
		})
	}
}
