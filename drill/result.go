package drill

import (
	"context"
	"slices"
	"time"

	hdr "github.com/HdrHistogram/hdrhistogram-go"
	"github.com/cockroachdb/errors"

	"github.com/arbutusthread/arbutusthread/gather"
	"github.com/arbutusthread/arbutusthread/vtime"
	"github.com/arbutusthread/arbutusthread/wire"
)

// Result holds the figures of one case with one policy.
type Result struct {
	Case   string `json:"Case"`
	Policy string `json:"Policy"`
	// Seeds is the number of runs that the figures come from.
	Seeds int                    `json:"Seeds"`
	Kinds map[string]*KindResult `json:"Kinds"`
	// Worth is the share earned of what all requests could earn, and Worst that of the worst window of
	// 2 s, the mean over the runs.
	Worth float64 `json:"Worth"`
	Worst float64 `json:"Worst"`
	// Windows holds the figures of each window of 2 s.
	Windows []Window `json:"Windows"`
	// Extra is the share of arrivals at servers beyond the first of each shard of a request, and
	// BudgetUse the most of the bound on them that was used in any window, 1 for all of it.
	Extra     float64 `json:"Extra"`
	BudgetUse float64 `json:"BudgetUse"`
	// Crashes counts cold servers that got more than they bear.
	Crashes int `json:"Crashes"`

	windows        []windowLoad
	firsts, extras int
	pools          map[string]*poolLoad
}

// KindResult holds the figures of one kind of request.
type KindResult struct {
	Asked    int           `json:"Asked"`
	InTime   int           `json:"InTime"`
	Late     int           `json:"Late"`
	Refused  int           `json:"Refused"`
	Failed   int           `json:"Failed"`
	Worth    float64       `json:"Worth"`
	Coverage float64       `json:"Coverage"`
	P50      wire.Duration `json:"P50"`
	P99      wire.Duration `json:"P99"`

	earned, owed, covered float64
	latencies             *hdr.Histogram
}

// poolLoad holds the times of requests for a pool and of the arrivals beyond their first ones.
type poolLoad struct {
	requests, extras []time.Duration
}

func newResult(c Case, p Policy, _ uint64) *Result {
	return &Result{
		Case: c.Name, Policy: p.Name, Seeds: 1, Kinds: make(map[string]*KindResult), pools: make(map[string]*poolLoad),
		windows: make([]windowLoad, int(c.Duration/windowTime)+1),
	}
}

func (r *Result) kind(name string) *KindResult {
	k := r.Kinds[name]
	if k == nil {
		k = &KindResult{latencies: hdr.New(1, time.Minute.Microseconds(), 3)}
		r.Kinds[name] = k
	}
	return k
}

func (r *Result) asked(q *request) {
	k := r.kind(q.kind.Name)
	k.Asked++
	k.owed += q.kind.Worth
	w := &r.windows[q.arrived/windowTime]
	w.asked++
	w.owed += q.kind.Worth
}

func (r *Result) pool(name string) *poolLoad {
	p := r.pools[name]
	if p == nil {
		p = &poolLoad{}
		r.pools[name] = p
	}
	return p
}

// request counts an attempt of a caller on a pool.
func (r *Result) request(w *world, pool string) {
	p := r.pool(pool)
	p.requests = append(p.requests, w.now)
}

// arrived counts an arrival at a server.
func (r *Result) arrived(w *world, f *flight) {
	q := f.request
	if !q.reached[f.task] {
		q.reached[f.task] = true
		r.firsts++
		r.windows[q.arrived/windowTime].firsts++
		return
	}
	r.extras++
	r.windows[q.arrived/windowTime].extras++
	name := ledger
	if f.server.pool < len(w.pools) {
		name = w.pools[f.server.pool]
	}
	p := r.pool(name)
	p.extras = append(p.extras, w.now)
}

// ended includes the end of a request.
func (r *Result) ended(w *world, q *request, f *gather.Finished) {
	k, v := r.kind(q.kind.Name), &r.windows[q.arrived/windowTime]
	switch f.End {
	case gather.Complete, gather.Partial:
	case gather.Refused:
		k.Refused++
		v.rejected++
		return
	default:
		k.Failed++
		v.rejected++
		return
	}
	coverage := float64(f.Answered) / float64(f.Total)
	earned := q.kind.Worth * coverage * coverage
	if w.now-q.arrived <= q.kind.Target {
		k.InTime++
	} else {
		k.Late++
		earned *= q.kind.LateWorth
	}
	k.earned += earned
	k.covered += coverage
	v.earned += earned
	v.covered += coverage
	v.latencies = append(v.latencies, w.now-q.arrived)
	// Latencies are below the range's minute, so recording cannot fail.
	_ = k.latencies.RecordValue((w.now - q.arrived).Microseconds())
}

// close computes the figures of a run.
func (r *Result) close(w *world) {
	for _, v := range w.servers {
		r.Crashes += v.crashes
	}
	for _, p := range r.pools {
		r.BudgetUse = max(r.BudgetUse, p.budgetUse(w.setup.Budget))
	}
	r.pools = nil
	r.summarize()
}

// budgetUse returns the most extra arrivals in any window relative to the bound for it.
func (p *poolLoad) budgetUse(c gather.BudgetConfig) float64 {
	worst := 0.0
	for i, at := range p.extras {
		from := at - c.Window
		first := slices.IndexFunc(p.extras, func(x time.Duration) bool { return x > from })
		requests := 0
		for _, x := range p.requests {
			if x > from && x <= at {
				requests++
			}
		}
		worst = max(worst, float64(i-first+1)/(c.Ratio*float64(requests)+c.Slack))
	}
	return worst
}

func (r *Result) summarize() {
	earned, owed := 0.0, 0.0
	for _, k := range r.Kinds {
		earned += k.earned
		owed += k.owed
		k.Worth = k.earned / k.owed
		k.Coverage = k.covered / float64(max(1, k.InTime+k.Late))
		k.P50 = wire.Duration(time.Duration(k.latencies.ValueAtQuantile(50)) * time.Microsecond)
		k.P99 = wire.Duration(time.Duration(k.latencies.ValueAtQuantile(99)) * time.Microsecond)
	}
	r.Worth = earned / owed
	r.Extra = float64(r.extras) / float64(max(1, r.firsts))
	r.Windows, r.Worst = nil, 1
	n := len(r.windows)
	for n > 0 && r.windows[n-1].asked == 0 {
		n--
	}
	for i := range r.windows[:n] {
		v := r.windows[i].figures(time.Duration(i) * windowTime)
		r.Windows = append(r.Windows, v)
		r.Worst = min(r.Worst, v.Worth)
	}
}

// add includes the figures of a run with another seed.
func (r *Result) add(x *Result) {
	r.Seeds++
	for name, k := range x.Kinds {
		t := r.kind(name)
		t.Asked += k.Asked
		t.InTime += k.InTime
		t.Late += k.Late
		t.Refused += k.Refused
		t.Failed += k.Failed
		t.earned += k.earned
		t.owed += k.owed
		t.covered += k.covered
		t.latencies.Merge(k.latencies)
	}
	for i := range r.windows {
		r.windows[i].add(&x.windows[i])
	}
	r.firsts += x.firsts
	r.extras += x.extras
	r.Crashes += x.Crashes
	r.BudgetUse = max(r.BudgetUse, x.BudgetUse)
}

// Run runs a case with a policy. The same seed gives the same result.
func Run(c Case, p Policy, seed uint64) *Result { return newWorld(c, p, seed).run() }

// RunSeeds runs each policy of the case with the seeds 1 to n on half of the cores, and pools the
// results of each policy. All policies get the same seeds.
func RunSeeds(ctx context.Context, c Case, n int) ([]*Result, error) {
	policies := Policies()
	all, err := vtime.RunSeeds(ctx, len(policies), n, func(policy int, seed uint64) *Result { return Run(c, policies[policy], seed) })
	if err != nil {
		return nil, errors.Wrapf(err, "drill: run case %s", c.Name)
	}
	pooled := make([]*Result, len(policies))
	for i, list := range all {
		pooled[i] = list[0]
		worst := list[0].Worst
		for _, r := range list[1:] {
			pooled[i].add(r)
			worst += r.Worst
		}
		pooled[i].summarize()
		pooled[i].Worst = worst / float64(n)
	}
	return pooled, nil
}
