package serve

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
	closer   io.Closer
	handler  http.Handler
}

// NewMetrics returns metrics tagged with the node's name and failure domain.
func NewMetrics(name, domain string) *Metrics {
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

// Time records a duration.
func (m *Metrics) Time(name string, d time.Duration, tags ...string) {
	m.scope.Tagged(tagMap(tags)).Timer(name).Record(d)
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
