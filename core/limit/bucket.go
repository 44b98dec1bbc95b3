package limit

import "time"

// Bucket is a token bucket over a clock that the caller supplies.
type Bucket struct {
	rate  float64
	burst float64
	// overdraft is the number of tokens that may be drawn before they are there.
	overdraft float64
	tokens    float64
	updated   time.Duration
}

// NewBucket returns an empty bucket that begins to fill at the given time.
func NewBucket(share Share, start time.Duration) Bucket {
	return Bucket{rate: share.Rate, burst: share.Burst, overdraft: share.Overdraft, updated: start}
}

// Resize changes the rate and the burst from now on.
func (bucket *Bucket) Resize(now time.Duration, share Share) {
	bucket.fill(now)
	bucket.rate, bucket.burst, bucket.overdraft = share.Rate, share.Burst, share.Overdraft
	bucket.tokens = min(bucket.tokens, bucket.burst)
}

// Take draws up to amount whole tokens and returns how many it drew.
func (bucket *Bucket) Take(now time.Duration, amount int64) int64 {
	drawn := min(amount, bucket.Tokens(now))
	bucket.tokens -= float64(drawn)
	return drawn
}

// fill adds the tokens of the time since the last call.
func (bucket *Bucket) fill(now time.Duration) {
	if now <= bucket.updated {
		return
	}
	earned := bucket.rate * (now - bucket.updated).Seconds()
	bucket.updated = now
	bucket.tokens = min(bucket.tokens+earned, bucket.burst)
}

// Tokens returns the number of whole tokens that could be drawn now.
func (bucket *Bucket) Tokens(now time.Duration) int64 {
	bucket.fill(now)
	return max(int64(bucket.tokens+bucket.overdraft), 0)
}
