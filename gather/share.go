package gather

import "time"

// JoinPropagationTime is the time within which all other nodes count a new node. They receive the new member within one
// heartbeat interval of 300 ms; the rest is a margin for slow nodes.
const JoinPropagationTime = time.Second

// share returns this node's fraction of a limit that holds for all nodes together in any window of the given length. It
// is 0 while the number of nodes is unknown. The fraction of a new node is also 0 during JoinPropagationTime and one
// window after it: other nodes may still divide the limit by the number of nodes without it, and an earlier process of
// this node may have used its share. With FirstStart all nodes have started at the same time and none has used its
// share, so the fraction is 0 only during JoinPropagationTime.
func (e *Engine) share(now time.Time, window time.Duration) float64 {
	wait := JoinPropagationTime
	if !e.config.FirstStart {
		wait += window
	}
	if e.nodes < 1 || now.Sub(e.config.Start) < wait {
		return 0
	}
	return 1 / float64(e.nodes)
}

// slack returns this node's share of the slack of the retry budget.
func (e *Engine) slack(now time.Time) float64 {
	return e.config.Budget.Slack * e.share(now, e.config.Budget.Window)
}
