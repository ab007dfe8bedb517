package peer

import (
	"context"
	"fmt"
	"log/slog"
	"net/netip"
	"syscall"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/arbutusthread/arbutusthread/fleet"
	"github.com/arbutusthread/arbutusthread/wire"
)

func cpuTime() time.Duration {
	var u syscall.Rusage
	_ = syscall.Getrusage(syscall.RUSAGE_SELF, &u)
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}

// startBenchNode runs a node until the end of the benchmark, which its context ends.
func startBenchNode(b *testing.B, h Handlers) (*Node, context.Context) {
	is := is.New(b)
	n, err := New(Config{
		Member: fleet.Member{Address: netip.MustParseAddrPort("127.0.0.1:0"), FailureDomain: "d"},
		Keys:   [][]byte{testKey}, Log: slog.New(slog.DiscardHandler), OnEvent: func(fleet.Event) {}, Handlers: h,
	})
	is.NoErr(err)
	ctx, cancel := context.WithCancel(b.Context())
	done := make(chan error, 1)
	go func() { done <- n.Run(ctx) }()
	b.Cleanup(func() {
		cancel()
		is.NoErr(<-done)
	})
	return n, ctx
}

// BenchmarkSlice measures one request from a planner to the lease holder of a slice with 10 shards and 10 hits,
// with both nodes in this process.
func BenchmarkSlice(b *testing.B) {
	partial := wire.SliceResult{RequestID: "r", IndexVersion: "v", Total: 100, Sent: true}
	q := wire.SliceQuery{RequestID: "r", Service: "service-0", IndexVersion: "v", Kind: "lookup", Query: "pairs", TopK: 10}
	for i := range 10 {
		name := fmt.Sprint("shard-", i)
		q.Shards = append(q.Shards, name)
		partial.Covered = append(partial.Covered, name)
		partial.Hits = append(partial.Hits, wire.Hit{ID: name + "/v/0", Score: 1 / float64(i+1)})
	}
	n, ctx := startBenchNode(b, Handlers{
		Slice: func(context.Context, wire.SliceQuery) (wire.SliceResult, error) { return partial, nil },
	})
	q.Deadline = time.Now().Add(time.Hour)
	b.ReportAllocs()
	before := cpuTime()
	for b.Loop() {
		if _, err := n.Slice(ctx, n.Self().Address, q); err != nil {
			b.Fatal(err)
		}
	}
	b.ReportMetric(float64((cpuTime()-before).Microseconds())/float64(b.N), "cpu-us/hop")
}

// BenchmarkGather measures one call to a relay with 20 shards that answers with one part of 50 records, with both nodes
// in this process.
func BenchmarkGather(b *testing.B) {
	q := &wire.GatherQuery{
		RequestID: "9c41d07be2a35f68", Class: "sweep", TopK: 50, ReplyIn: 50, Timeout: 1000,
		Method: "GET", URI: "/s/1/", Host: "a.example",
	}
	part := wire.GatherPart{Records: make([]byte, 800)}
	for i := range 20 {
		q.Pools = append(q.Pools, fmt.Sprint("shard-", i))
		part.Answered = append(part.Answered, i)
		part.Seals = append(part.Seals, "3e1b.07.5a2.600.0.c9f2a4d1")
		part.Latencies = append(part.Latencies, 10)
	}
	n, ctx := startBenchNode(b, Handlers{
		Gather: func(_ context.Context, _ *wire.GatherQuery, send func(wire.GatherPart) error) error {
			return send(part)
		},
	})
	b.ReportAllocs()
	before := cpuTime()
	for b.Loop() {
		if err := n.Gather(ctx, n.Self().Address, q, func(wire.GatherPart) {}); err != nil {
			b.Fatal(err)
		}
	}
	b.ReportMetric(float64((cpuTime()-before).Microseconds())/float64(b.N), "cpu-us/call")
}
