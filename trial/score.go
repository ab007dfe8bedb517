package trial

import "time"

// Weights are the shares of the criteria in a score. They add up to 1.
type Weights struct {
	Tail, Coverage, Service, Moves, Extra float64
}

// Bureau puts tail latency and coverage first.
func Bureau() Weights {
	return Weights{Tail: 0.35, Coverage: 0.35, Service: 0.1, Moves: 0.1, Extra: 0.1}
}

// Cooperative puts service by kind weighted by worth, service during the moves of failure domains, and
// extra load first.
func Cooperative() Weights {
	return Weights{Tail: 0.1, Coverage: 0.1, Service: 0.3, Moves: 0.25, Extra: 0.25}
}

const (
	// worstExtra is the share of extra shard requests that scores 0.
	worstExtra = 0.1
	// worstTail is the p99 that scores 0.
	worstTail = 250 * time.Millisecond
)

// Score combines the figures of a result to a number between 0 and 1, higher is better.
func (r *Result) Score(w Weights) float64 {
	tail := max(0, 1-r.P99.Std().Seconds()/worstTail.Seconds())
	extra := max(0, 1-r.Extra/worstExtra)
	return w.Tail*tail + w.Coverage*r.answeredShards() + w.Service*share(r.worth, r.offered) +
		w.Moves*share(r.moveWorth, r.moveOffered) + w.Extra*extra
}

// answeredShards is the share of all shards asked for that an answer covered; a refused request covers
// none.
func (r *Result) answeredShards() float64 {
	return share(float64(r.covered), float64(r.wanted))
}

// share returns 1 when there was nothing to do.
func share(done, all float64) float64 {
	if all == 0 {
		return 1
	}
	return done / all
}
