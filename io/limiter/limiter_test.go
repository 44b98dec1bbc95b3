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

// fleet connects limiters in one process and implements Control and Fleet for them.
type fleet struct {
	mutex        sync.Mutex
	limiters     map[ids.VMID]Limiter
	vms          []ids.VMID
	contract     *contract.Contract
	record       config.Entry
	listeners    []func(config.Entry)
	unresponsive ids.VMID // VM that replies to no peer
}

func (fleet *fleet) Contract(ids.OrganisationID) (*contract.Contract, ids.Revision, bool) {
	return fleet.contract, 1, true
}
func (fleet *fleet) Admitting() bool { return true }
func (fleet *fleet) OnChange(apply func(config.Entry)) {
	fleet.listeners = append(fleet.listeners, apply)
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
	for _, apply := range fleet.listeners {
		apply(entry)
	}
	return entry.Revision, nil
}
func (fleet *fleet) LiveVMs() []ids.VMID { return fleet.vms }
func (fleet *fleet) Peer(vm ids.VMID) (peerpb.PeerClient, error) {
	return client{limiter: fleet.limiters[vm], unresponsive: vm == fleet.unresponsive}, nil
}

type client struct {
	peerpb.PeerClient
	limiter      Limiter
	unresponsive bool
}

func (client client) Borrow(ctx context.Context, request *peerpb.BorrowRequest, _ ...grpc.CallOption) (*peerpb.BorrowReply, error) {
	if client.unresponsive {
		<-ctx.Done()
		return nil, ctx.Err()
	}
	return client.limiter.Borrow(ctx, request)
}

func firstVMs(_ ids.OrganisationID, n int, vms []ids.VMID) []ids.VMID { return vms[:n] }

// startFleet runs the limiters of three VMs with the same contract.
func startFleet(t *testing.T, rate float64, unresponsive ids.VMID) *fleet {
	t.Helper()
	fleet := &fleet{
		limiters: make(map[ids.VMID]Limiter), vms: []ids.VMID{"vm1", "vm2", "vm3"}, unresponsive: unresponsive,
		contract: &contract.Contract{Organisation: testOrganisation, Rate: rate, Burst: rate},
	}
	ctx, cancel := context.WithCancel(t.Context())
	var running sync.WaitGroup
	t.Cleanup(func() {
		cancel()
		running.Wait()
	})
	for _, vm := range fleet.vms {
		created := New(vm, fleet, fleet, firstVMs, log.NewNopLogger()).(*limiter)
		// Long timeouts keep a busy machine from failing a test. As in production, the timeout of a request to a
		// holder is longer than a request waits.
		created.answeredTimeout, created.unansweredTimeout, created.replyTimeout = 2*time.Second, 4*time.Second, time.Minute
		fleet.limiters[vm] = created
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

// TestOneVMBorrowsTheWholeBudget guards against a VM that does not borrow the budget held by other VMs, and against
// admitting more than rate and burst.
func TestOneVMBorrowsTheWholeBudget(t *testing.T) {
	const rate = 500
	borrower := startFleet(t, rate, "").limiters["vm3"]
	admitted := waitForFirstAdmission(t, borrower)
	begin := time.Now()
	for time.Since(begin) < time.Second {
		if borrower.Admit(testOrganisation) || borrower.Wait(t.Context(), testOrganisation) {
			admitted++
		}
	}
	elapsed := time.Since(begin).Seconds()
	if limit := rate + rate*elapsed; float64(admitted) > limit {
		t.Errorf("admitted %d requests, at most %.0f allowed", admitted, limit)
	}
	// Equal static shares would admit only a third of the rate.
	if float64(admitted) < rate*elapsed/2 {
		t.Errorf("admitted only %d requests in %.1f s", admitted, elapsed)
	}
}

// TestSilentHolderCausesNoRefusals guards against refused requests well within the rate while one holder does not reply.
// The tokens requested from it counted as in flight until its timeout, which is longer than a request waits.
func TestSilentHolderCausesNoRefusals(t *testing.T) {
	borrower := startFleet(t, 100, "vm1").limiters["vm3"]
	waitForFirstAdmission(t, borrower)
	for number := range 50 {
		if !borrower.Admit(testOrganisation) && !borrower.Wait(t.Context(), testOrganisation) {
			t.Fatalf("request %d was refused", number)
		}
	}
}

// TestOwnBudgetNeedsNoLoop guards against refusals on a VM that holds budget itself, while the loop of Run is not running.
func TestOwnBudgetNeedsNoLoop(t *testing.T) {
	fleet := &fleet{contract: &contract.Contract{Organisation: testOrganisation, Rate: 1e6, Burst: 1e6}}
	limiter := New("vm1", fleet, fleet, firstVMs, log.NewNopLogger())
	value, err := json.Marshal(limit.ShareRecord{Epoch: 1, VMs: []ids.VMID{"vm1"}})
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

// TestWaitEndsWithTheAnswers guards against a request that continues to wait although the holders have replied that they
// have no tokens, and against one that is refused before a holder had the time to reply.
func TestWaitEndsWithTheAnswers(t *testing.T) {
	for name, test := range map[string]struct {
		replies bool
		minWait time.Duration
	}{
		"a holder replies":  {true, 0},
		"no holder replies": {false, 300 * time.Millisecond},
	} {
		t.Run(name, func(t *testing.T) {
			fleet := &fleet{contract: &contract.Contract{Organisation: testOrganisation, Rate: 10, Burst: 10}}
			limiter := New("vm1", fleet, fleet, firstVMs, log.NewNopLogger()).(*limiter)
			limiter.answeredTimeout, limiter.unansweredTimeout = 10*time.Millisecond, time.Minute
			if !test.replies {
				limiter.unansweredTimeout = 300 * time.Millisecond
			}
			account, _ := limiter.account(testOrganisation)
			done := make(chan bool)
			begin := time.Now()
			go func() { done <- limiter.Wait(t.Context(), testOrganisation) }()
			for test.replies && queueLength(account) == 0 {
				time.Sleep(time.Millisecond)
			}
			if test.replies {
				account.receiveGrant(0, 0, 0, time.Second)
			}
			if <-done || time.Since(begin) < test.minWait {
				t.Errorf("admitted, or refused after %s", time.Since(begin))
			}
		})
	}
}

func queueLength(account *account) int {
	account.mutex.Lock()
	defer account.mutex.Unlock()
	return len(account.waiters)
}

// waitForFirstAdmission waits until a request is admitted, which is after the handover delay of the first share record.
func waitForFirstAdmission(t *testing.T, limiter Limiter) int {
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

// BenchmarkAdmit measures the admission path, which should not allocate and take less than 300 ns.
func BenchmarkAdmit(b *testing.B) {
	fleet := &fleet{contract: &contract.Contract{Rate: 1e9, Burst: 1e9}}
	limiter := New("vm1", fleet, fleet, firstVMs, log.NewNopLogger()).(*limiter)
	account, _ := limiter.account(testOrganisation)
	value, _ := json.Marshal(limit.ShareRecord{Epoch: 1, VMs: []ids.VMID{"vm1"}})
	limiter.applyEntry(config.Entry{Key: config.SharesKey, Value: value})
	account.receiveGrant(0, 0, 1<<60, time.Hour)
	b.ReportAllocs()
	for b.Loop() {
		if !limiter.Admit(testOrganisation) {
			b.Fatal("refused")
		}
	}
}
