package trial

import "time"

// Weights are the weights of the criteria in a score. They add up to 1.
type Weights struct {
	Tail, Coverage, Service, DomainChanges, Extra float64
}

// Bureau returns the weights of the Bureau, whose priorities are tail latency and coverage.
func Bureau() Weights {
	return Weights{Tail: 0.35, Coverage: 0.35, Service: 0.1, DomainChanges: 0.1, Extra: 0.1}
}

// Cooperative returns the weights of the Cooperative, whose priorities are the share of answered requests
// weighted by worth, the same share while a failure domain is out or returning, and low extra load.
func Cooperative() Weights {
	return Weights{Tail: 0.1, Coverage: 0.1, Service: 0.3, DomainChanges: 0.25, Extra: 0.25}
}

const (
	// zeroScoreExtra is the share of extra shard requests at which the criterion scores 0.
	zeroScoreExtra = 0.1
	// zeroScoreP99 is the p99 latency at which the criterion scores 0.
	zeroScoreP99 = 250 * time.Millisecond
)

// Score returns the weighted score of a result, between 0 and 1; higher is better.
func (r *Result) Score(w Weights) float64 {
	tail := max(0, 1-r.P99.Std().Seconds()/zeroScoreP99.Seconds())
	extra := max(0, 1-r.ExtraShare/zeroScoreExtra)
	return w.Tail*tail + w.Coverage*r.shardCoverage() + w.Service*ratio(r.answeredWorth, r.offeredWorth) +
		w.DomainChanges*ratio(r.changeAnsweredWorth, r.changeOfferedWorth) + w.Extra*extra
}

// shardCoverage returns the share of all requested shards that were covered by an answer. A refused
// request covers none.
func (r *Result) shardCoverage() float64 {
	return ratio(float64(r.shardsCovered), float64(r.shardsTotal))
}

// ratio returns done / all, or 1 if all is 0.
func ratio(done, all float64) float64 {
	if all == 0 {
		return 1
	}
	return done / all
}
