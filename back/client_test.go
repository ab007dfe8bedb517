package back

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"
	"go.uber.org/goleak"

	"github.com/arbutusthread/arbutusthread/wire"
)

var testQuery = wire.ShardQuery{
	RequestID: "q-1", Service: "stump-jobs", Shard: "s-1", IndexVersion: "v1", Kind: "lookup", TopK: 3,
}

func testClient(tb testing.TB, connections int, a netip.AddrPort) *Client {
	k := NewClient(Config{MaxAnswer: 64 << 10, RetireTimeout: 300 * time.Millisecond})
	tb.Cleanup(k.Close)
	k.SetServers(servers(connections, a))
	return k
}

func servers(connections int, a netip.AddrPort) []Server { return []Server{{a, connections}} }

// TestOutcomeOfQuery guards against an attempt with the wrong outcome. The first request on each connection
// gets a valid answer, so that the client has the server's incarnation.
func TestOutcomeOfQuery(t *testing.T) {
	body := func(status int, v any) func(net.Conn) bool {
		return func(c net.Conn) bool { return writeReply(c, status, v) }
	}
	health := func(incarnation string) func(net.Conn) bool { return body(200, wire.Health{Incarnation: incarnation}) }
	failure := func(status int, notRun bool, reason wire.BackendReason) func(net.Conn) bool {
		return body(status, wire.BackendFailure{RequestID: testQuery.RequestID, NotRun: notRun, Reason: reason})
	}
	changed := func(f func(*wire.ShardAnswer)) func(net.Conn) bool {
		a := newAnswer(testQuery)
		f(&a)
		return body(200, a)
	}
	raw := func(status, length int, text string) func(net.Conn) bool {
		return func(c net.Conn) bool { return writeRawReply(c, status, length, text) && length == len(text) }
	}
	endless := func(c net.Conn) bool {
		_, err := io.WriteString(c, "HTTP/1.1 200 x\r\n"+strings.Repeat("A: xxxxx\r\n", 20_000))
		return err == nil
	}
	closed := func(net.Conn) bool { return false }
	silent := func(net.Conn) bool { time.Sleep(1500 * time.Millisecond); return false }
	cases := []struct {
		name    string
		answer  func(net.Conn) bool
		health  func(net.Conn) bool
		outcome Outcome
	}{
		{"good", changed(func(*wire.ShardAnswer) {}), nil, OK},
		{"shed", failure(503, true, wire.BackendShed), nil, NotRun},
		{"shed while running", failure(503, false, wire.BackendShed), nil, Broken},
		{"deadline while running", failure(504, false, wire.BackendDeadline), nil, TimedOut},
		{"reason of another status", failure(404, true, wire.BackendShed), nil, Invalid},
		{"page of another server", raw(503, 6, "<html>"), nil, Invalid},
		{"refusal of another request", body(503, wire.BackendFailure{RequestID: "q-2", NotRun: true, Reason: wire.BackendShed}), nil, Invalid},
		{"refusal without a request", body(503, wire.BackendFailure{NotRun: true, Reason: wire.BackendShed}), nil, Invalid},
		{"other request", changed(func(a *wire.ShardAnswer) { a.RequestID = "q-2" }), nil, Invalid},
		{"other shard", changed(func(a *wire.ShardAnswer) { a.Shard = "s-2" }), nil, Invalid},
		{"other version", changed(func(a *wire.ShardAnswer) { a.IndexVersion = "v2" }), nil, Invalid},
		{"incomplete", changed(func(a *wire.ShardAnswer) { a.Complete = false }), nil, Invalid},
		{"too large", raw(200, 70<<10, strings.Repeat("x", 70<<10)), nil, Invalid},
		{"endless head", endless, nil, Invalid},
		{"truncated", raw(200, 90, `{"RequestId":"q-1"`), health("i1"), Invalid},
		{"truncated by a crash", raw(200, 90, `{"RequestId":"q-1"`), health("i2"), Crashed},
		{"closed", closed, health("i1"), Broken},
		{"closed by a crash", closed, health("i2"), Crashed},
		{"silent", silent, nil, Silent},
	}
	for _, v := range cases {
		t.Run(v.name, func(t *testing.T) {
			is := is.New(t)
			a := listen(t, serveRequests(func(n int, q *http.Request, c net.Conn) bool {
				if q.URL.Path == "/health" {
					return v.health(c)
				}
				if n == 0 {
					return writeReply(c, 200, newAnswer(decodeBody[wire.ShardQuery](q)))
				}
				return v.answer(c)
			}))
			k := testClient(t, 1, a)
			deadline := time.Now().Add(time.Second)
			_, r := k.Query(t.Context(), a, deadline, testQuery)
			is.Equal(r.Outcome, OK)
			is.True(r.NewConnection)
			_, r = k.Query(t.Context(), a, deadline, testQuery)
			is.Equal(r.Outcome, v.outcome) // r.Message
			is.Equal(r.MayHaveRun, v.outcome != NotRun)
			is.True(!r.NewConnection)
		})
	}
}

// TestCrashedServer guards against MayHaveRun being false for a request that reached a server before it
// crashed, or true for a request that was never sent.
func TestCrashedServer(t *testing.T) {
	is := is.New(t)
	var l net.Listener
	ready := make(chan bool)
	l = listener(t, serveRequests(func(int, *http.Request, net.Conn) bool {
		<-ready
		l.Close()
		return false
	}))
	close(ready)
	a := l.Addr().(*net.TCPAddr).AddrPort()
	k := testClient(t, 2, a)
	o := wire.BackendOrder{Key: "k", Body: json.RawMessage(`{}`)}
	_, r := k.Order(t.Context(), a, time.Now().Add(time.Second), o)
	is.Equal(r.Outcome, Crashed)
	is.True(r.MayHaveRun)
	_, r = k.Order(t.Context(), a, time.Now().Add(time.Second), o)
	is.Equal(r.Outcome, Unsent)
	is.True(r.Refused && !r.MayHaveRun)
	_, r = k.Order(t.Context(), a, time.Now().Add(-time.Second), o)
	is.Equal(r.Outcome, Unsent)
	o.Body = json.RawMessage(`{`)
	_, r = k.Order(t.Context(), a, time.Now().Add(time.Second), o)
	is.Equal(r.Outcome, Unsent)
}

// TestOrderAfterIdleClose guards against an order with an unknown outcome because it was sent on a
// connection that the server had closed while it was idle.
func TestOrderAfterIdleClose(t *testing.T) {
	is := is.New(t)
	ended := make(chan bool, 100)
	a := listen(t, func(c net.Conn) {
		serveRequests(func(_ int, q *http.Request, c net.Conn) bool {
			key := decodeBody[wire.BackendOrder](q).Key
			writeReply(c, 200, wire.BackendOrderAnswer{Key: key, Incarnation: "i1", Complete: true})
			return false
		})(c)
		c.Close()
		ended <- true
	})
	k := testClient(t, 1, a)
	for range 20 {
		_, r := k.Order(t.Context(), a, time.Now().Add(time.Second), wire.BackendOrder{Key: "k", Body: json.RawMessage(`1`)})
		is.Equal(r.Outcome, OK) // r.Message
		<-ended
	}
}

// TestCancelReachesServer guards against a canceled hedge that still runs at its server. It uses TLS and
// the net/http server.
func TestCancelReachesServer(t *testing.T) {
	is := is.New(t)
	started, ended := make(chan bool), make(chan bool)
	v := httptest.NewTLSServer(http.HandlerFunc(func(w http.ResponseWriter, q *http.Request) {
		switch q.URL.Path {
		case "/order":
			key := decodeBody[wire.BackendOrder](q).Key
			_ = json.NewEncoder(w).Encode(wire.BackendOrderAnswer{Key: key, Complete: true})
		case "/load":
			_ = json.NewEncoder(w).Encode(wire.Health{State: wire.ServerDraining})
		default:
			_, _ = io.Copy(io.Discard, q.Body)
			started <- true
			<-q.Context().Done()
			ended <- true
		}
	}))
	defer v.Close()
	a := v.Listener.Addr().(*net.TCPAddr).AddrPort()
	k := NewClient(Config{TLS: v.Client().Transport.(*http.Transport).TLSClientConfig})
	defer k.Close()
	k.SetServers(servers(1, a))
	deadline := time.Now().Add(10 * time.Second)
	for range 3 {
		_, r := k.Order(t.Context(), a, deadline, wire.BackendOrder{Key: "k", Body: json.RawMessage(`1`)})
		is.Equal(r.Outcome, OK) // r.Message
	}
	_, r := k.Load(t.Context(), a, deadline)
	is.True(r.Draining && !r.NewConnection)
	ctx, cancel := context.WithCancel(t.Context())
	go func() {
		<-started
		cancel()
	}()
	_, r = k.Query(ctx, a, deadline, testQuery)
	is.Equal(r.Outcome, Canceled)
	<-ended
}

// TestCancelKeepsConnection guards against a new connection for each canceled hedge.
func TestCancelKeepsConnection(t *testing.T) {
	is := is.New(t)
	var opened atomic.Int64
	canceled, started, ended := make(chan string), make(chan bool), make(chan bool, 1)
	a := listen(t, func(c net.Conn) {
		opened.Add(1)
		serveRequests(func(_ int, q *http.Request, c net.Conn) bool {
			body := decodeBody[wire.ShardQuery](q)
			switch {
			case q.URL.Path == "/cancel":
				canceled <- body.RequestID + body.Shard
			case body.Query == "slow":
				started <- true
				is.Equal(<-canceled, "q-1s-1")
				ended <- true
			}
			return writeReply(c, 200, newAnswer(body))
		})(c)
	})
	k := testClient(t, 5, a)
	deadline := time.Now().Add(10 * time.Second)
	slow := testQuery
	slow.Query = "slow"
	for range 20 {
		ctx, cancel := context.WithCancel(t.Context())
		go func() {
			<-started
			_, r := k.Query(t.Context(), a, deadline, testQuery)
			is.Equal(r.Outcome, OK) // on a second connection
			cancel()
		}()
		_, r := k.Query(ctx, a, deadline, slow)
		is.Equal(r.Outcome, Canceled)
		<-ended
	}
	is.True(opened.Load() <= 5) // the connection limit; without POST /cancel there are more than 20
}

// TestConnectionLimit guards against more connections to a server than its limit, while connections stop
// responding, requests are canceled, the server closes connections late, and it is removed and added
// again.
func TestConnectionLimit(t *testing.T) {
	is := is.New(t)
	const limit = 5
	var open, most, good atomic.Int64
	var seed atomic.Uint64
	a := listen(t, func(c net.Conn) {
		n := open.Add(1)
		for m := most.Load(); n > m && !most.CompareAndSwap(m, n); m = most.Load() {
		}
		random := rand.New(rand.NewPCG(1, seed.Add(1)))
		serveRequests(func(_ int, q *http.Request, c net.Conn) bool {
			body := decodeBody[wire.ShardQuery](q)
			switch random.IntN(20) {
			case 0:
				return false
			case 1:
				time.Sleep(60 * time.Millisecond)
				return true
			}
			time.Sleep(time.Duration(random.IntN(3)) * time.Millisecond)
			return writeReply(c, 200, newAnswer(body))
		})(c)
		time.Sleep(time.Duration(random.IntN(20)) * time.Millisecond)
		open.Add(-1)
	})
	defer goleak.VerifyNone(t, goleak.IgnoreCurrent())
	k := NewClient(Config{IdleLifetime: 20 * time.Millisecond, RetireTimeout: time.Second})
	k.SetServers(servers(limit, a))
	var g sync.WaitGroup
	for i := range 4 * limit {
		g.Go(func() {
			random := rand.New(rand.NewPCG(2, uint64(i)))
			for range 100 {
				ctx, cancel := context.WithCancel(t.Context())
				if random.IntN(10) == 0 {
					time.AfterFunc(time.Duration(random.IntN(5))*time.Millisecond, cancel)
				}
				if _, r := k.Query(ctx, a, time.Now().Add(40*time.Millisecond), testQuery); r.Outcome == OK {
					good.Add(1)
				}
				cancel()
			}
		})
	}
	g.Go(func() {
		for i := range 20 {
			k.SetServers(nil)
			k.SetServers(servers(limit-i%3, a))
			time.Sleep(5 * time.Millisecond)
		}
	})
	g.Wait()
	k.Close()
	is.True(good.Load() > 100)
	is.True(most.Load() <= limit) // concurrent connections at the server
	is.True(most.Load() >= 3)
	for i := 0; i < 200 && open.Load() > 0; i++ {
		time.Sleep(10 * time.Millisecond)
	}
	is.Equal(open.Load(), int64(0))
}

// FuzzAnswer guards against accepting an incomplete answer or an answer to another request, and against
// the outcome NotRun for an answer that does not report it.
func FuzzAnswer(f *testing.F) {
	good, _ := json.Marshal(newAnswer(testQuery))
	f.Add(200, good)
	f.Add(503, []byte(`{"NotRun":true,"Reason":"Shed"}`))
	f.Add(200, good[:len(good)-1])
	f.Fuzz(func(t *testing.T, status int, body []byte) {
		s := newScratch()
		s.in.Write(body)
		var r Result
		(&Client{}).classify(status, s, &r)
		if r.Outcome == NotRun && (status < 400 || !strings.Contains(string(body), "true")) {
			t.Fatalf("status %d body %q is classified as NotRun", status, body)
		}
		var a wire.ShardAnswer
		if r.Outcome != OK || !decode(body, &a, &r) {
			return
		}
		checkQueryAnswer(&a, &testQuery, &r)
		if r.Outcome == OK && (!a.Complete || a.RequestID != testQuery.RequestID) {
			t.Fatalf("body %q is accepted", body)
		}
	})
}

// Guards against the reuse of a connection after an answer to another request. Each later answer belongs
// to the request before it, so a "not run" would be attributed to the wrong order.
func TestMismatchedAnswerRetiresConnection(t *testing.T) {
	is := is.New(t)
	var last wire.ShardAnswer
	address := listen(t, serveRequests(func(n int, q *http.Request, c net.Conn) bool {
		var body wire.ShardQuery
		if json.NewDecoder(q.Body).Decode(&body) != nil {
			return false
		}
		a := newAnswer(body)
		if n > 0 {
			a, last = last, a
			return writeReply(c, http.StatusOK, a)
		}
		last = a
		return writeReply(c, http.StatusOK, a)
	}))
	k := NewClient(Config{})
	defer k.Close()
	k.SetServers([]Server{{Address: address}})
	for i, want := range []Outcome{OK, Invalid, OK, Invalid} {
		_, r := k.Query(t.Context(), address, time.Now().Add(time.Second), wire.ShardQuery{RequestID: fmt.Sprint(i), Shard: "s"})
		is.Equal(r.Outcome, want)
	}
}

// Guards against a permit that is released while the server still runs the canceled request, because
// the next request would exceed the concurrency limit of a cold server.
func TestCancelWaitsForTheServer(t *testing.T) {
	is := is.New(t)
	var running atomic.Int64
	started := make(chan bool)
	a := listen(t, serveRequests(func(_ int, q *http.Request, c net.Conn) bool {
		if q.URL.Path == "/cancel" {
			time.Sleep(50 * time.Millisecond)
			running.Add(-1)
			return writeReply(c, 200, struct{}{})
		}
		body := decodeBody[wire.ShardQuery](q)
		if body.Query != "slow" {
			return writeReply(c, 200, newAnswer(body))
		}
		running.Add(1)
		started <- true
		for running.Load() > 0 {
			time.Sleep(time.Millisecond)
		}
		return writeReply(c, 503, wire.BackendFailure{NotRun: false, Reason: wire.BackendCancelled})
	}))
	k := testClient(t, 5, a)
	slow := testQuery
	slow.Query = "slow"
	for range 3 {
		ctx, cancel := context.WithCancel(t.Context())
		go func() {
			<-started
			_, _ = k.Query(t.Context(), a, time.Now().Add(time.Second), testQuery) // opens a second connection
			cancel()
		}()
		_, r := k.Query(ctx, a, time.Now().Add(10*time.Second), slow)
		is.Equal(r.Outcome, Canceled)
		is.Equal(running.Load(), int64(0))
	}
}
