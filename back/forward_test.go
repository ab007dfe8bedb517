package back

import (
	"bytes"
	"context"
	"fmt"
	"net/http"
	"net/netip"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/arbutusthread/arbutusthread/stand"
)

var loopback = netip.MustParseAddrPort("127.0.0.1:0")

func routed(t *testing.T, c stand.RoutedConfig) (*stand.RoutedServer, *Client) {
	t.Helper()
	c.ID = "i-1"
	s, err := stand.NewRoutedServer(loopback, c)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(s.Close)
	k := NewClient(Config{})
	t.Cleanup(k.Close)
	k.SetServers([]Server{{Address: s.Address()}})
	return s, k
}

func forwarded(id string) *Forward {
	return &Forward{
		Method: http.MethodGet, URI: "/a%20b/?q=1", Host: "ledger.example", RequestID: id, Instance: "i-1",
		Header: http.Header{"Accept": {"a", "b"}},
	}
}

func in(d time.Duration) time.Time { return time.Now().Add(d) }

// Guards against a request that reaches the server changed, or an answer that reaches the caller so.
func TestForwardPassesOn(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	s, k := routed(t, stand.RoutedConfig{})
	f := forwarded("r1")
	f.Method, f.Body = http.MethodPost, []byte("pairs=12")
	reply, r := k.Forward(context.Background(), s.Address(), in(time.Second), f)
	is.Equal(r.Class, OK)
	is.Equal(reply.Status, http.StatusOK)
	is.Equal(reply.Body, stand.Body("i-1", f.URI, 8))
	is.Equal(reply.Header.Get("Answer-Seal"), stand.Seal("i-1", "r1"))
	run := s.Runs()[0]
	is.Equal(run.Method, http.MethodPost)
	is.Equal(run.URI, f.URI)
	is.Equal(run.Body, "pairs=12")
	is.True(run.Left > 900*time.Millisecond && run.Left <= time.Second)
}

// Guards against a connection for each request, and against one that is kept beyond its use.
func TestForwardKeepsConnections(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	s, k := routed(t, stand.RoutedConfig{})
	for i := range 5 {
		_, r := k.Forward(context.Background(), s.Address(), in(time.Second), forwarded(fmt.Sprint(i)))
		is.Equal(r.Class, OK)
	}
	is.Equal(s.Opened(), 1)
}

// Guards, for each fault of a server, against an answer that is taken for good, a wrong "not run", and
// a faulty connection that is used again.
func TestForwardFaults(t *testing.T) {
	t.Parallel()
	for name, c := range map[string]struct {
		faults stand.RoutedFaults
		want   Class
		ran    bool
	}{
		"break":    {stand.RoutedFaults{Break: 1}, Broken, true},
		"lose":     {stand.RoutedFaults{Lose: 1}, Broken, true},
		"hang":     {stand.RoutedFaults{Hang: 1}, TimedOut, true},
		"unframed": {stand.RoutedFaults{Unframed: 1}, OK, true},
		"encoded":  {stand.RoutedFaults{Encoded: 1}, Invalid, true},
		"fail":     {stand.RoutedFaults{Fail: 1}, OK, true},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			s, k := routed(t, stand.RoutedConfig{Faults: c.faults})
			_, r := k.Forward(context.Background(), s.Address(), in(200*time.Millisecond), forwarded("r1"))
			is.Equal(r.Class, c.want)
			is.Equal(r.MayHaveRun, c.ran)
			s.SetFaults(stand.RoutedFaults{})
			reply, r := k.Forward(context.Background(), s.Address(), in(time.Second), forwarded("r2"))
			is.Equal(r.Class, OK)
			is.Equal(reply.Header.Get("Request-Id"), "r2")
		})
	}
}

// Guards against the answer to another request: a server that answers twice leaves the second answer
// on the connection.
func TestForwardRefusesExtraAnswers(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	s, k := routed(t, stand.RoutedConfig{Faults: stand.RoutedFaults{Extra: 1}})
	for i := range 20 {
		reply, r := k.Forward(context.Background(), s.Address(), in(time.Second), forwarded(fmt.Sprint(i)))
		if r.Class == OK {
			is.Equal(reply.Header.Get("Request-Id"), fmt.Sprint(i))
			is.Equal(reply.Body, stand.Body("i-1", "/a%20b/?q=1", 8))
		}
	}
}

// Guards against a request that runs at a server which has taken the address of another, and against
// one that is said to have run there.
func TestForwardNamesItsTarget(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	s, k := routed(t, stand.RoutedConfig{})
	s.SetID("i-2")
	reply, r := k.Forward(context.Background(), s.Address(), in(time.Second), forwarded("r1"))
	is.Equal(r.Class, NotRun)
	is.Equal(reply.Status, http.StatusMisdirectedRequest)
	is.True(!r.MayHaveRun)
	is.Equal(len(s.Runs()), 0)
}

// Guards against a full server whose refusal counts as run.
func TestForwardShed(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	s, k := routed(t, stand.RoutedConfig{Slots: 1, Queue: -1, Delay: 100 * time.Millisecond})
	done := make(chan Result)
	go func() {
		_, r := k.Forward(context.Background(), s.Address(), in(time.Second), forwarded("r1"))
		done <- r
	}()
	for len(s.Runs()) == 0 {
		time.Sleep(time.Millisecond)
	}
	_, r := k.Forward(context.Background(), s.Address(), in(time.Second), forwarded("r2"))
	is.Equal(r.Class, NotRun)
	is.True(!r.MayHaveRun)
	is.Equal((<-done).Class, OK)
}

// Guards against work that goes on at the server after its caller has left.
func TestForwardCancels(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	s, k := routed(t, stand.RoutedConfig{Delay: 5 * time.Second})
	ctx, cancel := context.WithCancel(context.Background())
	time.AfterFunc(50*time.Millisecond, cancel)
	_, r := k.Forward(ctx, s.Address(), in(10*time.Second), forwarded("r1"))
	is.Equal(r.Class, Canceled)
	for range 100 {
		if s.Runs()[0].Canceled {
			return
		}
		time.Sleep(5 * time.Millisecond)
	}
	t.Fatal("the server still works on the request")
}

// Guards against a second run: a connection that the server has closed is not used for a request that
// must run once, and one that breaks after the request was written is not tried again.
func TestForwardOnce(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	s, k := routed(t, stand.RoutedConfig{})
	f := forwarded("r1")
	f.Once = true
	for range 20 {
		_, r := k.Forward(context.Background(), s.Address(), in(time.Second), f)
		if r.Class != OK {
			t.Logf("%+v", r)
		}
		is.Equal(r.Class, OK)
		s.ResetConnections()
		time.Sleep(time.Millisecond)
	}
	before := len(s.Runs())
	s.SetFaults(stand.RoutedFaults{Lose: 1})
	_, r := k.Forward(context.Background(), s.Address(), in(time.Second), f)
	is.Equal(r.Class, Broken)
	is.Equal(len(s.Runs()), before+1)
}

// Guards against a request that fails on a connection that was opened ahead of it and that the server
// has closed since: nothing was sent, so another connection serves it.
func TestForwardOnConnectionClosedBeforeUse(t *testing.T) {
	t.Parallel()
	for _, once := range []bool{true, false} {
		t.Run(fmt.Sprint("once=", once), func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			s, k := routed(t, stand.RoutedConfig{})
			f := forwarded("r1")
			f.Once = once
			is.Equal(k.Connect(context.Background(), s.Address(), in(time.Second)).Class, OK)
			for s.Opened() == 0 {
				time.Sleep(time.Millisecond)
			}
			s.ResetConnections()
			_, r := k.Forward(context.Background(), s.Address(), in(time.Second), f)
			is.Equal(r.Class, OK)
			is.Equal(len(s.Runs()), 1)
		})
	}
}

// Guards against a second connection that is opened for a request that already has one.
func TestOneDialPerWaiter(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	s, k := routed(t, stand.RoutedConfig{})
	const requests = 2000
	f := forwarded("r1")
	f.Once = true
	for range requests {
		_, r := k.Forward(context.Background(), s.Address(), in(time.Second), f)
		is.Equal(r.Class, OK)
		s.ResetConnections()
	}
	is.Equal(s.Opened(), requests)
}

// Guards against bytes of one request that a server takes for the next: a server may answer before it
// has read a long body.
func TestForwardEarlyAnswer(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	s, k := routed(t, stand.RoutedConfig{Faults: stand.RoutedFaults{Early: true}})
	for i := range 5 {
		f := forwarded(fmt.Sprint(i))
		f.Method, f.Body = http.MethodPost, bytes.Repeat([]byte("x"), 200<<10)
		_, r := k.Forward(context.Background(), s.Address(), in(time.Second), f)
		is.Equal(r.Class, OK)
	}
	for i, run := range s.Runs() {
		is.Equal(run.RequestID, fmt.Sprint(i))
	}
}

// Guards against an idle connection that is used until the server closes it.
func TestIdleLimit(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	for header, want := range map[string]time.Duration{
		"timeout=5": 4 * time.Second, "timeout=5, max=100": 4 * time.Second, "max=3, Timeout=2": time.Second,
		"timeout=1": time.Millisecond, "timeout=x": 0, "": 0, "timeout=-1": 0,
	} {
		is.Equal(idleLimit(http.Header{"Keep-Alive": {header}}), want)
	}
}

// Guards against a refused connection above the cap that counts as a dead server.
func TestForwardOverTheCap(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	s, k := routed(t, stand.RoutedConfig{Connections: 1, Delay: 200 * time.Millisecond})
	done := make(chan Result)
	go func() {
		_, r := k.Forward(context.Background(), s.Address(), in(time.Second), forwarded("r1"))
		done <- r
	}()
	for len(s.Runs()) == 0 {
		time.Sleep(time.Millisecond)
	}
	_, r := k.Forward(context.Background(), s.Address(), in(time.Second), forwarded("r2"))
	is.True(r.Class != OK)
	is.Equal(len(s.Runs()), 1)
	is.Equal((<-done).Class, OK)
}

// Guards against a crashed server that counts as connected, and against a connection that is made
// only to be closed.
func TestConnect(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	s, k := routed(t, stand.RoutedConfig{Faults: stand.RoutedFaults{CrashURI: "/poison"}})
	is.Equal(k.Connect(context.Background(), s.Address(), in(time.Second)).Class, OK)
	_, r := k.Forward(context.Background(), s.Address(), in(time.Second), forwarded("r1"))
	is.Equal(r.Class, OK)
	is.Equal(s.Opened(), 1)
	poison := forwarded("r2")
	poison.URI = "/poison"
	_, r = k.Forward(context.Background(), s.Address(), in(time.Second), poison)
	is.True(r.Refused)
	is.True(s.Crashed())
	r = k.Connect(context.Background(), s.Address(), in(time.Second))
	is.Equal(r.Class, Unsent)
	is.True(r.Refused)
	is.True(k.Connect(context.Background(), loopback, in(time.Second)).Local) // no server of a pool
}
