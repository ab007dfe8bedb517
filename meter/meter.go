// Package meter counts what a node does and serves the counts to scrapers.
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
	// reportInterval is how often counters are handed to the reporter.
	reportInterval = time.Second
	metricPrefix   = "arbutusthread"
)

// Metrics are the counters and timers of a node.
type Metrics struct {
	scope tally.Scope
	// counters keeps the counters by name and tags, because tagging a scope for each shard request
	// costs more than counting.
	counters sync.Map
	// histograms does the same for histograms.
	histograms sync.Map
	closer     io.Closer
	handler    http.Handler
}

// New returns metrics tagged with the node's name and failure domain.
func New(name, domain string) *Metrics {
	// A registry of its own allows several nodes in one process.
	registry := client.NewRegistry()
	reporter := prometheus.NewReporter(prometheus.Options{Registerer: registry, Gatherer: registry})
	scope, closer := tally.NewRootScope(tally.ScopeOptions{
		Prefix: metricPrefix, CachedReporter: reporter, Separator: prometheus.DefaultSeparator,
		Tags: map[string]string{"node": name, "failure_domain": domain}, SanitizeOptions: &prometheus.DefaultSanitizerOpts,
		OmitCardinalityMetrics: true,
	}, reportInterval)
	return &Metrics{scope: scope, closer: closer, handler: reporter.HTTPHandler()}
}

// Count adds one to a counter with tags given as name and value in turn.
func (m *Metrics) Count(name string, tags ...string) {
	key := name + "\x00" + strings.Join(tags, "\x00")
	c, ok := m.counters.Load(key)
	if !ok {
		c, _ = m.counters.LoadOrStore(key, m.scope.Tagged(tagMap(tags)).Counter(name))
	}
	c.(tally.Counter).Inc(1)
}

// Counter returns a counter for code that counts often.
func (m *Metrics) Counter(name string, tags ...string) tally.Counter {
	return m.scope.Tagged(tagMap(tags)).Counter(name)
}

// Time records a duration.
func (m *Metrics) Time(name string, d time.Duration, tags ...string) {
	m.scope.Tagged(tagMap(tags)).Timer(name).Record(d)
}

// latencyBuckets are the bounds of latency histograms. They are close to each other around the
// response-time objectives of 50 to 500 ms.
var latencyBuckets = tally.DurationBuckets{
	5 * time.Millisecond, 10 * time.Millisecond, 20 * time.Millisecond, 30 * time.Millisecond, 40 * time.Millisecond,
	50 * time.Millisecond, 60 * time.Millisecond, 80 * time.Millisecond, 100 * time.Millisecond, 120 * time.Millisecond,
	200 * time.Millisecond, 300 * time.Millisecond, 500 * time.Millisecond, time.Second, 2 * time.Second, 5 * time.Second,
}

// Latency records a latency in a histogram.
func (m *Metrics) Latency(name string, d time.Duration, tags ...string) {
	key := name + "\x00" + strings.Join(tags, "\x00")
	h, ok := m.histograms.Load(key)
	if !ok {
		h, _ = m.histograms.LoadOrStore(key, m.scope.Tagged(tagMap(tags)).Histogram(name, latencyBuckets))
	}
	h.(tally.Histogram).RecordDuration(d)
}

// Gauge sets a value.
func (m *Metrics) Gauge(name string, v float64, tags ...string) {
	m.scope.Tagged(tagMap(tags)).Gauge(name).Update(v)
}

// Handler serves the metrics in the text format that scrapers read.
func (m *Metrics) Handler() http.Handler {
	return m.handler
}

// Close stops reporting.
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
