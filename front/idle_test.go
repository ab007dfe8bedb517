package front

import (
	"bufio"
	"context"
	"fmt"
	"net"
	"net/http"
	"net/netip"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/arbutusthread/arbutusthread/table"
)

// idleFixture is a Server on a loopback port whose handler answers with the body of the request.
type idleFixture struct {
	*testing.T
	server   *Server
	listener *listener
	served   chan error
}

func newIdleFixture(t *testing.T) *idleFixture {
	f := &idleFixture{T: t, served: make(chan error, 1)}
	h := http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		body, status, _ := readBody(w, r, table.Limits{})
		if status != 0 {
			w.WriteHeader(status)
			return
		}
		w.WriteHeader(http.StatusOK)
		_, _ = w.Write(body)
	})
	f.server = NewServer(ServerConfig{Handler: h, Limits: func() table.Limits { return table.Limits{} }, Log: nopLog})
	l, err := listen(netip.MustParseAddrPort("127.0.77.1:0"))
	if err != nil {
		t.Fatal(err)
	}
	f.listener = l
	t.Cleanup(f.server.Close)
	return f
}

func (f *idleFixture) serve() {
	go func() { f.served <- f.server.Serve(f.Context(), f.listener) }()
}

func (f *idleFixture) dial() (net.Conn, *bufio.Reader) {
	f.Helper()
	c, err := new(net.Dialer).DialContext(f.Context(), "tcp", f.listener.Addr().String())
	if err != nil {
		f.Fatal(err)
	}
	f.Cleanup(func() { c.Close() })
	_ = c.SetDeadline(time.Now().Add(waitTimeout))
	return c, bufio.NewReader(c)
}

func (f *idleFixture) send(c net.Conn) {
	f.Helper()
	if _, err := fmt.Fprint(c, "GET / HTTP/1.1\r\nHost: ledger.example\r\n\r\n"); err != nil {
		f.Fatal(err)
	}
}

// shutDown starts a shutdown of the server.
func (f *idleFixture) shutDown() chan error {
	done := make(chan error, 1)
	go func() {
		ctx, cancel := context.WithTimeout(f.Context(), waitTimeout)
		defer cancel()
		done <- f.server.Shutdown(ctx)
	}()
	return done
}

// Guards against a request whose body cannot be read because its connection was closed as idle after net/http had read the
// headers and before it reported the connection as active.
func TestRequestThatCrossesIdleCloseIsAnswered(t *testing.T) {
	is := is.New(t)
	f := newIdleFixture(t)
	track := f.server.http.ConnState
	f.server.http.ConnState = func(c net.Conn, state http.ConnState) {
		if state == http.StateActive {
			f.server.closeIdle(time.Now().Add(time.Hour), 0, 0)
		}
		track(c, state)
	}
	f.serve()
	c, in := f.dial()
	for range 3 {
		f.send(c)
		a, _, err := readResponse(in)
		is.NoErr(err)
		is.Equal(a.status, http.StatusOK)

		_, err = fmt.Fprint(c, "POST / HTTP/1.1\r\nHost: ledger.example\r\nContent-Length: 5\r\n\r\n")
		is.NoErr(err)
		time.Sleep(20 * time.Millisecond)
		_, err = fmt.Fprint(c, "pairs")
		is.NoErr(err)
		a, _, err = readResponse(in)
		is.NoErr(err)
		is.Equal(a.body, "pairs")
	}
}

// Guards against a new connection that is closed during shutdown while its first request is on the way.
func TestShutdownWaitsForFirstRequest(t *testing.T) {
	is := is.New(t)
	f := newIdleFixture(t)
	f.serve()
	c, in := f.dial()
	_, silent := f.dial()
	time.Sleep(50 * time.Millisecond) // the connections are accepted
	f.listener.drain()
	done := f.shutDown()
	time.Sleep(100 * time.Millisecond)
	f.send(c)
	a, last, err := readResponse(in)
	is.NoErr(err)
	is.Equal(a.status, http.StatusOK)
	is.True(last)
	_, _, err = readResponse(silent)
	is.True(err != nil) // a connection without a request is closed
	is.NoErr(<-done)
	is.NoErr(<-f.served)
}

// Guards against requests that are reset because their connections wait in the kernel to be accepted when the listener
// closes.
func TestPendingConnectionsAreServedBeforeTheListenerCloses(t *testing.T) {
	is := is.New(t)
	f := newIdleFixture(t)
	const callers = 20
	var readers []*bufio.Reader
	for range callers {
		c, in := f.dial()
		f.send(c)
		readers = append(readers, in)
	}
	f.listener.drain()
	f.serve()
	done := f.shutDown()
	for _, in := range readers {
		a, _, err := readResponse(in)
		is.NoErr(err)
		is.Equal(a.status, http.StatusOK)
	}
	is.NoErr(<-done)
	is.NoErr(<-f.served)
	_, err := new(net.Dialer).DialContext(t.Context(), "tcp", f.listener.Addr().String())
	is.True(err != nil) // the listener is closed
}
