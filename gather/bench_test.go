package gather

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"
)

// BenchmarkQuery measures the decisions for one query over shards with two servers each, all of which
// answer, without input and output. As in a node, the next wake-up time is computed after each answer.
func BenchmarkQuery(b *testing.B) {
	for _, shards := range []int{20, 180} {
		b.Run(fmt.Sprint(shards), func(b *testing.B) {
			e := New(Config{FailureDomain: here, Budget: BudgetConfig{Ratio: 0.2, Slack: 50, Window: 10 * time.Second}})
			var pools []Pool
			var names []string
			for i := range shards {
				name := fmt.Sprint("s", i)
				names = append(names, name)
				pools = append(pools, pair(name))
			}
			e.SetPools(epoch, pools)
			now := epoch
			for b.Loop() {
				now = now.Add(3 * time.Millisecond)
				id, act := e.Submit(now, Request{
					Class: "r", Pools: names, Idempotent: true, MinCoverage: 0.9, MaxAttempts: 2,
					Deadline: now.Add(time.Second), Target: now.Add(55 * time.Millisecond),
				})
				for _, s := range act.Sends {
					e.Done(now.Add(2*time.Millisecond), s.Attempt, Result{Outcome: OK, Latency: 2 * time.Millisecond})
					e.NextTick(now.Add(2*time.Millisecond), id)
				}
			}
			b.ReportMetric(float64(b.Elapsed().Nanoseconds())/float64(b.N*shards), "ns/shard")
		})
	}
}

// BenchmarkMerge measures the merge of the answers of 180 shards with 62 records each.
func BenchmarkMerge(b *testing.B) {
	r := rand.NewChaCha8([32]byte{})
	var parts [][]byte
	for range 180 {
		p := make([]byte, 62*RecordSize)
		_, _ = r.Read(p)
		parts = append(parts, p)
	}
	b.ReportAllocs()
	for b.Loop() {
		TopK(parts, 50)
	}
}
