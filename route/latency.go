package route

import (
	"time"

	hdr "github.com/HdrHistogram/hdrhistogram-go"
)

const (
	// smoothingFactor is the weight of a new sample in the moving average of a server's latency.
	smoothingFactor = 0.2
	// maxLatency is the highest latency that a distribution records; higher ones are clamped to it.
	maxLatency = time.Minute
	// significantDigits is the histogram precision in decimal digits; 2 bounds the quantile error to 1%.
	significantDigits = 2
	// windowSamples is the default window of a distribution, in samples. The older half of a full window
	// is dropped, so quantiles follow a change in load within one window.
	windowSamples = 4096
	// minSamples is the minimum number of samples for a quantile estimate.
	minSamples = 50
	// refreshDivisor sets how often quantiles are recomputed: after 1/refreshDivisor of the samples in the
	// window are new.
	refreshDivisor = 16
)

// MovingAverage is an exponentially weighted moving average of latencies.
type MovingAverage struct {
	value time.Duration
}

// Add adds a sample.
func (a *MovingAverage) Add(d time.Duration) {
	if a.value == 0 {
		a.value = d
		return
	}
	a.value += time.Duration(smoothingFactor * float64(d-a.value))
}

// Value returns the average, or 0 if there are no samples yet.
func (a *MovingAverage) Value() time.Duration {
	return a.value
}

// Distribution estimates quantiles of recent latencies.
type Distribution struct {
	windows *hdr.WindowedHistogram
	merged  *hdr.Histogram
	// cached holds the quantiles of merged that have been computed.
	cached      []quantile
	windowSize  int
	sinceRotate int
	sinceMerge  int
	total       int
}

type quantile struct {
	q     float64
	value time.Duration
}

// NewDistribution returns an empty distribution with a window of windowSamples.
func NewDistribution() *Distribution { return NewDistributionWithWindow(windowSamples) }

// NewDistributionWithWindow returns an empty distribution over a window of the given number of samples. Old
// samples are dropped half a window at a time.
func NewDistributionWithWindow(samples int) *Distribution {
	return &Distribution{
		windowSize: samples,
		windows:    hdr.NewWindowed(2, 1, maxLatency.Microseconds(), significantDigits),
	}
}

// Add adds a sample, clamped to the range from 1 µs to maxLatency.
func (d *Distribution) Add(v time.Duration) {
	us := min(max(v.Microseconds(), 1), maxLatency.Microseconds())
	// The value is within the histogram's range, so recording cannot fail.
	_ = d.windows.Current.RecordValue(us)
	d.sinceRotate++
	d.sinceMerge++
	d.total++
	if d.sinceRotate >= d.windowSize/2 {
		d.windows.Rotate()
		d.sinceRotate = 0
		d.merged = nil
	}
}

// Quantile returns the latency at quantile q, from 0 to 1. It returns false while there are fewer than
// minSamples samples.
func (d *Distribution) Quantile(q float64) (time.Duration, bool) {
	if d.total < minSamples {
		return 0, false
	}
	// Merging the windows is too expensive for each decision, so the result is cached until enough new
	// samples have arrived to change it.
	if d.merged == nil || d.sinceMerge >= min(d.total, d.windowSize)/refreshDivisor {
		d.merged = d.windows.Merge()
		d.cached = d.cached[:0]
		d.sinceMerge = 0
	}
	for _, k := range d.cached {
		if k.q == q {
			return k.value, true
		}
	}
	v := time.Duration(d.merged.ValueAtQuantile(q*100)) * time.Microsecond
	d.cached = append(d.cached, quantile{q, v})
	return v, true
}
