package front

import (
	"fmt"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/arbutusthread/arbutusthread/fake"
)

// Guards against metrics that are documented on the operations page but missing from the metrics endpoint.
func TestMetricsAreServed(t *testing.T) {
	is := is.New(t)
	f, _ := newLedgerFixture(t, fake.RoutedConfig{})
	is.Equal(f.send(f.nodes[0], http.MethodGet, "/lookup/x", "").status, http.StatusOK)
	ops := OpsHandler(f.nodes[0].Node, nopLog)
	scrape := func() string {
		w := httptest.NewRecorder()
		ops.ServeHTTP(w, httptest.NewRequestWithContext(t.Context(), http.MethodGet, "/metrics", nil))
		is.Equal(w.Code, http.StatusOK)
		return w.Body.String()
	}
	for _, name := range []string{
		`requests{`, `request_latency_bucket{`, `attempts{`, `config_version{`, `platform_revision{`,
		`platform_age_seconds{`, `reader_rank{`, `members{`, `requests_open{`, `attempts_open{`, `shards_waiting{`,
		`servers{`, `servers_ejected{`, `nodes_sharing{`, `goroutines{`, `platform_reads{`,
	} {
		f.waitFor("the metric "+name+" is served", func() bool { return strings.Contains(scrape(), "arbutusthread_"+name) })
	}
	f.waitFor("the request is counted", func() bool {
		for line := range strings.Lines(scrape()) {
			if strings.HasPrefix(line, "arbutusthread_requests{") && strings.Contains(line, `route="lookup"`) {
				return strings.Contains(line, `status="200"`) && strings.HasSuffix(line, "} 1\n")
			}
		}
		time.Sleep(100 * time.Millisecond)
		return false
	})
}

// Guards against metric cardinality that grows with the number of requested routes.
func TestRouteLabelsAreBounded(t *testing.T) {
	is := is.New(t)
	var n routeLabels
	names := map[string]bool{}
	for i := range 10 * maxRouteLabels {
		names[n.label(fmt.Sprint("route-", i))] = true
	}
	is.Equal(len(names), maxRouteLabels+1)
	is.Equal(n.label("route-0"), "route-0")
	is.Equal(n.label("route-999"), otherRoutesLabel)
}
