package gather

import "time"

// JoinSpread is the time in which the other nodes count a new one: they hear of it within one heartbeat of
// 300 ms. The rest is for nodes that are slow.
const JoinSpread = time.Second

// share returns this node's part of a bound that holds for all nodes together in any window of the length.
// A new node has no part in its first window: the others still divide by the number of nodes without it,
// and an earlier process of its own may have used its part. Where all nodes have just started, nobody has
// used any, and the new node only waits until it knows how many they are.
func (e *Engine) share(now time.Time, window time.Duration) float64 {
	wait := JoinSpread
	if !e.config.FirstStart {
		wait += window
	}
	if e.nodes < 1 || now.Sub(e.config.Start) < wait {
		return 0
	}
	return 1 / float64(e.nodes)
}

// slack returns this node's part of the slack of the budget.
func (e *Engine) slack(now time.Time) float64 {
	return e.config.Budget.Slack * e.share(now, e.config.Budget.Window)
}
