package gather

import (
	"math"
	"testing"
	"time"

	"github.com/matryer/is"
)

// Guards against exceeding the retry budget when the traffic varies: the limit holds for windows with any
// start, which may hold fewer requests than the windows that a node counts.
func TestBudgetUnderVaryingTraffic(t *testing.T) {
	t.Parallel()
	c := BudgetConfig{Ratio: 0.2, Slack: 52, Window: 10 * time.Second}
	for _, swing := range []float64{0, 0.15, 0.3} {
		for _, period := range []time.Duration{3 * time.Second, 11 * time.Second, 40 * time.Second} {
			first, extra := spendAll(c, swing, period)
			for _, from := range extra {
				to, half := from.Add(c.Window), c.Window/2
				most := max(
					count(first, from, to), count(first, from.Add(-c.Window), from),
					count(first, from.Add(-half), to.Add(-half)),
				)
				if n, limit := count(extra, from, to), c.Ratio*float64(most)+c.Slack; float64(n) > limit {
					t.Fatalf(
						"swing %v in %v: got %d extra arrivals in a window with %d requests, want at most %.1f",
						swing, period, n, most, limit,
					)
				}
			}
		}
	}
}

// spendAll sends 90 requests per second on average for a minute, and after each all extra arrivals that the budget
// allows.
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

// Guards against early hedges exhausting the budget, and against late hedges while the budget is hardly used.
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
		return e.NextTick(epoch, id).Sub(epoch)
	}
	const typical, tail = 20 * time.Millisecond, 40 * time.Millisecond // of a latency class without samples
	is.Equal(hedgeAt(), typical+tail/2)
	for e.pools["a"].budget.usedFraction(&e.config.Budget, epoch, 10) < lateHedgeFraction {
		is.True(e.pools["a"].budget.spend(&e.config.Budget, epoch, 10))
	}
	is.Equal(hedgeAt(), r.Target.Sub(epoch)-tail)
}
