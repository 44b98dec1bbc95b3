package limit

import "time"

const (
	// maxGrants bounds the grants that a borrower keeps; with asks at a quarter of the validity and MaxParts
	// holders no more are alive at a time.
	maxGrants = 32
	// askSize is the number of tokens asked of one holder before the next holder is asked as well.
	askSize = 4
	// horizonFraction is the part of a grant's validity for which a borrower collects tokens ahead of demand.
	horizonFraction = 0.4
)

type grant struct {
	expires time.Duration
	amount  int64
}

// Borrower keeps the grants of one organisation on one VM and decides on admission.
type Borrower struct {
	validity time.Duration
	grants   [maxGrants]grant
	count    int
	total    int64
	window   time.Duration
	current  int64
	previous int64
	pending  int64
	waiting  int64
	next     int
}

// NewBorrower returns a borrower without grants; the validity is that of the organisation's grants.
func NewBorrower(validity time.Duration) *Borrower { return &Borrower{validity: validity} }

// SetValidity changes the validity that plans assume.
func (borrower *Borrower) SetValidity(validity time.Duration) { borrower.validity = validity }

// Admit spends one token; it returns false when no valid token is left.
func (borrower *Borrower) Admit(now time.Duration) bool {
	borrower.Arrive(now)
	return borrower.spend(now)
}

// AdmitWaiting spends one token for a request that was already counted as an arrival.
func (borrower *Borrower) AdmitWaiting(now time.Duration) bool { return borrower.spend(now) }

func (borrower *Borrower) spend(now time.Duration) bool {
	borrower.expire(now)
	if borrower.count == 0 {
		return false
	}
	// Grants are kept in order of expiry, so the tokens that would be lost first are spent first.
	first := &borrower.grants[0]
	first.amount--
	borrower.total--
	if first.amount == 0 {
		borrower.drop()
	}
	return true
}

// Receive adds a grant that was asked for at the time sent.
func (borrower *Borrower) Receive(now, sent time.Duration, amount int64, validity time.Duration) {
	borrower.expire(now)
	expires := sent + validity
	if amount <= 0 || expires <= now {
		return
	}
	borrower.total += amount
	at := borrower.count
	if borrower.count == maxGrants {
		at-- // merges with the grant that expires last, at the earlier of the two times
		borrower.grants[at].amount += amount
		borrower.grants[at].expires = min(borrower.grants[at].expires, expires)
	} else {
		borrower.grants[at] = grant{expires: expires, amount: amount}
		borrower.count++
	}
	for ; at > 0 && borrower.grants[at].expires < borrower.grants[at-1].expires; at-- {
		borrower.grants[at], borrower.grants[at-1] = borrower.grants[at-1], borrower.grants[at]
	}
}

// SetWaiting tells how many requests wait for a token.
func (borrower *Borrower) SetWaiting(waiting int64) { borrower.waiting = waiting }

// Pend adds tokens that were asked for, or takes them away with a negative amount once the answer is there.
func (borrower *Borrower) Pend(amount int64) { borrower.pending += amount }

// Plan returns how many tokens to ask for now, over all holders.
func (borrower *Borrower) Plan(now time.Duration) int64 {
	borrower.expire(now)
	horizon := float64(borrower.Demand(now)) * 2 * horizonFraction
	have := borrower.total + borrower.pending
	if have >= borrower.waiting && float64(have) >= horizon/2 {
		return 0
	}
	return max(int64(horizon)+borrower.waiting-have, 0)
}

// Split divides the amount over the holders, from a different one each time. A small amount goes to few holders, since
// tokens beyond the demand expire unspent.
func (borrower *Borrower) Split(amount int64, holders int) [MaxParts]int64 {
	var parts [MaxParts]int64
	if holders < 1 {
		return parts
	}
	size := max(askSize, amount/int64(holders))
	for ; amount > 0; amount -= size {
		parts[borrower.next%holders] += min(amount, size)
		borrower.next = (borrower.next + 1) % holders
	}
	return parts
}

// Demand returns the requests of the current window or the one before, whichever is larger.
func (borrower *Borrower) Demand(now time.Duration) int64 {
	borrower.roll(now)
	return max(borrower.previous, borrower.current)
}

// Tokens returns the number of tokens that may be spent now.
func (borrower *Borrower) Tokens(now time.Duration) int64 {
	borrower.expire(now)
	return borrower.total
}

// Arrive counts a request in the current window of half a validity.
func (borrower *Borrower) Arrive(now time.Duration) {
	borrower.roll(now)
	borrower.current++
}

func (borrower *Borrower) roll(now time.Duration) {
	length := borrower.validity / 2
	elapsed := now - borrower.window
	if length <= 0 || elapsed < length {
		return
	}
	borrower.previous = borrower.current
	if elapsed >= 2*length {
		borrower.previous = 0
	}
	borrower.current = 0
	borrower.window = now
}

func (borrower *Borrower) expire(now time.Duration) {
	for borrower.count > 0 && borrower.grants[0].expires <= now {
		borrower.total -= borrower.grants[0].amount
		borrower.drop()
	}
}

func (borrower *Borrower) drop() {
	copy(borrower.grants[:], borrower.grants[1:borrower.count])
	borrower.count--
}
