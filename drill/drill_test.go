package drill

import (
	"reflect"
	"testing"

	"github.com/matryer/is"
)

// seeds is the number of seeds per case, with which the tests take a few seconds.
const seeds = 3

func runCase(t *testing.T, c Case) (inUse, plain *Result) {
	t.Helper()
	all, err := RunSeeds(t.Context(), c, seeds)
	if err != nil {
		t.Fatal(err)
	}
	return all[0], all[1]
}

// Guards against a budget or a cold rate that is exceeded under some load pattern, and against earning less
// credit than a plain forwarder, which has no such bounds.
func TestBoundsInAllCases(t *testing.T) {
	t.Parallel()
	for _, c := range Cases() {
		t.Run(c.Name, func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			r, plain := runCase(t, c)
			is.True(r.BudgetUse <= 1) // extra arrivals within the budget
			is.Equal(r.Crashes, 0)    // cold servers crashed under overload
			is.True(r.Worth > plain.Worth)
		})
	}
}

// Guards against incomplete and late answers in normal operation: 0.97 of the requests must be answered
// within the response-time objective, the mean coverage must be at least 0.97, and none may be refused or
// fail.
func TestObjectives(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	r, _ := runCase(t, Calm())
	for name, k := range r.Kinds {
		t.Logf("calm %s: in time %d of %d, coverage %.3f", name, k.InTime, k.Asked, k.Coverage)
		is.True(float64(k.InTime) >= 0.97*float64(k.Asked))
		is.True(k.Coverage >= 0.97)
		is.Equal(k.Refused+k.Failed, 0)
	}
}

// Guards against shards that are not sent to because of latencies measured during a burst that has ended:
// from 2 s after the burst, at least 0.97 of the worth must be earned in each window.
func TestRecoveryAfterBurst(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	r := Run(Burst(), Production(), 1)
	for seed := range uint64(seeds - 1) {
		r.merge(Run(Burst(), Production(), seed+2))
	}
	r.summarize()
	after := 0
	for _, w := range r.Windows {
		if w.From.Std() >= burstEnd+windowTime {
			after++
			t.Logf("from %v: %.3f of the worth", w.From.Std(), w.Worth)
			is.True(w.Worth >= 0.97)
		}
	}
	is.True(after > 0)
}

// Guards against results that differ between two runs with the same seed.
func TestSameSeedSameResult(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	is.True(reflect.DeepEqual(Run(Impatient(), Production(), 5), Run(Impatient(), Production(), 5)))
}

// Guards against capacity of saturated shards that is spent on requests that do not need it, and against
// repeated requests that are refused for lack of capacity: fewer requests must be unanswered than with a
// forwarder that hedges without a budget.
func TestUnansweredUnderOverload(t *testing.T) {
	t.Parallel()
	for _, c := range []Case{Saturated(), Impatient(), Burst()} {
		t.Run(c.Name, func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			all, err := RunSeeds(t.Context(), c, seeds)
			is.NoErr(err)
			ours, hedging := all[0].unansweredRequests(), all[2].unansweredRequests()
			t.Logf("%d unanswered requests, hedging forwarder %d", ours, hedging)
			is.True(ours < hedging)
		})
	}
}

func (r *Result) unansweredRequests() int {
	n := 0
	for _, k := range r.Kinds {
		n += k.Refused + k.Failed
	}
	return n
}
