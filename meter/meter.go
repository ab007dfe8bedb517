// Package meter records the metrics of a node and exposes them to Prometheus.
package meter

import (
	"io"
	"net/http"
	"strings"
	"sync"
	"time"

	client "github.com/prometheus/client_golang/prometheus"
	"github.com/uber-go/tally/v4"
	"github.com/uber-go/tally/v4/prometheus"
)

const (
	// reportInterval is the interval at which the root scope passes values to the reporter.
	reportInterval = time.Second
	metricPrefix   = "arbutusthread"
)

// Metrics holds the counters, gauges, timers and histograms of a node.
type Metrics struct {
	scope tally.Scope
	// counters caches counters by name and tags, because creating a tagged scope for each shard request
	// costs more than incrementing the counter.
	counters sync.Map
	// histograms caches histograms by name and tags, for the same reason.
	histograms sync.Map
	closer     io.Closer
	handler    http.Handler
}

// New returns Metrics whose values are all tagged with the node's name and failure domain.
func New(name, domain string) *Metrics {
	// A separate registry allows several nodes in one process.
	registry := client.NewRegistry()
	reporter := prometheus.NewReporter(prometheus.Options{Registerer: registry, Gatherer: registry})
	scope, closer := tally.NewRootScope(tally.ScopeOptions{
		Prefix: metricPrefix, CachedReporter: reporter, Separator: prometheus.DefaultSeparator,
		Tags: map[string]string{"node": name, "failure_domain": domain}, SanitizeOptions: &prometheus.DefaultSanitizerOpts,
		OmitCardinalityMetrics: true,
	}, reportInterval)
	return &Metrics{scope: scope, closer: closer, handler: reporter.HTTPHandler()}
}

// Count increments a counter by one. The tags are alternating names and values.
func (m *Metrics) Count(name string, tags ...string) {
	key := name + "\x00" + strings.Join(tags, "\x00")
	c, ok := m.counters.Load(key)
	if !ok {
		c, _ = m.counters.LoadOrStore(key, m.scope.Tagged(tagMap(tags)).Counter(name))
	}
	c.(tally.Counter).Inc(1)
}

// Counter returns a counter for callers that increment it often, which saves the lookup by name and tags.
func (m *Metrics) Counter(name string, tags ...string) tally.Counter {
	return m.scope.Tagged(tagMap(tags)).Counter(name)
}

// ObserveDuration records a duration in a timer.
func (m *Metrics) ObserveDuration(name string, d time.Duration, tags ...string) {
	m.scope.Tagged(tagMap(tags)).Timer(name).Record(d)
}

// latencyBuckets are the bucket bounds of latency histograms. They are denser around the response-time
// objectives of 50 to 500 ms.
var latencyBuckets = tally.DurationBuckets{
	5 * time.Millisecond, 10 * time.Millisecond, 20 * time.Millisecond, 30 * time.Millisecond, 40 * time.Millisecond,
	50 * time.Millisecond, 60 * time.Millisecond, 80 * time.Millisecond, 100 * time.Millisecond, 120 * time.Millisecond,
	200 * time.Millisecond, 300 * time.Millisecond, 500 * time.Millisecond, time.Second, 2 * time.Second, 5 * time.Second,
}

// ObserveLatency records a duration in a histogram.
func (m *Metrics) ObserveLatency(name string, d time.Duration, tags ...string) {
	key := name + "\x00" + strings.Join(tags, "\x00")
	h, ok := m.histograms.Load(key)
	if !ok {
		h, _ = m.histograms.LoadOrStore(key, m.scope.Tagged(tagMap(tags)).Histogram(name, latencyBuckets))
	}
	h.(tally.Histogram).RecordDuration(d)
}

// SetGauge sets a gauge to v.
func (m *Metrics) SetGauge(name string, v float64, tags ...string) {
	m.scope.Tagged(tagMap(tags)).Gauge(name).Update(v)
}

// Handler returns a handler that serves the metrics in the Prometheus text format.
func (m *Metrics) Handler() http.Handler {
	return m.handler
}

// Close stops reporting and returns the error of the underlying scope.
func (m *Metrics) Close() error {
	return m.closer.Close()
}

func tagMap(tags []string) map[string]string {
	v := make(map[string]string, len(tags)/2)
	for i := 0; i+1 < len(tags); i += 2 {
		v[tags[i]] = tags[i+1]
	}
	return v
}
