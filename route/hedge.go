package route

import "time"

// HedgeInput describes an outstanding shard request.
type HedgeInput struct {
	// Started is the time at which its first attempt was sent.
	Started time.Time
	// Remaining is the number of shards of the query without a response; Total is the number of all its
	// shards.
	Remaining, Total int
	Latencies        *Distribution
	// Budget is the maximum share of extra requests for hedging, for example 0.02 for 2%.
	Budget float64
}

// AdaptiveHedge hedges the requests that determine the tail latency of a query: those in the slowest
// share that the budget covers, either in the latency distribution of the slice or among the shards of
// the query.
type AdaptiveHedge struct{}

const (
	// defaultHedgeDelay applies until the distribution has enough samples.
	defaultHedgeDelay = 20 * time.Millisecond
	// minHedgeQuantile is the latency quantile that one of the last outstanding requests of a query must
	// exceed before it is hedged. Without it, a query of few shards would hedge immediately.
	minHedgeQuantile = 0.9
)

// Decide returns the time at which the hedge is due.
func (AdaptiveHedge) Decide(_ time.Time, in HedgeInput) time.Time {
	delay, ok := in.Latencies.Quantile(1 - in.Budget)
	if !ok {
		return in.Started.Add(defaultHedgeDelay)
	}
	if float64(in.Remaining) <= in.Budget*float64(in.Total) {
		earliest, _ := in.Latencies.Quantile(minHedgeQuantile)
		delay = min(delay, earliest)
	}
	return in.Started.Add(delay)
}

// FixedHedge is a baseline policy that always hedges after the same delay.
type FixedHedge struct {
	Delay time.Duration
}

// Decide returns the time at which the hedge is due.
func (p FixedHedge) Decide(_ time.Time, in HedgeInput) time.Time {
	return in.Started.Add(p.Delay)
}

// NoHedge is a baseline policy that never hedges.
type NoHedge struct{}

// Decide returns the zero time, which disables the hedge.
func (NoHedge) Decide(time.Time, HedgeInput) time.Time {
	return time.Time{}
}
