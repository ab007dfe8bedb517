package route

import (
	"math/rand/v2"
	"time"
)

// Budget is a token bucket that is filled by first requests and emptied by extra ones, so that
// extra load never exceeds a share of the load that callers cause.
type Budget struct {
	share  float64
	burst  float64
	tokens float64
}

// NewBudget returns a budget that allows the share of extra requests, 0.02 for 2%, with at most
// burst of them at once. It starts empty, so the bound holds from the first request.
func NewBudget(share, burst float64) *Budget {
	return &Budget{share: share, burst: burst}
}

// SetShare changes the allowed share for the requests that follow.
func (b *Budget) SetShare(share float64) {
	b.share = share
}

// Earn records n first requests.
func (b *Budget) Earn(n int) {
	b.tokens = min(b.burst, b.tokens+b.share*float64(n))
}

// Spend takes one token. It returns false when the budget is used up.
func (b *Budget) Spend() bool {
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}

const (
	// firstBackoff is the upper bound of the delay before the first retry.
	firstBackoff = 2 * time.Millisecond
	// longestBackoff bounds the delay of later retries.
	longestBackoff = 100 * time.Millisecond
)

// Backoff returns the delay before retry n, counted from 1, with full jitter.
func Backoff(r *rand.Rand, n int) time.Duration {
	bound := min(longestBackoff, firstBackoff<<min(n-1, 10))
	return time.Duration(r.Int64N(int64(bound) + 1))
}
