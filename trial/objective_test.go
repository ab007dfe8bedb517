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
	mostTail    = 1.2
	mostExtra   = 0.02
	leastGood   = 0.95
	mostRamp    = 1.25
	mostCrashes = 2
	mostNewWork = 2_000_000_000 // 2 s in nanoseconds
)

// TestMain lets the heap grow, since the collector would take a third of the time of the runs.
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

// running bounds the runs at the same time, over all tests.
var running = make(chan struct{}, runtime.GOMAXPROCS(0))

// runAll runs each policy of the case with each seed, several at a time, and returns the results by
// policy.
func runAll(c Case, seeds []uint64, policies ...Policy) [][]Result {
	all := make([][]Result, len(policies))
	c.Ideal = false
	var group sync.WaitGroup
	for i, p := range policies {
		all[i] = make([]Result, len(seeds))
		for k, s := range seeds {
			group.Go(func() {
				running <- struct{}{}
				all[i][k] = Run(c, p, s)
				<-running
			})
		}
	}
	group.Wait()
	return all
}

// Guards against a tail that stragglers and slow servers decide, beyond what a sender pays that knows the
// state of each server.
func TestTailObjective(t *testing.T) {
	for _, c := range []Case{Tail(false), Tail(true)} {
		t.Run(c.Name, func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			all := runAll(c, testSeeds(10), InUse(), Oracle())
			ours, oracle := Pool(all[0]), Pool(all[1])
			t.Logf("p99 %v, oracle %v, extra %.2f%%", ours.P99.Std(), oracle.P99.Std(), 100*ours.Extra)
			is.True(float64(ours.P99) <= mostTail*float64(oracle.P99)) // tail at most 1.2x the oracle
			is.True(ours.Extra <= mostExtra)                           // at most 2% extra shard requests
			is.True(ours.Hedges <= c.Preset.HedgeBudget)               // hedges within their budget
		})
	}
}

// Guards against goodput that falls under overload.
func TestOverloadGoodput(t *testing.T) {
	is := is.New(t)
	one := runAll(Overload(1), testSeeds(4), InUse())[0]
	five := runAll(Overload(5), testSeeds(4), InUse())[0]
	for i := range one {
		t.Logf("goodput %.1f/s at 1x, %.1f/s at 5x", one[i].Goodput, five[i].Goodput)
		is.True(five[i].Goodput >= leastGood*one[i].Goodput) // goodput at 5x
	}
}

// Guards against requests of the most worthy kind that are refused or late while others are admitted.
func TestMostWorthyKindLosesNothing(t *testing.T) {
	is := is.New(t)
	for _, f := range []float64{1, 2, 5} {
		for _, r := range runAll(Overload(f), testSeeds(4), InUse())[0] {
			k := r.Kinds["order-status"]
			is.Equal(k.Answered, k.Sent) // the most worthy kind
		}
	}
}

// Guards against losses while less worthy work is admitted, for all kinds.
func TestNothingLostToLessWorthy(t *testing.T) {
	is := is.New(t)
	for _, f := range []float64{1, 2, 5} {
		for _, r := range runAll(Overload(f), testSeeds(10), InUse())[0] {
			is.Equal(r.Overtaken, 0) // requests lost while a less worthy one was started
		}
	}
	// The check must see the fault in a baseline that has it.
	is.True(Run(Overload(2), RoundRobin(), 1).Overtaken > 0)
}

// Guards against work for a cold server above what it bears once it can be seen to be cold.
func TestColdServerIsNotOverrun(t *testing.T) {
	for _, c := range Cases() {
		if c.Name == ColdSilent().Name || c.Shards == Tail(true).Shards {
			continue
		}
		is := is.New(t)
		for _, r := range runAll(c, testSeeds(4), InUse())[0] {
			if r.ColdOver > 0 {
				t.Logf("case %s, seed %d: %d requests above", r.Case, r.Seed, r.ColdOver)
			}
			is.Equal(r.ColdOver, 0) // requests above what a cold server bears
		}
	}
}

// Guards against the same for a server that claims to be warm, where only its latency tells.
func TestSilentColdServerIsNotOverrun(t *testing.T) {
	is := is.New(t)
	for _, r := range runAll(ColdSilent(), testSeeds(4), InUse())[0] {
		t.Logf("seed %d: %d requests above", r.Seed, r.ColdOver)
		is.Equal(r.ColdOver, 0) // requests above what a cold server bears
	}
}

// Guards against a ramp that keeps a warm server out of use.
func TestRampObjective(t *testing.T) {
	checkRamp(t, Ramp(false))
}

// Guards against the same at the first cold start that a scheduler sees: without a warm latency, and of
// a domain that returns.
func TestFirstRampObjective(t *testing.T) {
	for _, c := range []Case{Ramp(true), DomainLoaded()} {
		t.Run(c.Name, func(t *testing.T) { checkRamp(t, c) })
	}
}

func checkRamp(t *testing.T, c Case) {
	is := is.New(t)
	all := runAll(c, testSeeds(6), InUse(), BestRamp())
	ours, best := Pool(all[0]), Pool(all[1])
	t.Logf("full use after %v in %d ramps, best ramp %v", ours.FullUse.Std(), ours.Ramps, best.FullUse.Std())
	is.True(ours.Ramps >= best.Ramps)
	is.True(float64(ours.FullUse) <= mostRamp*float64(best.FullUse)) // full use within 1.25x the best ramp
}

// Guards against a request that crashes more than two servers, and against others that fail with it.
func TestCrashingRequest(t *testing.T) {
	is := is.New(t)
	for _, r := range runAll(Crash(), testSeeds(10), InUse())[0] {
		is.True(r.Crashes <= mostCrashes) // servers lost to a crashing request
	}
}

// Guards against new work for servers of a domain that is out, or for a server that leaves, and against
// requests lost by either.
func TestNoNewWorkAfterLeaving(t *testing.T) {
	is := is.New(t)
	for _, c := range []Case{Domain(), DomainLoaded(), Leave()} {
		for _, r := range runAll(c, testSeeds(4), InUse())[0] {
			is.True(r.LastNewWork <= mostNewWork) // no new work after 2 s
			is.Equal(r.Kinds["stock"].Refused, 0) // no request lost by the move
		}
	}
}

// Guards against hedges and retries that add to a partial outage: together they stay within both
// budgets in every case.
func TestExtraLoadStaysWithinBudgets(t *testing.T) {
	is := is.New(t)
	for _, c := range Cases() {
		if c.Shards == Tail(true).Shards {
			continue
		}
		for _, r := range runAll(c, testSeeds(2), InUse())[0] {
			is.True(r.Hedges <= c.Preset.HedgeBudget)                     // hedges within their budget
			is.True(r.Extra <= c.Preset.HedgeBudget+c.Preset.RetryBudget) // extra requests within both budgets
		}
	}
}
