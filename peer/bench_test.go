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

// BenchmarkSlice measures one request from a planner to the lease holder of a slice with 10 shards and 10 hits,
// with both nodes in this process.
func BenchmarkSlice(b *testing.B) {
	is := is.New(b)
	partial := wire.SliceResult{RequestID: "r", IndexVersion: "v", Total: 100, Sent: true}
	q := wire.SliceQuery{RequestID: "r", Service: "service-0", IndexVersion: "v", Kind: "lookup", Query: "pairs", TopK: 10}
	for i := range 10 {
		name := fmt.Sprint("shard-", i)
		q.Shards = append(q.Shards, name)
		partial.Covered = append(partial.Covered, name)
		partial.Hits = append(partial.Hits, wire.Hit{ID: name + "/v/0", Score: 1 / float64(i+1)})
	}
	n, err := New(Config{
		Member: fleet.Member{Address: netip.MustParseAddrPort("127.0.0.1:0"), FailureDomain: "d"},
		Keys:   [][]byte{testKey}, Log: slog.New(slog.DiscardHandler), OnEvent: func(fleet.Event) {},
		Handlers: Handlers{Slice: func(context.Context, wire.SliceQuery) (wire.SliceResult, error) { return partial, nil }},
	})
	is.NoErr(err)
	ctx, cancel := context.WithCancel(b.Context())
	done := make(chan error, 1)
	go func() { done <- n.Run(ctx) }()
	b.Cleanup(func() {
		cancel()
		is.NoErr(<-done)
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
