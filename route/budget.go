package route

import (
	"math/rand/v2"
	"time"
)

// Budget is a token bucket for retries or hedges. First requests add tokens and extra requests
// consume them, so extra load never exceeds a fixed share of the load from callers.
type Budget struct {
	share  float64
	burst  float64
	tokens float64
}

// NewBudget returns a budget that allows the given share of extra requests, for example 0.02 for 2%,
// and at most burst of them at once. It starts empty, so the bound holds from the first request.
func NewBudget(share, burst float64) *Budget {
	return &Budget{share: share, burst: burst}
}

// SetShare changes the allowed share for subsequent requests.
func (b *Budget) SetShare(share float64) {
	b.share = share
}

// Deposit adds the tokens for n first requests.
func (b *Budget) Deposit(n int) {
	b.tokens = min(b.burst, b.tokens+b.share*float64(n))
}

// Withdraw consumes one token. It returns false if less than one token is left.
func (b *Budget) Withdraw() bool {
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}

const (
	// initialBackoff is the upper bound of the delay before the first retry. It doubles with each retry.
	initialBackoff = 2 * time.Millisecond
	// maxBackoff is the upper bound of the delay before any retry.
	maxBackoff = 100 * time.Millisecond
)

// Backoff returns the exponential backoff before retry n, counted from 1, with full jitter.
func Backoff(r *rand.Rand, n int) time.Duration {
	bound := min(maxBackoff, initialBackoff<<min(n-1, 10))
	return time.Duration(r.Int64N(int64(bound) + 1))
}
