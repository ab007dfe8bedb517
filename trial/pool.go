package trial

import (
	"time"

	"github.com/arbutusthread/arbutusthread/wire"
)

// Pool combines the results of one case and policy over several seeds: quantiles are those of all
// requests together, counts are sums, and LastNewWork is the longest.
func Pool(results []Result) Result {
	p := newResult(Case{}, Policy{}, 0)
	p.Seeds = 0
	for _, r := range results {
		p.Case, p.Policy = r.Case, r.Policy
		p.Seeds += r.Seeds
		p.latencies.Merge(r.latencies)
		p.ideals.Merge(r.ideals)
		p.span += r.span
		p.covered += r.covered
		p.asked += r.asked
		p.sends += r.sends
		p.firsts += r.firsts
		p.hedges += r.hedges
		p.answers += r.answers
		p.wanted += r.wanted
		p.worth += r.worth
		p.offered += r.offered
		p.moveWorth += r.moveWorth
		p.moveOffered += r.moveOffered
		p.addCounts(r)
	}
	p.summarize()
	return p
}

func (r *Result) addCounts(o Result) {
	r.Overtaken += o.Overtaken
	r.ColdOver += o.ColdOver
	r.ColdUnseen += o.ColdUnseen
	r.ColdReceived += o.ColdReceived
	r.Crashes += o.Crashes
	r.Sheds += o.Sheds
	r.LastNewWork = max(r.LastNewWork, o.LastNewWork)
	r.ramped += o.ramped
	r.Ramps += o.Ramps
	for name, k := range o.Kinds {
		sum := r.Kinds[name]
		sum.Sent += k.Sent
		sum.Answered += k.Answered
		sum.Refused += k.Refused
		r.Kinds[name] = sum
	}
}

func (r *Result) summarize() {
	at := func(q float64) wire.Duration { return quantile(r.latencies, q) }
	r.P50, r.P99, r.P999 = at(50), at(99), at(99.9)
	r.IdealP99 = quantile(r.ideals, 99)
	if r.asked > 0 {
		r.Coverage = float64(r.covered) / float64(r.asked)
	}
	if r.firsts > 0 {
		r.Hedges = float64(r.hedges) / float64(r.firsts)
		r.Extra = float64(r.sends-r.firsts) / float64(r.firsts)
	}
	if r.Ramps > 0 {
		r.FullUse = wire.Duration(r.ramped / time.Duration(r.Ramps))
	}
	if r.span > 0 {
		r.Goodput = float64(r.answers) / r.span.Seconds()
		r.Worth = r.worth / r.span.Seconds()
	}
	r.Bureau, r.Cooperative = r.Score(Bureau()), r.Score(Cooperative())
}
