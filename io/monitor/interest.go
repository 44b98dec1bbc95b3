package monitor

import "time"

// interest records that something was requested and expires after its TTL.
type interest struct {
	ttl time.Duration
	// lastAt is the time of the last request; 0 if there was none.
	lastAt time.Duration
}

// renew records a request and reports whether the interest had expired before it.
func (interest *interest) renew(now time.Duration) (first bool) {
	first = !interest.active(now)
	interest.lastAt = now
	return first
}

// active reports whether the interest has not expired.
func (interest *interest) active(now time.Duration) bool {
	return interest.lastAt > 0 && now-interest.lastAt <= interest.ttl
}
