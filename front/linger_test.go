package front

import (
	"io"
	"net"
	"net/http"
	"net/netip"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/arbutusthread/arbutusthread/table"
)

// Guards against an abort that waits for the caller of each connection with unread data, one after the other, so that the
// process outlives its stop time.
func TestAbortDoesNotLinger(t *testing.T) {
	is := is.New(t)
	f := newIdleFixture(t)
	const callers = 10
	started, release := make(chan struct{}, callers), make(chan struct{})
	defer close(release)
	f.server.http.Handler = http.HandlerFunc(func(http.ResponseWriter, *http.Request) {
		started <- struct{}{}
		<-release
	})
	f.serve()
	for range callers {
		c, _ := f.dial()
		f.send(c)
		f.send(c) // stays unread
	}
	for range callers {
		<-started
	}
	time.Sleep(100 * time.Millisecond) // the second requests have arrived
	begin := time.Now()
	f.server.Close()
	is.True(time.Since(begin) < lingerTime)
}

// Guards against a connection that is closed as idle although a request has arrived and net/http has not read it yet.
func TestConnectionWithUnreadRequestIsNotIdle(t *testing.T) {
	is := is.New(t)
	s := NewServer(ServerConfig{Handler: http.NotFoundHandler(), Limits: func() table.Limits { return table.Limits{} }, Log: nopLog})
	l, err := listen(netip.MustParseAddrPort("127.0.77.3:0"))
	is.NoErr(err)
	defer l.Close()
	caller, err := new(net.Dialer).DialContext(t.Context(), "tcp", l.Addr().String())
	is.NoErr(err)
	defer caller.Close()
	c, err := l.Accept()
	is.NoErr(err)
	defer c.Close()
	s.trackConnState(c, http.StateNew)
	_, err = io.WriteString(caller, "GET / HTTP/1.1\r\n")
	is.NoErr(err)
	for end := time.Now().Add(waitTimeout); !hasUnreadData(c) && time.Now().Before(end); {
		time.Sleep(time.Millisecond)
	}
	s.closeIdle(time.Now().Add(time.Hour), 0, 0)
	_, err = c.Read(make([]byte, 1))
	is.NoErr(err)
}
