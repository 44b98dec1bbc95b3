package proof

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"testing"
	"time"

	"github.com/jackc/pgx/v5"

	"dotterelgw/core/config"
	"dotterelgw/core/failover"
	"dotterelgw/core/ids"
	"dotterelgw/io/platform"
	"dotterelgw/standin/fleet"
)

const (
	// gapBound is the longest failover gap with today's sizes; see docs/design.md, section 1.3.
	gapBound = 3 * time.Second
	// promotionBound is the longest failover gap at the planned size, which also bounds a repeated promotion.
	promotionBound = 13 * time.Second
	// behind is how long a primary accepts writes without replication before it is killed.
	behind = 300 * time.Millisecond
	// stallBound is the length below which a stall must cause no promotion.
	stallBound = time.Second
)

// Guards against acknowledged writes that a promotion loses, and against a group that stays without a primary, for each
// way in which a primary fails.
func TestPrimaryFailures(t *testing.T) {
	t.Parallel()
	for name, fail := range map[string]func(*environment){
		"frozen": func(environment *environment) { environment.switches("g1-a", map[string]any{"frozen": true}) },
		"killed": func(environment *environment) { environment.Databases["g1-a"].Kill() },
		"killed while replicas are behind": func(environment *environment) {
			environment.switches("g1-a", partitioned("replication"))
			time.Sleep(behind) // writes that no replica receives
			environment.Databases["g1-a"].Kill()
		},
		"replication cut": func(environment *environment) { environment.switches("g1-a", partitioned("replication")) },
		"proxies cut":     func(environment *environment) { environment.switches("g1-a", partitioned("vm1", "vm2", "vm3")) },
	} {
		t.Run(name, func(t *testing.T) {
			environment := start(t, 3, 0, ample)
			terms := environment.terms()
			before := terms.await("g1", failover.Steady, 0) // until then the group is not watched
			ledger := environment.writeThrough("vm1", "vm2", "vm3")
			fail(environment)
			failed := ledger.expectGap(time.Now(), gapBound)
			if after := terms.await("g1", failover.Steady, 0); after.Term == before.Term || after.Primary == before.Primary {
				t.Errorf("the primary is %s of term %d after the failure", after.Primary, after.Term)
			}
			for number := range environment.Size() { // each VM must discover the new primary
				vm := fleet.VMID(number + 1)
				environment.within(promotionBound, "a write through "+string(vm), func() bool { return !ledger.acknowledgedBy(vm, failed).IsZero() })
			}
			ledger.check("vm1")
		})
	}
}

func partitioned(names ...string) map[string]any { return map[string]any{"partitioned": names} }

// expectGap waits until a write that was sent after the failure is acknowledged, and returns when. The time until then must
// be within the bound.
func (ledger *ledger) expectGap(failed time.Time, bound time.Duration) time.Time {
	ledger.t.Helper()
	var first time.Time
	ledger.within(promotionBound, "an acknowledged write after the failure", func() bool {
		first = ledger.acknowledgedBy("", failed)
		return !first.IsZero()
	})
	gap := first.Sub(failed)
	ledger.t.Logf("next write acknowledged %s after the failure", gap)
	if gap > bound {
		ledger.t.Errorf("no write was acknowledged for %s, at most %s allowed", gap, bound)
	}
	return first
}

// terms reads the term records from the key-value service.
type terms struct {
	*environment
	store platform.Client
}

func (environment *environment) terms() *terms {
	environment.t.Helper()
	store, err := platform.New([]string{environment.Platform.Addresses["key_value"]}, "test")
	environment.must(err)
	environment.t.Cleanup(func() { _ = store.Close() })
	return &terms{environment, store}
}

func (terms *terms) record(group ids.GroupID) (config.TermRecord, error) {
	entry, found, err := terms.store.Get(terms.ctx, config.TermKey(group))
	if err != nil {
		return config.TermRecord{}, fmt.Errorf("reading the term of %s: %w", group, err)
	}
	if !found {
		return config.TermRecord{}, fmt.Errorf("no term of %s is recorded", group)
	}
	return config.Decode[config.TermRecord](entry)
}

const (
	stalledGroups  = 5
	stallsPerGroup = 4
	minStall       = 200 * time.Millisecond
	maxStall       = 900 * time.Millisecond
	// betweenStalls is longer than a probe's interval and its time-out together, so that every watcher sees each stall
	// separately: watchers saw four stalls of 286 to 361 ms with 10 ms between them as one of 1.3 s.
	betweenStalls = 700 * time.Millisecond
)

// Guards against a promotion because of a stall that is shorter than 1 s.
func TestShortStallsCauseNoPromotion(t *testing.T) {
	environment := startWith(t, ample, func(options *fleet.Options) { options.Groups = stalledGroups })
	text := fmt.Sprintf(contractText, ample.rate, ample.burst)
	for number := range stalledGroups {
		text += fmt.Sprintf("[[routes]]\nname = \"r%d\"\ngroup = \"g%d\"\naccess = \"auto\"\n", number+1, number+1)
	}
	environment.must(environment.ApplyContract(environment.ctx, acme, text))
	terms := environment.terms()
	var groups sync.WaitGroup
	for number := range stalledGroups {
		groups.Go(func() { terms.stall(number + 1) })
	}
	groups.Wait()
}

// stall stops the group's primary several times. After each stall it waits for an acknowledged write and for the watchers
// to see the primary, so that the next one does not prolong it.
func (terms *terms) stall(number int) {
	t, group, route := terms.t, ids.GroupID(fmt.Sprintf("g%d", number)), fmt.Sprintf("r%d", number)
	random := rand.New(rand.NewPCG(1, uint64(number)))
	conn, err := pgx.Connect(terms.ctx, terms.DSN(fleet.VMID(1+number%3), acme, terms.key, route))
	if err != nil {
		t.Errorf("%s: %v", group, err)
		return
	}
	defer func() { _ = conn.Close(context.Background()) }()
	if err := terms.exec(conn, "CREATE TABLE stalls (id BIGINT)"); err != nil {
		t.Errorf("%s: %v", group, err)
	}
	for valid := 0; valid < stallsPerGroup && terms.ctx.Err() == nil; {
		before := terms.await(group, failover.Steady, 0)
		length := minStall + time.Duration(random.Int64N(int64(maxStall-minStall)))
		began := time.Now()
		_ = terms.Databases[before.Primary].Pause()
		time.Sleep(length) // varies the length of the stall
		_ = terms.Databases[before.Primary].Resume()
		// A stall that a busy machine stretched to 1 s and more may cause a promotion.
		if stalled := time.Since(began); stalled >= stallBound {
			t.Logf("%s: a stall took %s and does not count", group, stalled)
		} else {
			valid++
			if err := terms.exec(conn, "INSERT INTO stalls VALUES ($1)", valid); err != nil {
				t.Errorf("%s: writing after a stall of %s: %v", group, stalled, err)
			}
			if after, err := terms.record(group); err != nil || after.Term != before.Term {
				t.Errorf("%s: term %d became %d after a stall of %s (%v)", group, before.Term, after.Term, stalled, err)
			}
			time.Sleep(betweenStalls)
		}
	}
}

const (
	ordererLosses = 3
	// maxLossDelay bounds the time from the claim of a term to the loss of the VM that claimed it.
	maxLossDelay = 15 * time.Millisecond
)

// Guards against a group that stays without a primary, or loses acknowledged writes, when the VM that orders a promotion
// is lost during the promotion.
func TestOrdererLostDuringPromotion(t *testing.T) {
	t.Parallel()
	for name, strike := range map[string]struct {
		seed          uint64
		lose, restore func(*environment, int) error // with the number of the VM
	}{
		"killed": {
			1,
			func(environment *environment, number int) error {
				environment.VM(fleet.VMID(number)).Kill()
				return nil
			},
			func(environment *environment, number int) error { return environment.StartVM(environment.ctx, number) },
		},
		"paused": {
			2,
			func(environment *environment, number int) error { return environment.VM(fleet.VMID(number)).Pause() },
			func(environment *environment, number int) error { return environment.VM(fleet.VMID(number)).Resume() },
		},
	} {
		t.Run(name, func(t *testing.T) {
			environment := start(t, 5, 0, ample)
			terms := environment.terms()
			random := rand.New(rand.NewPCG(strike.seed, 0))
			ledger := environment.writeThrough("vm1", "vm2", "vm3", "vm4", "vm5")
			for range ordererLosses {
				steady := terms.await("g1", failover.Steady, 0)
				delay := time.Duration(random.Int64N(int64(maxLossDelay)))
				environment.switches(steady.Primary, map[string]any{"frozen": true})
				failed := time.Now()
				claimed := terms.await("g1", "", steady.Term)
				time.Sleep(delay) // varies the moment of the loss
				var number int
				_, err := fmt.Sscanf(string(claimed.Orderer), "vm%d", &number)
				environment.must(err)
				environment.must(strike.lose(environment, number))
				current, err := terms.record("g1")
				environment.must(err)
				t.Logf("%s lost %s after it claimed term %d, at step %s", claimed.Orderer, delay, claimed.Term, current.Step)
				ledger.expectGap(failed, promotionBound)
				environment.must(strike.restore(environment, number))
				environment.switches(steady.Primary, map[string]any{"frozen": false})
				environment.must(environment.WaitReady(environment.ctx, claimed.Orderer))
				restored := time.Now()
				environment.within(promotionBound, "a write through "+string(claimed.Orderer), func() bool {
					return !ledger.acknowledgedBy(claimed.Orderer, restored).IsZero()
				})
			}
			ledger.check("vm1")
		})
	}
}

// await waits for a term record of the group with a later term than the given one; if step is not empty, also at that step.
func (terms *terms) await(group ids.GroupID, step string, after ids.Term) config.TermRecord {
	for {
		record, err := terms.record(group)
		if err != nil && terms.ctx.Err() != nil {
			terms.t.Errorf("awaiting a term of %s after %d: %v", group, after, err)
			return config.TermRecord{}
		}
		if err == nil && record.Term > after && (step == "" || record.Step == step) {
			return record
		}
		time.Sleep(time.Millisecond) // a promotion takes only some milliseconds
	}
}
