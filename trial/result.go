package trial

import (
	"fmt"
	"time"

	hdr "github.com/HdrHistogram/hdrhistogram-go"

	"github.com/arbutusthread/arbutusthread/sched"
	"github.com/arbutusthread/arbutusthread/wire"
)

// Result holds the figures of one case with one policy.
type Result struct {
	Case   string `json:"Case"`
	Policy string `json:"Policy"`
	Seed   uint64 `json:"Seed"`
	// Seeds is the number of runs that the figures come from.
	Seeds int                   `json:"Seeds"`
	Kinds map[string]KindResult `json:"Kinds"`
	// P50, P99 and P999 are latencies of answered requests of all kinds.
	P50  wire.Duration `json:"P50"`
	P99  wire.Duration `json:"P99"`
	P999 wire.Duration `json:"P999"`
	// IdealP99 is that of a client that knows each service time beforehand and never queues.
	IdealP99 wire.Duration `json:"IdealP99,omitempty"`
	Coverage float64       `json:"Coverage"`
	// Extra is the share of shard requests beyond one for each shard of an admitted request.
	Extra float64 `json:"Extra"`
	// Hedges is the share of shard requests that are hedges.
	Hedges float64 `json:"Hedges"`
	// Goodput is the number of answers a second; Worth weighs them by kind.
	Goodput float64 `json:"Goodput"`
	Worth   float64 `json:"Worth"`
	// Overtaken is the number of requests without an answer that waited while a less worthy one was
	// started.
	Overtaken int `json:"Overtaken"`
	// ColdOver is the number of requests that reached a cold server above what it bore, of
	// ColdReceived in all, after its first answer could show that it is cold; ColdUnseen is the
	// number before.
	ColdOver     int `json:"ColdOver"`
	ColdUnseen   int `json:"ColdUnseen"`
	ColdReceived int `json:"ColdReceived"`
	Crashes      int `json:"Crashes"`
	Sheds        int `json:"Sheds"`
	// LastNewWork is the longest time from taking a server out until its last new request.
	LastNewWork wire.Duration `json:"LastNewWork"`
	// FullUse is the mean time from the start of a cold phase until the server is warm and may use
	// all its slots; Ramps is the number of such phases.
	FullUse wire.Duration `json:"FullUse"`
	Ramps   int           `json:"Ramps"`

	// Bureau and Cooperative are the scores by the weights of both users.
	Bureau      float64 `json:"Bureau"`
	Cooperative float64 `json:"Cooperative"`

	latencies, ideals *hdr.Histogram
	covered, asked    int
	sends, firsts     int
	hedges            int
	answers           int
	wanted            int
	// worth and offered weigh the requests answered and sent; moveWorth and moveOffered those that
	// arrived while a failure domain moved.
	worth, offered         float64
	moveWorth, moveOffered float64
	ramped                 time.Duration
	span                   time.Duration
	warmup                 time.Duration
}

// KindResult holds the figures of one kind of request.
type KindResult struct {
	Sent     int `json:"Sent"`
	Answered int `json:"Answered"`
	Refused  int `json:"Refused"`
}

func newResult(c Case, p Policy, seed uint64) Result {
	return Result{
		Case: c.Name, Policy: p.Name, Seed: seed, Seeds: 1, Kinds: make(map[string]KindResult),
		latencies: hdr.New(1, time.Minute.Microseconds(), 3), ideals: hdr.New(1, time.Minute.Microseconds(), 3),
		span: c.Duration - c.Warmup, warmup: c.Warmup,
	}
}

func (r *Result) sent(v sched.Send) {
	r.sends++
	if v.Purpose == sched.Primary || v.Purpose == sched.Canary {
		r.firsts++
	}
	if v.Purpose == sched.Hedge {
		r.hedges++
	}
}

// add includes the end of a request and reports whether it was answered.
func (r *Result) add(w *world, q *request, f sched.Finished) bool {
	asked := q.shards
	covered := asked - len(f.Missing)
	answered := f.Failure == nil && float64(covered) >= q.kind.MinCoverage*float64(asked)
	if q.arrived < r.warmup || q.poison {
		return answered
	}
	k := r.Kinds[q.kind.Name]
	k.Sent++
	r.wanted += asked
	r.offered += q.kind.Worth
	if q.moving {
		r.moveOffered += q.kind.Worth
	}
	if !answered {
		k.Refused++
		if w.overtaken(q) {
			r.Overtaken++
		}
		r.Kinds[q.kind.Name] = k
		return false
	}
	k.Answered++
	r.Kinds[q.kind.Name] = k
	r.asked += asked
	r.covered += covered
	r.answers++
	r.worth += q.kind.Worth
	if q.moving {
		r.moveWorth += q.kind.Worth
	}
	// Latencies are below the range's minute, so recording cannot fail.
	_ = r.latencies.RecordValue((w.now - q.arrived).Microseconds())
	if q.ideal > 0 {
		_ = r.ideals.RecordValue(q.ideal.Microseconds())
	}
	return true
}

func (r *Result) close(w *world) {
	r.summarize()
	for _, v := range w.order {
		r.addServer(v)
	}
}

func (r *Result) ramp(d time.Duration) {
	r.ramped += d
	r.Ramps++
}

func quantile(h *hdr.Histogram, q float64) wire.Duration {
	return wire.Duration(time.Duration(h.ValueAtQuantile(q)) * time.Microsecond)
}

func (r *Result) addServer(v *modelServer) {
	r.ColdOver += v.coldOver
	r.ColdUnseen += v.coldUnseen
	r.ColdReceived += v.coldReceived
	r.Crashes += v.crashes
	r.Sheds += v.sheds
	if v.afterMark > 0 && v.markedAt > 0 {
		r.LastNewWork = max(r.LastNewWork, wire.Duration(v.lastMarked-v.markedAt))
	}
}

// Run runs a case with a policy. The same seed gives the same result.
func Run(c Case, p Policy, seed uint64) Result {
	return newWorld(c, p, seed).run()
}

// RunRecorded is Run with a trace of each finished request.
func RunRecorded(c Case, p Policy, seed uint64, r *Recorder) Result {
	w := newWorld(c, p, seed)
	w.recorder = r
	return w.run()
}

func formatFactor(f float64) string {
	return fmt.Sprintf("%gx", f)
}
