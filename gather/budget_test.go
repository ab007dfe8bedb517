package gather

import (
	"math"
	"testing"
	"time"

	"github.com/matryer/is"
)

// Guards against more retries than the bound when the traffic swings: the windows of the bound begin at
// any time, and may hold fewer requests than those that a node counts.
func TestBudgetUnderSwingingTraffic(t *testing.T) {
	t.Parallel()
	c := BudgetConfig{Ratio: 0.2, Slack: 52, Window: 10 * time.Second}
	for _, swing := range []float64{0, 0.15, 0.3} {
		for _, period := range []time.Duration{3 * time.Second, 11 * time.Second, 40 * time.Second} {
			first, extra := spendAll(c, swing, period)
			for _, from := range extra {
				to, half := from.Add(c.Window), c.Window/2
				most := max(count(first, from, to), count(first, from.Add(-c.Window), from), count(first, from.Add(-half), to.Add(-half)))
				if n, limit := count(extra, from, to), c.Ratio*float64(most)+c.Slack; float64(n) > limit {
					t.Fatalf("swing %v in %v: %d extra arrivals in a window with %d requests, %.1f are allowed", swing, period, n, most, limit)
				}
			}
		}
	}
}

// spendAll sends 90 requests a second for a minute, and with each as many extra arrivals as are allowed.
func spendAll(c BudgetConfig, swing float64, period time.Duration) (first, extra []time.Time) {
	var b budget
	due := 0.0
	for ms := range 60_000 {
		now := epoch.Add(time.Duration(ms) * time.Millisecond)
		due += 0.09 * (1 + swing*math.Sin(2*math.Pi*float64(ms)/float64(period.Milliseconds())))
		for ; due >= 1; due-- {
			b.request(&c, now)
			first = append(first, now)
			for b.spend(&c, now, c.Slack) {
				extra = append(extra, now)
			}
		}
	}
	return first, extra
}

// Guards against hedges that use the budget up early, and against shards that wait although the budget is
// hardly used.
func TestHedgesAreLaterWhenTheBudgetIsUsed(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	e := New(Config{FailureDomain: here, Budget: BudgetConfig{Slack: 10, Window: 10 * time.Second}})
	e.SetPools(epoch, []Pool{pair("a")})
	r := Request{
		Class: "r", Pools: []string{"a"}, Idempotent: true, MinCoverage: 1, MaxAttempts: 2,
		Deadline: epoch.Add(time.Second), Target: epoch.Add(100 * time.Millisecond),
	}
	hedgeAt := func() time.Duration {
		id, _ := e.Submit(epoch, r)
		return e.NextWake(epoch, id).Sub(epoch)
	}
	const typical, tail = 20 * time.Millisecond, 40 * time.Millisecond // of a class without answers
	is.Equal(hedgeAt(), typical+tail/2)
	for e.pools["a"].budget.used(&e.config.Budget, epoch, 10) < lateHedgeUse {
		is.True(e.pools["a"].budget.spend(&e.config.Budget, epoch, 10))
	}
	is.Equal(hedgeAt(), r.Target.Sub(epoch)-tail)
}
