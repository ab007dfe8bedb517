package stand

import (
	"context"
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"strconv"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/arbutusthread/arbutusthread/wire"
	"github.com/matryer/is"
	"go.uber.org/goleak"
)

var steady = Latency{Median: time.Millisecond, Sigma: -1, StragglerShare: -1}

func failure(body string) wire.BackendFailure {
	var f wire.BackendFailure
	_ = json.Unmarshal([]byte(body), &f)
	return f
}

// Tests that name a seed rely on the same requests meeting the same wrong answers each time.
func TestWrongAnswersAreSeeded(t *testing.T) {
	is := is.New(t)
	f := ServerFaults{WrongRequest: 0.2, WrongVersion: 0.2, Truncate: 0.2}
	c := ServerConfig{StartWarm: true, Latency: steady, Seed: 5, Faults: f}
	cl := newClient(t)
	var runs [2]string
	var kinds [4]int
	for n := range runs {
		s := listen(t, c)
		for i := range 60 {
			id := "q" + strconv.Itoa(i)
			status, body := sent{id: id, shard: "s", version: "v1"}.do(t, cl, s.Address())
			var a wire.ShardAnswer
			switch {
			case status == 0 || json.Unmarshal([]byte(body), &a) != nil || !a.Complete:
				kinds[0]++
				runs[n] += "t"
			case a.RequestID != id:
				kinds[1]++
				runs[n] += "r"
			case a.IndexVersion != "v1":
				kinds[2]++
				runs[n] += "v"
			default:
				kinds[3]++
				runs[n] += "."
				is.Equal(a.Hits, Hits("stumps", "s", "v1", "", DefaultHits, 3))
			}
		}
		is.Equal(s.Record().Answered, 60)
	}
	is.Equal(runs[0], runs[1])
	for _, k := range kinds {
		is.True(k > 0)
	}
}

// A late second copy of an answer must reach the next request on the connection, so that a
// client that does not match request ids is found out.
func TestDuplicateAnswersTheNextRequest(t *testing.T) {
	is := is.New(t)
	s := listen(t, ServerConfig{StartWarm: true, Latency: steady, Faults: ServerFaults{Duplicate: 1}})
	cl := newClient(t)
	for _, id := range []string{"a", "b"} {
		_, body := sent{id: id, shard: "s"}.do(t, cl, s.Address())
		is.True(strings.Contains(body, `"RequestId":"a"`))
		s.SetFaults(ServerFaults{})
	}
	cl.CloseIdleConnections()
	_, body := sent{id: "d", shard: "s"}.do(t, cl, s.Address())
	is.True(strings.Contains(body, `"RequestId":"d"`)) // a new connection is not late
}

// A silent connection must show no error, must not run what arrives on it, and must leave new
// connections working.
func TestSilentConnections(t *testing.T) {
	for name, silence := range map[string]func(*Server){
		"open ones":        func(s *Server) { s.Silence() },
		"after one answer": func(s *Server) { s.SetFaults(ServerFaults{SilentAfter: 1}) },
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			s := listen(t, ServerConfig{StartWarm: true, Latency: steady})
			cl := newClient(t)
			status, _ := sent{id: "a", key: "k1"}.do(t, cl, s.Address())
			is.Equal(status, http.StatusOK)
			silence(s)
			r := sent{id: "b", key: "k2"}.request(t, s.Address())
			ctx, cancel := context.WithTimeout(r.Context(), 50*time.Millisecond)
			defer cancel()
			res, err := cl.Do(r.WithContext(ctx))
			if err == nil {
				res.Body.Close()
			}
			is.True(ctx.Err() != nil) // no error of its own before the timeout
			cl.CloseIdleConnections()
			status, _ = sent{id: "c", key: "k3"}.do(t, cl, s.Address())
			is.Equal(status, http.StatusOK)
			is.Equal(s.Record().Orders["k2"].Count, 0)
		})
	}
}

// A partition must lose requests without an error, and must end when it is healed.
func TestUnreachable(t *testing.T) {
	is := is.New(t)
	s := listen(t, ServerConfig{StartWarm: true, Latency: steady})
	cl := newClient(t)
	s.SetFaults(ServerFaults{Unreachable: true})
	ctx, cancel := context.WithTimeout(t.Context(), 50*time.Millisecond)
	defer cancel()
	res, err := cl.Do(sent{id: "a", key: "k"}.request(t, s.Address()).WithContext(ctx))
	if err == nil {
		res.Body.Close()
	}
	is.True(ctx.Err() != nil)
	s.SetFaults(ServerFaults{})
	status, _ := sent{id: "b", shard: "s"}.do(t, cl, s.Address())
	is.Equal(status, http.StatusOK)
	is.Equal(s.Record().Received, 1)
}

// The pool of the nodes is tested against this cap.
func TestConnectionsAboveTheCapAreClosed(t *testing.T) {
	is := is.New(t)
	slow := Latency{Median: 200 * time.Millisecond, Sigma: -1, StragglerShare: -1}
	s := listen(t, ServerConfig{StartWarm: true, Slots: 9, Connections: 3, ConnectDelay: 5 * time.Millisecond, Latency: slow})
	together(t, newClient(t), s.Address(), 5)
	r := s.Record()
	is.Equal(r.MostConnections, 3)
	is.True(r.ClosedConnections >= 2) // the HTTP client may try a closed one once more
	is.Equal(r.Ran, 3)
}

// A request that crashes its server must crash each server that runs it, and counts as run.
func TestMarkedRequestCrashesServer(t *testing.T) {
	for name, q := range map[string]sent{
		"query": {id: "a", shard: "s", query: "all stumps poison"},
		"order": {id: "a", key: "k", body: `{"Note":"poison"}`},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			s := listen(t, ServerConfig{
				StartWarm: true, Latency: steady, RestartDelay: 10 * time.Millisecond,
				Faults: ServerFaults{CrashMark: "poison"},
			})
			for n := 1; n <= 2; n++ {
				status, _ := q.do(t, newClient(t), s.Address())
				is.Equal(status, 0)
				is.True(eventually(func() bool { return s.Incarnation() != "" }))
				r := s.Record()
				is.Equal(r.Crashes, n)
				is.Equal(r.Ran, n)
				is.Equal(r.Orders["k"].Finished, 0)
			}
			is.Equal(len(s.Record().Incarnations), 3)
		})
	}
}

// direct passes requests to a server without sockets, so that tests run in virtual time.
type direct struct {
	*Server
}

func (d direct) RoundTrip(r *http.Request) (*http.Response, error) {
	w := httptest.NewRecorder()
	d.ServeHTTP(w, r)
	return w.Result(), r.Context().Err()
}

// "Not run" must be true: no refusal that says so may stand for a request that took a slot.
func TestDeadlinesAndCancellation(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		slow := Latency{Median: 300 * time.Millisecond, Sigma: -1, StragglerShare: -1}
		s := NewServer(ServerConfig{StartWarm: true, Slots: 1, Queue: 1, Latency: slow})
		defer s.Close()
		cl := &http.Client{Transport: direct{s}}
		status, body := sent{id: "late", key: "late", timeout: -time.Millisecond}.do(t, cl, anyLoopback)
		is.Equal(status, http.StatusGatewayTimeout)
		is.Equal(failure(body).NotRun, true)

		results := map[string]chan string{"runs": make(chan string, 1), "waits": make(chan string, 1)}
		start := func(id string, timeout time.Duration) {
			go func() {
				_, body := sent{id: id, key: id, timeout: timeout}.do(t, cl, anyLoopback)
				results[id] <- body
			}()
			synctest.Wait()
		}
		start("runs", 80*time.Millisecond)
		start("waits", 20*time.Millisecond)
		status, body = sent{id: "shed", key: "shed"}.do(t, cl, anyLoopback)
		is.Equal(status, http.StatusServiceUnavailable)
		is.Equal(failure(body).Reason, wire.BackendShed)
		waits, runs := failure(<-results["waits"]), failure(<-results["runs"])
		is.Equal(waits.Reason, wire.BackendDeadline)
		is.True(waits.NotRun)
		is.Equal(runs.Reason, wire.BackendDeadline)
		is.True(!runs.NotRun)

		start("runs", time.Second)
		start("waits", time.Second)
		for _, id := range []string{"waits", "runs"} {
			r, err := http.NewRequestWithContext(t.Context(), http.MethodPost, "http://server.test/cancel",
				strings.NewReader(`{"RequestId":"`+id+`"}`))
			is.NoErr(err)
			res, err := cl.Do(r)
			is.NoErr(err)
			res.Body.Close()
			f := failure(<-results[id])
			is.Equal(f.Reason, wire.BackendCancelled)
			is.Equal(f.NotRun, id == "waits")
		}
		is.Equal(s.inFlight(), 0) // the answer to a cancellation comes after the slot is free
		r := s.Record()
		is.Equal(r.Orders["runs"].Count, 2)
		is.Equal(r.Orders["late"].Count+r.Orders["shed"].Count+r.Orders["waits"].Count, 0)
		is.Equal(r.Expired, 1)
	})
}

// A caller that closes its connection must free the slot, or hedging would fill the server.
func TestClosedConnectionCancels(t *testing.T) {
	is := is.New(t)
	slow := Latency{Median: time.Minute, Sigma: -1, StragglerShare: -1}
	s := listen(t, ServerConfig{StartWarm: true, Slots: 1, Latency: slow})
	ctx, cancel := context.WithCancel(t.Context())
	q := sent{id: "closed", shard: "s", timeout: time.Minute}.request(t, s.Address()).WithContext(ctx)
	go func() {
		eventually(func() bool { return s.inFlight() == 1 })
		cancel()
	}()
	res, err := newClient(t).Do(q)
	if err == nil {
		res.Body.Close()
	}
	is.True(eventually(func() bool { return s.Record().Cancelled == 1 && s.inFlight() == 0 }))
}

func (s *Server) inFlight() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.life.active()
}

// Requests after a drain, after a mark and for a dropped version must be refused and counted.
func TestDrainMarkAndVersions(t *testing.T) {
	is := is.New(t)
	s := listen(t, ServerConfig{StartWarm: true, Latency: steady, Indexes: []ServerIndex{{Version: "v1", Shards: []string{"s"}}}})
	cl := newClient(t)
	ask := func(version, shard string) (int, wire.BackendFailure) {
		status, body := sent{id: "a", shard: shard, version: version}.do(t, cl, s.Address())
		return status, failure(body)
	}
	status, _ := ask("v1", "s")
	is.Equal(status, http.StatusOK)
	status, f := ask("v1", "elsewhere")
	is.Equal(status, http.StatusBadRequest)
	is.True(f.NotRun)
	s.SetIndexes([]ServerIndex{{Version: "v2"}})
	status, f = ask("v1", "s")
	is.Equal(status, http.StatusConflict)
	is.Equal(f.IndexVersion, "v2")
	s.Drain()
	s.Mark()
	status, f = ask("v2", "s")
	is.Equal(status, http.StatusServiceUnavailable)
	is.Equal(f.Reason, wire.BackendDraining)
	r := s.Record()
	is.Equal(r.AfterDrain, 1)
	is.Equal(r.AfterMark, 1)
	is.True(!r.LastAfterDrain.Before(r.Drained))
	is.Equal(r.Ran, 1)
	s.Undrain()
	status, _ = ask("v2", "s")
	is.Equal(status, http.StatusOK)
}

// Health and load may lag or lie, and nodes must not trust them.
func TestReportsLagAndMislead(t *testing.T) {
	is := is.New(t)
	s := NewServer(ServerConfig{StartWarm: true})
	defer s.Close()
	now := time.Now()
	s.mu.Lock()
	s.note(now.Add(-time.Second))
	s.mu.Unlock()
	s.Drain()
	s.mu.Lock()
	s.note(now)
	s.mu.Unlock()
	is.Equal(s.reportedHealth(now).State, wire.ServerDraining)
	s.SetFaults(ServerFaults{ReportDelay: wire.Duration(500 * time.Millisecond)})
	is.Equal(s.reportedHealth(now).State, wire.ServerReady)
	is.Equal(s.reportedHealth(now.Add(time.Second)).State, wire.ServerDraining)
	s.SetFaults(ServerFaults{Report: &wire.Health{State: wire.ServerReady, Load: 0.1}})
	is.Equal(s.reportedHealth(now), wire.Health{State: wire.ServerReady, Load: 0.1})
	s.Undrain()
	s.TurnCold()
	s.SetFaults(ServerFaults{SaysWarm: true})
	is.Equal(s.reportedHealth(now).State, wire.ServerReady)
}

// A fleet must serve what its document says, and must leave no goroutine or port behind.
func TestFleet(t *testing.T) {
	defer goleak.VerifyNone(t, goleak.IgnoreCurrent())
	is := is.New(t)
	f, err := StartFleet(t.Context(), FleetConfig{
		Layout: Layout{Services: 2, Shards: 6, Replicas: 2, Servers: 4, Slices: 2},
		Server: ServerConfig{Latency: steady},
	})
	is.NoErr(err)
	defer f.Close()
	cl := newClient(t)
	defer cl.CloseIdleConnections()
	d := f.Document()
	is.Equal(len(f.Servers()), 8)
	for _, v := range d.Services {
		slice := map[netip.AddrPort]int{}
		for _, b := range v.Servers {
			slice[b.Address] = b.Slice
		}
		for _, h := range v.Indexes[0].Shards {
			is.Equal(len(h.Servers), 2)
			is.Equal(slice[h.Servers[0]], slice[h.Servers[1]]) // a slice has all replicas of its shards
			for _, a := range h.Servers {
				status, _ := sent{id: "a", shard: h.Name, version: "v1"}.do(t, cl, a)
				is.Equal(status, http.StatusOK)
			}
		}
	}
	is.NoErr(f.SetDomain("Yilan", "Out"))
	is.Equal(f.Platform.Version(), uint64(2))
	is.True(!f.Document().DomainIn("Yilan"))
	a := f.Servers("Yilan")[0].Address()
	f.Leave(a)
	for _, v := range f.Platform.VMs() {
		is.Equal(v.State == wire.VMLeaving, v.Address == a)
	}
}
