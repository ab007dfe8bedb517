package fake

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

var constantLatency = Latency{Median: time.Millisecond, Sigma: -1, StragglerShare: -1}

func decodeFailure(body string) wire.BackendFailure {
	var f wire.BackendFailure
	_ = json.Unmarshal([]byte(body), &f)
	return f
}

// Guards against fault injection that differs between runs with the same seed: tests with a fixed seed
// rely on the same requests getting the same wrong responses.
func TestWrongAnswersAreDeterministic(t *testing.T) {
	is := is.New(t)
	f := ServerFaults{WrongRequest: 0.2, WrongVersion: 0.2, Truncate: 0.2}
	c := ServerConfig{StartWarm: true, Latency: constantLatency, Seed: 5, Faults: f}
	cl := newClient(t)
	var runs [2]string
	var counts [4]int
	for n := range runs {
		s := startTestServer(t, c)
		for i := range 60 {
			id := "q" + strconv.Itoa(i)
			status, body := testRequest{id: id, shard: "s", version: "v1"}.send(t, cl, s.Address())
			var a wire.ShardAnswer
			switch {
			case status == 0 || json.Unmarshal([]byte(body), &a) != nil || !a.Complete:
				counts[0]++
				runs[n] += "t"
			case a.RequestID != id:
				counts[1]++
				runs[n] += "r"
			case a.IndexVersion != "v1":
				counts[2]++
				runs[n] += "v"
			default:
				counts[3]++
				runs[n] += "."
				is.Equal(a.Hits, Hits("stumps", "s", "v1", "", DefaultHits, 3))
			}
		}
		is.Equal(s.Record().Answered, 60)
	}
	is.Equal(runs[0], runs[1])
	for _, c := range counts {
		is.True(c > 0)
	}
}

// Guards against a duplicate that does not reach the next request on the connection. A client that does
// not match request IDs is detected only if it does.
func TestDuplicateAnswersTheNextRequest(t *testing.T) {
	is := is.New(t)
	s := startTestServer(t, ServerConfig{StartWarm: true, Latency: constantLatency, Faults: ServerFaults{Duplicate: 1}})
	cl := newClient(t)
	for _, id := range []string{"a", "b"} {
		_, body := testRequest{id: id, shard: "s"}.send(t, cl, s.Address())
		is.True(strings.Contains(body, `"RequestId":"a"`))
		s.SetFaults(ServerFaults{})
	}
	cl.CloseIdleConnections()
	_, body := testRequest{id: "d", shard: "s"}.send(t, cl, s.Address())
	is.True(strings.Contains(body, `"RequestId":"d"`)) // replies on a new connection are not delayed
}

// Guards against a silent connection that returns an error, a request that runs after arriving on it, and
// new connections that fail.
func TestSilentConnections(t *testing.T) {
	for name, silence := range map[string]func(*Server){
		"open ones":        func(s *Server) { s.Silence() },
		"after one answer": func(s *Server) { s.SetFaults(ServerFaults{SilentAfter: 1}) },
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			s := startTestServer(t, ServerConfig{StartWarm: true, Latency: constantLatency})
			cl := newClient(t)
			status, _ := testRequest{id: "a", key: "k1"}.send(t, cl, s.Address())
			is.Equal(status, http.StatusOK)
			silence(s)
			r := testRequest{id: "b", key: "k2"}.request(t, s.Address())
			ctx, cancel := context.WithTimeout(r.Context(), 50*time.Millisecond)
			defer cancel()
			res, err := cl.Do(r.WithContext(ctx))
			if err == nil {
				res.Body.Close()
			}
			is.True(ctx.Err() != nil) // the connection returned no error before the timeout
			cl.CloseIdleConnections()
			status, _ = testRequest{id: "c", key: "k3"}.send(t, cl, s.Address())
			is.Equal(status, http.StatusOK)
			is.Equal(s.Record().Orders["k2"].Count, 0)
		})
	}
}

// Guards against a partition in which requests fail with an error, and one that remains after it is healed.
func TestUnreachable(t *testing.T) {
	is := is.New(t)
	s := startTestServer(t, ServerConfig{StartWarm: true, Latency: constantLatency})
	cl := newClient(t)
	s.SetFaults(ServerFaults{Unreachable: true})
	ctx, cancel := context.WithTimeout(t.Context(), 50*time.Millisecond)
	defer cancel()
	res, err := cl.Do(testRequest{id: "a", key: "k"}.request(t, s.Address()).WithContext(ctx))
	if err == nil {
		res.Body.Close()
	}
	is.True(ctx.Err() != nil)
	s.SetFaults(ServerFaults{})
	status, _ := testRequest{id: "b", shard: "s"}.send(t, cl, s.Address())
	is.Equal(status, http.StatusOK)
	is.Equal(s.Record().Received, 1)
}

// Guards against an unenforced connection limit, which tests of the connection pool of the nodes rely on.
func TestConnectionsAboveTheCapAreClosed(t *testing.T) {
	is := is.New(t)
	slow := Latency{Median: 200 * time.Millisecond, Sigma: -1, StragglerShare: -1}
	s := startTestServer(t, ServerConfig{
		StartWarm: true, Slots: 9, Connections: 3, ConnectDelay: 5 * time.Millisecond, Latency: slow,
	})
	sendConcurrently(t, newClient(t), s.Address(), 5)
	r := s.Record()
	is.Equal(r.MaxConnections, 3)
	is.True(r.ClosedConnections >= 2) // the HTTP client may retry after a closed connection
	is.Equal(r.Ran, 3)
}

// Guards against a poison request that does not crash every server that runs it, or does not count as run.
func TestPoisonRequestCrashesServer(t *testing.T) {
	for name, q := range map[string]testRequest{
		"query": {id: "a", shard: "s", query: "all stumps poison"},
		"order": {id: "a", key: "k", body: `{"Note":"poison"}`},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			s := startTestServer(t, ServerConfig{
				StartWarm: true, Latency: constantLatency, RestartDelay: 10 * time.Millisecond,
				Faults: ServerFaults{CrashMark: "poison"},
			})
			for n := 1; n <= 2; n++ {
				status, _ := q.send(t, newClient(t), s.Address())
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

// handlerTransport passes requests directly to the handler, without sockets, so that tests run in virtual time.
type handlerTransport struct {
	*Server
}

func (d handlerTransport) RoundTrip(r *http.Request) (*http.Response, error) {
	w := httptest.NewRecorder()
	d.ServeHTTP(w, r)
	return w.Result(), r.Context().Err()
}

// Guards against a "not run" refusal of a request that acquired a slot.
func TestDeadlinesAndCancellation(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		slow := Latency{Median: 300 * time.Millisecond, Sigma: -1, StragglerShare: -1}
		s := NewServer(ServerConfig{StartWarm: true, Slots: 1, Queue: 1, Latency: slow})
		defer s.Close()
		cl := &http.Client{Transport: handlerTransport{s}}
		status, body := testRequest{id: "late", key: "late", timeout: -time.Millisecond}.send(t, cl, anyLoopback)
		is.Equal(status, http.StatusGatewayTimeout)
		is.Equal(decodeFailure(body).NotRun, true)

		results := map[string]chan string{"runs": make(chan string, 1), "waits": make(chan string, 1)}
		start := func(id string, timeout time.Duration) {
			go func() {
				_, body := testRequest{id: id, key: id, timeout: timeout}.send(t, cl, anyLoopback)
				results[id] <- body
			}()
			synctest.Wait()
		}
		start("runs", 80*time.Millisecond)
		start("waits", 20*time.Millisecond)
		status, body = testRequest{id: "shed", key: "shed"}.send(t, cl, anyLoopback)
		is.Equal(status, http.StatusServiceUnavailable)
		is.Equal(decodeFailure(body).Reason, wire.BackendShed)
		waits, runs := decodeFailure(<-results["waits"]), decodeFailure(<-results["runs"])
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
			f := decodeFailure(<-results[id])
			is.Equal(f.Reason, wire.BackendCancelled)
			is.Equal(f.NotRun, id == "waits")
		}
		is.Equal(s.inFlight(), 0) // the response to a cancellation is sent after the slot is released
		r := s.Record()
		is.Equal(r.Orders["runs"].Count, 2)
		is.Equal(r.Orders["late"].Count+r.Orders["shed"].Count+r.Orders["waits"].Count, 0)
		is.Equal(r.Expired, 1)
	})
}

// Guards against a slot that stays occupied after the caller has closed its connection: cancelled hedges
// would then use up the slots of the server.
func TestClosedConnectionCancels(t *testing.T) {
	is := is.New(t)
	slow := Latency{Median: time.Minute, Sigma: -1, StragglerShare: -1}
	s := startTestServer(t, ServerConfig{StartWarm: true, Slots: 1, Latency: slow})
	ctx, cancel := context.WithCancel(t.Context())
	q := testRequest{id: "closed", shard: "s", timeout: time.Minute}.request(t, s.Address()).WithContext(ctx)
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
	return s.incarnation.active()
}

// Guards against requests that are accepted after a drain or for a removed index version, or are not
// counted after a drain or a mark.
func TestDrainMarkAndVersions(t *testing.T) {
	is := is.New(t)
	s := startTestServer(t, ServerConfig{
		StartWarm: true, Latency: constantLatency,
		Indexes: []ServerIndex{{Version: "v1", Shards: []string{"s"}}},
	})
	cl := newClient(t)
	query := func(version, shard string) (int, wire.BackendFailure) {
		status, body := testRequest{id: "a", shard: shard, version: version}.send(t, cl, s.Address())
		return status, decodeFailure(body)
	}
	status, _ := query("v1", "s")
	is.Equal(status, http.StatusOK)
	status, f := query("v1", "elsewhere")
	is.Equal(status, http.StatusBadRequest)
	is.True(f.NotRun)
	s.SetIndexes([]ServerIndex{{Version: "v2"}})
	status, f = query("v1", "s")
	is.Equal(status, http.StatusConflict)
	is.Equal(f.IndexVersion, "v2")
	s.Drain()
	s.Mark()
	status, f = query("v2", "s")
	is.Equal(status, http.StatusServiceUnavailable)
	is.Equal(f.Reason, wire.BackendDraining)
	r := s.Record()
	is.Equal(r.AfterDrain, 1)
	is.Equal(r.AfterMark, 1)
	is.True(!r.LastAfterDrain.Before(r.Drained))
	is.Equal(r.Ran, 1)
	s.Undrain()
	status, _ = query("v2", "s")
	is.Equal(status, http.StatusOK)
}

// Guards against report faults that do not take effect. Health and load reports may be stale or false,
// and tests check that nodes do not rely on them.
func TestStaleAndFalseHealthReports(t *testing.T) {
	is := is.New(t)
	s := NewServer(ServerConfig{StartWarm: true})
	defer s.Close()
	now := time.Now()
	s.mu.Lock()
	s.recordHealth(now.Add(-time.Second))
	s.mu.Unlock()
	s.Drain()
	s.mu.Lock()
	s.recordHealth(now)
	s.mu.Unlock()
	is.Equal(s.reportedHealth(now).State, wire.ServerDraining)
	s.SetFaults(ServerFaults{ReportDelay: wire.Duration(500 * time.Millisecond)})
	is.Equal(s.reportedHealth(now).State, wire.ServerReady)
	is.Equal(s.reportedHealth(now.Add(time.Second)).State, wire.ServerDraining)
	s.SetFaults(ServerFaults{Report: &wire.Health{State: wire.ServerReady, Load: 0.1}})
	is.Equal(s.reportedHealth(now), wire.Health{State: wire.ServerReady, Load: 0.1})
	s.Undrain()
	s.MakeCold()
	s.SetFaults(ServerFaults{SaysWarm: true})
	is.Equal(s.reportedHealth(now).State, wire.ServerReady)
}

// Guards against a fleet that does not serve the services in its document, or leaks goroutines or ports
// after Close.
func TestFleet(t *testing.T) {
	defer goleak.VerifyNone(t, goleak.IgnoreCurrent())
	is := is.New(t)
	f, err := StartFleet(t.Context(), FleetConfig{
		Layout: Layout{Services: 2, Shards: 6, Replicas: 2, Servers: 4, Slices: 2},
		Server: ServerConfig{Latency: constantLatency},
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
			is.Equal(slice[h.Servers[0]], slice[h.Servers[1]]) // a slice holds all replicas of its shards
			for _, a := range h.Servers {
				status, _ := testRequest{id: "a", shard: h.Name, version: "v1"}.send(t, cl, a)
				is.Equal(status, http.StatusOK)
			}
		}
	}
	is.NoErr(f.SetDomain("Yilan", "Out"))
	is.Equal(f.Platform.Version(), uint64(2))
	is.True(!f.Document().DomainIn("Yilan"))
	a := f.Servers("Yilan")[0].Address()
	f.MarkLeaving(a)
	for _, v := range f.Platform.VMs() {
		is.Equal(v.State == wire.VMLeaving, v.Address == a)
	}
}
