package route

import "time"

// HedgeInput describes a shard request that has not been answered yet.
type HedgeInput struct {
	// Started is the time at which its first attempt was sent.
	Started time.Time
	// Remaining and Total count the shards of the same query that are open and all of them.
	Remaining, Total int
	Latencies        *Distribution
	// Budget is the share of extra requests that hedging may send.
	Budget float64
}

// AdaptiveHedge hedges the requests that decide the tail of a query: those among the slowest
// share that the budget can pay for, in the distribution of the slice or within the query.
type AdaptiveHedge struct{}

const (
	// defaultHedgeDelay is used until the distribution has enough samples.
	defaultHedgeDelay = 20 * time.Millisecond
	// earliestQuantile is the latency that a request must have passed before it counts as one
	// of the last of its query; without it a query of few shards would hedge at once.
	earliestQuantile = 0.9
)

// Decide returns the time at which the hedge is due.
func (AdaptiveHedge) Decide(_ time.Time, in HedgeInput) time.Time {
	delay, ok := in.Latencies.Quantile(1 - in.Budget)
	if !ok {
		return in.Started.Add(defaultHedgeDelay)
	}
	if float64(in.Remaining) <= in.Budget*float64(in.Total) {
		early, _ := in.Latencies.Quantile(earliestQuantile)
		delay = min(delay, early)
	}
	return in.Started.Add(delay)
}

// FixedHedge is the baseline that hedges after the same delay always.
type FixedHedge struct {
	Delay time.Duration
}

// Decide returns the time at which the hedge is due.
func (p FixedHedge) Decide(_ time.Time, in HedgeInput) time.Time {
	return in.Started.Add(p.Delay)
}

// NoHedge is the baseline without hedging.
type NoHedge struct{}

// Decide returns the zero time: never.
func (NoHedge) Decide(time.Time, HedgeInput) time.Time {
	return time.Time{}
}
