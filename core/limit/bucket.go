package limit

import "time"

// Bucket is a token bucket. The caller supplies the time; calls with an earlier time than the last add no tokens.
type Bucket struct {
	rate  float64
	burst float64
	// overdraft is the number of tokens that may be taken before they have accumulated.
	overdraft float64
	tokens    float64
	updated   time.Duration
}

// NewBucket returns an empty bucket that starts to fill at the given time.
func NewBucket(share Share, start time.Duration) Bucket {
	return Bucket{rate: share.Rate, burst: share.Burst, overdraft: share.Overdraft, updated: start}
}

// Resize changes the rate, the burst and the overdraft from now on. Tokens above the new burst are dropped.
func (bucket *Bucket) Resize(now time.Duration, share Share) {
	bucket.fill(now)
	bucket.rate, bucket.burst, bucket.overdraft = share.Rate, share.Burst, share.Overdraft
	bucket.tokens = min(bucket.tokens, bucket.burst)
}

// Take removes up to amount whole tokens and returns the number removed.
func (bucket *Bucket) Take(now time.Duration, amount int64) int64 {
	taken := min(amount, bucket.Tokens(now))
	bucket.tokens -= float64(taken)
	return taken
}

// fill adds the tokens that accumulated since the last call, up to the burst.
func (bucket *Bucket) fill(now time.Duration) {
	if now <= bucket.updated {
		return
	}
	added := bucket.rate * (now - bucket.updated).Seconds()
	bucket.updated = now
	bucket.tokens = min(bucket.tokens+added, bucket.burst)
}

// Tokens returns the number of whole tokens that could be taken now.
func (bucket *Bucket) Tokens(now time.Duration) int64 {
	bucket.fill(now)
	return max(int64(bucket.tokens+bucket.overdraft), 0)
}
