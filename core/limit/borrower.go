package limit

import "time"

const (
	// maxGrants is the maximum number of grants that a borrower keeps. With requests every quarter of the validity and
	// MaxParts holders, no more are valid at a time.
	maxGrants = 32
	// minRequest is the number of tokens requested from one holder before the next holder is sent a request as well.
	minRequest = 4
	// horizonFraction is the fraction of a grant's validity for which a borrower requests tokens ahead of demand.
	horizonFraction = 0.4
)

type grant struct {
	expires time.Duration
	amount  int64
}

// Borrower keeps the grants of one organisation on one VM and admits requests against them. It is not safe for concurrent
// use.
type Borrower struct {
	validity    time.Duration
	grants      [maxGrants]grant // the first count are in use, in order of expiry
	count       int
	total       int64 // unspent tokens in all grants
	windowStart time.Duration
	current     int64 // arrivals in the current window
	previous    int64 // arrivals in the window before
	pending     int64 // tokens requested from holders and not yet answered
	waiting     int64 // requests that wait for a token
	nextHolder  int   // index of the holder that gets the next part of a request
}

// NewBorrower returns a borrower without grants. The validity is that of the organisation's grants.
func NewBorrower(validity time.Duration) *Borrower { return &Borrower{validity: validity} }

// SetValidity changes the validity of the grants, from which the length of the demand window is derived.
func (borrower *Borrower) SetValidity(validity time.Duration) { borrower.validity = validity }

// Admit counts an arrival and spends one token. It returns false if no valid token is left.
func (borrower *Borrower) Admit(now time.Duration) bool {
	borrower.CountArrival(now)
	return borrower.spend(now)
}

// AdmitWaiting spends one token for a request that was already counted as an arrival.
func (borrower *Borrower) AdmitWaiting(now time.Duration) bool { return borrower.spend(now) }

func (borrower *Borrower) spend(now time.Duration) bool {
	borrower.expire(now)
	if borrower.count == 0 {
		return false
	}
	// Grants are in order of expiry, so the tokens that expire first are spent first.
	first := &borrower.grants[0]
	first.amount--
	borrower.total--
	if first.amount == 0 {
		borrower.removeFirst()
	}
	return true
}

// Receive adds a grant whose request was sent at the time sent. The validity is measured from then.
func (borrower *Borrower) Receive(now, sent time.Duration, amount int64, validity time.Duration) {
	borrower.expire(now)
	expires := sent + validity
	if amount <= 0 || expires <= now {
		return
	}
	borrower.total += amount
	at := borrower.count
	if borrower.count == maxGrants {
		at-- // merge into the grant that expires last, with the earlier of the two expiry times
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

// SetWaiting sets the number of requests that wait for a token.
func (borrower *Borrower) SetWaiting(waiting int64) { borrower.waiting = waiting }

// AddPending adds the amount to the pending tokens. It is positive when tokens are requested, and negative once the request is
// answered.
func (borrower *Borrower) AddPending(amount int64) { borrower.pending += amount }

// TokensToRequest returns the number of tokens to request now from all holders together.
func (borrower *Borrower) TokensToRequest(now time.Duration) int64 {
	borrower.expire(now)
	horizon := float64(borrower.Demand(now)) * 2 * horizonFraction
	available := borrower.total + borrower.pending
	if available >= borrower.waiting && float64(available) >= horizon/2 {
		return 0
	}
	return max(int64(horizon)+borrower.waiting-available, 0)
}

// Split divides the amount over the holders and returns the tokens to request from each. Each call continues after the
// holder at which the previous one ended. A small amount goes to few holders, since tokens beyond the demand expire unspent.
func (borrower *Borrower) Split(amount int64, holders int) [MaxParts]int64 {
	var parts [MaxParts]int64
	if holders < 1 {
		return parts
	}
	size := max(minRequest, amount/int64(holders))
	for ; amount > 0; amount -= size {
		parts[borrower.nextHolder%holders] += min(amount, size)
		borrower.nextHolder = (borrower.nextHolder + 1) % holders
	}
	return parts
}

// Demand returns the number of arrivals in the current or the previous window, whichever is larger.
func (borrower *Borrower) Demand(now time.Duration) int64 {
	borrower.rollWindow(now)
	return max(borrower.previous, borrower.current)
}

// Tokens returns the number of unspent tokens in valid grants.
func (borrower *Borrower) Tokens(now time.Duration) int64 {
	borrower.expire(now)
	return borrower.total
}

// CountArrival counts an arrival in the current window. A window is half a validity long.
func (borrower *Borrower) CountArrival(now time.Duration) {
	borrower.rollWindow(now)
	borrower.current++
}

func (borrower *Borrower) rollWindow(now time.Duration) {
	length := borrower.validity / 2
	elapsed := now - borrower.windowStart
	if length <= 0 || elapsed < length {
		return
	}
	borrower.previous = borrower.current
	if elapsed >= 2*length {
		borrower.previous = 0
	}
	borrower.current = 0
	borrower.windowStart = now
}

func (borrower *Borrower) expire(now time.Duration) {
	for borrower.count > 0 && borrower.grants[0].expires <= now {
		borrower.total -= borrower.grants[0].amount
		borrower.removeFirst()
	}
}

func (borrower *Borrower) removeFirst() {
	copy(borrower.grants[:], borrower.grants[1:borrower.count])
	borrower.count--
}
