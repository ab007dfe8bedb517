package gather

import (
	"fmt"
	"net/netip"
	"testing"
	"time"

	"github.com/matryer/is"
)

// leave ends an attempt with an answer that announces that the server leaves.
func (f *fixture) leave(s Send, c Outcome) Actions {
	return f.Done(f.now, s.Attempt, Result{Outcome: c, Latency: 10 * time.Millisecond, Leaving: true})
}

// next returns the servers to which a new request to the pool is sent, and answers it.
func (f *fixture) next(pool string) string {
	sends := f.submit(f.request(pool)).Sends
	for _, s := range sends {
		f.Done(f.now, s.Attempt, Result{Outcome: OK, Latency: 10 * time.Millisecond})
	}
	return servers(sends)
}

// Guards against a leaving server that gets a new request because its announcement came with an answer that the request
// did not need: a failure, a rejection, the answer to a hedge, a retry or a request that was given up.
func TestLeavingServerGetsNoRequest(t *testing.T) {
	t.Parallel()
	for name, announce := range map[string]func(f *fixture){
		"success":   func(f *fixture) { f.leave(f.submit(f.request("a")).Sends[0], OK) },
		"redirect":  func(f *fixture) { f.leave(f.submit(f.request("a")).Sends[0], Answered) },
		"failure":   func(f *fixture) { f.leave(f.submit(f.request("a")).Sends[0], ServerError) },
		"rejection": func(f *fixture) { f.leave(f.submit(f.request("a")).Sends[0], NotRun) },
		"faulty answer": func(f *fixture) {
			f.leave(f.submit(f.request("a")).Sends[0], Broken)
		},
		"answer after the hedge": func(f *fixture) {
			first := f.submit(f.request("a")).Sends[0]
			f.now = f.NextTick(f.now, first.Job)
			f.done(f.Tick(f.now, first.Job).Sends[0], OK)
			f.leave(first, OK)
		},
		"request given up": func(f *fixture) {
			first := f.submit(f.request("a")).Sends[0]
			f.Abandon(first.Job)
			f.leave(first, OK)
		},
		"expired request": func(f *fixture) {
			first := f.submit(f.request("a")).Sends[0]
			f.advance(time.Second)
			f.Tick(f.now, first.Job)
			f.leave(first, OK)
		},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			f := newFixture()
			announce(f)
			f.advance(time.Hour) // time does not end the state
			for range 20 {
				is.Equal(f.next("a"), "[primary:a-far]")
			}
			is.Equal(f.Load(f.now).Leaving, 1)
		})
	}
}

// Guards against a hedge or a retry that is sent to a leaving server.
func TestLeavingServerGetsNoHedgeOrRetry(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	f := newFixture()
	r := f.request("a")
	open := f.submit(r).Sends[0]
	f.servers["a-far"].leavingSince = f.now
	f.now = f.NextTick(f.now, open.Job)
	is.Equal(servers(f.Tick(f.now, open.Job).Sends), "[]")
	is.Equal(servers(f.done(open, Unsent).Sends), "[]")
	f.now = r.Deadline.Add(-time.Millisecond)
	is.Equal(servers(f.Tick(f.now, open.Job).Sends), "[retry:a-near]")
}

// Guards against a leaving server that is used again because its entry stays, changes, or returns after it was removed,
// and against a new process that is taken for the one that left.
func TestLeavingEndsWithTheProcess(t *testing.T) {
	t.Parallel()
	started := epoch.Add(-time.Hour)
	for name, c := range map[string]struct {
		change func(s *Server)
		used   bool
	}{
		"same entry":       {func(*Server) {}, false},
		"other slots":      {func(s *Server) { s.Slots = 9 }, false},
		"other start time": {func(s *Server) { s.StartTime = started.Add(time.Millisecond) }, true},
		"other address":    {func(s *Server) { s.Address = netip.MustParseAddrPort("127.0.0.1:2") }, true},
		"other ID":         {func(s *Server) { s.ID = "a-next" }, true},
	} {
		for _, delisted := range []time.Duration{0, time.Second, 2 * delistedRetention} {
			t.Run(fmt.Sprint(name, delisted), func(t *testing.T) {
				t.Parallel()
				is := is.New(t)
				f := newFixture()
				s := testServer("a", here)
				s.StartTime = started
				f.SetPools(f.now, []Pool{{Name: "a", Servers: []Server{s}}})
				f.leave(f.submit(f.request("a")).Sends[0], OK)
				if delisted > 0 {
					f.SetPools(f.now, nil)
					f.advance(delisted)
					f.SetPools(f.now, nil)
				}
				c.change(&s)
				f.SetPools(f.now, []Pool{{Name: "a", Servers: []Server{s}}})
				is.Equal(len(f.submit(f.request("a")).Sends) == 1, c.used)
			})
		}
	}
}

// Guards against a restarted server that gets no requests because the process before it announced that it leaves in an
// answer that arrived after the new entry.
func TestLateAnnouncementOfAnEarlierProcess(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	f := newFixture()
	first := f.submit(f.request("a")).Sends[0]
	p := pair("a")
	p.Servers[0].StartTime = epoch
	f.SetPools(f.now, []Pool{p})
	f.leave(first, OK)
	is.Equal(f.next("a"), "[primary:a-near]")
}

// Guards against requests that are held until their deadline although all servers of their service leave: new ones must
// be refused at once, and those that wait for capacity must end when the last server announces that it leaves.
func TestAllServersLeave(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	f := newFixture()
	s := testServer("a", here)
	s.Connections = 1
	f.SetPools(f.now, []Pool{{Name: "a", Servers: []Server{s}}})
	first := f.submit(f.request("a")).Sends[0]
	id, act := f.Submit(f.now, f.request("a"))
	is.Equal(len(act.Sends), 0) // waits for the connection
	end := f.leave(first, OK)
	is.Equal(end.Finished.End, Complete)
	is.Equal(end.Rescheduled, []JobID{id})
	is.True(!f.NextTick(f.now, id).After(f.now))
	waiting := f.Tick(f.now, id)
	is.Equal(waiting.Finished.End, Failed)
	is.True(!waiting.Finished.MayHaveRun)
	is.True(waiting.Finished.RetryAfter > 0)
	is.Equal(f.submit(f.request("a")).Finished.End, Refused)
}

// Guards against a memory of leaving processes that grows without end, and against a listed one that is forgotten before
// those that are gone.
func TestLeavingProcessesAreBounded(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	f := newFixture()
	for i := range maxLeaving + 100 {
		s := testServer("a-near", here)
		s.StartTime = epoch.Add(time.Duration(i) * time.Second)
		f.SetPools(f.now, []Pool{{Name: "a", Servers: []Server{s}}, pair("b")})
		f.advance(time.Second)
		f.leave(f.submit(f.request("a")).Sends[0], OK)
		if i == 0 {
			f.leave(f.submit(f.request("b")).Sends[0], OK)
		}
	}
	is.Equal(len(f.leaving), maxLeaving)
	is.Equal(f.next("b"), "[primary:b-far]")
}

// Guards against a shard that waits until the deadline for servers to which it must not be sent any more.
func TestNoFurtherServerAllowed(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	f := newFixture()
	r := f.request("a", "b")
	r.MaxAttempts, r.MinCoverage = 1, 1
	end := f.leave(f.submit(r).Sends[0], ServerError)
	is.Equal(end.Finished.End, Failed)
	is.True(end.Finished.MayHaveRun)
}

// Guards against a refusal whose cause an operator cannot see: the servers are listed, but accept no requests.
func TestRefusalNamesTheStateOfServers(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	f := newFixture()
	p := pair("a")
	p.Servers[0].Draining = true
	f.SetPools(f.now, []Pool{p})
	f.leave(f.submit(f.request("a")).Sends[0], OK)
	is.Equal(f.submit(f.request("a")).Finished.Reason,
		"no server of a accepts requests: 1 draining or evacuated, 1 leaving, 0 replaced")
	is.Equal(f.submit(f.request("b")).Finished.Reason, "no server of b is listed")
	is.Equal(f.Status(f.now)[0].LeavingSince, f.now)
}
