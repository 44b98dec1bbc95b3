package limiter

import (
	"context"
	"time"

	"github.com/go-kit/log/level"

	"dotterelgw/core/ids"
	"dotterelgw/core/limit"
	"dotterelgw/io/peer/peerpb"
)

// Run implements Limiter.Run.
func (limiter *limiter) Run(ctx context.Context) error {
	ticker := time.NewTicker(planInterval)
	defer ticker.Stop()
	keeper := time.NewTicker(recordInterval)
	defer keeper.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-keeper.C:
			limiter.keepRecord(ctx)
		case <-ticker.C:
			limiter.borrow(ctx)
		case <-limiter.kick:
			limiter.borrow(ctx)
		}
	}
}

// borrow asks the holders for what the organisations lack, one request per holder.
func (limiter *limiter) borrow(ctx context.Context) {
	now := limiter.now()
	batches := make(map[ids.VMID][]*peerpb.BorrowItem)
	limiter.accounts.Range(func(key, value any) bool {
		organisation := key.(ids.OrganisationID)
		holders := limiter.holders(organisation)
		account := value.(*account)
		for index, amount := range account.plan(now, len(holders)) {
			if amount == 0 || limiter.inFlight(holders[index]) {
				continue
			}
			account.pend(amount)
			batches[holders[index]] = append(batches[holders[index]], &peerpb.BorrowItem{Organisation: string(organisation), Amount: amount})
		}
		return true
	})
	for holder, items := range batches {
		limiter.ask(ctx, holder, items)
	}
}

func (limiter *limiter) holders(organisation ids.OrganisationID) []ids.VMID {
	limiter.mutex.Lock()
	defer limiter.mutex.Unlock()
	return limiter.holder.Holders(organisation)
}

func (limiter *limiter) inFlight(holder ids.VMID) bool {
	_, busy := limiter.busy.Load(holder)
	return busy
}

// ask sends one request; the VM's own part is asked directly.
func (limiter *limiter) ask(ctx context.Context, holder ids.VMID, items []*peerpb.BorrowItem) {
	limiter.mutex.Lock()
	epoch := limiter.holder.Record().Epoch
	limiter.mutex.Unlock()
	request := &peerpb.BorrowRequest{Vm: string(limiter.self), ShareEpoch: int64(epoch), Items: items}
	sent := limiter.now()
	if holder == limiter.self {
		reply, _ := limiter.Borrow(ctx, request)
		limiter.release(items)
		limiter.settle(sent, items, reply)
		return
	}
	limiter.busy.Store(holder, struct{}{})
	go func() {
		defer limiter.busy.Delete(holder)
		// What a slow holder was asked for stops counting as under way, so that waiting requests turn to other holders.
		overdue := time.AfterFunc(overdueAfter, func() { limiter.release(items) })
		reply := limiter.askPeer(ctx, holder, request)
		if overdue.Stop() {
			limiter.release(items)
		}
		limiter.settle(sent, items, reply)
	}()
}

// borrowOwn takes what the organisation lacks from the parts that this VM owns. A request that waits does it itself: on
// a busy VM the loop may come too late.
func (limiter *limiter) borrowOwn(organisation ids.OrganisationID, account *account) {
	if !limiter.control.Admitting() {
		return
	}
	sent := limiter.now()
	wanted := account.wanted(sent)
	limiter.mutex.Lock()
	epoch := limiter.holder.Record().Epoch
	granted, validity := limiter.holder.Borrow(sent, epoch, organisation, wanted)
	limiter.mutex.Unlock()
	if granted > 0 {
		account.receive(limiter.now(), sent, granted, validity)
	}
}

// release takes the asked tokens out of what is under way.
func (limiter *limiter) release(items []*peerpb.BorrowItem) {
	for _, item := range items {
		if account, ok := limiter.account(ids.OrganisationID(item.Organisation)); ok {
			account.pend(-item.Amount)
		}
	}
}

func (limiter *limiter) askPeer(ctx context.Context, holder ids.VMID, request *peerpb.BorrowRequest) *peerpb.BorrowReply {
	ctx, cancel := context.WithTimeout(ctx, limiter.timeout)
	defer cancel()
	client, err := limiter.fleet.Peer(holder)
	if err == nil {
		var reply *peerpb.BorrowReply
		if reply, err = client.Borrow(ctx, request); err == nil {
			return reply
		}
	}
	level.Debug(limiter.logger).Log("msg", "holder did not answer", "holder", holder, "err", err)
	return nil
}

// settle hands the grants out; a holder that did not answer has no reply.
func (limiter *limiter) settle(sent time.Duration, items []*peerpb.BorrowItem, reply *peerpb.BorrowReply) {
	if reply == nil {
		return
	}
	granted := make(map[string]*peerpb.Grant, len(items))
	for _, grant := range reply.GetGrants() {
		granted[grant.Organisation] = grant
	}
	now := limiter.now()
	for _, item := range items {
		account, ok := limiter.account(ids.OrganisationID(item.Organisation))
		if !ok {
			continue
		}
		grant := granted[item.Organisation]
		// A peer is not trusted to grant more than it was asked for or for longer than any grant lasts.
		amount := min(grant.GetAmount(), item.Amount)
		validity := min(time.Duration(grant.GetValidityMs())*time.Millisecond, limit.MaxValidity)
		account.receive(now, sent, amount, validity)
	}
}
