package trial

import (
	"os"
	"runtime"
	"runtime/debug"
	"sync"
	"testing"

	"github.com/matryer/is"
)

// The bounds are those of section 1.9 of the design page.
const (
	maxTailRatio           = 1.2
	maxExtraShare          = 0.02
	minGoodputRatio        = 0.95
	maxRampRatio           = 1.25
	maxCrashes             = 2
	maxSendAfterWithdrawal = 2_000_000_000 // 2 s in nanoseconds
)

// TestMain raises the GC target, because garbage collection would take a third of the run time.
func TestMain(m *testing.M) {
	debug.SetGCPercent(400)
	os.Exit(m.Run())
}

func testSeeds(n int) []uint64 {
	list := make([]uint64, n)
	for i := range list {
		list[i] = uint64(i + 1)
	}
	return list
}

// runSlots limits the number of concurrent runs across all tests.
var runSlots = make(chan struct{}, runtime.GOMAXPROCS(0))

// runAll runs each policy of the case with each seed concurrently and returns the results by policy.
func runAll(c Case, seeds []uint64, policies ...Policy) [][]Result {
	all := make([][]Result, len(policies))
	c.ComputeIdeal = false
	var group sync.WaitGroup
	for i, p := range policies {
		all[i] = make([]Result, len(seeds))
		for k, s := range seeds {
			group.Go(func() {
				runSlots <- struct{}{}
				all[i][k] = Run(c, p, s)
				<-runSlots
			})
		}
	}
	group.Wait()
	return all
}

// Guards against a tail latency dominated by stragglers and slow servers, in comparison with a sender that
// has the true state of each server.
func TestTailObjective(t *testing.T) {
	for _, c := range []Case{Tail(false), Tail(true)} {
		t.Run(c.Name, func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			all := runAll(c, testSeeds(10), Production(), Oracle())
			production, oracle := Pool(all[0]), Pool(all[1])
			t.Logf("p99 %v, oracle %v, extra %.2f%%", production.P99.Std(), oracle.P99.Std(), 100*production.ExtraShare)
			is.True(float64(production.P99) <= maxTailRatio*float64(oracle.P99)) // tail at most 1.2x the oracle
			is.True(production.ExtraShare <= maxExtraShare)                      // at most 2% extra shard requests
			is.True(production.HedgeShare <= c.Preset.HedgeBudget)               // hedges within their budget
		})
	}
}

// Guards against goodput that drops under overload.
func TestOverloadGoodput(t *testing.T) {
	is := is.New(t)
	one := runAll(Overload(1), testSeeds(4), Production())[0]
	five := runAll(Overload(5), testSeeds(4), Production())[0]
	for i := range one {
		t.Logf("goodput %.1f/s at 1x, %.1f/s at 5x", one[i].Goodput, five[i].Goodput)
		is.True(five[i].Goodput >= minGoodputRatio*one[i].Goodput) // goodput at 5x
	}
}

// Guards against requests of the kind with the highest worth that are refused or late while others are
// admitted.
func TestMostWorthyKindIsAlwaysAnswered(t *testing.T) {
	is := is.New(t)
	for _, f := range []float64{1, 2, 5} {
		for _, r := range runAll(Overload(f), testSeeds(4), Production())[0] {
			k := r.Kinds["order-status"]
			is.Equal(k.Answered, k.Sent) // all requests of the kind with the highest worth are answered
		}
	}
}

// Guards against requests of any kind that get no answer while requests of lower worth are admitted.
func TestNoPriorityInversion(t *testing.T) {
	is := is.New(t)
	for _, f := range []float64{1, 2, 5} {
		for _, r := range runAll(Overload(f), testSeeds(10), Production())[0] {
			is.Equal(r.PriorityInversions, 0) // unanswered requests during which one of lower worth was sent
		}
	}
	// Round robin has priority inversions, so the counter must detect them.
	is.True(Run(Overload(2), RoundRobin(), 1).PriorityInversions > 0)
}

// Guards against requests above the concurrency limit of a cold server once its coldness is detectable.
func TestColdServerIsNotOverrun(t *testing.T) {
	for _, c := range Cases() {
		if c.Name == ColdSilent().Name || c.Shards == Tail(true).Shards {
			continue
		}
		is := is.New(t)
		for _, r := range runAll(c, testSeeds(4), Production())[0] {
			if r.ColdExcess > 0 {
				t.Logf("case %s, seed %d: %d requests above the limit", r.Case, r.Seed, r.ColdExcess)
			}
			is.Equal(r.ColdExcess, 0) // requests above the limit of a cold server
		}
	}
}

// Guards against requests above the concurrency limit of a cold server that reports itself as warm, where
// only its latency shows that it is cold.
func TestSilentColdServerIsNotOverrun(t *testing.T) {
	is := is.New(t)
	for _, r := range runAll(ColdSilent(), testSeeds(4), Production())[0] {
		t.Logf("seed %d: %d requests above the limit", r.Seed, r.ColdExcess)
		is.Equal(r.ColdExcess, 0) // requests above the limit of a cold server
	}
}

// Guards against a slow start that continues to limit a server that is already warm.
func TestRampObjective(t *testing.T) {
	checkRampTime(t, Ramp(false))
}

// Guards against a slow start that continues to limit a warm server at the first cold start observed by a
// scheduler: without a known warm latency, and when a failure domain returns.
func TestFirstRampObjective(t *testing.T) {
	for _, c := range []Case{Ramp(true), DomainLoaded()} {
		t.Run(c.Name, func(t *testing.T) { checkRampTime(t, c) })
	}
}

func checkRampTime(t *testing.T, c Case) {
	is := is.New(t)
	all := runAll(c, testSeeds(6), Production(), BestRamp())
	production, best := Pool(all[0]), Pool(all[1])
	t.Logf("mean ramp time %v over %d ramps, best ramp %v", production.RampTime.Std(), production.Ramps, best.RampTime.Std())
	is.True(production.Ramps >= best.Ramps)
	is.True(float64(production.RampTime) <= maxRampRatio*float64(best.RampTime)) // at most 1.25x the best ramp
}

// Guards against a poison request that crashes more than two servers.
func TestCrashingRequest(t *testing.T) {
	is := is.New(t)
	for _, r := range runAll(Crash(), testSeeds(10), Production())[0] {
		is.True(r.Crashes <= maxCrashes) // servers crashed by a poison request
	}
}

// Guards against new requests to servers of a failure domain that is out of service or to a draining
// server, and against requests that are refused because of either.
func TestNoSendsAfterWithdrawal(t *testing.T) {
	is := is.New(t)
	for _, c := range []Case{Domain(), DomainLoaded(), Leave()} {
		for _, r := range runAll(c, testSeeds(4), Production())[0] {
			is.True(r.LastSendAfterWithdrawal <= maxSendAfterWithdrawal) // no new requests after 2 s
			is.Equal(r.Kinds["stock"].Refused, 0)                        // no request lost by the withdrawal
		}
	}
}

// Guards against hedges and retries that amplify a partial outage: together they must stay within the
// hedge and retry budgets in every case.
func TestExtraLoadStaysWithinBudgets(t *testing.T) {
	is := is.New(t)
	for _, c := range Cases() {
		if c.Shards == Tail(true).Shards {
			continue
		}
		for _, r := range runAll(c, testSeeds(2), Production())[0] {
			is.True(r.HedgeShare <= c.Preset.HedgeBudget)                      // hedges within their budget
			is.True(r.ExtraShare <= c.Preset.HedgeBudget+c.Preset.RetryBudget) // extra requests within both budgets
		}
	}
}
