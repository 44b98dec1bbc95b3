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
	borrowTicker := time.NewTicker(borrowInterval)
	defer borrowTicker.Stop()
	recordTicker := time.NewTicker(recordInterval)
	defer recordTicker.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-recordTicker.C:
			limiter.updateRecord(ctx)
		case <-borrowTicker.C:
			limiter.borrow(ctx)
		case <-limiter.wake:
			limiter.borrow(ctx)
		}
	}
}

// borrow requests the tokens that the organisations need, in one request per holder.
func (limiter *limiter) borrow(ctx context.Context) {
	now := limiter.now()
	batches := make(map[ids.VMID][]*peerpb.BorrowItem)
	limiter.accounts.Range(func(key, value any) bool {
		organisation := key.(ids.OrganisationID)
		holders := limiter.holders(organisation)
		account := value.(*account)
		for index, amount := range account.planPerHolder(now, len(holders)) {
			if amount == 0 || limiter.requestInFlight(holders[index]) {
				continue
			}
			account.addInFlight(amount)
			batches[holders[index]] = append(batches[holders[index]], &peerpb.BorrowItem{Organisation: string(organisation), Amount: amount})
		}
		return true
	})
	for holder, items := range batches {
		limiter.sendRequest(ctx, holder, items)
	}
}

func (limiter *limiter) holders(organisation ids.OrganisationID) []ids.VMID {
	limiter.mutex.Lock()
	defer limiter.mutex.Unlock()
	return limiter.holder.Holders(organisation)
}

// requestInFlight reports whether a request to the holder awaits its reply.
func (limiter *limiter) requestInFlight(holder ids.VMID) bool {
	_, pending := limiter.pending.Load(holder)
	return pending
}

// sendRequest sends a request to a holder and applies the reply in the background. For this VM itself it does so
// directly.
func (limiter *limiter) sendRequest(ctx context.Context, holder ids.VMID, items []*peerpb.BorrowItem) {
	limiter.mutex.Lock()
	epoch := limiter.holder.Record().Epoch
	limiter.mutex.Unlock()
	request := &peerpb.BorrowRequest{Vm: string(limiter.self), ShareEpoch: int64(epoch), Items: items}
	sent := limiter.now()
	if holder == limiter.self {
		reply, _ := limiter.Borrow(ctx, request)
		limiter.removeInFlight(items)
		limiter.applyReply(sent, items, reply)
		return
	}
	limiter.pending.Store(holder, struct{}{})
	go func() {
		defer limiter.pending.Delete(holder)
		// Tokens requested from a slow holder stop counting as in flight, so that waiting requests use other holders.
		overdue := time.AfterFunc(slowAfter, func() { limiter.removeInFlight(items) })
		reply := limiter.requestFromPeer(ctx, holder, request)
		if overdue.Stop() {
			limiter.removeInFlight(items)
		}
		limiter.applyReply(sent, items, reply)
	}()
}

// borrowLocally grants the tokens that the organisation needs from the parts that this VM holds. Waiting requests call it
// directly, since on a busy VM the loop of Run may be too late.
func (limiter *limiter) borrowLocally(organisation ids.OrganisationID, account *account) {
	if !limiter.control.Admitting() {
		return
	}
	sent := limiter.now()
	plannedAmount := account.plannedAmount(sent)
	limiter.mutex.Lock()
	epoch := limiter.holder.Record().Epoch
	granted, validity := limiter.holder.Borrow(sent, epoch, organisation, plannedAmount)
	limiter.mutex.Unlock()
	if granted > 0 {
		account.receiveGrant(limiter.now(), sent, granted, validity)
	}
}

// removeInFlight subtracts the requested tokens from those in flight.
func (limiter *limiter) removeInFlight(items []*peerpb.BorrowItem) {
	for _, item := range items {
		if account, ok := limiter.account(ids.OrganisationID(item.Organisation)); ok {
			account.addInFlight(-item.Amount)
		}
	}
}

func (limiter *limiter) requestFromPeer(ctx context.Context, holder ids.VMID, request *peerpb.BorrowRequest) *peerpb.BorrowReply {
	ctx, cancel := context.WithTimeout(ctx, limiter.replyTimeout)
	defer cancel()
	client, err := limiter.fleet.Peer(holder)
	if err == nil {
		var reply *peerpb.BorrowReply
		if reply, err = client.Borrow(ctx, request); err == nil {
			return reply
		}
	}
	level.Debug(limiter.logger).Log("msg", "borrowing from holder failed", "holder", holder, "err", err)
	return nil
}

// applyReply adds the granted tokens to the accounts. reply is nil if the holder did not reply.
func (limiter *limiter) applyReply(sent time.Duration, items []*peerpb.BorrowItem, reply *peerpb.BorrowReply) {
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
		// Do not trust a peer to stay within the requested amount and the longest validity of a grant.
		amount := min(grant.GetAmount(), item.Amount)
		validity := min(time.Duration(grant.GetValidityMs())*time.Millisecond, limit.MaxValidity)
		account.receiveGrant(now, sent, amount, validity)
	}
}
