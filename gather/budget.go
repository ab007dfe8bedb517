package gather

import "time"

// BudgetConfig configures the retry budget, which limits the extra arrivals at a service: those beyond the first of
// each request. In any window, all nodes together may send at most Ratio times the requests of the window plus Slack
// extra arrivals. Each node counts its own requests and takes an equal share of the slack, so the limit holds without
// coordination. A Window of 0 or less disables the limit.
type BudgetConfig struct {
	Ratio  float64
	Slack  float64
	Window time.Duration
}

// bucketsPerWindow is the number of buckets in the sliding window. Extra arrivals are counted over one more bucket than
// the window has, so that the budget never exceeds the limit.
const bucketsPerWindow = 20

// budgetUtilization is the fraction of the limit that a node uses. The limit holds for windows with any start, and when
// the traffic varies these may hold fewer requests than the windows that the node counts.
const budgetUtilization = 0.9

// budget is the retry budget of one pool. It counts requests and extra arrivals in a sliding window.
type budget struct {
	first [bucketsPerWindow + 1]int
	extra [bucketsPerWindow + 1]int
	// newest is the index of the newest bucket, counted from the Unix epoch.
	newest int64
}

func bucketOf(c *BudgetConfig, t time.Time) int64 {
	return t.UnixNano() / int64(c.Window/bucketsPerWindow)
}

func (b *budget) slide(c *BudgetConfig, now time.Time) {
	at := bucketOf(c, now)
	if at <= b.newest {
		return
	}
	for i := max(b.newest+1, at-bucketsPerWindow); i <= at; i++ {
		b.first[i%int64(len(b.first))] = 0
		b.extra[i%int64(len(b.extra))] = 0
	}
	b.newest = at
}

// request counts the first arrival of a request.
func (b *budget) request(c *BudgetConfig, now time.Time) {
	if c.Window <= 0 {
		return
	}
	b.slide(c, now)
	b.first[b.newest%int64(len(b.first))]++
}

// spend charges one extra arrival to the budget and reports whether the budget allows it. slack is this node's share of
// the slack.
func (b *budget) spend(c *BudgetConfig, now time.Time, slack float64) bool {
	if c.Window <= 0 {
		return true
	}
	extra, limit := b.usage(c, now, slack)
	if float64(extra+1) > limit {
		return false
	}
	b.extra[b.newest%int64(len(b.extra))]++
	return true
}

// usedFraction returns the fraction of the budget that is spent, from 0 to 1.
func (b *budget) usedFraction(c *BudgetConfig, now time.Time, slack float64) float64 {
	if c.Window <= 0 {
		return 0
	}
	extra, limit := b.usage(c, now, slack)
	if limit <= 0 {
		return 1
	}
	return min(1, float64(extra)/limit)
}

// usage returns the number of extra arrivals in the window and the limit.
func (b *budget) usage(c *BudgetConfig, now time.Time, slack float64) (extra int, limit float64) {
	b.slide(c, now)
	first := 0
	for i := range b.first {
		first += b.first[i]
		extra += b.extra[i]
	}
	// The window covers only a part of the oldest bucket.
	first -= b.first[(b.newest+1)%int64(len(b.first))]
	return extra, budgetUtilization * (c.Ratio*float64(first) + slack)
}

// refund removes the charge of an extra arrival that was sent at the given time and did not reach a server.
func (b *budget) refund(c *BudgetConfig, spent time.Time) {
	if c.Window <= 0 {
		return
	}
	at := bucketOf(c, spent)
	if i := at % int64(len(b.extra)); at > b.newest-int64(len(b.extra)) && b.extra[i] > 0 {
		b.extra[i]--
	}
}
