package trial

import (
	"fmt"
	"time"

	hdr "github.com/HdrHistogram/hdrhistogram-go"

	"github.com/arbutusthread/arbutusthread/sched"
	"github.com/arbutusthread/arbutusthread/wire"
)

// Result holds the measurements of one case with one policy.
type Result struct {
	Case   string `json:"Case"`
	Policy string `json:"Policy"`
	Seed   uint64 `json:"Seed"`
	// Seeds is the number of pooled runs.
	Seeds int                   `json:"Seeds"`
	Kinds map[string]KindResult `json:"Kinds"`
	// P50, P99 and P999 are latencies of answered requests of all kinds.
	P50  wire.Duration `json:"P50"`
	P99  wire.Duration `json:"P99"`
	P999 wire.Duration `json:"P999"`
	// IdealP99 is the p99 latency of a client with advance knowledge of each service time and without
	// queueing.
	IdealP99 wire.Duration `json:"IdealP99,omitempty"`
	Coverage float64       `json:"Coverage"`
	// ExtraShare is the number of shard requests beyond the first for each shard of an admitted request,
	// relative to those first ones.
	ExtraShare float64 `json:"Extra"`
	// HedgeShare is the number of hedges relative to the first requests for each shard.
	HedgeShare float64 `json:"Hedges"`
	// Goodput is the number of answers per second, and Worth their total worth per second.
	Goodput float64 `json:"Goodput"`
	Worth   float64 `json:"Worth"`
	// PriorityInversions is the number of requests without an answer during which a request of lower
	// worth was first sent.
	PriorityInversions int `json:"Overtaken"`
	// ColdExcess and ColdExcessUndetected are the numbers of requests that reached a cold server above its
	// concurrency limit, of ColdReceived requests to cold servers in total. ColdExcess counts those sent
	// after the first response of the cold phase could reveal that the server is cold, and
	// ColdExcessUndetected those before.
	ColdExcess           int `json:"ColdOver"`
	ColdExcessUndetected int `json:"ColdUnseen"`
	ColdReceived         int `json:"ColdReceived"`
	Crashes              int `json:"Crashes"`
	Sheds                int `json:"Sheds"`
	// LastSendAfterWithdrawal is the longest time from the withdrawal of a server, which is out of service
	// or draining, until the last new request to it.
	LastSendAfterWithdrawal wire.Duration `json:"LastNewWork"`
	// RampTime is the mean time from the start of a cold phase until the server is warm and all its slots
	// may be used; Ramps is the number of such phases.
	RampTime wire.Duration `json:"FullUse"`
	Ramps    int           `json:"Ramps"`

	// Bureau and Cooperative are the scores with the weights of these two organizations.
	Bureau      float64 `json:"Bureau"`
	Cooperative float64 `json:"Cooperative"`

	latencies, ideals               *hdr.Histogram
	shardsCovered, shardsOfAnswered int
	sends, primaries                int
	hedges                          int
	answers                         int
	shardsTotal                     int
	// answeredWorth and offeredWorth are the total worth of the answered and of all requests;
	// changeAnsweredWorth and changeOfferedWorth count only requests that arrived while a failure domain
	// was out of service or had just returned.
	answeredWorth, offeredWorth             float64
	changeAnsweredWorth, changeOfferedWorth float64
	rampTotal                               time.Duration
	measuredTime                            time.Duration
	warmup                                  time.Duration
}

// KindResult holds the request counts of one kind.
type KindResult struct {
	Sent     int `json:"Sent"`
	Answered int `json:"Answered"`
	Refused  int `json:"Refused"`
}

func newResult(c Case, p Policy, seed uint64) Result {
	return Result{
		Case: c.Name, Policy: p.Name, Seed: seed, Seeds: 1, Kinds: make(map[string]KindResult),
		latencies: hdr.New(1, time.Minute.Microseconds(), 3), ideals: hdr.New(1, time.Minute.Microseconds(), 3),
		measuredTime: c.Duration - c.Warmup, warmup: c.Warmup,
	}
}

func (r *Result) countSend(v sched.Send) {
	r.sends++
	if v.Purpose == sched.Primary || v.Purpose == sched.Canary {
		r.primaries++
	}
	if v.Purpose == sched.Hedge {
		r.hedges++
	}
}

// addRequest adds a finished request and reports whether it was answered. Poison requests and those that
// arrived during the warm-up are not counted.
func (r *Result) addRequest(w *world, q *request, f sched.Finished) bool {
	asked := q.shards
	covered := asked - len(f.Missing)
	answered := f.Failure == nil && float64(covered) >= q.kind.MinCoverage*float64(asked)
	if q.arrived < r.warmup || q.poison {
		return answered
	}
	k := r.Kinds[q.kind.Name]
	k.Sent++
	r.shardsTotal += asked
	r.offeredWorth += q.kind.Worth
	if q.duringDomainChange {
		r.changeOfferedWorth += q.kind.Worth
	}
	if !answered {
		k.Refused++
		if w.priorityInverted(q) {
			r.PriorityInversions++
		}
		r.Kinds[q.kind.Name] = k
		return false
	}
	k.Answered++
	r.Kinds[q.kind.Name] = k
	r.shardsOfAnswered += asked
	r.shardsCovered += covered
	r.answers++
	r.answeredWorth += q.kind.Worth
	if q.duringDomainChange {
		r.changeAnsweredWorth += q.kind.Worth
	}
	// Latencies are below one minute, the maximum of the histogram, so recording cannot fail.
	_ = r.latencies.RecordValue((w.now - q.arrived).Microseconds())
	if q.idealLatency > 0 {
		_ = r.ideals.RecordValue(q.idealLatency.Microseconds())
	}
	return true
}

func (r *Result) finish(w *world) {
	r.summarize()
	for _, v := range w.serverList {
		r.addServer(v)
	}
}

func (r *Result) addRamp(d time.Duration) {
	r.rampTotal += d
	r.Ramps++
}

func quantile(h *hdr.Histogram, q float64) wire.Duration {
	return wire.Duration(time.Duration(h.ValueAtQuantile(q)) * time.Microsecond)
}

func (r *Result) addServer(v *modelServer) {
	r.ColdExcess += v.coldExcess
	r.ColdExcessUndetected += v.coldExcessUndetected
	r.ColdReceived += v.coldReceived
	r.Crashes += v.crashes
	r.Sheds += v.sheds
	if v.sendsAfterWithdrawal > 0 && v.withdrawnAt > 0 {
		r.LastSendAfterWithdrawal = max(r.LastSendAfterWithdrawal, wire.Duration(v.lastSendAfterWithdrawal-v.withdrawnAt))
	}
}

// Run runs a case with a policy. The result depends only on the arguments.
func Run(c Case, p Policy, seed uint64) Result {
	return newWorld(c, p, seed).run()
}

// RunRecorded is like Run and also records a trace of each finished request.
func RunRecorded(c Case, p Policy, seed uint64, r *Recorder) Result {
	w := newWorld(c, p, seed)
	w.recorder = r
	return w.run()
}

func formatFactor(f float64) string {
	return fmt.Sprintf("%gx", f)
}
