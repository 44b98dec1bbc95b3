package quota

import "time"

// maxRetryAfter bounds the pause that a caller is told; callers of most routes give up soon after.
const maxRetryAfter = 2 * time.Second

// returns spreads the callers that were refused over the time in which operations are earned, in the order of their refusals. The zero value
// is ready to use.
type returns struct {
	// next is when the last caller that was refused is expected back.
	next time.Duration
}

// after returns how long a caller that is refused now should wait. Rate is the number of operations a second that this VM can
// expect to admit. Each caller gets a later time than those refused before it, until maxRetryAfter is reached.
func (returns *returns) after(now time.Duration, rate float64) time.Duration {
	if rate <= 0 {
		return maxRetryAfter
	}
	spacing := min(time.Duration(float64(time.Second)/rate), maxRetryAfter)
	returns.next = min(max(returns.next, now)+spacing, now+maxRetryAfter)
	return returns.next - now
}
