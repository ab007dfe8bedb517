package route

import (
	"time"

	hdr "github.com/HdrHistogram/hdrhistogram-go"
)

const (
	// averageWeight is the weight of a new sample in a server's moving average.
	averageWeight = 0.2
	// longestLatency is the highest latency that a distribution tells apart.
	longestLatency = time.Minute
	// significantDigits bounds the error of a quantile to 1%.
	significantDigits = 2
	// windowSamples is the number of samples after which the older half is dropped, so that
	// quantiles follow a change of load within one window.
	windowSamples = 4096
	// minSamples is the fewest samples from which a quantile is taken.
	minSamples = 50
	// mergeShare is the part of the samples after which quantiles are computed again.
	mergeShare = 16
)

// Average is an exponentially weighted moving average of latencies.
type Average struct {
	value time.Duration
}

// Add includes a sample.
func (a *Average) Add(d time.Duration) {
	if a.value == 0 {
		a.value = d
		return
	}
	a.value += time.Duration(averageWeight * float64(d-a.value))
}

// Value returns the average; 0 means no sample yet.
func (a *Average) Value() time.Duration {
	return a.value
}

// Distribution estimates quantiles of recent latencies.
type Distribution struct {
	windows *hdr.WindowedHistogram
	merged  *hdr.Histogram
	// known holds quantiles of merged that were asked for.
	known   []quantile
	samples int
	added   int
	fresh   int
	total   int
}

type quantile struct {
	share float64
	value time.Duration
}

// NewDistribution returns an empty distribution of windowSamples.
func NewDistribution() *Distribution { return NewDistributionOf(windowSamples) }

// NewDistributionOf returns an empty distribution of the last samples, of which the older half is dropped
// at a time.
func NewDistributionOf(samples int) *Distribution {
	return &Distribution{
		samples: samples,
		windows: hdr.NewWindowed(2, 1, longestLatency.Microseconds(), significantDigits),
	}
}

// Add includes a sample.
func (d *Distribution) Add(v time.Duration) {
	us := min(max(v.Microseconds(), 1), longestLatency.Microseconds())
	// The value is within the histogram's range, so recording cannot fail.
	_ = d.windows.Current.RecordValue(us)
	d.added++
	d.fresh++
	d.total++
	if d.added >= d.samples/2 {
		d.windows.Rotate()
		d.added = 0
		d.merged = nil
	}
}

// Quantile returns the latency below which the share q of samples lies. It returns false while
// there are too few samples.
func (d *Distribution) Quantile(q float64) (time.Duration, bool) {
	if d.total < minSamples {
		return 0, false
	}
	// Merging the windows costs more than a decision may, so the result is kept until enough
	// samples have come in to change it.
	if d.merged == nil || d.fresh >= min(d.total, d.samples)/mergeShare {
		d.merged = d.windows.Merge()
		d.known = d.known[:0]
		d.fresh = 0
	}
	for _, k := range d.known {
		if k.share == q {
			return k.value, true
		}
	}
	v := time.Duration(d.merged.ValueAtQuantile(q*100)) * time.Microsecond
	d.known = append(d.known, quantile{q, v})
	return v, true
}
