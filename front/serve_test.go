package front

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/arbutusthread/arbutusthread/fake"
	"github.com/arbutusthread/arbutusthread/feed"
	"github.com/arbutusthread/arbutusthread/gather"
	"github.com/arbutusthread/arbutusthread/table"
	"github.com/arbutusthread/arbutusthread/wire"
)

func newLedgerFixture(t *testing.T, c fake.RoutedConfig) (*fixture, *fake.RoutedServer) {
	f := newFixture(t, "lukang")
	s := f.startServer("ledger", "lukang", c)
	f.publishRoutes()
	return f, s
}

// Guards against a request or response that is modified in transit, and against hop-by-hop headers that are
// forwarded.
func TestRequestsAreForwarded(t *testing.T) {
	is := is.New(t)
	f, s := newLedgerFixture(t, fake.RoutedConfig{})
	a := f.send(f.nodes[0], http.MethodPost, "/lookup/a%2Fb//c?x=1&x=2", "pairs", "Connection", "X-Hop", "X-Hop", "1", "X-End", "2")
	is.Equal(a.status, http.StatusOK)
	is.Equal(a.body, string(fake.RoutedBody("ledger-lukang", "/lookup/a%2Fb//c?x=1&x=2", 8)))
	is.Equal(a.header.Get("Answer-Seal"), fake.RoutedSeal("ledger-lukang", fmt.Sprint("r", requestCount)))
	run := s.Runs()[0]
	is.Equal(run.Method, http.MethodPost)
	is.Equal(run.URI, "/lookup/a%2Fb//c?x=1&x=2")
	is.Equal(run.Body, "pairs")
	is.True(run.Timeout <= 1500*time.Millisecond && run.Timeout > time.Second)
}

// Guards against an answer from several shards that does not consist of the top records of all shards.
func TestPartsAreMerged(t *testing.T) {
	is := is.New(t)
	f := newFixture(t, "lukang")
	var parts [][]byte
	for _, service := range []string{"a", "b", "c"} {
		f.startServer(service, "lukang", fake.RoutedConfig{})
		parts = append(parts, fake.RoutedBody(service+"-lukang", "/sweep/x", 8))
	}
	f.publishRoutes()
	a := f.send(f.nodes[0], http.MethodGet, "/sweep/x", "")
	is.Equal(a.status, http.StatusOK)
	is.Equal(a.body, string(gather.TopK(parts, 5)))
	is.Equal(len(strings.Split(a.header.Get("Part-Seals"), ",")), 3)
	is.Equal(a.header.Get("Missing-Parts"), "")
}

// Guards against an answer that does not report a missing shard, and against an answer below the minimum
// coverage.
func TestMissingPartsAreCounted(t *testing.T) {
	is := is.New(t)
	f := newFixture(t, "lukang")
	for _, service := range []string{"a", "b", "c"} {
		f.startServer(service, "lukang", fake.RoutedConfig{})
	}
	f.publishRoutes()
	f.servers["b-lukang"].SetFaults(fake.RoutedFaults{Hang: 1})
	begin := time.Now()
	a := f.send(f.nodes[0], http.MethodGet, "/sweep/x", "")
	is.Equal(a.status, http.StatusOK)
	is.Equal(a.header.Get("Missing-Parts"), "1")
	is.Equal(len(strings.Split(a.header.Get("Part-Seals"), ",")), 2)
	is.True(time.Since(begin) < 300*time.Millisecond) // within the objective
	f.servers["c-lukang"].SetFaults(fake.RoutedFaults{Hang: 1})
	a = f.send(f.nodes[0], http.MethodGet, "/sweep/x", "")
	is.Equal(a.status, http.StatusGatewayTimeout)
}

// Guards against a success without a hit that is made of the failure of the only shard's server.
func TestFailureOfTheOnlyShardIsNoSuccess(t *testing.T) {
	is := is.New(t)
	f := newFixture(t, "lukang")
	s := f.startServer("a", "lukang", fake.RoutedConfig{})
	f.publishRoutes()
	is.Equal(f.send(f.nodes[0], http.MethodGet, "/desk/x", "").status, http.StatusOK)
	for _, status := range []int{
		http.StatusFound, http.StatusNotFound, http.StatusInternalServerError, http.StatusServiceUnavailable, http.StatusGatewayTimeout,
	} {
		s.SetFaults(fake.RoutedFaults{InternalError: 1, FailureStatus: status})
		a := f.send(f.nodes[0], http.MethodGet, "/desk/x", "", "Request-Timeout", "300")
		is.True(a.status == http.StatusBadGateway || a.status == http.StatusGatewayTimeout)
		is.Equal(a.header.Get("Part-Seals"), "")
	}
}

// Guards against a status that is none, such as 000, which reaches the caller as an answer, ends a request that may be sent
// again, or holds it until its deadline.
func TestInvalidStatusIsNotPassedOn(t *testing.T) {
	is := is.New(t)
	f := newFixture(t, "lukang")
	l, err := new(net.ListenConfig).Listen(t.Context(), "tcp", "127.0.0.1:0")
	is.NoErr(err)
	defer l.Close()
	faulty := http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		c, _, err := http.NewResponseController(w).Hijack()
		if err != nil {
			return
		}
		defer c.Close()
		fmt.Fprintf(c, "HTTP/1.1 000 \r\nRequest-Id: %s\r\nAnswer-Seal: s\r\nContent-Length: 0\r\n\r\n", r.Header.Get("Request-Id"))
		time.Sleep(2 * time.Second)
	})}
	go func() { _ = faulty.Serve(l) }()
	defer faulty.Close()
	f.published.PutServer(feed.Server{
		ID: "faulty", Service: "ledger", Address: l.Addr().(*net.TCPAddr).AddrPort(), FailureDomain: "lukang", Slots: 2,
	})
	f.publishRoutes()
	begin := time.Now()
	is.Equal(f.send(f.nodes[0], http.MethodPost, "/order/x", "").status, http.StatusBadGateway)
	is.True(time.Since(begin) < 500*time.Millisecond)
	f.startServer("ledger", "yilan", fake.RoutedConfig{})
	f.waitFor("the other server is used", func() bool {
		return f.send(f.nodes[0], http.MethodGet, "/lookup/x", "").status == http.StatusOK
	})
	begin = time.Now()
	is.Equal(f.send(f.nodes[0], http.MethodGet, "/lookup/x", "").status, http.StatusOK)
	is.True(time.Since(begin) < 500*time.Millisecond)
}

// Guards against statuses with wrong guarantees: 503 means that nothing has run, 502 and 504 leave this open,
// and 404 is returned only if a configuration is present.
func TestStatuses(t *testing.T) {
	is := is.New(t)
	f := newFixture(t, "lukang")
	f.startServer("ledger", "lukang", fake.RoutedConfig{})
	a := f.send(f.nodes[0], http.MethodGet, "/lookup/x", "")
	is.Equal(a.status, http.StatusServiceUnavailable)
	is.True(a.header.Get("Retry-After") != "")
	f.publishRoutes()
	is.Equal(f.send(f.nodes[0], http.MethodGet, "/other/x", "").status, http.StatusNotFound)
	is.Equal(f.send(f.nodes[0], http.MethodGet, "/lookup/x", "").status, http.StatusOK)

	a = f.send(f.nodes[0], http.MethodGet, "/sweep/x", "") // none of its shards has a server
	is.Equal(a.status, http.StatusServiceUnavailable)
	is.True(a.header.Get("Retry-After") != "")

	s := f.servers["ledger-lukang"]
	s.SetFaults(fake.RoutedFaults{ResetAfterRun: 1})
	is.Equal(f.send(f.nodes[0], http.MethodPost, "/order/x", "").status, http.StatusBadGateway)
	s.SetFaults(fake.RoutedFaults{Hang: 1})
	is.Equal(f.send(f.nodes[0], http.MethodPost, "/order/x", "").status, http.StatusGatewayTimeout)
	s.SetFaults(fake.RoutedFaults{InternalError: 1})
	is.Equal(f.send(f.nodes[0], http.MethodPost, "/order/x", "").status, http.StatusInternalServerError)
	is.Equal(f.send(f.nodes[0], http.MethodPost, "/order/x", strings.Repeat("x", table.DefaultBodyBytes+1)).status,
		http.StatusRequestEntityTooLarge)
}

// Guards against a non-idempotent request that runs twice because of a server fault.
func TestOrdersRunOnce(t *testing.T) {
	is := is.New(t)
	f := newFixture(t, "lukang")
	faults := fake.RoutedFaults{ResetAfterRun: 0.2, TruncateBody: 0.2, InternalError: 0.2, ExtraResponse: 0.2}
	near := f.startServer("ledger", "lukang", fake.RoutedConfig{Faults: faults, Seed: 1})
	far := f.startServer("ledger", "yilan", fake.RoutedConfig{Faults: faults, Seed: 2})
	f.publishRoutes()
	for range 100 {
		f.send(f.nodes[0], http.MethodPost, "/order/x", "pairs")
	}
	seen := make(map[string]bool)
	for _, run := range append(near.Runs(), far.Runs()...) {
		is.True(!seen[run.RequestID])
		seen[run.RequestID] = true
	}
	is.True(len(seen) > 90)
}

// Guards against a server that continues to process a request after the caller has disconnected.
func TestCallerDisconnects(t *testing.T) {
	f, s := newLedgerFixture(t, fake.RoutedConfig{Delay: 5 * time.Second})
	c, _ := f.dial(f.nodes[0])
	fmt.Fprint(c, "GET /lookup/x HTTP/1.1\r\nHost: ledger.example\r\nRequest-Id: r\r\n\r\n")
	f.waitFor("the server runs the request", func() bool { return len(s.Runs()) == 1 })
	c.Close()
	f.waitFor("the request is canceled at the server", func() bool { return s.Runs()[0].Canceled })
}

// Guards against bytes of one request that are parsed as part of another, and against responses in the wrong
// order on a connection with pipelined requests.
func TestPersistentConnections(t *testing.T) {
	is := is.New(t)
	f, s := newLedgerFixture(t, fake.RoutedConfig{})
	c, in := f.dial(f.nodes[0])
	fmt.Fprint(c, "POST /lookup/1 HTTP/1.1\r\nHost: ledger.example\r\nRequest-Id: r1\r\nTransfer-Encoding: chunked\r\n\r\n"+
		"5\r\npairs\r\n0\r\n\r\n"+
		"POST /lookup/2 HTTP/1.1\r\nHost: ledger.example\r\nRequest-Id: r2\r\nContent-Length: 3\r\n\r\nabc"+
		"GET /lookup/3 HTTP/1.1\r\nHost: ledger.example\r\nRequest-Id: r3\r\n\r\n")
	for i := 1; i <= 3; i++ {
		a, _, err := readResponse(in)
		is.NoErr(err)
		is.Equal(a.header.Get("Request-Id"), fmt.Sprint("r", i))
		is.Equal(a.body, string(fake.RoutedBody("ledger-lukang", fmt.Sprint("/lookup/", i), 8)))
	}
	runs := s.Runs()
	is.Equal(len(runs), 3)
	is.Equal(runs[0].Body, "pairs")
	is.Equal(runs[1].Body, "abc")
}

// Guards against a request that is not answered within the timeout of its route.
func TestTimeout(t *testing.T) {
	is := is.New(t)
	f, _ := newLedgerFixture(t, fake.RoutedConfig{Faults: fake.RoutedFaults{Hang: 1}})
	begin := time.Now()
	a := f.send(f.nodes[0], http.MethodPost, "/order/x", "", "Request-Timeout", "8000")
	is.Equal(a.status, http.StatusGatewayTimeout)
	is.True(time.Since(begin) < 1250*time.Millisecond)
}

// Guards against a graceful shutdown that aborts a request, accepts a connection that it cannot serve, or
// waits for idle connections.
func TestShutdownFinishesRequests(t *testing.T) {
	is := is.New(t)
	f, s := newLedgerFixture(t, fake.RoutedConfig{Delay: 800 * time.Millisecond})
	n := f.nodes[0]
	idle, idleIn := f.dial(n)
	fmt.Fprint(idle, "GET /lookup/0 HTTP/1.1\r\nHost: ledger.example\r\nRequest-Id: r0\r\n\r\n")
	_, _, err := readResponse(idleIn)
	is.NoErr(err)
	c, in := f.dial(n)
	fmt.Fprint(c, "GET /lookup/1 HTTP/1.1\r\nHost: ledger.example\r\nRequest-Id: r1\r\n\r\n")
	f.waitFor("the server runs the request", func() bool { return len(s.Runs()) == 2 })
	begin := time.Now()
	n.stop()
	f.waitFor("the node is not ready", func() bool { return !n.Ready() })
	a, last, err := readResponse(in)
	is.NoErr(err)
	is.Equal(a.status, http.StatusOK)
	is.True(last) // the caller is asked to reconnect elsewhere
	is.NoErr(<-n.stopped)
	n.stopped <- nil
	is.True(time.Since(begin) < 2*time.Second)
	_, err = new(net.Dialer).DialContext(t.Context(), "tcp", n.caller.String())
	is.True(err != nil)
}

// Guards against an idle connection that is closed before its idle timeout, and against one that is never
// closed.
func TestIdleConnections(t *testing.T) {
	is := is.New(t)
	s := NewServer(ServerConfig{Handler: http.NotFoundHandler(), Limits: func() table.Limits {
		return table.Limits{IdleTimeout: wire.Duration(time.Second)}
	}, Log: nopLog})
	l, err := new(net.ListenConfig).Listen(t.Context(), "tcp", "127.0.0.1:0")
	is.NoErr(err)
	served := make(chan error, 1)
	go func() { served <- s.Serve(t.Context(), l) }()
	c, err := new(net.Dialer).DialContext(t.Context(), "tcp", l.Addr().String())
	is.NoErr(err)
	defer c.Close()
	in := bufio.NewReader(c)
	begin := time.Now()
	for range 2 {
		fmt.Fprint(c, "GET / HTTP/1.1\r\nHost: x\r\n\r\n")
		_, _, err := readResponse(in)
		is.NoErr(err)
		time.Sleep(800 * time.Millisecond)
	}
	_, err = in.ReadByte()
	is.True(err != nil)
	is.True(time.Since(begin) > 1800*time.Millisecond+idleGrace)
}

// Guards against a request whose body does not arrive and that holds its connection for as long as its caller wants, and
// against one that is refused only when its body has arrived.
func TestUnfinishedBodies(t *testing.T) {
	f, s := newLedgerFixture(t, fake.RoutedConfig{})
	for _, x := range []struct {
		uri    string
		length int
		status int
	}{
		{"/order/x", 100, http.StatusRequestTimeout},
		{"/unknown/x", 100, http.StatusNotFound},
		{"/order/x", table.DefaultBodyBytes + 1, http.StatusRequestEntityTooLarge},
	} {
		t.Run(x.uri+" "+strconv.Itoa(x.length), func(t *testing.T) {
			is := is.New(t)
			c, in := f.dial(f.nodes[0])
			fmt.Fprintf(c, "POST %s HTTP/1.1\r\nHost: ledger.example\r\nRequest-Id: r\r\nContent-Length: %d\r\n\r\npairs", x.uri, x.length)
			_ = c.SetReadDeadline(time.Now().Add(waitTimeout))
			a, last, err := readResponse(in)
			is.NoErr(err)
			is.Equal(a.status, x.status)
			is.True(last)
			_, err = in.ReadByte()
			is.Equal(err, io.EOF)
		})
	}
	is.New(t).Equal(len(s.Runs()), 0)
}

// Guards against a connection that is closed as idle while the head of a request is arriving.
func TestSlowHeadOnIdleConnection(t *testing.T) {
	is := is.New(t)
	s := NewServer(ServerConfig{Handler: http.NotFoundHandler(), Limits: func() table.Limits {
		return table.Limits{IdleTimeout: wire.Duration(time.Second)}
	}, Log: nopLog})
	l, err := new(net.ListenConfig).Listen(t.Context(), "tcp", "127.0.0.1:0")
	is.NoErr(err)
	go func() { _ = s.Serve(t.Context(), l) }()
	c, err := new(net.Dialer).DialContext(t.Context(), "tcp", l.Addr().String())
	is.NoErr(err)
	defer c.Close()
	in := bufio.NewReader(c)
	for range 2 {
		time.Sleep(800 * time.Millisecond)
		fmt.Fprint(c, "GET / HTTP/1.1\r\n")
		time.Sleep(table.DefaultHeaderTimeout * 8 / 10)
		fmt.Fprint(c, "Host: x\r\n\r\n")
		a, _, err := readResponse(in)
		is.NoErr(err)
		is.Equal(a.status, http.StatusNotFound)
	}
}
