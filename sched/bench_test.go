package sched

import (
	"fmt"
	"net/netip"
	"testing"
	"time"

	"github.com/arbutusthread/arbutusthread/conf"
	"github.com/arbutusthread/arbutusthread/guard"
)

// BenchmarkSchedule measures admission, replica selection, sends and responses of a query to 140 shards
// with two replicas each, in virtual time. It guards against growth of the cost per shard.
func BenchmarkSchedule(b *testing.B) {
	const shards = 140
	now := time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
	s := New(Config{Seed: 1, Preset: conf.Preset{HedgeBudget: 0.02, RetryBudget: 0.1, QueueLimit: 200}})
	s.SetLease(now.Add(1000 * time.Hour))
	var views []ServerView
	for i := range 2 * shards {
		a := netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, 0, byte(i >> 8), byte(i)}), 9000)
		views = append(views, ServerView{BackendServer: conf.BackendServer{Address: a, Slots: 6, ColdSlots: 1}})
	}
	s.SetServers(now, views)
	tasks := make([]Task, shards)
	for i := range tasks {
		tasks[i] = Task{Shard: fmt.Sprint("s", i), Servers: []netip.AddrPort{views[i].Address, views[i+shards].Address}}
	}
	b.ReportAllocs()
	for n := 0; b.Loop(); n++ {
		now = now.Add(10 * time.Millisecond)
		s.Tick(now)
		_, out := s.Submit(now, Request{
			RequestID: "q", Kind: "stock", Worth: 1, Deadline: now.Add(time.Second), Idempotent: true,
			SkipCanary: true, Fingerprint: guard.Fingerprint(n), Tasks: tasks,
		})
		if len(out.Sends) != shards {
			b.Fatalf("%d sends", len(out.Sends))
		}
		now = now.Add(5 * time.Millisecond)
		for _, v := range out.Sends {
			s.Done(now, v.Attempt, Result{Outcome: OK, Warm: true, Incarnation: "1"})
		}
	}
}
