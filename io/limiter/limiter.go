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
	// shortWait is how long a request waits for a grant when holders answer but have none to give. A longer one would
	// hold up the callers of an organisation over its rate, whose later requests are within it again.
	shortWait = 50 * time.Millisecond
	// longestWait is how long it waits while no holder has answered: on a busy VM a round trip takes longer than shortWait.
	longestWait = 250 * time.Millisecond
	// planInterval is the time between two looks at the demand; a request that finds no token triggers one at once.
	planInterval = 5 * time.Millisecond
	// borrowTimeout bounds a request to a holder; later answers are of little use, since grants expire.
	borrowTimeout = 100 * time.Millisecond
	// overdueAfter is the time after which a holder counts as slow; round trips between availability zones of a region
	// take 1 to 3 ms.
	overdueAfter = 10 * time.Millisecond
	// handover is the longest age of a configuration check with which a VM still lends; see core/freshness.
	handover = 3 * time.Second
)

// Control is the configuration that the limiter follows.
type Control interface {
	// Contract returns the organisation's contract and its revision; false when unknown or withdrawn.
	Contract(organisation ids.OrganisationID) (*contract.Contract, ids.Revision, bool)
	// Admitting tells whether this VM's configuration is confirmed.
	Admitting() bool
	// OnChange registers a function that is called for each entry.
	OnChange(func(config.Entry))
	// Entry returns the entry held under the key.
	Entry(key string) (config.Entry, bool)
	// Propose writes an entry by compare-and-swap.
	Propose(ctx context.Context, key string, expected ids.Revision, value []byte) (ids.Revision, error)
}

// Fleet tells which VMs are live and how to reach them.
type Fleet interface {
	// LiveVMs returns the live VMs that are not leaving, in rising order.
	LiveVMs() []ids.VMID
	// Peer returns the client of the VM's peer service.
	Peer(vm ids.VMID) (peerpb.PeerClient, error)
}

// Limiter admits requests within each organisation's rate and burst over the whole fleet.
type Limiter interface {
	// Admit spends one token of the organisation if this VM has one; it does not allocate.
	Admit(organisation ids.OrganisationID) bool
	// Wait waits for a token after Admit returned false: 50 ms, or up to 250 ms while no holder answers.
	Wait(ctx context.Context, organisation ids.OrganisationID) bool
	// Ready tells whether this VM knows the share record, without which nothing is admitted.
	Ready() bool
	// Describe returns the limit and its usage on this VM in words.
	Describe(organisation ids.OrganisationID) string
	// Borrow implements the peer call of the same name.
	Borrow(ctx context.Context, request *peerpb.BorrowRequest) (*peerpb.BorrowReply, error)
	// Run borrows ahead of demand until the context ends.
	Run(ctx context.Context) error
}

type limiter struct {
	self    ids.VMID
	control Control
	fleet   Fleet
	logger  log.Logger
	began   time.Time
	short   time.Duration // how long a request waits when holders answer
	wait    time.Duration // how long it waits while none does
	timeout time.Duration // how long a holder may take to answer
	kick    chan struct{}

	mutex  sync.Mutex // guards holder
	holder *limit.Holder

	accounts sync.Map // ids.OrganisationID to *account
	busy     sync.Map // ids.VMID to struct{}: holders with a request in flight
	records  recordKeeper
}

// New returns a limiter for this VM; rank orders VMs by rendezvous hash.
func New(self ids.VMID, control Control, fleet Fleet, rank limit.Ranker, logger log.Logger) Limiter {
	limiter := &limiter{
		self: self, control: control, fleet: fleet, began: time.Now(), kick: make(chan struct{}, 1),
		short: shortWait, wait: longestWait, timeout: borrowTimeout,
		logger: logger, holder: limit.NewHolder(self, rank, handover),
	}
	control.OnChange(limiter.apply)
	return limiter
}

func (limiter *limiter) now() time.Duration { return time.Since(limiter.began) }

// apply follows one changed configuration entry.
func (limiter *limiter) apply(entry config.Entry) {
	if entry.Key == config.SharesKey {
		var record limit.Record
		if err := json.Unmarshal(entry.Value, &record); err != nil {
			level.Error(limiter.logger).Log("msg", "share record is malformed", "err", err)
			return
		}
		limiter.mutex.Lock()
		defer limiter.mutex.Unlock()
		limiter.holder.Apply(limiter.now(), record)
		return
	}
	if organisation, ok := config.ContractOf(entry.Key); ok {
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
	answers := account.answers.Load()
	waiter := account.join()
	limiter.borrowOwn(organisation, account)
	select {
	case <-waiter:
		return true
	case limiter.kick <- struct{}{}:
	default:
	}
	timer := time.NewTimer(limiter.short)
	defer timer.Stop()
	for waited := false; ; waited = true {
		select {
		case <-waiter:
			return true
		case <-timer.C:
			if !waited && account.answers.Load() == answers {
				timer.Reset(limiter.wait - limiter.short)
				continue
			}
		case <-ctx.Done():
		}
		break
	}
	return account.leave(waiter)
}

// Ready implements Limiter.Ready.
func (limiter *limiter) Ready() bool {
	limiter.mutex.Lock()
	defer limiter.mutex.Unlock()
	return limiter.holder.Record().Epoch > 0
}

// Describe implements Limiter.Describe.
func (limiter *limiter) Describe(organisation ids.OrganisationID) string {
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
