package serve

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"log/slog"
	"net"
	"net/http"
	"net/netip"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/arbutusthread/arbutusthread/conf"
	"github.com/arbutusthread/arbutusthread/fake"
	"github.com/arbutusthread/arbutusthread/query"
	"github.com/arbutusthread/arbutusthread/sched"
	"github.com/arbutusthread/arbutusthread/wire"
)

const (
	benchShards  = 140
	benchServers = 28
	benchClients = 8
)

// startStubServers starts servers that return complete responses without delay, so that the benchmark measures the
// client side.
func startStubServers(b *testing.B) []netip.AddrPort {
	b.Helper()
	var list []netip.AddrPort
	for range benchServers {
		l, err := new(net.ListenConfig).Listen(b.Context(), "tcp", "127.0.0.1:0")
		is.New(b).NoErr(err)
		s := &http.Server{Handler: http.HandlerFunc(serveCompleteAnswer), ReadHeaderTimeout: time.Second}
		go func() { _ = s.Serve(l) }()
		b.Cleanup(func() { _ = s.Close() })
		list = append(list, l.Addr().(*net.TCPAddr).AddrPort())
	}
	return list
}

func serveCompleteAnswer(w http.ResponseWriter, r *http.Request) {
	var q wire.ShardQuery
	if json.NewDecoder(r.Body).Decode(&q) != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	_ = json.NewEncoder(w).Encode(wire.ShardAnswer{
		RequestID: q.RequestID, Shard: q.Shard, IndexVersion: q.IndexVersion, Incarnation: "1", Warm: true,
		Hits: fake.Hits(q.Service, q.Shard, q.IndexVersion, q.Query, q.TopK, q.TopK), Total: 100, Complete: true,
	})
}

func benchDocument(servers []netip.AddrPort) *conf.Document {
	d := fake.Layout{Shards: benchShards, Servers: benchServers, Slots: 16, ColdSlots: 16, Connections: 64}.Document()
	s := &d.Services[0]
	for i := range s.Servers {
		s.Servers[i].Address = servers[i]
	}
	for i := range s.Indexes[0].Shards {
		s.Indexes[0].Shards[i].Servers = []netip.AddrPort{servers[i%benchServers], servers[(i+1)%benchServers]}
	}
	return d
}

func cpuTime() time.Duration {
	var u syscall.Rusage
	_ = syscall.Getrusage(syscall.RUSAGE_SELF, &u)
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}

// runQueries runs b.N queries on benchClients concurrent clients and reports CPU time per shard request and shard
// requests per second. The servers run in the same process, so their cost is part of both metrics.
func runQueries(b *testing.B, query func(id string) error) {
	next := make(chan int)
	var group sync.WaitGroup
	before := cpuTime()
	b.ReportAllocs()
	b.ResetTimer()
	for range benchClients {
		group.Go(func() {
			for i := range next {
				if err := query(fmt.Sprint("bench-", i)); err != nil {
					b.Error(err)
				}
			}
		})
	}
	for i := range b.N {
		next <- i
	}
	close(next)
	group.Wait()
	shards := float64(b.N) * benchShards
	b.ReportMetric(float64((cpuTime()-before).Microseconds())/shards, "cpu-us/shard")
	b.ReportMetric(shards/b.Elapsed().Seconds(), "shards/s")
}

// BenchmarkHome140 measures a query to 140 shards through the scheduler and the backend client of a lease holder.
func BenchmarkHome140(b *testing.B) {
	is := is.New(b)
	any0 := netip.MustParseAddrPort("127.0.0.1:0")
	n, err := New(Config{Log: slog.New(slog.DiscardHandler), Settings: &conf.Settings{
		Name: "bench", FailureDomain: "Lukang", Region: "r", CallerAddress: any0, PeerAddress: any0, OpsAddress: any0,
		Platform: "http://127.0.0.1:1", FleetKeys: []string{"000102030405060708090a0b0c0d0e0f"},
		Limits: conf.Limits{AnswerBytes: 1 << 20, CallerConnections: 10, OrderKeys: 10, OrderKeyBatch: 10, Decisions: 1000, BodyBytes: 1 << 20},
	}})
	is.NoErr(err)
	b.Cleanup(n.close)
	d := benchDocument(startStubServers(b))
	c := query.NewCatalog(d)
	n.active.Store(&activeConfig{catalog: c})
	h := newSliceHolder(n, sliceKey{"service-0", 0}, sched.New(sched.Config{Service: "service-0", Preset: d.ActivePreset(), Seed: 1}))
	n.holders.byKey[h.key] = h
	h.setLease(time.Now().Add(time.Hour), false)
	n.holders.update()
	ask := func(id string) error {
		p, f := query.NewPlan(c, "service-0", wire.Query{RequestID: id, Kind: "lookup", Query: "q"}, time.Now(), "")
		if f != nil {
			return f
		}
		part := p.Index.Parts[0]
		partial, err := h.Query(b.Context(), p.SliceQuery(part, "bench", false))
		if err != nil {
			return err
		}
		m := query.NewMerge(p)
		if err := m.Add(part, &partial); err != nil {
			return err
		}
		if _, f := m.Answer(); f != nil {
			return f
		}
		return nil
	}
	for i := range 50 {
		is.NoErr(ask(fmt.Sprint("warm-up-", i)))
	}
	runQueries(b, ask)
}

// BenchmarkPlain140 is the baseline: plain net/http requests to the same servers, with the responses decoded and
// discarded and without scheduling.
func BenchmarkPlain140(b *testing.B) {
	servers := startStubServers(b)
	d := benchDocument(servers)
	client := &http.Client{Transport: &http.Transport{MaxConnsPerHost: 63, MaxIdleConnsPerHost: 63}}
	runQueries(b, func(id string) error {
		var group sync.WaitGroup
		for _, s := range d.Services[0].Indexes[0].Shards {
			group.Go(func() {
				raw, _ := json.Marshal(wire.ShardQuery{
					RequestID: id, Service: "service-0", Shard: s.Name, IndexVersion: "v1", Kind: "lookup", Query: "q", TopK: 10,
				})
				q, _ := http.NewRequestWithContext(b.Context(), http.MethodPost, "http://"+s.Servers[0].String()+"/shard", bytes.NewReader(raw))
				r, err := client.Do(q)
				if err != nil {
					b.Error(err)
					return
				}
				var a wire.ShardAnswer
				_ = json.NewDecoder(r.Body).Decode(&a)
				_, _ = io.Copy(io.Discard, r.Body)
				_ = r.Body.Close()
			})
		}
		group.Wait()
		return nil
	})
}
