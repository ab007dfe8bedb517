package query

import (
	"fmt"
	"net/netip"
	"testing"
	"time"

	"github.com/arbutusthread/arbutusthread/conf"
	"github.com/arbutusthread/arbutusthread/wire"
)

const benchShards = 140

// benchDocument returns a document with services of 140 shards on 140 servers in 14 slices each.
func benchDocument(services int) *conf.Document {
	d := &conf.Document{Version: 1}
	for n := range services {
		s := conf.Service{
			Name: fmt.Sprint("service-", n), Slices: 14,
			Kinds: []conf.Kind{{Name: "stock", Worth: 1, MinCoverage: 0.99, Idempotent: true, MaxTimeout: wire.Duration(time.Second)}},
		}
		x := conf.Index{Version: "v1"}
		for i := range benchShards {
			a := netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, byte(n >> 8), byte(n), byte(i)}), 9000)
			s.Servers = append(s.Servers, conf.BackendServer{Address: a, Slots: 6, ColdSlots: 1, Slice: i % 14})
			x.Shards = append(x.Shards, conf.Shard{Name: fmt.Sprint("s", i), Servers: []netip.AddrPort{a}})
		}
		s.Indexes = []conf.Index{x}
		d.Services = append(d.Services, s)
	}
	return d
}

// BenchmarkPlanAndMerge measures the work of the planner and of the lease holders of the slices for a query to
// 140 shards, without the network. It guards against a cost that grows with the services or servers of the
// document.
func BenchmarkPlanAndMerge(b *testing.B) {
	for _, services := range []int{50, 500, 5000} {
		b.Run(fmt.Sprintf("services=%d/servers=%d", services, services*benchShards), func(b *testing.B) {
			c := NewCatalog(benchDocument(services))
			now := time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
			hits := make(map[string][]wire.Hit)
			for i := range benchShards {
				name := fmt.Sprint("s", i)
				for k := range DefaultTopK {
					h := wire.Hit{ID: fmt.Sprint("hit-", i, "-", k), Score: float64((i*7919+k*104729)%1000 + 1000*(DefaultTopK-k))}
					hits[name] = append(hits[name], h)
				}
			}
			b.ReportAllocs()
			for n := 0; b.Loop(); n++ {
				service := fmt.Sprint("service-", n*7919%services)
				p, f := NewPlan(c, service, wire.Query{RequestID: "q", Kind: "stock", Query: "cedar"}, now, "")
				if f != nil {
					b.Fatal(f)
				}
				m := NewMerge(p)
				for _, part := range p.Index.Parts {
					q := p.SliceQuery(part, "caller", true)
					g := NewGather(&q)
					for _, name := range part.Shards {
						g.Accept(&wire.ShardAnswer{
							RequestID: "q", Shard: name, IndexVersion: "v1", Hits: hits[name], Total: 10, Complete: true,
						})
					}
					partial := g.Partial()
					if err := m.Add(part, &partial); err != nil {
						b.Fatal(err)
					}
				}
				if _, f := m.Answer(); f != nil {
					b.Fatal(f)
				}
			}
		})
	}
}
