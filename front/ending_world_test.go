package front

import (
	"bufio"
	"context"
	"net"
	"net/http"
	"net/netip"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/arbutusthread/arbutusthread/fake"
	"github.com/arbutusthread/arbutusthread/table"
)

const (
	// endingStopTime is the stop time of the nodes in the tests of this file, that of the deployments.
	endingStopTime = 6 * time.Second
	// readSlack is the time after the last byte of a request by which a node must have read it.
	readSlack = 200 * time.Millisecond
	// endingSlack is the scheduling delay that the tests allow for the end of a connection.
	endingSlack = 200 * time.Millisecond
)

// ending is what a caller saw of one request. The status is 0 if the connection ended without a complete answer.
type ending struct {
	id        string
	sent, end time.Time
	status    int
	last      bool
	body      int
	header    http.Header
	err       error
}

// newEndingFixture starts a node with one server.
func newEndingFixture(t *testing.T, c fake.RoutedConfig) (f *fixture, s *fake.RoutedServer) {
	f = newFixtureWithStopTime(t, endingStopTime, "lukang")
	c.Slots, c.Connections = 256, 512
	s = f.startServer("ledger", "lukang", c)
	config := testRoutes()
	for i := range config.Services {
		config.Services[i].Connections = 512
	}
	f.published.SetConfig(config)
	f.waitFor("the node is ready", f.nodes[0].Ready)
	return f, s
}

// awaitEnd waits until a node has stopped and returns the time that it took.
func awaitEnd(f *fixture, n *runningNode, begin time.Time) time.Duration {
	f.Helper()
	err := <-n.stopped
	took := time.Since(begin)
	n.stopped <- nil
	if err != nil {
		f.Error(err)
	}
	return took
}

// sleepUntil sleeps until a share of the stop time has passed.
func sleepUntil(begin time.Time, share float64) {
	time.Sleep(time.Until(begin.Add(time.Duration(share * float64(endingStopTime)))))
}

// requestHead returns the first line and the headers of a request.
func requestHead(method, uri, id string, headers ...string) string {
	lines := append([]string{method + " " + uri + " HTTP/1.1", "Host: ledger.example", "Request-Id: " + id, "Request-Timeout: 7500"}, headers...)
	return strings.Join(lines, "\r\n") + "\r\n\r\n"
}

// read reads an answer.
func (e *ending) read(in *bufio.Reader) *ending {
	a, last, err := readResponse(in)
	e.end, e.err = time.Now(), err
	if err == nil {
		e.status, e.last, e.body, e.header = a.status, last, len(a.body), a.header
	}
	return e
}

// ranOf returns how many times a server began to run a request.
func ranOf(s *fake.RoutedServer, id string) int {
	n := 0
	for _, r := range s.Runs() {
		if r.RequestID == id {
			n++
		}
	}
	return n
}

// checkLost fails the test if a node has taken a whole request and not answered it: it was passed on to a server, or its
// connection was open for longer than readSlack after its last byte.
func checkLost(t *testing.T, s *fake.RoutedServer, e *ending) {
	t.Helper()
	if e.status == 0 && (ranOf(s, e.id) > 0 || e.end.Sub(e.sent) > readSlack) {
		t.Errorf("request %s lost %s after its last byte, ran %d times: %v", e.id, e.end.Sub(e.sent), ranOf(s, e.id), e.err)
	}
}

// dialSlow opens a connection whose receive buffer is small, so that most of a large answer stays at the node until it is
// read.
func dialSlow(t *testing.T, address netip.AddrPort) (net.Conn, *bufio.Reader) {
	t.Helper()
	d := net.Dialer{Control: func(_, _ string, raw syscall.RawConn) error {
		return raw.Control(func(fd uintptr) { _ = syscall.SetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_RCVBUF, 4096) })
	}}
	c, err := d.DialContext(t.Context(), "tcp", address.String())
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { c.Close() })
	return c, bufio.NewReader(c)
}

// handlerNode serves callers with a handler instead of a node.
type handlerNode struct {
	caller netip.AddrPort
	stop   context.CancelFunc
	// ended receives the time at which the stop was over.
	ended chan time.Time
}

// startHandler starts a server with the handler, which stops as a node does.
func startHandler(t *testing.T, handler http.HandlerFunc) *handlerNode {
	t.Helper()
	ctx, stop := context.WithCancel(context.WithoutCancel(t.Context()))
	n := &handlerNode{caller: netip.AddrPortFrom(loopback(0), freePort(t)), stop: stop, ended: make(chan time.Time, 1)}
	go func() {
		_ = Serve(ctx, &Runtime{
			CallerAddress: n.caller, Server: NewServer(ServerConfig{Handler: handler, Limits: func() table.Limits { return table.Limits{} }, Log: nopLog}),
			Run:   func(ctx context.Context) error { <-ctx.Done(); return nil },
			Leave: func(time.Time) {}, StopTime: func() time.Duration { return endingStopTime }, Log: nopLog,
		})
		n.ended <- time.Now()
	}()
	f := &fixture{T: t}
	f.waitFor("the node listens", func() bool {
		c, err := new(net.Dialer).DialContext(ctx, "tcp", n.caller.String())
		if err == nil {
			c.Close()
		}
		return err == nil
	})
	return n
}
