package load

import (
	"math"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/arbutusthread/arbutusthread/wire"
)

const (
	// maxLatency is the largest latency that is recorded; longer latencies are clamped to it.
	maxLatency = 10 * time.Minute
	// significantDigits is the precision of recorded latencies, in significant decimal digits.
	significantDigits = 3
)

// plotPercentiles are the percentiles of the latency curve in reports and plots.
var plotPercentiles = []float64{0, 10, 25, 50, 75, 90, 95, 98, 99, 99.5, 99.9, 99.95, 99.99, 99.999}

// Collector aggregates the results of a run. It is safe for concurrent use.
type Collector struct {
	config Config

	mu       sync.Mutex
	kinds    []*tally
	timeline []Interval
}

// tally aggregates the results of one kind of request.
type tally struct {
	kind     Kind
	counts   Counts
	latency  *hdrhistogram.Histogram
	coverage float64
}

func newTally(k Kind) *tally {
	return &tally{kind: k, latency: hdrhistogram.New(1, maxLatency.Microseconds(), significantDigits)}
}

// NewCollector returns an empty collector for the kinds of c.
func NewCollector(c Config) *Collector {
	c = c.withDefaults()
	v := &Collector{config: c}
	for _, k := range c.Kinds {
		v.kinds = append(v.kinds, newTally(k))
	}
	return v
}

// Add records the result of a request. The latency is measured from its intended start. A request
// of a kind that is not in the configuration is ignored.
func (v *Collector) Add(q Request, latency time.Duration, r Result) {
	v.mu.Lock()
	defer v.mu.Unlock()
	for _, t := range v.kinds {
		if t.kind.Name == q.Kind.Name {
			t.add(latency, r)
			v.intervalAt(q.At).add(r)
			return
		}
	}
}

func (t *tally) add(latency time.Duration, r Result) {
	t.counts.add(r)
	if r.Outcome != wire.Answered {
		return
	}
	t.coverage += r.Coverage
	us := min(max(1, latency.Microseconds()), maxLatency.Microseconds())
	_ = t.latency.RecordValue(us) // cannot fail within the bounds
}

func (v *Collector) intervalAt(at time.Duration) *Interval {
	n := int(at / v.config.Bucket)
	for len(v.timeline) <= n {
		from := time.Duration(len(v.timeline)) * v.config.Bucket
		v.timeline = append(v.timeline, Interval{From: wire.Duration(from)})
	}
	return &v.timeline[n]
}

// Report returns a report of the results so far. The goodput is the average over sending, the time
// during which requests were sent.
func (v *Collector) Report(sending time.Duration) *Report {
	v.mu.Lock()
	defer v.mu.Unlock()
	c := v.config
	r := &Report{
		Title: c.Title, Arrivals: c.Arrivals, Rate: c.Rate, Seed: c.Seed, Sending: wire.Duration(sending),
		Timeline: append([]Interval{}, v.timeline...),
	}
	all := newTally(Kind{Name: "all"})
	worth := 0.0
	for _, t := range v.kinds {
		k := t.report(sending)
		r.Kinds = append(r.Kinds, k)
		all.counts.merge(t.counts)
		all.coverage += t.coverage
		all.latency.Merge(t.latency)
		worth += k.WorthGoodput
	}
	r.All = all.report(sending)
	r.All.WorthGoodput = worth
	return r
}

func (t *tally) report(sending time.Duration) KindReport {
	k := KindReport{
		Kind: t.kind.Name, Worth: t.kind.Worth, Counts: t.counts,
		P50: t.percentile(50), P99: t.percentile(99), P999: t.percentile(99.9),
	}
	if t.counts.Answered > 0 {
		k.MeanCoverage = t.coverage / float64(t.counts.Answered)
	}
	if sending > 0 {
		k.Goodput = float64(t.counts.Answered) / sending.Seconds()
	}
	k.WorthGoodput = k.Goodput * t.kind.Worth
	for _, p := range plotPercentiles {
		// A percentile beyond the last sample would only repeat the value of that sample.
		if float64(t.counts.Answered)*(100-p) < 99.9999 {
			break
		}
		k.Percentiles = append(k.Percentiles, Percentile{Percent: p, Latency: t.percentile(p)})
	}
	return k
}

func (t *tally) percentile(percent float64) wire.Duration {
	if t.latency.TotalCount() == 0 {
		return 0
	}
	us := t.latency.ValueAtPercentile(percent)
	if percent == 0 {
		us = t.latency.Min()
	}
	return wire.Duration(time.Duration(us) * time.Microsecond)
}

// percentilePosition returns the position of a percentile on a logarithmic axis, on which each additional nine
// takes the same width.
func percentilePosition(percent float64) float64 {
	return -math.Log10(1 - percent/100)
}
