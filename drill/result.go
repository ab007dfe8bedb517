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

// Result holds the measurements of one case with one policy.
type Result struct {
	Case   string `json:"Case"`
	Policy string `json:"Policy"`
	// Seeds is the number of pooled runs.
	Seeds int                    `json:"Seeds"`
	Kinds map[string]*KindResult `json:"Kinds"`
	// Worth is the credit earned relative to the total worth of all requests. WorstWindow is that of the
	// worst window of 2 s in a run, averaged over the runs.
	Worth       float64 `json:"Worth"`
	WorstWindow float64 `json:"Worst"`
	// Windows holds the measurements of each window of 2 s.
	Windows []Window `json:"Windows"`
	// ExtraShare is the number of arrivals at servers beyond the first for each shard of a request,
	// relative to those first ones. BudgetUse is the maximum over all retry-budget windows of extra
	// arrivals relative to the budget, where 1 is the full budget.
	ExtraShare float64 `json:"Extra"`
	BudgetUse  float64 `json:"BudgetUse"`
	// Crashes counts cold servers that crashed under overload.
	Crashes int `json:"Crashes"`

	windows        []windowCounts
	firsts, extras int
	pools          map[string]*poolLoad
}

// KindResult holds the measurements of one kind of request.
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

	earned, offered, covered float64
	latencies                *hdr.Histogram
}

// poolLoad holds the times of the requests for a pool and of its extra arrivals.
type poolLoad struct {
	requests, extras []time.Duration
}

func newResult(c Case, p Policy, _ uint64) *Result {
	return &Result{
		Case: c.Name, Policy: p.Name, Seeds: 1, Kinds: make(map[string]*KindResult), pools: make(map[string]*poolLoad),
		windows: make([]windowCounts, int(c.Duration/windowTime)+1),
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

func (r *Result) countRequest(q *request) {
	k := r.kind(q.kind.Name)
	k.Asked++
	k.offered += q.kind.Worth
	w := &r.windows[q.arrived/windowTime]
	w.requests++
	w.offered += q.kind.Worth
}

func (r *Result) pool(name string) *poolLoad {
	p := r.pools[name]
	if p == nil {
		p = &poolLoad{}
		r.pools[name] = p
	}
	return p
}

// countSubmission counts a request, or its repetition by the caller, for a pool.
func (r *Result) countSubmission(w *world, pool string) {
	p := r.pool(pool)
	p.requests = append(p.requests, w.now)
}

// countArrival counts an arrival at a server, as extra if it is not the first for its shard.
func (r *Result) countArrival(w *world, f *attempt) {
	q := f.request
	if !q.tasksReached[f.task] {
		q.tasksReached[f.task] = true
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

// countEnd counts a finished request by its outcome.
func (r *Result) countEnd(w *world, q *request, f *gather.Finished) {
	k, v := r.kind(q.kind.Name), &r.windows[q.arrived/windowTime]
	switch f.End {
	case gather.Complete, gather.Partial:
	case gather.Refused:
		k.Refused++
		v.unanswered++
		return
	default:
		k.Failed++
		v.unanswered++
		return
	}
	coverage := float64(f.Answered) / float64(f.Total)
	earned := q.kind.Worth * coverage * coverage
	if w.now-q.arrived <= q.kind.Target {
		k.InTime++
	} else {
		k.Late++
		earned *= q.kind.LateShare
	}
	k.earned += earned
	k.covered += coverage
	v.earned += earned
	v.covered += coverage
	v.latencies = append(v.latencies, w.now-q.arrived)
	// Latencies are below one minute, the maximum of the histogram, so recording cannot fail.
	_ = k.latencies.RecordValue((w.now - q.arrived).Microseconds())
}

// finish computes the results of a run.
func (r *Result) finish(w *world) {
	for _, v := range w.servers {
		r.Crashes += v.crashes
	}
	for _, p := range r.pools {
		r.BudgetUse = max(r.BudgetUse, p.budgetUse(w.config.Budget))
	}
	r.pools = nil
	r.summarize()
}

// budgetUse returns the maximum over all budget windows of extra arrivals relative to the budget.
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
		owed += k.offered
		k.Worth = k.earned / k.offered
		k.Coverage = k.covered / float64(max(1, k.InTime+k.Late))
		k.P50 = wire.Duration(time.Duration(k.latencies.ValueAtQuantile(50)) * time.Microsecond)
		k.P99 = wire.Duration(time.Duration(k.latencies.ValueAtQuantile(99)) * time.Microsecond)
	}
	r.Worth = earned / owed
	r.ExtraShare = float64(r.extras) / float64(max(1, r.firsts))
	r.Windows, r.WorstWindow = nil, 1
	n := len(r.windows)
	for n > 0 && r.windows[n-1].requests == 0 {
		n--
	}
	for i := range r.windows[:n] {
		v := r.windows[i].summarize(time.Duration(i) * windowTime)
		r.Windows = append(r.Windows, v)
		r.WorstWindow = min(r.WorstWindow, v.Worth)
	}
}

// merge adds the counts of a run with another seed. The caller must call summarize afterwards.
func (r *Result) merge(x *Result) {
	r.Seeds++
	for name, k := range x.Kinds {
		t := r.kind(name)
		t.Asked += k.Asked
		t.InTime += k.InTime
		t.Late += k.Late
		t.Refused += k.Refused
		t.Failed += k.Failed
		t.earned += k.earned
		t.offered += k.offered
		t.covered += k.covered
		t.latencies.Merge(k.latencies)
	}
	for i := range r.windows {
		r.windows[i].merge(&x.windows[i])
	}
	r.firsts += x.firsts
	r.extras += x.extras
	r.Crashes += x.Crashes
	r.BudgetUse = max(r.BudgetUse, x.BudgetUse)
}

// Run runs a case with a policy. The result depends only on the arguments.
func Run(c Case, p Policy, seed uint64) *Result { return newWorld(c, p, seed).run() }

// RunSeeds runs each policy of the case with the seeds 1 to n, using half of the cores, and pools the
// results by policy, in the order of Policies. All policies get the same seeds.
func RunSeeds(ctx context.Context, c Case, n int) ([]*Result, error) {
	policies := Policies()
	all, err := vtime.RunSeeds(ctx, len(policies), n, func(policy int, seed uint64) *Result { return Run(c, policies[policy], seed) })
	if err != nil {
		return nil, errors.Wrapf(err, "drill: run case %s", c.Name)
	}
	pooled := make([]*Result, len(policies))
	for i, list := range all {
		pooled[i] = list[0]
		worst := list[0].WorstWindow
		for _, r := range list[1:] {
			pooled[i].merge(r)
			worst += r.WorstWindow
		}
		pooled[i].summarize()
		pooled[i].WorstWindow = worst / float64(n)
	}
	return pooled, nil
}
