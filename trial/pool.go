package trial

import (
	"time"

	"github.com/arbutusthread/arbutusthread/wire"
)

// Pool combines the results of one case and policy over several seeds. Quantiles are computed over all
// requests, counts are summed, and LastSendAfterWithdrawal is the maximum.
func Pool(results []Result) Result {
	p := newResult(Case{}, Policy{}, 0)
	p.Seeds = 0
	for _, r := range results {
		p.Case, p.Policy = r.Case, r.Policy
		p.Seeds += r.Seeds
		p.latencies.Merge(r.latencies)
		p.ideals.Merge(r.ideals)
		p.measuredTime += r.measuredTime
		p.shardsCovered += r.shardsCovered
		p.shardsOfAnswered += r.shardsOfAnswered
		p.sends += r.sends
		p.primaries += r.primaries
		p.hedges += r.hedges
		p.answers += r.answers
		p.shardsTotal += r.shardsTotal
		p.answeredWorth += r.answeredWorth
		p.offeredWorth += r.offeredWorth
		p.changeAnsweredWorth += r.changeAnsweredWorth
		p.changeOfferedWorth += r.changeOfferedWorth
		p.addCounts(r)
	}
	p.summarize()
	return p
}

func (r *Result) addCounts(o Result) {
	r.PriorityInversions += o.PriorityInversions
	r.ColdExcess += o.ColdExcess
	r.ColdExcessUndetected += o.ColdExcessUndetected
	r.ColdReceived += o.ColdReceived
	r.Crashes += o.Crashes
	r.Sheds += o.Sheds
	r.LastSendAfterWithdrawal = max(r.LastSendAfterWithdrawal, o.LastSendAfterWithdrawal)
	r.rampTotal += o.rampTotal
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
	if r.shardsOfAnswered > 0 {
		r.Coverage = float64(r.shardsCovered) / float64(r.shardsOfAnswered)
	}
	if r.primaries > 0 {
		r.HedgeShare = float64(r.hedges) / float64(r.primaries)
		r.ExtraShare = float64(r.sends-r.primaries) / float64(r.primaries)
	}
	if r.Ramps > 0 {
		r.RampTime = wire.Duration(r.rampTotal / time.Duration(r.Ramps))
	}
	if r.measuredTime > 0 {
		r.Goodput = float64(r.answers) / r.measuredTime.Seconds()
		r.Worth = r.answeredWorth / r.measuredTime.Seconds()
	}
	r.Bureau, r.Cooperative = r.Score(Bureau()), r.Score(Cooperative())
}
