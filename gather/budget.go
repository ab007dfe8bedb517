package gather

import "time"

// BudgetConfig bounds the arrivals at a service beyond the first of each request. All nodes
// together may send Ratio times the requests of a window plus Slack in any window. Each node keeps
// to its own requests and an equal part of the slack, so that the bound holds without messages.
type BudgetConfig struct {
	Ratio  float64
	Slack  float64
	Window time.Duration
}

// bucketsPerWindow is the resolution with which a window slides. One bucket more than the window is
// counted, so that a budget is never above the bound.
const bucketsPerWindow = 20

// budgetShare is the part of the bound that is used. The bound's windows begin at other times than those
// of this node, and hold fewer requests when the traffic swings.
const budgetShare = 0.9

// budget counts the requests and extra arrivals of one pool in a sliding window.
type budget struct {
	first [bucketsPerWindow + 1]int
	extra [bucketsPerWindow + 1]int
	// last is the number of the newest bucket since the zero time.
	last int64
}

func bucketOf(c *BudgetConfig, t time.Time) int64 {
	return t.UnixNano() / int64(c.Window/bucketsPerWindow)
}

func (b *budget) slide(c *BudgetConfig, now time.Time) {
	at := bucketOf(c, now)
	if at <= b.last {
		return
	}
	for i := max(b.last+1, at-bucketsPerWindow); i <= at; i++ {
		b.first[i%int64(len(b.first))] = 0
		b.extra[i%int64(len(b.extra))] = 0
	}
	b.last = at
}

// request counts a first arrival.
func (b *budget) request(c *BudgetConfig, now time.Time) {
	if c.Window <= 0 {
		return
	}
	b.slide(c, now)
	b.first[b.last%int64(len(b.first))]++
}

// spend takes an extra arrival out of the budget, if one is left. The slack is this node's part.
func (b *budget) spend(c *BudgetConfig, now time.Time, slack float64) bool {
	if c.Window <= 0 {
		return true
	}
	extra, limit := b.sum(c, now, slack)
	if float64(extra+1) > limit {
		return false
	}
	b.extra[b.last%int64(len(b.extra))]++
	return true
}

// used returns the part of the budget that is spent, between 0 and 1.
func (b *budget) used(c *BudgetConfig, now time.Time, slack float64) float64 {
	if c.Window <= 0 {
		return 0
	}
	extra, limit := b.sum(c, now, slack)
	if limit <= 0 {
		return 1
	}
	return min(1, float64(extra)/limit)
}

// sum returns the extra arrivals of the window and the most that are allowed.
func (b *budget) sum(c *BudgetConfig, now time.Time, slack float64) (extra int, limit float64) {
	b.slide(c, now)
	first := 0
	for i := range b.first {
		first += b.first[i]
		extra += b.extra[i]
	}
	// The oldest bucket is in the window only in part.
	first -= b.first[(b.last+1)%int64(len(b.first))]
	return extra, budgetShare * (c.Ratio*float64(first) + slack)
}

// refund gives back an extra arrival of the given time that did not reach a server.
func (b *budget) refund(c *BudgetConfig, spent time.Time) {
	if c.Window <= 0 {
		return
	}
	at := bucketOf(c, spent)
	if i := at % int64(len(b.extra)); at > b.last-int64(len(b.extra)) && b.extra[i] > 0 {
		b.extra[i]--
	}
}
