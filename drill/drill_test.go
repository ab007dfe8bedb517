package drill

import (
	"reflect"
	"testing"

	"github.com/matryer/is"
)

// seeds are run for each case. They take the tests a few seconds.
const seeds = 3

func results(t *testing.T, c Case) (inUse, plain *Result) {
	t.Helper()
	all, err := RunSeeds(t.Context(), c, seeds)
	if err != nil {
		t.Fatal(err)
	}
	return all[0], all[1]
}

// Guards against a bound that is broken under some load pattern, and against a policy that serves callers
// worse than a plain forwarder, which keeps no bound.
func TestBoundsInAllCases(t *testing.T) {
	t.Parallel()
	for _, c := range Cases() {
		t.Run(c.Name, func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			r, plain := results(t, c)
			is.True(r.BudgetUse <= 1) // more extra arrivals than the budget
			is.Equal(r.Crashes, 0)    // a cold server got more than it bears
			is.True(r.Worth > plain.Worth)
		})
	}
}

// Guards against answers that leave out shards on a calm day, or that come late: 0.97 of them must cover
// all shards or come within the objective at high load.
func TestObjectives(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	r, _ := results(t, Calm())
	for name, k := range r.Kinds {
		t.Logf("calm %s: in time %d of %d, coverage %.3f", name, k.InTime, k.Asked, k.Coverage)
		is.True(float64(k.InTime) >= 0.97*float64(k.Asked))
		is.True(k.Coverage >= 0.97)
		is.Equal(k.Refused+k.Failed, 0)
	}
}

// Guards against shards that are held back by the latencies of a burst long after its end: from 2 s after it
// on, 0.97 of the worth must be earned.
func TestRecoveryAfterBurst(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	r := Run(Burst(), InUse(), 1)
	for seed := range uint64(seeds - 1) {
		r.add(Run(Burst(), InUse(), seed+2))
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

// Guards against figures that differ between two runs of a seed.
func TestSeedsRepeat(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	is.True(reflect.DeepEqual(Run(Impatient(), InUse(), 5), Run(Impatient(), InUse(), 5)))
}

// Guards against capacity of saturated shards that goes to requests which need not have it, and against
// repeated requests that find no room: fewer requests may end without an answer than with a forwarder that
// hedges without a bound.
func TestWorstLoads(t *testing.T) {
	t.Parallel()
	for _, c := range []Case{Saturated(), Impatient(), Burst()} {
		t.Run(c.Name, func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			all, err := RunSeeds(t.Context(), c, seeds)
			is.NoErr(err)
			ours, hedging := all[0].unanswered(), all[2].unanswered()
			t.Logf("%d requests without an answer, hedging forwarder %d", ours, hedging)
			is.True(ours < hedging)
		})
	}
}

func (r *Result) unanswered() int {
	n := 0
	for _, k := range r.Kinds {
		n += k.Refused + k.Failed
	}
	return n
}
