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

	"github.com/arbutusthread/arbutusthread/fake"
)

var loopback = netip.MustParseAddrPort("127.0.0.1:0")

func newRoutedServer(t *testing.T, c fake.RoutedConfig) (*fake.RoutedServer, *Client) {
	t.Helper()
	c.ID = "i-1"
	s, err := fake.NewRoutedServer(loopback, c)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(s.Close)
	k := NewClient(Config{})
	t.Cleanup(k.Close)
	k.SetServers([]Server{{Address: s.Address()}})
	return s, k
}

func newForward(id string) *Forward {
	return &Forward{
		Method: http.MethodGet, URI: "/a%20b/?q=1", Host: "ledger.example", RequestID: id, Instance: "i-1",
		Header: http.Header{"Accept": {"a", "b"}},
	}
}

func deadlineIn(d time.Duration) time.Time { return time.Now().Add(d) }

// Guards against changes to a forwarded request or to its answer.
func TestForwardPreservesMessages(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	s, k := newRoutedServer(t, fake.RoutedConfig{})
	f := newForward("r1")
	f.Method, f.Body = http.MethodPost, []byte("pairs=12")
	reply, r := k.Forward(context.Background(), s.Address(), deadlineIn(time.Second), f)
	is.Equal(r.Outcome, OK)
	is.Equal(reply.Status, http.StatusOK)
	is.Equal(reply.Body, fake.RoutedBody("i-1", f.URI, 8))
	is.Equal(reply.Header.Get("Answer-Seal"), fake.RoutedSeal("i-1", "r1"))
	run := s.Runs()[0]
	is.Equal(run.Method, http.MethodPost)
	is.Equal(run.URI, f.URI)
	is.Equal(run.Body, "pairs=12")
	is.True(run.Timeout > 900*time.Millisecond && run.Timeout <= time.Second)
}

// Guards against opening a new connection for each request, and against keeping a connection that is no
// longer needed.
func TestForwardReusesConnections(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	s, k := newRoutedServer(t, fake.RoutedConfig{})
	for i := range 5 {
		_, r := k.Forward(context.Background(), s.Address(), deadlineIn(time.Second), newForward(fmt.Sprint(i)))
		is.Equal(r.Outcome, OK)
	}
	is.Equal(s.AcceptedConnections(), 1)
}

// Guards, for each fault of a server, against a faulty answer that is accepted, a wrong NotRun, and the
// reuse of a faulty connection.
func TestForwardFaults(t *testing.T) {
	t.Parallel()
	for name, c := range map[string]struct {
		faults fake.RoutedFaults
		want   Outcome
		ran    bool
	}{
		"break":    {fake.RoutedFaults{TruncateBody: 1}, Broken, true},
		"lose":     {fake.RoutedFaults{ResetAfterRun: 1}, Broken, true},
		"hang":     {fake.RoutedFaults{Hang: 1}, TimedOut, true},
		"unframed": {fake.RoutedFaults{Unframed: 1}, OK, true},
		"encoded":  {fake.RoutedFaults{Encoded: 1}, Invalid, true},
		"fail":     {fake.RoutedFaults{InternalError: 1}, OK, true},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			s, k := newRoutedServer(t, fake.RoutedConfig{Faults: c.faults})
			_, r := k.Forward(context.Background(), s.Address(), deadlineIn(200*time.Millisecond), newForward("r1"))
			is.Equal(r.Outcome, c.want)
			is.Equal(r.MayHaveRun, c.ran)
			s.SetFaults(fake.RoutedFaults{})
			reply, r := k.Forward(context.Background(), s.Address(), deadlineIn(time.Second), newForward("r2"))
			is.Equal(r.Outcome, OK)
			is.Equal(reply.Header.Get("Request-Id"), "r2")
		})
	}
}

// Guards against returning the answer to another request: a server that answers twice leaves the second
// answer on the connection.
func TestForwardRefusesExtraAnswers(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	s, k := newRoutedServer(t, fake.RoutedConfig{Faults: fake.RoutedFaults{ExtraResponse: 1}})
	for i := range 20 {
		reply, r := k.Forward(context.Background(), s.Address(), deadlineIn(time.Second), newForward(fmt.Sprint(i)))
		if r.Outcome == OK {
			is.Equal(reply.Header.Get("Request-Id"), fmt.Sprint(i))
			is.Equal(reply.Body, fake.RoutedBody("i-1", "/a%20b/?q=1", 8))
		}
	}
}

// Guards against a request that runs on another server instance at the same address, and against
// reporting that it may have run there.
func TestForwardChecksTargetInstance(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	s, k := newRoutedServer(t, fake.RoutedConfig{})
	s.SetID("i-2")
	reply, r := k.Forward(context.Background(), s.Address(), deadlineIn(time.Second), newForward("r1"))
	is.Equal(r.Outcome, NotRun)
	is.Equal(reply.Status, http.StatusMisdirectedRequest)
	is.True(!r.MayHaveRun)
	is.Equal(len(s.Runs()), 0)
}

// Guards against MayHaveRun for a request that a server refused at its concurrency limit.
func TestForwardShed(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	s, k := newRoutedServer(t, fake.RoutedConfig{Slots: 1, Queue: -1, Delay: 100 * time.Millisecond})
	done := make(chan Result)
	go func() {
		_, r := k.Forward(context.Background(), s.Address(), deadlineIn(time.Second), newForward("r1"))
		done <- r
	}()
	for len(s.Runs()) == 0 {
		time.Sleep(time.Millisecond)
	}
	_, r := k.Forward(context.Background(), s.Address(), deadlineIn(time.Second), newForward("r2"))
	is.Equal(r.Outcome, NotRun)
	is.True(!r.MayHaveRun)
	is.Equal((<-done).Outcome, OK)
}

// Guards against a request that still runs at the server after the caller canceled it.
func TestForwardCancels(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	s, k := newRoutedServer(t, fake.RoutedConfig{Delay: 5 * time.Second})
	ctx, cancel := context.WithCancel(context.Background())
	time.AfterFunc(50*time.Millisecond, cancel)
	_, r := k.Forward(ctx, s.Address(), deadlineIn(10*time.Second), newForward("r1"))
	is.Equal(r.Outcome, Canceled)
	for range 100 {
		if s.Runs()[0].Canceled {
			return
		}
		time.Sleep(5 * time.Millisecond)
	}
	t.Fatal("server still runs the canceled request")
}

// Guards against running a request with Once twice: it must not be sent on a connection that the server
// has closed, and must not be retried when the connection breaks after the request was written.
func TestForwardOnce(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	s, k := newRoutedServer(t, fake.RoutedConfig{})
	f := newForward("r1")
	f.NonIdempotent = true
	for range 20 {
		_, r := k.Forward(context.Background(), s.Address(), deadlineIn(time.Second), f)
		if r.Outcome != OK {
			t.Logf("%+v", r)
		}
		is.Equal(r.Outcome, OK)
		s.ResetConnections()
		time.Sleep(time.Millisecond)
	}
	before := len(s.Runs())
	s.SetFaults(fake.RoutedFaults{ResetAfterRun: 1})
	_, r := k.Forward(context.Background(), s.Address(), deadlineIn(time.Second), f)
	is.Equal(r.Outcome, Broken)
	is.Equal(len(s.Runs()), before+1)
}

// Guards against a request that fails because the server closed its connection, which was opened ahead
// of the request. Nothing was sent, so the request must be sent on another connection.
func TestForwardOnConnectionClosedBeforeUse(t *testing.T) {
	t.Parallel()
	for _, once := range []bool{true, false} {
		t.Run(fmt.Sprint("once=", once), func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			s, k := newRoutedServer(t, fake.RoutedConfig{})
			f := newForward("r1")
			f.NonIdempotent = once
			is.Equal(k.Connect(context.Background(), s.Address(), deadlineIn(time.Second)).Outcome, OK)
			for s.AcceptedConnections() == 0 {
				time.Sleep(time.Millisecond)
			}
			s.ResetConnections()
			_, r := k.Forward(context.Background(), s.Address(), deadlineIn(time.Second), f)
			is.Equal(r.Outcome, OK)
			is.Equal(len(s.Runs()), 1)
		})
	}
}

// Guards against a second dial for a request that already has a connection.
func TestOneDialPerWaiter(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	s, k := newRoutedServer(t, fake.RoutedConfig{})
	const requests = 2000
	f := newForward("r1")
	f.NonIdempotent = true
	for range requests {
		_, r := k.Forward(context.Background(), s.Address(), deadlineIn(time.Second), f)
		is.Equal(r.Outcome, OK)
		s.ResetConnections()
	}
	is.Equal(s.AcceptedConnections(), requests)
}

// Guards against a server that reads the rest of a body as the next request: it may answer before it has
// read a long body.
func TestForwardEarlyAnswer(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	s, k := newRoutedServer(t, fake.RoutedConfig{Faults: fake.RoutedFaults{RespondEarly: true}})
	for i := range 5 {
		f := newForward(fmt.Sprint(i))
		f.Method, f.Body = http.MethodPost, bytes.Repeat([]byte("x"), 200<<10)
		_, r := k.Forward(context.Background(), s.Address(), deadlineIn(time.Second), f)
		is.Equal(r.Outcome, OK)
	}
	for i, run := range s.Runs() {
		is.Equal(run.RequestID, fmt.Sprint(i))
	}
}

// Guards against using an idle connection up to the time when the server closes it.
func TestParseIdleTimeout(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	for header, want := range map[string]time.Duration{
		"timeout=5": 4 * time.Second, "timeout=5, max=100": 4 * time.Second, "max=3, Timeout=2": time.Second,
		"timeout=1": time.Millisecond, "timeout=x": 0, "": 0, "timeout=-1": 0,
	} {
		is.Equal(parseIdleTimeout(http.Header{"Keep-Alive": {header}}), want)
	}
}

// Guards against treating a server as down when it refuses a connection above its connection limit. The
// request in flight must not be affected.
func TestForwardAboveConnectionLimit(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	s, k := newRoutedServer(t, fake.RoutedConfig{Connections: 1, Delay: 200 * time.Millisecond})
	done := make(chan Result)
	go func() {
		_, r := k.Forward(context.Background(), s.Address(), deadlineIn(time.Second), newForward("r1"))
		done <- r
	}()
	for len(s.Runs()) == 0 {
		time.Sleep(time.Millisecond)
	}
	_, r := k.Forward(context.Background(), s.Address(), deadlineIn(time.Second), newForward("r2"))
	is.True(r.Outcome != OK)
	is.Equal(len(s.Runs()), 1)
	is.Equal((<-done).Outcome, OK)
}

// Guards against OK for a crashed server, and against a connection that is not kept for the next
// request.
func TestConnect(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	s, k := newRoutedServer(t, fake.RoutedConfig{Faults: fake.RoutedFaults{CrashURI: "/poison"}})
	is.Equal(k.Connect(context.Background(), s.Address(), deadlineIn(time.Second)).Outcome, OK)
	_, r := k.Forward(context.Background(), s.Address(), deadlineIn(time.Second), newForward("r1"))
	is.Equal(r.Outcome, OK)
	is.Equal(s.AcceptedConnections(), 1)
	poison := newForward("r2")
	poison.URI = "/poison"
	_, r = k.Forward(context.Background(), s.Address(), deadlineIn(time.Second), poison)
	is.True(r.Refused)
	is.True(s.Crashed())
	r = k.Connect(context.Background(), s.Address(), deadlineIn(time.Second))
	is.Equal(r.Outcome, Unsent)
	is.True(r.Refused)
	is.True(k.Connect(context.Background(), loopback, deadlineIn(time.Second)).Local) // not a configured server
}
