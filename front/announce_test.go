package front

import (
	"net/http"
	"strconv"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/arbutusthread/arbutusthread/fake"
)

// listedServers waits until the node lists that many servers.
func (f *fixture) listedServers(n *runningNode, servers int) {
	f.Helper()
	f.waitFor("the servers are listed", func() bool { return len(n.Status().Servers) == servers })
}

// retryAfterOf returns the Retry-After time of a response.
func retryAfterOf(t *testing.T, r response) time.Duration {
	t.Helper()
	seconds, err := strconv.ParseFloat(r.header.Get("Retry-After"), 64)
	if err != nil {
		t.Fatal(err)
	}
	return time.Duration(seconds * float64(time.Second))
}

// Guards, from the caller to the server, against requests to a server that has announced that it leaves although the list
// names it as ready, against a changed answer that announces it, and against a new process that gets no requests.
func TestServerThatLeaves(t *testing.T) {
	is := is.New(t)
	f := newFixture(t, "lukang")
	n := f.nodes[0]
	leaving := f.startServer("ledger", "lukang", fake.RoutedConfig{Faults: fake.RoutedFaults{Leaving: true}})
	f.publishRoutes()
	f.listedServers(n, 1)
	answer := f.send(n, http.MethodGet, "/lookup/1", "")
	is.Equal(answer.status, http.StatusOK)
	is.Equal(answer.header.Get("Leaving"), "1")
	is.True(!n.Status().Servers[0].LeavingSince.IsZero())
	begin := time.Now()
	refusal := f.send(n, http.MethodGet, "/lookup/2", "")
	is.Equal(refusal.status, http.StatusServiceUnavailable) // no other server is listed
	is.True(time.Since(begin) < time.Second)
	is.True(retryAfterOf(t, refusal) > 0)
	other := f.startServer("ledger", "yilan", fake.RoutedConfig{})
	f.listedServers(n, 2)
	for range 30 {
		is.Equal(f.send(n, http.MethodGet, "/lookup/3", "").status, http.StatusOK)
		is.Equal(f.send(n, http.MethodPost, "/order/3", "pairs=12").status, http.StatusOK)
	}
	is.Equal(len(leaving.Arrivals()), 1)
	is.Equal(len(other.Arrivals()), 60)

	leaving.SetFaults(fake.RoutedFaults{})
	// Requests that come one after the other all go to the faster server.
	other.SetFaults(fake.RoutedFaults{Slow: 50 * time.Millisecond})
	entry := f.serverEntry("ledger-lukang", "ledger", "lukang")
	entry.StartTime = time.UnixMilli(time.Now().UnixMilli())
	f.published.PutServer(entry)
	f.waitFor("the new process gets requests", func() bool {
		is.Equal(f.send(n, http.MethodGet, "/lookup/4", "").status, http.StatusOK)
		return len(leaving.Arrivals()) > 1
	})
}

// Guards, from the caller to the server, against requests to a server that has asked for none for a time, against callers
// that wait for it, and against a server that is not used again afterwards.
func TestServerWithPushback(t *testing.T) {
	is := is.New(t)
	const wait = 1500 * time.Millisecond
	f := newFixture(t, "lukang")
	n := f.nodes[0]
	server := f.startServer("ledger", "lukang", fake.RoutedConfig{Faults: fake.RoutedFaults{Reject: 1, RetryAfter: wait}})
	f.publishRoutes()
	f.listedServers(n, 1)
	begin := time.Now()
	first := f.send(n, http.MethodPost, "/order/1", "pairs=12") // the time-out of the route is one second
	is.Equal(first.status, http.StatusServiceUnavailable)
	is.True(time.Since(begin) < time.Second)
	rejected := server.Arrivals()[0]
	server.SetFaults(fake.RoutedFaults{})
	for time.Since(rejected) < wait-200*time.Millisecond {
		asked := time.Now()
		refusal := f.send(n, http.MethodPost, "/order/2", "pairs=12")
		is.Equal(refusal.status, http.StatusServiceUnavailable)
		is.True(!asked.Add(time.Since(asked) + retryAfterOf(t, refusal)).Before(rejected.Add(wait)))
		time.Sleep(20 * time.Millisecond)
	}
	is.Equal(len(server.Arrivals()), 1)
	f.waitFor("the server is used again", func() bool {
		return f.send(n, http.MethodPost, "/order/3", "pairs=12").status == http.StatusOK
	})
	is.True(server.Arrivals()[1].Sub(rejected) >= wait)
}
