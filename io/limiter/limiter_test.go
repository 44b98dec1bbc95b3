package limiter

import (
	"context"
	"encoding/json"
	"fmt"
	"sync"
	"testing"
	"time"

	"github.com/go-kit/log"
	"google.golang.org/grpc"

	"dotterelgw/core/config"
	"dotterelgw/core/contract"
	"dotterelgw/core/ids"
	"dotterelgw/core/limit"
	"dotterelgw/io/peer/peerpb"
)

const testOrganisation = ids.OrganisationID("acme")

// fleet joins limiters in one process and implements Control and Fleet for them.
type fleet struct {
	mutex    sync.Mutex
	limiters map[ids.VMID]Limiter
	vms      []ids.VMID
	contract *contract.Contract
	record   config.Entry
	applied  []func(config.Entry)
	silent   ids.VMID // a VM that answers no peer
}

func (fleet *fleet) Contract(ids.OrganisationID) (*contract.Contract, ids.Revision, bool) {
	return fleet.contract, 1, true
}
func (fleet *fleet) Admitting() bool { return true }
func (fleet *fleet) OnChange(apply func(config.Entry)) {
	fleet.applied = append(fleet.applied, apply)
	apply(config.Entry{Key: config.ContractKey(testOrganisation), Revision: 1})
}

func (fleet *fleet) Entry(string) (config.Entry, bool) {
	fleet.mutex.Lock()
	defer fleet.mutex.Unlock()
	return fleet.record, fleet.record.Revision > 0
}

func (fleet *fleet) Propose(_ context.Context, key string, expected ids.Revision, value []byte) (ids.Revision, error) {
	fleet.mutex.Lock()
	if fleet.record.Revision != expected {
		fleet.mutex.Unlock()
		return 0, fmt.Errorf("conflict at revision %d", fleet.record.Revision)
	}
	fleet.record = config.Entry{Key: key, Value: value, Revision: expected + 1}
	entry := fleet.record
	fleet.mutex.Unlock()
	for _, apply := range fleet.applied {
		apply(entry)
	}
	return entry.Revision, nil
}
func (fleet *fleet) LiveVMs() []ids.VMID { return fleet.vms }
func (fleet *fleet) Peer(vm ids.VMID) (peerpb.PeerClient, error) {
	return client{limiter: fleet.limiters[vm], silent: vm == fleet.silent}, nil
}

type client struct {
	peerpb.PeerClient
	limiter Limiter
	silent  bool
}

func (client client) Borrow(ctx context.Context, request *peerpb.BorrowRequest, _ ...grpc.CallOption) (*peerpb.BorrowReply, error) {
	if client.silent {
		<-ctx.Done()
		return nil, ctx.Err()
	}
	return client.limiter.Borrow(ctx, request)
}

func firstOf(_ ids.OrganisationID, n int, vms []ids.VMID) []ids.VMID { return vms[:n] }

// startFleet runs limiters of three VMs that share the contract.
func startFleet(t *testing.T, rate float64, silent ids.VMID) *fleet {
	t.Helper()
	fleet := &fleet{
		limiters: make(map[ids.VMID]Limiter), vms: []ids.VMID{"vm1", "vm2", "vm3"}, silent: silent,
		contract: &contract.Contract{Organisation: testOrganisation, Rate: rate, Burst: rate},
	}
	ctx, cancel := context.WithCancel(t.Context())
	var running sync.WaitGroup
	t.Cleanup(func() {
		cancel()
		running.Wait()
	})
	for _, vm := range fleet.vms {
		made := New(vm, fleet, fleet, firstOf, log.NewNopLogger()).(*limiter)
		// Long times keep a busy machine from deciding a test; a holder that is silent stays so for longer than a
		// request waits, as in production.
		made.short, made.wait, made.timeout = 2*time.Second, 4*time.Second, time.Minute
		fleet.limiters[vm] = made
	}
	for _, limiter := range fleet.limiters {
		running.Go(func() {
			if err := limiter.Run(ctx); err != nil {
				t.Error(err)
			}
		})
	}
	return fleet
}

// Guards against a VM that does not borrow the budget that other VMs hold, and against more than rate and burst.
func TestOneVMBorrowsTheWholeBudget(t *testing.T) {
	const rate = 500
	asking := startFleet(t, rate, "").limiters["vm3"]
	admitted := waitForFirst(t, asking)
	begin := time.Now()
	for time.Since(begin) < time.Second {
		if asking.Admit(testOrganisation) || asking.Wait(t.Context(), testOrganisation) {
			admitted++
		}
	}
	elapsed := time.Since(begin).Seconds()
	if limit := rate + rate*elapsed; float64(admitted) > limit {
		t.Errorf("admitted %d requests, at most %.0f allowed", admitted, limit)
	}
	// A third of the rate is all that an equal static share would give.
	if float64(admitted) < rate*elapsed/2 {
		t.Errorf("admitted only %d requests in %.1f s", admitted, elapsed)
	}
}

// Guards against refusals of requests far within the rate because one holder does not answer: what it was asked for
// counted as under way until its time-out, which is longer than a request waits.
func TestSilentHolderCausesNoRefusals(t *testing.T) {
	asking := startFleet(t, 100, "vm1").limiters["vm3"]
	waitForFirst(t, asking)
	for number := range 50 {
		if !asking.Admit(testOrganisation) && !asking.Wait(t.Context(), testOrganisation) {
			t.Fatalf("request %d was refused", number)
		}
	}
}

// Guards against refusals on a VM that owns budget while its loop does not run.
func TestOwnBudgetNeedsNoLoop(t *testing.T) {
	fleet := &fleet{contract: &contract.Contract{Organisation: testOrganisation, Rate: 1e6, Burst: 1e6}}
	limiter := New("vm1", fleet, fleet, firstOf, log.NewNopLogger())
	value, err := json.Marshal(limit.Record{Epoch: 1, VMs: []ids.VMID{"vm1"}})
	if err != nil {
		t.Fatal(err)
	}
	if _, err := fleet.Propose(t.Context(), config.SharesKey, 0, value); err != nil {
		t.Fatal(err)
	}
	time.Sleep(time.Millisecond) // the bucket holds 1,000 tokens by then
	if !limiter.Admit(testOrganisation) && !limiter.Wait(t.Context(), testOrganisation) {
		t.Error("the request was refused")
	}
}

// Guards against a request that waits on although every holder has answered that it has no tokens, and against one that
// is refused before any holder had the time to answer.
func TestWaitEndsWithTheAnswers(t *testing.T) {
	for name, test := range map[string]struct {
		answers bool
		least   time.Duration
	}{
		"a holder answers": {true, 0},
		"none answers":     {false, 300 * time.Millisecond},
	} {
		t.Run(name, func(t *testing.T) {
			fleet := &fleet{contract: &contract.Contract{Organisation: testOrganisation, Rate: 10, Burst: 10}}
			limiter := New("vm1", fleet, fleet, firstOf, log.NewNopLogger()).(*limiter)
			limiter.short, limiter.wait = 10*time.Millisecond, time.Minute
			if !test.answers {
				limiter.wait = 300 * time.Millisecond
			}
			account, _ := limiter.account(testOrganisation)
			done := make(chan bool)
			begin := time.Now()
			go func() { done <- limiter.Wait(t.Context(), testOrganisation) }()
			for test.answers && waiting(account) == 0 {
				time.Sleep(time.Millisecond)
			}
			if test.answers {
				account.receive(0, 0, 0, time.Second)
			}
			if <-done || time.Since(begin) < test.least {
				t.Errorf("admitted, or refused after %s", time.Since(begin))
			}
		})
	}
}

func waiting(account *account) int {
	account.mutex.Lock()
	defer account.mutex.Unlock()
	return len(account.waiters)
}

// waitForFirst waits until the hand-over time of a new share record has passed.
func waitForFirst(t *testing.T, limiter Limiter) int {
	t.Helper()
	deadline := time.Now().Add(30 * time.Second)
	for time.Now().Before(deadline) {
		if limiter.Admit(testOrganisation) || limiter.Wait(t.Context(), testOrganisation) {
			return 1
		}
	}
	t.Fatal("no request was admitted")
	return 0
}

// Guards against an admission path that allocates or is slower than 300 ns.
func BenchmarkAdmit(b *testing.B) {
	fleet := &fleet{contract: &contract.Contract{Rate: 1e9, Burst: 1e9}}
	limiter := New("vm1", fleet, fleet, firstOf, log.NewNopLogger()).(*limiter)
	account, _ := limiter.account(testOrganisation)
	value, _ := json.Marshal(limit.Record{Epoch: 1, VMs: []ids.VMID{"vm1"}})
	limiter.apply(config.Entry{Key: config.SharesKey, Value: value})
	account.receive(0, 0, 1<<60, time.Hour)
	b.ReportAllocs()
	for b.Loop() {
		if !limiter.Admit(testOrganisation) {
			b.Fatal("refused")
		}
	}
}
