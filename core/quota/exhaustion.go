package quota

import "time"

const (
	// maxEmptyAnswers is the number of lenders in a row that had too little after which the budget counts as used up in the
	// fleet. Lenders that reported most are asked first, so further ones rarely have more.
	maxEmptyAnswers = 3
	// minAskInterval and maxAskInterval bound the average time between two requests of one VM for an organisation whose budget is used
	// up.
	minAskInterval = 5 * time.Millisecond
	maxAskInterval = 400 * time.Millisecond
	// minProbeInterval is the least interval of a VM that doesn't ask ahead. It is close to the longest one, so that a VM that was
	// lucky before doesn't get much more than others.
	minProbeInterval = 100 * time.Millisecond
	// initialAskInterval is the first interval after the budget was found used up.
	initialAskInterval = 50 * time.Millisecond
	// maxAsks is the number of lenders that are asked at once while the budget is used up.
	maxAsks = 8
	// exhaustionTTL is how long the interval and the count of empty answers are kept after the budget was used up.
	exhaustionTTL = time.Second
	// answerMargin is how long the budget counts as used up after the next request is due: the time until the VM plans its
	// requests and has the answer.
	answerMargin = 60 * time.Millisecond
)

// exhaustion is what a VM knows about whether the budget of an organisation is used up in the fleet. The zero value stands for a
// budget that is not.
type exhaustion struct {
	// empty counts the answers with too little since the last one with enough.
	empty int
	// emptyAt is the time of the last of them.
	emptyAt time.Duration
	// unanswered counts the waits in vain since the last answer.
	unanswered int
	// until is when the knowledge that the budget is used up expires.
	until time.Duration
	// interval is the average time between two requests while the budget is used up.
	interval time.Duration
	// nextAsk is when the next request is due.
	nextAsk time.Duration
	// grown is when the interval grew last. Answers that arrive together count once.
	grown time.Duration
}

// usedUp reports whether the budget is known to be used up.
func (exhaustion *exhaustion) usedUp(now time.Duration) bool { return now < exhaustion.until }

// lasting reports whether the budget was used up lately and no lender has had more than was asked for since.
func (exhaustion *exhaustion) lasting(now time.Duration) bool {
	return exhaustion.until > 0 && now <= exhaustion.until+exhaustionTTL
}

// scarce reports whether the last lender had too little.
func (exhaustion *exhaustion) scarce() bool { return exhaustion.empty > 0 }

// asksDue returns the number of lenders to ask now.
func (exhaustion *exhaustion) asksDue(now time.Duration) int {
	if now < exhaustion.nextAsk {
		return 0
	}
	return min(1+int((now-exhaustion.nextAsk)/max(exhaustion.interval, minAskInterval)), maxAsks)
}

// asked records that some lenders were asked.
func (exhaustion *exhaustion) asked(now time.Duration, lenders int) {
	exhaustion.nextAsk = max(exhaustion.nextAsk+time.Duration(lenders)*exhaustion.interval, now)
}

// answered evaluates the answer of one of several lenders. The budget has room again only once a lender has more than was asked
// for. After an answer that was just enough, one empty answer suffices to count the budget as used up again. Ahead reports whether this VM
// has so much demand that it asks ahead; otherwise the next operation after the interval does.
func (exhaustion *exhaustion) answered(now time.Duration, asked int64, item LoanItem, lenders int, ahead bool) {
	if now > exhaustion.until+exhaustionTTL {
		exhaustion.reset()
	}
	exhaustion.unanswered = 0
	threshold := emptyThreshold(lenders)
	switch {
	case item.Amount >= asked && item.Remaining > 0:
		exhaustion.empty, exhaustion.until = 0, 0
		exhaustion.interval /= 2
	case item.Amount >= asked:
		exhaustion.empty = min(exhaustion.empty, threshold-1)
		exhaustion.interval /= 2
	default:
		exhaustion.empty++
		exhaustion.emptyAt = now
		if exhaustion.empty >= threshold {
			exhaustion.confirm(now, item.Amount > 0, item.Pause(), ahead)
		}
	}
}

// emptyThreshold returns the number of lenders in a row without enough after which the budget counts as used up.
func emptyThreshold(lenders int) int { return min(lenders, maxEmptyAnswers) }

// reset forgets what earlier answers showed.
func (exhaustion *exhaustion) reset() {
	exhaustion.empty, exhaustion.interval, exhaustion.until = 0, 0, 0
}

// waitFailed records that an operation waited for a loan in vain. A wait without any answer counts like an empty answer, since the lender
// or a datagram may be lost, unless this VM may send no more requests.
func (exhaustion *exhaustion) waitFailed(now time.Duration, maySend bool, lenders int, ahead bool) {
	if exhaustion.usedUp(now) {
		return
	}
	exhaustion.unanswered++
	empty := now <= exhaustion.emptyAt+answerTimeout || exhaustion.unanswered >= emptyThreshold(lenders)
	if empty || !maySend {
		exhaustion.confirm(now, false, 0, ahead)
	}
}

// confirm records that the budget is used up. The interval grows while nothing is lent, and shrinks when something is, so that a VM asks
// about once for each operation that it can expect.
func (exhaustion *exhaustion) confirm(now time.Duration, lent bool, pause time.Duration, ahead bool) {
	switch {
	case exhaustion.interval == 0:
		exhaustion.interval = initialAskInterval
		exhaustion.grown = now
	case lent:
		exhaustion.interval /= 2
	case now >= exhaustion.grown+exhaustion.interval:
		exhaustion.interval *= 2
		exhaustion.grown = now
	}
	shortest := minProbeInterval
	if ahead {
		shortest = minAskInterval
	}
	exhaustion.interval = min(max(exhaustion.interval, shortest), maxAskInterval)
	if !exhaustion.usedUp(now) {
		exhaustion.nextAsk = now + exhaustion.interval
	}
	exhaustion.nextAsk = max(exhaustion.nextAsk, now+pause)
	exhaustion.until = max(exhaustion.nextAsk, now)
	if ahead {
		exhaustion.until += answerMargin
	}
}
