package gather

import (
	"fmt"
	"net/netip"
	"testing"
	"time"

	"github.com/matryer/is"
)

var epoch = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

const (
	here  = "lukang"
	there = "yilan"
)

// fixture is an engine in failure domain here with two pools of two servers, one in each domain.
type fixture struct {
	*Engine
	now time.Time
}

func newFixture() *fixture {
	f := &fixture{Engine: New(Config{FailureDomain: here}), now: epoch}
	f.SetPools(f.now, []Pool{pair("a"), pair("b")})
	return f
}

func pair(name string) Pool {
	return Pool{Name: name, Servers: []Server{testServer(name+"-near", here), testServer(name+"-far", there)}}
}

func testServer(id, domain string) Server {
	return Server{ID: id, Address: netip.MustParseAddrPort("127.0.0.1:1"), FailureDomain: domain, Slots: 2, Connections: 4}
}

// request has an objective of 100 ms, of which 10 ms are for the way back.
func (f *fixture) request(pools ...string) Request {
	return Request{
		Class: "r", Pools: pools, Idempotent: true, MinCoverage: 0.5, MaxAttempts: 2,
		Deadline: f.now.Add(time.Second), Target: f.now.Add(90 * time.Millisecond),
	}
}

func (f *fixture) after(d time.Duration) { f.now = f.now.Add(d) }

func (f *fixture) submit(r Request) Actions {
	_, act := f.Submit(f.now, r)
	return act
}

func (f *fixture) done(s Send, c Class) Actions {
	return f.Done(f.now, s.Attempt, Result{Class: c, Latency: f.now.Sub(epoch)})
}

func servers(sends []Send) string {
	var list []string
	for _, s := range sends {
		list = append(list, fmt.Sprintf("%s:%s", s.Purpose, s.Server.ID))
	}
	return fmt.Sprint(list)
}

// Guards against an answer before all shards are in while there is time, and against a second end.
func TestCompleteAnswer(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	f := newFixture()
	act := f.submit(f.request("a", "b"))
	is.Equal(servers(act.Sends), "[primary:a-near primary:b-near]")
	f.after(10 * time.Millisecond)
	first := f.done(act.Sends[0], OK)
	is.True(first.Accepted)
	is.True(first.Finished == nil)
	last := f.done(act.Sends[1], OK)
	is.Equal(last.Finished.End, Complete)
	is.Equal(last.Finished.Answered, 2)
	is.True(f.done(act.Sends[1], OK).Finished == nil)
}

// Guards against a shard that is not hedged, against a hedge to the same server, and against a late
// answer that is used twice.
func TestHedge(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	f := newFixture()
	act := f.submit(f.request("a"))
	id := act.Sends[0].Job
	wake := f.NextWake(f.now, id)
	is.True(wake.After(f.now.Add(20 * time.Millisecond))) // not before most answers are in
	is.True(wake.Before(f.now.Add(90 * time.Millisecond)))
	f.now = wake
	hedge := f.Tick(f.now, id)
	is.Equal(servers(hedge.Sends), "[hedge:a-far]")
	f.after(10 * time.Millisecond)
	end := f.done(hedge.Sends[0], OK)
	is.Equal(end.Finished.End, Complete)
	is.Equal(end.Drops, []AttemptID{act.Sends[0].Attempt})
	is.True(!f.done(act.Sends[0], OK).Accepted)
}

// Guards against a caller who waits for the last shard beyond its objective, and against an answer
// that covers too little.
func TestPartialAnswerAtTheTarget(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	f := newFixture()
	r := f.request("a", "b")
	act := f.submit(r)
	id := act.Sends[0].Job
	f.now = r.Target
	is.True(f.Tick(f.now, id).Finished == nil) // nothing is in
	f.after(time.Millisecond)
	end := f.done(act.Sends[0], OK)
	is.Equal(end.Finished.End, Partial) // half is in, and the target has passed
	is.Equal(end.Finished.Answered, 1)
	is.Equal(len(end.Finished.Missing), 1)
}

// Guards against a request that is held until its deadline although it cannot be served, and against
// a refusal that says "not run" after a send.
func TestRefusals(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	f := newFixture()
	end := f.submit(f.request("unknown")).Finished
	is.Equal(end.End, Refused)
	is.True(!end.Sent)
	is.True(end.RetryAfter > 0)

	r := f.request("a")
	act := f.submit(r)
	f.now = r.Deadline
	end = f.Tick(f.now, act.Sends[0].Job).Finished
	is.Equal(end.End, Expired)
	is.True(end.Sent)
}

// Guards against a request that must run once and is sent again after it may have run.
func TestOnce(t *testing.T) {
	t.Parallel()
	for class, again := range map[Class]bool{
		NotRun: true, OtherServer: true, Unsent: true, Busy: true, Full: true,
		Broken: false, TimedOut: false, ServerError: false,
	} {
		t.Run(string(class), func(t *testing.T) {
			is := is.New(t)
			f := newFixture()
			r := f.request("a")
			r.Idempotent, r.MinCoverage = false, 1
			act := f.submit(r)
			f.now = r.Target
			is.Equal(len(f.Tick(f.now, act.Sends[0].Job).Sends), 0) // no hedge
			end := f.done(act.Sends[0], class)
			if again {
				is.Equal(servers(end.Sends), "[retry:a-far]")
				is.True(end.Finished == nil)
				return
			}
			is.Equal(len(end.Sends), 0)
			is.True(end.Finished.Sent)
		})
	}
}

// Guards against an answer of the server that is replaced by a failure of this node.
func TestServerAnswersArePassedOn(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	f := newFixture()
	r := f.request("a")
	r.MinCoverage = 1
	act := f.submit(r)
	end := f.done(act.Sends[0], Answered) // a 404, say
	is.True(end.Accepted)
	is.Equal(end.Finished.End, Complete)

	act = f.submit(r)
	retry := f.done(act.Sends[0], ServerError)
	is.True(!retry.Accepted)
	is.Equal(len(retry.Sends), 1)
}

// Guards against a fault of a server that counts as the part of a shard.
func TestFailuresAreNoParts(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	f := newFixture()
	act := f.submit(f.request("a", "b"))
	is.True(!f.done(act.Sends[0], Answered).Accepted)
}

// Guards against a server that keeps being chosen while it fails, is slow or says nothing.
func TestBadServersAreAvoided(t *testing.T) {
	t.Parallel()
	for name, spoil := range map[string]func(f *fixture){
		"refuses connections": func(f *fixture) { f.fail(Unsent, 1) },
		"breaks off":          func(f *fixture) { f.fail(Broken, failuresToEject) },
		"is slow":             func(f *fixture) { f.answerIn(10*time.Millisecond, 60); f.answerIn(90*time.Millisecond, 6) },
		"has stalled": func(f *fixture) {
			f.submit(f.request("a"))
			f.after(60 * time.Millisecond)
		},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			f := newFixture()
			is.Equal(servers(f.submit(f.request("a")).Sends), "[primary:a-near]")
			spoil(f)
			is.Equal(servers(f.submit(f.request("a")).Sends), "[primary:a-far]")
		})
	}
}

// fail lets requests to the near server of pool a end so.
func (f *fixture) fail(c Class, times int) {
	for range times {
		act := f.submit(f.request("a"))
		f.done(act.Sends[0], c)
		f.Abandon(act.Sends[0].Job)
	}
}

// answerIn lets the near server of pool a answer after a time, as long as it is chosen.
func (f *fixture) answerIn(d time.Duration, times int) {
	for range times {
		act := f.submit(f.request("a"))
		if act.Sends[0].Server.ID != "a-near" {
			f.Abandon(act.Sends[0].Job)
			return
		}
		f.after(d)
		f.Done(f.now, act.Sends[0].Attempt, Result{Class: OK, Latency: d})
	}
}

// Guards against a server that never gets a request again after its faults.
func TestServersReturn(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	f := newFixture()
	f.fail(Unsent, 1)
	f.after(firstEjection)
	is.Equal(servers(f.submit(f.request("a")).Sends), "[primary:a-near]")
}

// Guards against new work for servers that leave, and for those of a domain that is out.
func TestDrainingServersGetNothing(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	f := newFixture()
	p := pair("a")
	p.Servers[0].Draining = true
	f.SetPools(f.now, []Pool{p, pair("b")})
	for range 4 {
		is.Equal(servers(f.submit(f.request("a")).Sends), "[primary:a-far]")
	}
	p.Servers[1].Draining = true
	f.SetPools(f.now, []Pool{p, pair("b")})
	is.Equal(f.submit(f.request("a")).Finished.End, Refused)
}

// Guards against requests that go on to an address which another server has taken, and against a server
// that stays unused after it has started again under its ID.
func TestReplacedServerGetsNothing(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	f := newFixture()
	p := pair("a")
	p.Servers = p.Servers[:1]
	f.SetPools(f.now, []Pool{p})
	act := f.submit(f.request("a"))
	f.done(act.Sends[0], OtherServer)
	f.after(lastEjection)
	is.Equal(f.submit(f.request("a")).Finished.End, Refused)
	f.SetPools(f.now, []Pool{p})
	is.Equal(f.submit(f.request("a")).Finished.End, Refused)
	p.Servers[0].Born = f.now
	f.SetPools(f.now, []Pool{p})
	is.Equal(len(f.submit(f.request("a")).Sends), 1)
}

// Guards against more connections to a server than this node's share, and against requests that are
// lost or overtaken by less urgent ones while they wait.
func TestRequestsWaitForRoom(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	f := newFixture()
	var sends []Send
	for range 8 {
		sends = append(sends, f.submit(f.request("a")).Sends...)
	}
	is.Equal(len(sends), 8)
	late := f.request("a")
	late.Priority = 2
	is.Equal(len(f.submit(late).Sends), 0)
	urgent := f.request("a")
	urgent.Priority = 1
	urgentID, act := f.Submit(f.now, urgent)
	is.Equal(len(act.Sends), 0)
	next := f.done(sends[0], OK)
	is.Equal(len(next.Sends), 1)
	is.Equal(next.Sends[0].Job, urgentID)
}

// Guards against a server that sheds and is sent the same again at once, and against a shard that is
// given up although there is time.
func TestShedRequestsWait(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	f := newFixture()
	act := f.submit(f.request("a"))
	id := act.Sends[0].Job
	retry := f.done(act.Sends[0], NotRun)
	is.Equal(servers(retry.Sends), "[retry:a-far]")
	full := f.done(retry.Sends[0], NotRun)
	is.Equal(len(full.Sends), 0)
	is.True(full.Finished == nil)
	f.after(againPause + shedPause)
	other, again := f.Submit(f.now, f.request("a"))
	is.Equal(len(again.Sends), 2)
	is.Equal(again.Sends[0].Job, other) // it can still be answered before its target
	is.Equal(again.Sends[1].Job, id)
}

// Guards against requests that must not run twice at a server that has just failed one, while there are
// others: their callers would get no answer.
func TestOnceRequestsAvoidFailingServers(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	f := newFixture()
	once := func() Send {
		r := f.request("a")
		r.Idempotent = false
		return f.submit(r).Sends[0]
	}
	s := once()
	is.Equal(s.Server.ID, "a-near")
	f.done(s, Broken)
	for range 20 {
		s := once()
		is.Equal(s.Server.ID, "a-far")
		f.done(s, OK)
	}
	f.after(time.Minute)
	is.Equal(once().Server.ID, "a-near")
}

// Guards against saturated shards whose servers work for requests that can be answered without them,
// while others fail for want of one.
func TestSaturatedShardsServeWhoNeedsThem(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	f := newFixture()
	f.SetPools(f.now, []Pool{pair("a"), pair("b"), {Name: "slow", Servers: []Server{testServer("slow-near", here)}}})
	f.learnSlow("slow")
	without, act := f.Submit(f.now, f.request("a", "b", "slow")) // two of three are enough
	is.Equal(servers(act.Sends), "[primary:a-near primary:b-near]")
	b := act.Sends[1]
	r := f.request("a", "b", "slow")
	r.MinCoverage = 1
	needs, act := f.Submit(f.now, r)
	is.Equal(servers(act.Sends), "[primary:a-near primary:b-near primary:slow-near]")
	is.Equal(act.Sends[2].Job, needs)
	is.Equal(len(f.done(act.Sends[2], OK).Sends), 0) // the other one is not expected in time
	// A shard that was held back is sent when the answer cannot do without it any more.
	act = f.done(b, Broken)
	is.Equal(servers(act.Sends), "[retry:b-far]")
	act = f.done(act.Sends[0], Broken)
	is.Equal(servers(act.Sends), "[primary:slow-near]")
	is.Equal(act.Sends[0].Job, without)
}

// learnSlow lets the engine measure that the server of a pool is slow.
func (f *fixture) learnSlow(pool string) {
	for range 10 {
		s := f.submit(f.request("a")).Sends[0]
		f.Done(f.now, s.Attempt, Result{Class: OK, Latency: 10 * time.Millisecond})
	}
	for range 10 {
		r := f.request(pool)
		r.Target = time.Time{}
		s := f.submit(r).Sends[0]
		f.Done(f.now, s.Attempt, Result{Class: OK, Latency: 200 * time.Millisecond})
	}
}

// Guards against requests that stay at a server which is gone without a word until their deadline, and
// against one that is cut off although no other server can take it.
func TestStuckAttemptsAreGivenUp(t *testing.T) {
	t.Parallel()
	for name, others := range map[string]int{"another server": 1, "no other server": 0} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			f := newFixture()
			f.answerIn(10*time.Millisecond, 60)
			f.after(time.Millisecond)
			p := pair("a")
			p.Servers = p.Servers[:1+others]
			f.SetPools(f.now, []Pool{p})
			r := f.request("a")
			r.Target, r.MinCoverage, r.MaxAttempts = time.Time{}, 1, 1+others
			act := f.submit(r)
			f.after(minStuck + time.Millisecond)
			cut := f.Tick(f.now, act.Sends[0].Job)
			is.Equal(len(cut.Cancels), others)
			end := f.done(act.Sends[0], Canceled)
			is.True(end.Finished == nil || others == 0)
		})
	}
}

// Guards against work that goes on after its caller has left.
func TestAbandon(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	f := newFixture()
	act := f.submit(f.request("a", "b"))
	left := f.Abandon(act.Sends[0].Job)
	is.Equal(left.Cancels, []AttemptID{act.Sends[0].Attempt, act.Sends[1].Attempt})
	is.Equal(len(left.Drops), 0)
	is.True(f.done(act.Sends[0], OK).Finished == nil)
}

// Guards against more requests to a cold server than this node's share of what it bears.
func TestColdServerRate(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	f := newFixture()
	f.SetNodes(3)
	cold := testServer("a-near", here)
	cold.ColdUntil, cold.ColdRate, cold.Connections = epoch.Add(time.Minute), 9, 100
	f.SetPools(f.now, []Pool{{Name: "a", Servers: []Server{cold}}})
	sent := 0
	for range 100 {
		sent += len(f.submit(f.request("a")).Sends)
		f.after(9 * time.Millisecond)
	}
	is.Equal(sent, 3)
	f.after(time.Second)
	is.Equal(len(f.Tick(f.now, 1).Sends), 0)
}
