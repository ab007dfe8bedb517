package back

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/netip"
	"slices"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/arbutusthread/arbutusthread/wire"
)

const benchServers, benchShards, benchConns = 10, 140, 25

var benchQuery = wire.ShardQuery{
	RequestID: "q-1", Service: "festival-board", Shard: "s-1", IndexVersion: "v1", Kind: "lookup",
	Query: "clogs size 24", TopK: 10,
}

// cannedServer answers each request with the same bytes and uses almost no CPU time, so that the
// benchmark measures the client.
func cannedServer(b *testing.B) netip.AddrPort {
	a := newAnswer(benchQuery)
	a.Hits = slices.Repeat([]wire.Hit{{ID: "order-4711", Score: 0.5, Fields: json.RawMessage(`{"Workshop":"Lukang"}`)}}, benchQuery.TopK)
	body, _ := json.Marshal(a)
	answer := fmt.Appendf(nil, "HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(body), body)
	return listen(b, func(c net.Conn) {
		r := bufio.NewReader(c)
		for {
			// A closing brace ends the request, because only the body of a shard query has braces.
			if _, err := r.ReadSlice('}'); err != nil {
				return
			}
			_, _ = c.Write(answer)
		}
	})
}

// runScatters runs b.N shard requests in scatters of 140 and reports requests per second and CPU time
// per request. The CPU time includes the canned servers, which are the same for each client.
func runScatters(b *testing.B, servers []netip.AddrPort, query func(context.Context, netip.AddrPort, time.Time) bool) {
	b.ReportAllocs()
	b.ResetTimer()
	begin, cpu := time.Now(), cpuTime()
	for done := 0; done < b.N; done += benchShards {
		ctx, cancel := context.WithCancel(context.Background())
		deadline := time.Now().Add(5 * time.Second)
		var g sync.WaitGroup
		for i := range min(benchShards, b.N-done) {
			g.Go(func() {
				if !query(ctx, servers[i%benchServers], deadline) {
					b.Error("request failed")
				}
			})
		}
		g.Wait()
		cancel()
	}
	n := float64(b.N)
	b.ReportMetric(n/time.Since(begin).Seconds(), "req/s")
	b.ReportMetric(float64((cpuTime()-cpu).Nanoseconds())/n, "cpu-ns/req")
}

func cpuTime() time.Duration {
	var u syscall.Rusage
	_ = syscall.Getrusage(syscall.RUSAGE_SELF, &u)
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}

func BenchmarkShardRequests(b *testing.B) {
	servers := make([]netip.AddrPort, benchServers)
	listed := make([]Server, benchServers)
	for i := range servers {
		servers[i] = cannedServer(b)
		listed[i] = Server{Address: servers[i], Connections: benchConns}
	}
	b.Run("back", func(b *testing.B) {
		k := NewClient(Config{})
		defer k.Close()
		k.SetServers(listed)
		runScatters(b, servers, func(ctx context.Context, a netip.AddrPort, d time.Time) bool {
			_, r := k.Query(ctx, a, d, benchQuery)
			return r.Outcome == OK
		})
	})
	b.Run("nethttp", func(b *testing.B) {
		t := &http.Transport{MaxConnsPerHost: benchConns, MaxIdleConnsPerHost: benchConns}
		defer t.CloseIdleConnections()
		runScatters(b, servers, netHTTPClient{http.Client{Transport: t}}.query)
	})
}

// netHTTPClient is a client that uses only net/http, for comparison.
type netHTTPClient struct {
	client http.Client
}

func (p netHTTPClient) query(ctx context.Context, a netip.AddrPort, deadline time.Time) bool {
	ctx, cancel := context.WithDeadline(ctx, deadline)
	defer cancel()
	body, _ := json.Marshal(benchQuery)
	q, _ := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+a.String()+"/shard", bytes.NewReader(body))
	q.Header.Set(wire.HeaderRequestID, benchQuery.RequestID)
	q.Header.Set(wire.HeaderDeadline, deadline.UTC().Format(time.RFC3339Nano))
	v, err := p.client.Do(q)
	if err != nil {
		return false
	}
	defer v.Body.Close()
	raw, err := io.ReadAll(v.Body)
	var w wire.ShardAnswer
	return err == nil && json.Unmarshal(raw, &w) == nil && w.Complete && w.RequestID == benchQuery.RequestID
}
