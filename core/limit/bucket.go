package limit

import "time"

// Bucket is a token bucket over a clock that the caller supplies.
type Bucket struct {
	rate    float64
	burst   float64
	tokens  float64
	updated time.Duration
}

// NewBucket returns an empty bucket that begins to fill at the given time.
func NewBucket(share Share, start time.Duration) Bucket {
	return Bucket{rate: share.Rate, burst: share.Burst, updated: start}
}

// Resize changes the rate and the burst from now on.
func (bucket *Bucket) Resize(now time.Duration, share Share) {
	bucket.fill(now)
	bucket.rate, bucket.burst = share.Rate, share.Burst
	bucket.tokens = min(bucket.tokens, bucket.burst)
}

// Take draws up to amount whole tokens and returns how many it drew.
func (bucket *Bucket) Take(now time.Duration, amount int64) int64 {
	bucket.fill(now)
	drawn := min(amount, int64(bucket.tokens))
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
	return int64(bucket.tokens)
}
