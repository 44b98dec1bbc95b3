package limit

import (
	"testing"
	"time"

	"github.com/leanovate/gopter"
	"github.com/leanovate/gopter/gen"
	"github.com/leanovate/gopter/prop"

	"dotterelgw/core/ids"
)

// simulationSeed makes the property tests deterministic: every run generates the same schedules.
const simulationSeed = 20261204

// overload offers about three times the rate: twice the rate at one VM, which changes every two seconds, and the rate
// spread evenly over the others.
func overload(rate float64) func(time.Duration, int) float64 {
	return func(now time.Duration, vm int) float64 {
		if int(now/(2*time.Second))%simulatedVMs == vm {
			return 2 * rate
		}
		return rate / simulatedVMs
	}
}

// pulses offers twice the rate at every VM for 300 ms in every 3 s, so that grants remain unspent after each pulse.
func pulses(rate float64) func(time.Duration, int) float64 {
	return func(now time.Duration, _ int) float64 {
		if now%(3*time.Second) < 300*time.Millisecond {
			return 2 * rate
		}
		return 0
	}
}

// TestFleetNeverExceedsRateAndBurst guards against admitting more than rate × time + burst in any interval, under crashes,
// pauses, partitions, delayed messages and changes of the share record.
func TestFleetNeverExceedsRateAndBurst(t *testing.T) {
	parameters := gopter.DefaultTestParametersWithSeed(simulationSeed)
	parameters.MinSuccessfulTests = 200
	properties := gopter.NewProperties(parameters)
	admitted := 0
	properties.Property("no interval exceeds the budget", prop.ForAll(func(seed int64, rate, seconds float64) bool {
		budget := Budget{Rate: rate, Burst: max(4, rate*seconds)}
		schedule := newSchedule(seed, budget, variant{}, true)
		schedule.offered = overload(rate)
		if seed%2 == 0 {
			schedule.offered = pulses(rate)
		}
		schedule.run(12 * time.Second)
		admitted += len(schedule.admitted)
		return schedule.excess() <= 0
	}, gen.Int64(), gen.Float64Range(20, 400), gen.Float64Range(0.1, 3)))
	properties.TestingRun(t)
	if admitted < 10000 {
		t.Errorf("only %d requests were admitted in all schedules, too few for the property to be meaningful", admitted)
	}
}

// TestCheckFindsMissingRules guards against a check that cannot fail: with a safety rule switched off, some schedule must
// exceed the budget.
func TestCheckFindsMissingRules(t *testing.T) {
	for name, broken := range map[string]variant{
		"new holders start with a full bucket": {fullStart: true},
		"grants never expire":                  {noExpiry: true},
	} {
		t.Run(name, func(t *testing.T) {
			found := 0.0
			for seed := int64(0); seed < 60 && found == 0; seed++ {
				schedule := newSchedule(seed, Budget{Rate: 200, Burst: 100}, broken, true)
				schedule.offered = pulses(200)
				schedule.run(20 * time.Second)
				found = schedule.excess()
			}
			if found == 0 {
				t.Error("no schedule exceeded the budget")
			}
		})
	}
}

// TestWrongfulRefusals guards against refusing requests that are within the rate. The bounds are those of docs/design.md,
// section 1.3.
func TestWrongfulRefusals(t *testing.T) {
	const rate = 400.0
	moving := func(now time.Duration, vm int) float64 {
		if int(now/(5*time.Second))%simulatedVMs == vm {
			return 0.95 * rate
		}
		return 0
	}
	even := func(time.Duration, int) float64 { return 0.95 * rate / simulatedVMs }
	for name, test := range map[string]struct {
		offered func(time.Duration, int) float64
		bound   float64
	}{
		"even load":                   {even, 0.001},
		"load moving between the VMs": {moving, 0.01},
	} {
		t.Run(name, func(t *testing.T) {
			refused := func(variant variant) float64 {
				schedule := newSchedule(simulationSeed, Budget{Rate: rate, Burst: rate}, variant, false)
				schedule.offered = func(now time.Duration, vm int) float64 {
					if now < maxConfigurationAge+2*MaxValidity { // excludes the holders' first handover
						return 0
					}
					return test.offered(now, vm)
				}
				schedule.run(45 * time.Second)
				return 1 - float64(len(schedule.admitted))/float64(schedule.requests)
			}
			lent, static := refused(variant{}), refused(variant{static: true})
			t.Logf("refused within the rate: %.4f, equal static shares: %.4f", lent, static)
			if lent > test.bound {
				t.Errorf("refused %.4f of the requests, at most %.4f allowed", lent, test.bound)
			}
		})
	}
}

// BenchmarkAdmit measures the time and the allocations of one admission.
func BenchmarkAdmit(b *testing.B) {
	borrower := NewBorrower(time.Second)
	borrower.Receive(0, 0, 1<<60, time.Hour)
	b.ReportAllocs()
	for i := 0; b.Loop(); i++ {
		if !borrower.Admit(time.Duration(i)) {
			b.Fatal("refused")
		}
	}
}

// BenchmarkBorrow measures the time and the allocations of one grant on the holder.
func BenchmarkBorrow(b *testing.B) {
	holder := NewHolder("vm0", rankByHash, 0)
	holder.SetBudget(0, simulatedOrg, Budget{Rate: 1e6, Burst: 1e6})
	holder.Apply(0, ShareRecord{Epoch: 1, VMs: []ids.VMID{"vm0"}})
	b.ReportAllocs()
	for i := 0; b.Loop(); i++ {
		holder.Borrow(time.Duration(i)*time.Microsecond, 1, simulatedOrg, 1)
	}
}
