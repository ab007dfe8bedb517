package front

import (
	"context"
	"fmt"
	"log/slog"
	"net"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/sebdah/goldie/v2"

	"github.com/arbutusthread/arbutusthread/back"
	"github.com/arbutusthread/arbutusthread/fake"
	"github.com/arbutusthread/arbutusthread/gather"
	"github.com/arbutusthread/arbutusthread/meter"
	"github.com/arbutusthread/arbutusthread/node"
	"github.com/arbutusthread/arbutusthread/table"
	"github.com/arbutusthread/arbutusthread/wire"
)

// recorder records log lines without the values that differ from run to run.
type recorder struct {
	mu    sync.Mutex
	lines []string
}

func (r *recorder) Write(line []byte) (int, error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.lines = append(r.lines, string(line))
	return len(line), nil
}

func (r *recorder) logger() *slog.Logger {
	varying := []string{"time", "Age", "Duration", "After", "Stack"}
	return slog.New(slog.NewTextHandler(r, &slog.HandlerOptions{ReplaceAttr: func(_ []string, a slog.Attr) slog.Attr {
		if slices.Contains(varying, a.Key) {
			return slog.Attr{}
		}
		return a
	}}))
}

// find returns the lines that contain the text.
func (r *recorder) find(text string) []string {
	r.mu.Lock()
	defer r.mu.Unlock()
	var list []string
	for _, l := range r.lines {
		if strings.Contains(l, text) {
			list = append(list, l)
		}
	}
	return list
}

// largeBackend is a node that answers requests of /lookup/large itself, with more than the buffers of a connection hold.
type largeBackend struct{ *node.Node }

func (b largeBackend) Serve(ctx context.Context, r *node.Request) (node.Outcome, error) {
	if r.Forward.URI != "/lookup/large" {
		return b.Node.Serve(ctx, r)
	}
	reply := &back.Reply{Status: http.StatusOK, Body: make([]byte, 64<<20)}
	return node.Outcome{Finished: gather.Finished{End: gather.Complete, Answered: 1, Total: 1}, Parts: []*node.Part{{Reply: reply}}}, nil
}

// loggedNode serves a node of a fixture on a second address and records the log.
type loggedNode struct {
	*runningNode
	log     *recorder
	server  *Server
	metrics *meter.Metrics
}

func startLogged(f *fixture, leave func(time.Time)) *loggedNode {
	f.Helper()
	n := &loggedNode{log: &recorder{}, metrics: meter.New("node-0", "lukang")}
	f.Cleanup(func() { n.metrics.Close() })
	log := n.log.logger()
	n.server = NewServer(ServerConfig{Handler: NewHandler(Config{
		Backend: largeBackend{f.nodes[0].Node}, Headers: wire.DefaultHeaders(), Metrics: n.metrics, Log: log,
	}), Limits: func() table.Limits { return table.Limits{} }, Log: log})
	ctx, stop := context.WithCancel(context.Background())
	n.runningNode = &runningNode{
		Node: f.nodes[0].Node, caller: netip.AddrPortFrom(loopback(0), freePort(f.T)), stop: stop, stopped: make(chan error, 1),
	}
	go func() {
		n.stopped <- Serve(ctx, &Runtime{
			CallerAddress: n.caller, Server: n.server, Leave: leave, StopTime: func() time.Duration { return f.stopTime }, Log: log,
			Run: func(ctx context.Context) error { <-ctx.Done(); return nil },
		})
	}()
	f.Cleanup(stop)
	f.waitFor("the node listens", func() bool {
		c, err := new(net.Dialer).DialContext(f.Context(), "tcp", n.caller.String())
		if err != nil {
			return false
		}
		return c.Close() == nil
	})
	f.waitFor("the connection of the check is closed", func() bool { return n.connections() == 0 })
	return n
}

func (n *loggedNode) requests() int    { r, _ := n.server.conns.open(); return r }
func (n *loggedNode) connections() int { _, c := n.server.conns.open(); return c }

// requestsAt returns the number of requests in a phase.
func (n *loggedNode) requestsAt(p phase) (count int) {
	n.server.conns.mu.Lock()
	defer n.server.conns.mu.Unlock()
	for _, c := range n.server.conns.conns {
		c.update(func(r *openRequest) {
			_, submitted := n.Progress(r.query)
			if !r.started.IsZero() && r.phase == p && (p != serving || submitted) {
				count++
			}
		})
	}
	return count
}

// request sends a request on a new connection.
func (f *fixture) request(n *loggedNode, method, id, uri string) net.Conn {
	f.Helper()
	c, _ := f.dial(n.runningNode)
	length := 0
	if method == http.MethodPost {
		length = 100 // of which nothing is sent
	}
	fmt.Fprintf(c, "%s %s HTTP/1.1\r\nHost: ledger.example\r\nRequest-Id: %s\r\nContent-Length: %d\r\n\r\n", method, uri, id, length)
	return c
}

// Guards against a stop that does not tell which requests it cuts off, what they wait for and whether they may have run.
func TestStopLogsWhatItCutsOff(t *testing.T) {
	is := is.New(t)
	f := newFixtureWithStopTime(t, 2*time.Second, "lukang")
	s := f.startServer("ledger", "lukang", fake.RoutedConfig{Slots: 64, Faults: fake.RoutedFaults{Hang: 1}})
	f.publishRoutes()
	n := startLogged(f, func(time.Time) {})
	f.request(n, http.MethodGet, "at-server", "/payment/x")
	f.waitFor("the server runs the request", func() bool { return len(s.Runs()) == 1 })
	f.request(n, http.MethodPost, "body", "/payment/x")
	f.request(n, http.MethodGet, "writing", "/lookup/large")
	f.dial(n.runningNode)
	f.waitFor("each is in its phase", func() bool {
		return n.requestsAt(reading) == 1 && n.requestsAt(serving) == 1 && n.requestsAt(writing) == 1 && n.connections() == 4
	})
	n.stop()
	is.NoErr(<-n.stopped)
	lines := slices.Concat(n.log.find("msg=\"node "), n.log.find("level=WARN msg=\"request aborted"), n.log.find("connections aborted"))
	slices.Sort(lines)
	goldie.New(t).Assert(t, "stop", []byte(strings.Join(lines, "")))
}

// Guards against a request that waits for capacity and is taken for one that a server may have run.
func TestAbortTellsWhatWaitsForCapacity(t *testing.T) {
	is := is.New(t)
	f, s := newLedgerFixture(t, fake.RoutedConfig{Slots: 64, Connections: 100, Faults: fake.RoutedFaults{Hang: 1}})
	n := startLogged(f, func(time.Time) {})
	for i := range 60 {
		f.request(n, http.MethodGet, fmt.Sprint("r", i), "/payment/x")
	}
	f.waitFor("all are submitted", func() bool { return n.requestsAt(serving) == 60 })
	runs := s.Runs()
	n.server.Close()
	is.True(len(runs) > 0)
	for _, r := range runs {
		is.Equal(len(n.log.find("RequestId="+r.RequestID+" Route=payment WaitsFor=\"answer of server ledger-lukang\" MayHaveRun=true")), 1)
	}
	is.True(len(n.log.find("WaitsFor=capacity MayHaveRun=false")) > 0)
	n.stop()
	is.NoErr(<-n.stopped)
}

// Guards against a stop that does not tell what became of the requests that it did not cut off, and against metrics that
// miss them.
func TestStopCountsEndsOfRequests(t *testing.T) {
	is := is.New(t)
	f := newFixtureWithStopTime(t, 2*time.Second, "lukang")
	f.startServer("ledger", "lukang", fake.RoutedConfig{Slots: 64})
	f.publishRoutes()
	n := startLogged(f, f.nodes[0].Leave)
	idle, in := f.dial(n.runningNode)
	fmt.Fprint(idle, "GET /lookup/0 HTTP/1.1\r\nHost: ledger.example\r\nRequest-Id: r0\r\n\r\n")
	_, _, err := readResponse(in)
	is.NoErr(err)
	f.waitFor("the first request has ended", func() bool { return n.requests() == 0 })
	f.servers["ledger-lukang"].SetFaults(fake.RoutedFaults{Hang: 1})
	f.request(n, http.MethodGet, "hanging", "/payment/x")
	gone := f.request(n, http.MethodGet, "gone", "/payment/x")
	f.waitFor("both are received", func() bool { return n.requests() == 2 })
	n.stop()
	f.waitFor("the stop has begun", func() bool { return len(n.log.find("node shutting down")) == 1 })
	gone.Close()
	f.request(n, http.MethodGet, "unknown", "/other/x")
	f.waitFor("the unknown route is refused", func() bool { return len(n.log.find("Reason=\"no route matches\"")) == 1 })
	f.waitFor("the metrics are served", func() bool {
		w := httptest.NewRecorder()
		n.metrics.Handler().ServeHTTP(w, httptest.NewRequestWithContext(t.Context(), http.MethodGet, "/metrics", nil))
		for _, name := range []string{"requests_disconnected{by=\"caller\"", "requests_ended_by_stop{", "connections_closed{"} {
			if !strings.Contains(w.Body.String(), "arbutusthread_"+name) {
				return false
			}
		}
		return strings.Contains(w.Body.String(), `reason="stop"`)
	})
	is.NoErr(<-n.stopped)
	begin, end := n.log.find("node shutting down"), n.log.find("node stopped")
	is.Equal(len(begin), 1)
	is.Equal(len(end), 1)
	is.True(strings.Contains(begin[0], "Requests=2 Connections=3"))
	is.True(strings.Contains(end[0], "Answered=0 Refused=1 EndedByStop=1 Disconnected=1 Aborted=0 AbortedConnections=0"))
	is.Equal(len(n.log.find("request held")), 3) // both at SIGTERM, and the hanging one when the listener closes
	is.Equal(len(n.log.find("RequestId=hanging Route=payment")), 3)
	is.Equal(len(n.log.find("level=WARN")), 0)
}

// Guards against a log that blames the caller for a connection that this node has closed, or the reverse.
func TestDisconnectNamesWhoClosed(t *testing.T) {
	is := is.New(t)
	f, s := newLedgerFixture(t, fake.RoutedConfig{Slots: 64, Faults: fake.RoutedFaults{Hang: 1}})
	n := startLogged(f, func(time.Time) {})
	past := time.Unix(1, 0)
	// serverSide returns the node's end of the only connection.
	serverSide := func() net.Conn {
		n.server.conns.mu.Lock()
		defer n.server.conns.mu.Unlock()
		for c := range n.server.conns.conns {
			return c
		}
		return nil
	}
	for i, x := range []struct {
		close func(c net.Conn)
		line  string
	}{
		{func(c net.Conn) { c.Close() }, `level=INFO msg="caller disconnected" RequestId=%s Route=payment ClosedBy=caller Cause="caller closed"`},
		{func(c net.Conn) { _ = c.(*net.TCPConn).SetLinger(0); c.Close() }, `level=INFO msg="caller disconnected" RequestId=%s Route=payment ClosedBy=caller Cause="reset or timeout"`},
		{func(net.Conn) {
			n.server.conns.setCloseCause(serverSide(), false)
			_ = serverSide().SetReadDeadline(past)
		}, `level=WARN msg="request canceled although the caller has not disconnected" RequestId=%s Route=payment ClosedBy=node Cause="idle timeout"`},
		{func(net.Conn) { _ = serverSide().SetReadDeadline(past) }, `level=WARN msg="request canceled although the caller has not disconnected" RequestId=%s Route=payment ClosedBy=node Cause=unknown`},
		// A connection whose close this node has requested may still serve a request, whose caller then leaves.
		{func(c net.Conn) { n.server.conns.setCloseCause(serverSide(), true); c.Close() }, `level=INFO msg="caller disconnected" RequestId=%s Route=payment ClosedBy=caller Cause="caller closed"`},
		{func(net.Conn) { n.server.Close() }, `level=WARN msg="request aborted" RequestId=%s Route=payment WaitsFor="answer of server ledger-lukang" MayHaveRun=true`},
	} {
		id := fmt.Sprint("r", i)
		c := f.request(n, http.MethodGet, id, "/payment/x")
		f.waitFor("the server runs the request", func() bool { return len(s.Runs()) == i+1 })
		x.close(c)
		f.waitFor("the end is logged", func() bool { return len(n.log.find("RequestId="+id+" ")) > 0 })
		f.waitFor("the connection is closed", func() bool { return n.connections() == 0 })
		is.Equal(n.log.find("RequestId="+id+" "), []string{fmt.Sprintf(x.line, id) + "\n"})
	}
	n.stop()
	is.NoErr(<-n.stopped)
}

// Guards against a body that is cut by a read deadline of this node and is taken for a fault of the caller.
func TestUnreadBodyNamesWhoClosed(t *testing.T) {
	is := is.New(t)
	f, _ := newLedgerFixture(t, fake.RoutedConfig{})
	n := startLogged(f, func(time.Time) {})
	f.request(n, http.MethodPost, "r", "/order/x")
	f.waitFor("the request is received", func() bool { return n.requests() == 1 })
	n.server.conns.mu.Lock()
	for c := range n.server.conns.conns {
		_ = c.SetReadDeadline(time.Unix(1, 0))
	}
	n.server.conns.mu.Unlock()
	f.waitFor("the end is logged", func() bool { return len(n.log.find("failed to read request body")) == 1 })
	is.True(strings.Contains(n.log.find("failed to read request body")[0], "level=WARN"))
	is.True(strings.Contains(n.log.find("failed to read request body")[0], "ClosedBy=node"))
	n.stop()
	is.NoErr(<-n.stopped)
}

// Guards against an abort that writes more lines than there is time for, or that omits how many it has left out.
func TestAbortLinesAreBounded(t *testing.T) {
	is := is.New(t)
	var r recorder
	s := newConnSet(http.NotFoundHandler())
	for range maxRequestLines + 50 {
		c, _ := net.Pipe()
		connOf(s.add(t.Context(), c)).begin()
	}
	cut := s.abort(time.Now())
	cut.log(r.logger())
	is.Equal(len(r.find(`msg="request aborted"`)), maxRequestLines)
	is.Equal(r.find("further"), []string{"level=WARN msg=\"further requests aborted\" Requests=50\n"})
	is.Equal(s.endCounts()[endAborted], int64(maxRequestLines+50))
}

// Guards against a request that fails without a line because its handler panics.
func TestPanicOfHandlerIsLogged(t *testing.T) {
	is := is.New(t)
	var r recorder
	s := NewServer(ServerConfig{
		Handler: http.HandlerFunc(func(http.ResponseWriter, *http.Request) { panic("index out of range") }), Log: r.logger(),
	})
	server := httptest.NewUnstartedServer(nil)
	server.Config = s.http
	server.Start()
	defer server.Close()
	request, err := http.NewRequestWithContext(t.Context(), http.MethodGet, server.URL, nil)
	is.NoErr(err)
	response, err := http.DefaultClient.Do(request)
	is.NoErr(err)
	defer response.Body.Close()
	is.Equal(response.StatusCode, http.StatusBadGateway)
	is.Equal(len(r.find(`level=ERROR msg="request caused a panic"`)), 1)
}
