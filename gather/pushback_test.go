package gather

import (
	"fmt"
	"net/netip"
	"testing"
	"time"

	"github.com/matryer/is"
)

// reject ends an attempt with a rejection that asks for no requests for a time.
func (f *fixture) reject(s Send, wait time.Duration) Actions {
	return f.Done(f.now, s.Attempt, Result{Outcome: NotRun, RetryAfter: wait, Detail: "full"})
}

// singleServer replaces the pool with one server.
func (f *fixture) singleServer(s *Server) {
	f.SetPools(f.now, []Pool{{Name: "a", Servers: []Server{*s}}, pair("b")})
}

// Guards against a request, hedge or retry to a server that has asked for none, against answers and shorter times that
// end a pushback early, and against a server that is not used again after it.
func TestPushback(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	f := newFixture()
	first, second, third := f.submit(f.request("a")).Sends[0], f.submit(f.request("a")).Sends[0], f.submit(f.request("a")).Sends[0]
	is.Equal(servers([]Send{first, second, third}), "[primary:a-near primary:a-near primary:a-near]")
	is.Equal(servers(f.reject(first, 2*time.Second).Sends), "[retry:a-far]")
	f.reject(second, time.Second)
	f.Done(f.now, third.Attempt, Result{Outcome: OK, Latency: 10 * time.Millisecond})
	for range 15 {
		f.advance(100 * time.Millisecond)
		is.Equal(f.next("a"), "[primary:a-far]")
	}
	open := f.submit(f.request("a")).Sends[0]
	f.now = f.NextTick(f.now, open.Job)
	is.Equal(servers(f.Tick(f.now, open.Job).Sends), "[]") // no hedge
	is.Equal(f.Load(f.now).Pushback, 1)
	is.Equal(f.Status(f.now)[1].PushbackUntil, epoch.Add(2*time.Second))
	f.now = epoch.Add(2*time.Second + slownessHalfLife)
	is.Equal(f.next("a"), "[primary:a-near]")
	is.Equal(f.Status(f.now)[1].PushbackUntil, time.Time{})
}

// Guards against callers that wait for a service none of whose servers wants requests, and against a Retry-After that ends
// before the first of them does or is the same for all callers.
func TestRequestIsRefusedWhenNoServerWantsIt(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	f := newFixture()
	r := f.request("a")
	r.Deadline = f.now.Add(10 * time.Second)
	near := f.submit(r).Sends[0]
	far := f.reject(near, 3*time.Second).Sends[0]
	is.Equal(far.Server.ID, "a-far")
	waits := f.reject(far, 2*time.Second) // its own request can wait until then
	is.True(waits.Finished == nil)
	var seen []time.Duration
	for range 20 {
		end := f.submit(r).Finished
		is.Equal(end.End, Refused)
		is.True(!end.MayHaveRun)
		is.Equal(end.Sends, 0)
		is.True(end.RetryAfter >= 2*time.Second && end.RetryAfter <= 2200*time.Millisecond)
		seen = append(seen, end.RetryAfter)
	}
	is.True(seen[0] != seen[1])
	f.now = f.NextTick(f.now, near.Job)
	for f.now.Before(epoch.Add(2 * time.Second)) {
		is.Equal(len(f.Tick(f.now, near.Job).Sends), 0)
		f.now = f.NextTick(f.now, near.Job)
	}
	is.Equal(f.now, epoch.Add(2*time.Second))
	is.Equal(servers(f.Tick(f.now, near.Job).Sends), "[retry:a-far]")
}

// Guards against a request that is held although no server will accept it before its deadline: the rejected one itself and
// those that wait for capacity must end at once, with the time after which the caller may come back.
func TestRequestsThatMissTheirDeadlineAreRefused(t *testing.T) {
	t.Parallel()
	for _, idempotent := range []bool{true, false} {
		t.Run(fmt.Sprint(idempotent), func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			f := newFixture()
			s := testServer("a", here)
			s.Connections = 1
			f.singleServer(&s)
			r := f.request("a")
			r.Idempotent = idempotent
			first := f.submit(r).Sends[0]
			short, _ := f.Submit(f.now, r)
			r.Deadline = f.now.Add(5 * time.Second)
			long, _ := f.Submit(f.now, r)
			end := f.reject(first, 2*time.Second)
			is.Equal(end.Finished.End, Failed)
			is.True(!end.Finished.MayHaveRun)
			is.True(end.Finished.RetryAfter >= 2*time.Second)
			is.Equal(len(end.Rescheduled), 2)
			is.True(!f.NextTick(f.now, short).After(f.now))
			act := f.Tick(f.now, short)
			is.Equal(act.Finished.End, Failed)
			is.True(act.Finished.RetryAfter >= 2*time.Second)
			is.True(f.Tick(f.now, long).Finished == nil)
			f.now = r.Target
			f.Tick(f.now, long)
			f.now = f.NextTick(f.now, long)
			is.Equal(f.now, epoch.Add(2*time.Second))
			is.Equal(servers(f.Tick(f.now, long).Sends), "[primary:a]")
		})
	}
}

// Guards against a query that is refused for a shard that it can do without, that waits for one which misses its deadline,
// or that names a time at which too few shards are ready.
func TestShardsWithoutReadyServers(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	f := newFixture()
	var pools []Pool
	for _, name := range []string{"a", "b", "c"} {
		pools = append(pools, Pool{Name: name, Servers: []Server{testServer(name, here)}})
	}
	f.SetPools(f.now, pools)
	r := f.request("a", "b", "c")
	for i, s := range f.submit(r).Sends[:2] {
		f.reject(s, time.Duration(4-i)*time.Second) // a for 4 s, b for 3 s
	}
	r.MinCoverage = 0.3
	act := f.submit(r)
	is.Equal(servers(act.Sends), "[primary:c]")
	is.Equal(act.FailedTasks, []int{0, 1})
	is.Equal(f.Done(f.now, act.Sends[0].Attempt, Result{Outcome: OK, Latency: time.Millisecond}).Finished.End, Partial)
	r.MinCoverage = 0.6
	end := f.submit(r).Finished
	is.Equal(end.End, Refused)
	is.True(end.RetryAfter >= 3*time.Second && end.RetryAfter < 3500*time.Millisecond)
	r.MinCoverage = 1
	is.True(f.submit(r).Finished.RetryAfter >= 4*time.Second)
}

// Guards against a pushback that ends because the entry of the server changes or is absent for a time, and against one that
// stays with a new process or comes from an answer of the earlier one.
func TestPushbackEndsWithTheProcess(t *testing.T) {
	t.Parallel()
	for name, c := range map[string]struct {
		change func(s *Server)
		used   bool
	}{
		"same entry":       {func(*Server) {}, false},
		"other slots":      {func(s *Server) { s.Slots = 9 }, false},
		"other start time": {func(s *Server) { s.StartTime = epoch }, true},
		"other address":    {func(s *Server) { s.Address = netip.MustParseAddrPort("127.0.0.1:2") }, true},
		"other ID":         {func(s *Server) { s.ID = "a-next" }, true},
	} {
		for _, delisted := range []time.Duration{0, 2 * delistedRetention} {
			t.Run(fmt.Sprint(name, delisted), func(t *testing.T) {
				t.Parallel()
				is := is.New(t)
				f := newFixture()
				s := testServer("a", here)
				f.singleServer(&s)
				first, late := f.submit(f.request("a")).Sends[0], f.submit(f.request("a")).Sends[0]
				f.reject(first, 5*time.Minute)
				if delisted > 0 {
					f.SetPools(f.now, nil)
					f.advance(delisted)
					f.SetPools(f.now, nil)
				}
				c.change(&s)
				f.singleServer(&s)
				f.reject(late, 5*time.Minute)
				f.advance(overloadBackoff)
				is.Equal(len(f.submit(f.request("a")).Sends) == 1, c.used)
			})
		}
	}
}

// Guards against an attempt that is written after a long wait for its connection although the server has meanwhile asked
// for no requests or announced that it leaves.
func TestMaySend(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	f := newFixture()
	near := f.submit(f.request("a")).Sends[0]
	waiting := f.submit(f.request("a")).Sends[0]
	is.True(f.MaySend(f.now, waiting.Attempt))
	f.reject(near, time.Second)
	is.True(!f.MaySend(f.now, waiting.Attempt))
	f.advance(time.Second)
	is.True(f.MaySend(f.now, waiting.Attempt))
	f.servers["a-near"].leavingSince = f.now
	is.True(!f.MaySend(f.now, waiting.Attempt))
	is.True(!f.MaySend(f.now, near.Attempt)) // has ended
}
