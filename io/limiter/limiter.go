package limiter

import (
	"context"
	"encoding/json"
	"fmt"
	"sync"
	"time"

	"github.com/go-kit/log"
	"github.com/go-kit/log/level"

	"dotterelgw/core/config"
	"dotterelgw/core/contract"
	"dotterelgw/core/ids"
	"dotterelgw/core/limit"
	"dotterelgw/io/peer/peerpb"
)

const (
	// answeredWait is how long a request waits for a token when holders reply but have none to give. A longer wait would
	// delay later requests of an organisation over its rate, although those are within the rate again.
	answeredWait = 50 * time.Millisecond
	// unansweredWait is how long a request waits while no holder has replied. On a busy VM a round trip takes longer than
	// answeredWait.
	unansweredWait = 250 * time.Millisecond
	// borrowInterval is the interval at which tokens are borrowed. A request without a token triggers borrowing at once.
	borrowInterval = 5 * time.Millisecond
	// borrowTimeout bounds a request to a holder. Later replies are of little use, since grants expire.
	borrowTimeout = 100 * time.Millisecond
	// slowAfter is the time after which a holder counts as slow. Round trips between availability zones of a region take
	// 1 to 3 ms.
	slowAfter = 10 * time.Millisecond
	// handoverDelay is the greatest age of a VM's configuration at which it still grants tokens; see core/freshness. A
	// new share record takes effect only after this delay.
	handoverDelay = 3 * time.Second
)

// Control provides the configuration that the limiter depends on.
type Control interface {
	// Contract returns the organisation's contract and its revision, or false if it is unknown or withdrawn.
	Contract(organisation ids.OrganisationID) (*contract.Contract, ids.Revision, bool)
	// Admitting reports whether this VM's configuration is confirmed.
	Admitting() bool
	// OnChange registers a function that is called with every existing and changed entry.
	OnChange(func(config.Entry))
	// Entry returns the entry held under the key.
	Entry(key string) (config.Entry, bool)
	// Propose writes an entry by compare-and-swap.
	Propose(ctx context.Context, key string, expected ids.Revision, value []byte) (ids.Revision, error)
}

// Fleet provides the live VMs and connections to them.
type Fleet interface {
	// LiveVMs returns the live VMs that are not leaving, sorted by id.
	LiveVMs() []ids.VMID
	// Peer returns the client of the VM's peer service.
	Peer(vm ids.VMID) (peerpb.PeerClient, error)
}

// Limiter enforces each organisation's rate and burst over the whole fleet.
type Limiter interface {
	// Admit spends one token of the organisation if this VM has one. It does not allocate.
	Admit(organisation ids.OrganisationID) bool
	// Wait waits for a token after Admit returned false, for 50 ms, or up to 250 ms while no holder replies.
	Wait(ctx context.Context, organisation ids.OrganisationID) bool
	// Ready reports whether this VM knows the share record. Without it no request is admitted.
	Ready() bool
	// DescribeUsage returns a text with the limit and its usage on this VM, for refusals.
	DescribeUsage(organisation ids.OrganisationID) string
	// Borrow handles the Borrow call of the peer protocol.
	Borrow(ctx context.Context, request *peerpb.BorrowRequest) (*peerpb.BorrowReply, error)
	// Run borrows tokens ahead of demand and updates the share record until the context ends.
	Run(ctx context.Context) error
}

type limiter struct {
	self              ids.VMID
	control           Control
	fleet             Fleet
	logger            log.Logger
	started           time.Time
	answeredTimeout   time.Duration // how long a request waits when a holder has replied
	unansweredTimeout time.Duration // how long it waits while none has
	replyTimeout      time.Duration // bounds a request to a holder
	wake              chan struct{} // triggers borrowing at once

	mutex  sync.Mutex // guards holder
	holder *limit.Holder

	accounts       sync.Map // ids.OrganisationID to *account
	pending        sync.Map // ids.VMID to struct{}: holders with a request in flight
	lastMembership membership
}

// New returns a limiter for this VM. rank orders VMs by rendezvous hash.
func New(self ids.VMID, control Control, fleet Fleet, rank limit.Ranker, logger log.Logger) Limiter {
	limiter := &limiter{
		self: self, control: control, fleet: fleet, started: time.Now(), wake: make(chan struct{}, 1),
		answeredTimeout: answeredWait, unansweredTimeout: unansweredWait, replyTimeout: borrowTimeout,
		logger: logger, holder: limit.NewHolder(self, rank, handoverDelay),
	}
	control.OnChange(limiter.applyEntry)
	return limiter
}

func (limiter *limiter) now() time.Duration { return time.Since(limiter.started) }

// applyEntry applies a changed configuration entry.
func (limiter *limiter) applyEntry(entry config.Entry) {
	if entry.Key == config.SharesKey {
		var shareRecord limit.ShareRecord
		if err := json.Unmarshal(entry.Value, &shareRecord); err != nil {
			level.Error(limiter.logger).Log("msg", "share record is malformed", "err", err)
			return
		}
		limiter.mutex.Lock()
		defer limiter.mutex.Unlock()
		limiter.holder.Apply(limiter.now(), shareRecord)
		return
	}
	if organisation, ok := config.ParseContractKey(entry.Key); ok {
		limiter.setBudget(organisation)
	}
}

func (limiter *limiter) setBudget(organisation ids.OrganisationID) {
	contract, _, ok := limiter.control.Contract(organisation)
	budget := limit.Budget{}
	if ok {
		budget = limit.Budget{Rate: contract.Rate, Burst: contract.Burst}
	}
	limiter.mutex.Lock()
	limiter.holder.SetBudget(limiter.now(), organisation, budget)
	validity := limiter.holder.Validity(organisation)
	limiter.mutex.Unlock()
	if !ok {
		limiter.accounts.Delete(organisation)
		return
	}
	value, loaded := limiter.accounts.LoadOrStore(organisation, newAccount(validity, budget))
	if loaded {
		value.(*account).setBudget(validity, budget)
	}
}

func (limiter *limiter) account(organisation ids.OrganisationID) (*account, bool) {
	value, ok := limiter.accounts.Load(organisation)
	if !ok {
		return nil, false
	}
	return value.(*account), true
}

// Admit implements Limiter.Admit.
func (limiter *limiter) Admit(organisation ids.OrganisationID) bool {
	account, ok := limiter.account(organisation)
	return ok && account.admit(limiter.now())
}

// Wait implements Limiter.Wait.
func (limiter *limiter) Wait(ctx context.Context, organisation ids.OrganisationID) bool {
	account, ok := limiter.account(organisation)
	if !ok {
		return false
	}
	replies := account.replies.Load()
	waiter := account.enqueue()
	limiter.borrowLocally(organisation, account)
	select {
	case <-waiter:
		return true
	case limiter.wake <- struct{}{}:
	default:
	}
	timer := time.NewTimer(limiter.answeredTimeout)
	defer timer.Stop()
	for waited := false; ; waited = true {
		select {
		case <-waiter:
			return true
		case <-timer.C:
			if !waited && account.replies.Load() == replies {
				timer.Reset(limiter.unansweredTimeout - limiter.answeredTimeout)
				continue
			}
		case <-ctx.Done():
		}
		break
	}
	return account.cancelWait(waiter)
}

// Ready implements Limiter.Ready.
func (limiter *limiter) Ready() bool {
	limiter.mutex.Lock()
	defer limiter.mutex.Unlock()
	return limiter.holder.Record().Epoch > 0
}

// DescribeUsage implements Limiter.Describe.
func (limiter *limiter) DescribeUsage(organisation ids.OrganisationID) string {
	account, ok := limiter.account(organisation)
	if !ok {
		return "no contract in force"
	}
	budget, requests, tokens := account.usage(limiter.now())
	return fmt.Sprintf("rate %g/s and burst %g over the fleet; this VM had %d requests in the last window and holds %d tokens",
		budget.Rate, budget.Burst, requests, tokens)
}

// Borrow implements Limiter.Borrow.
func (limiter *limiter) Borrow(_ context.Context, request *peerpb.BorrowRequest) (*peerpb.BorrowReply, error) {
	reply := &peerpb.BorrowReply{}
	// A VM whose configuration is not confirmed may have missed a newer share record and must not lend.
	if !limiter.control.Admitting() {
		return reply, nil
	}
	limiter.mutex.Lock()
	defer limiter.mutex.Unlock()
	reply.ShareEpoch = int64(limiter.holder.Record().Epoch)
	now := limiter.now()
	for _, item := range request.Items {
		organisation := ids.OrganisationID(item.Organisation)
		amount, validity := limiter.holder.Borrow(now, limit.Epoch(request.ShareEpoch), organisation, item.Amount)
		if amount > 0 {
			reply.Grants = append(reply.Grants, &peerpb.Grant{
				Organisation: item.Organisation, Amount: amount, ValidityMs: validity.Milliseconds(),
			})
		}
	}
	return reply, nil
}
