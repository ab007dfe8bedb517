package fake

import (
	"bytes"
	"encoding/json"
	"io"
	"net/http"
	"net/netip"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/arbutusthread/arbutusthread/wire"
	"github.com/matryer/is"
)

// startTestServer starts a server on a free loopback port.
func startTestServer(t *testing.T, c ServerConfig) *Server {
	t.Helper()
	c.Name = "grinder"
	s := NewServer(c)
	if err := s.Listen(anyLoopback); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(s.Close)
	return s
}

func newClient(t *testing.T) *http.Client {
	tr := &http.Transport{MaxIdleConnsPerHost: 100}
	t.Cleanup(tr.CloseIdleConnections)
	return &http.Client{Transport: tr}
}

type testRequest struct {
	id, shard, version, query, key, body string
	timeout                              time.Duration
}

func (q testRequest) request(t *testing.T, to netip.AddrPort) *http.Request {
	t.Helper()
	path, v := "/shard", any(wire.ShardQuery{
		RequestID: q.id, Service: "stumps", Shard: q.shard, IndexVersion: q.version, Kind: "lookup", Query: q.query, TopK: 3,
	})
	if q.key != "" {
		if q.body == "" {
			q.body = "{}"
		}
		path, v = "/order", wire.BackendOrder{Key: q.key, Service: "stumps", Kind: "order", Body: json.RawMessage(q.body)}
	}
	raw, err := json.Marshal(v)
	if err != nil {
		t.Fatal(err)
	}
	r, err := http.NewRequestWithContext(t.Context(), http.MethodPost, "http://"+to.String()+path, bytes.NewReader(raw))
	if err != nil {
		t.Fatal(err)
	}
	if q.timeout == 0 {
		q.timeout = 5 * time.Second
	}
	r.Header.Set(wire.HeaderRequestID, q.id)
	r.Header.Set(wire.HeaderDeadline, time.Now().Add(q.timeout).UTC().Format(time.RFC3339Nano))
	return r
}

// send sends the request and returns the status and the body. Without a complete response it returns
// status 0 and the error text.
func (q testRequest) send(t *testing.T, c *http.Client, to netip.AddrPort) (int, string) {
	t.Helper()
	res, err := c.Do(q.request(t, to))
	if err != nil {
		return 0, err.Error()
	}
	defer res.Body.Close()
	b, err := io.ReadAll(res.Body)
	if err != nil {
		return 0, err.Error()
	}
	return res.StatusCode, string(b)
}

// sendConcurrently sends n requests concurrently, all within the latency of the first, and waits for them.
func sendConcurrently(t *testing.T, c *http.Client, to netip.AddrPort, n int) {
	var all sync.WaitGroup
	for i := range n {
		all.Go(func() { testRequest{id: string(rune('a' + i)), shard: "s"}.send(t, c, to) })
	}
	all.Wait()
}

// Guards against a cold server that crashes within its concurrency limit, or does not crash above it. Tests
// of the cold start rely on both.
func TestColdServerCrashesOnlyAboveItsLimit(t *testing.T) {
	is := is.New(t)
	c := ServerConfig{
		Slots: 4, ColdSlots: 1, WarmAfter: 3, CrashAfter: 3, RestartDelay: 200 * time.Millisecond,
		Latency: Latency{Median: 40 * time.Millisecond, Sigma: -1, StragglerShare: -1},
	}
	s := startTestServer(t, c)
	cl := newClient(t)
	for range 3 {
		status, body := testRequest{id: "a", shard: "s"}.send(t, cl, s.Address())
		is.Equal(status, http.StatusOK)
		is.True(strings.Contains(body, `"Warm":`))
	}
	is.True(s.Warm())
	sendConcurrently(t, cl, s.Address(), 4)
	r := s.Record()
	is.Equal(r.Crashes, 0)
	is.Equal(r.Cold[0].OverLimit, 0)
	is.Equal(r.Cold[0].MaxConcurrent, 1)

	first := s.Incarnation()
	s.MakeCold()
	sendConcurrently(t, cl, s.Address(), 4)
	r = s.Record()
	is.Equal(r.Crashes, 1) // three requests above the limit of one
	is.Equal(r.Cold[1].Cause, ColdUnannounced)
	is.Equal(r.Cold[1].OverLimit, 3)
	is.Equal(r.Cold[1].MaxConcurrent, 4)
	status, _ := testRequest{id: "b", shard: "s"}.send(t, cl, s.Address())
	is.Equal(status, 0) // connection refused while down
	is.True(eventually(func() bool { return s.Incarnation() != "" }))
	is.True(s.Incarnation() != first)
	is.True(!s.Warm())
	status, _ = testRequest{id: "c", shard: "s"}.send(t, cl, s.Address())
	is.Equal(status, http.StatusOK) // restarted on the same address
}

func eventually(f func() bool) bool {
	for range 400 {
		if f() {
			return true
		}
		time.Sleep(5 * time.Millisecond)
	}
	return false
}
