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

// fixture is an engine in failure domain here. It has two pools with two servers each, one in each domain.
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

// request returns a request with an objective of 100 ms, of which 10 ms are reserved for sending the answer.
func (f *fixture) request(pools ...string) Request {
	return Request{
		Class: "r", Pools: pools, Idempotent: true, MinCoverage: 0.5, MaxAttempts: 2,
		Deadline: f.now.Add(time.Second), Target: f.now.Add(90 * time.Millisecond),
	}
}

func (f *fixture) advance(d time.Duration) { f.now = f.now.Add(d) }

func (f *fixture) submit(r Request) Actions {
	_, act := f.Submit(f.now, r)
	return act
}

func (f *fixture) done(s Send, c Outcome) Actions {
	return f.Done(f.now, s.Attempt, Result{Outcome: c, Latency: f.now.Sub(epoch)})
}

func servers(sends []Send) string {
	var list []string
	for _, s := range sends {
		list = append(list, fmt.Sprintf("%s:%s", s.Purpose, s.Server.ID))
	}
	return fmt.Sprint(list)
}

// Guards against answering before all shards have answered while there is time, and against a request ending twice.
func TestCompleteAnswer(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	f := newFixture()
	act := f.submit(f.request("a", "b"))
	is.Equal(servers(act.Sends), "[primary:a-near primary:b-near]")
	f.advance(10 * time.Millisecond)
	first := f.done(act.Sends[0], OK)
	is.True(first.Accepted)
	is.True(first.Finished == nil)
	last := f.done(act.Sends[1], OK)
	is.Equal(last.Finished.End, Complete)
	is.Equal(last.Finished.Answered, 2)
	is.True(f.done(act.Sends[1], OK).Finished == nil)
}

// Guards against a missing hedge, a hedge to the same server, and a late second answer being accepted.
func TestHedge(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	f := newFixture()
	act := f.submit(f.request("a"))
	id := act.Sends[0].Job
	wake := f.NextTick(f.now, id)
	is.True(wake.After(f.now.Add(20 * time.Millisecond))) // not before most answers have arrived
	is.True(wake.Before(f.now.Add(90 * time.Millisecond)))
	f.now = wake
	hedge := f.Tick(f.now, id)
	is.Equal(servers(hedge.Sends), "[hedge:a-far]")
	f.advance(10 * time.Millisecond)
	end := f.done(hedge.Sends[0], OK)
	is.Equal(end.Finished.End, Complete)
	is.Equal(end.Drops, []AttemptID{act.Sends[0].Attempt})
	is.True(!f.done(act.Sends[0], OK).Accepted)
}

// Guards against waiting for the last shard beyond the objective, and against an answer below the minimum
// coverage.
func TestPartialAnswerAtTheTarget(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	f := newFixture()
	r := f.request("a", "b")
	act := f.submit(r)
	id := act.Sends[0].Job
	f.now = r.Target
	is.True(f.Tick(f.now, id).Finished == nil) // no shard has answered
	f.advance(time.Millisecond)
	end := f.done(act.Sends[0], OK)
	is.Equal(end.Finished.End, Partial) // half of the shards have answered, and the target has passed
	is.Equal(end.Finished.Answered, 1)
	is.Equal(len(end.Finished.Missing), 1)
}

// Guards against holding a request until its deadline although it cannot be served, and against reporting
// "not run" for a request that was sent.
func TestRefusals(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	f := newFixture()
	end := f.submit(f.request("unknown")).Finished
	is.Equal(end.End, Refused)
	is.True(!end.MayHaveRun)
	is.True(end.RetryAfter > 0)

	r := f.request("a")
	act := f.submit(r)
	f.now = r.Deadline
	end = f.Tick(f.now, act.Sends[0].Job).Finished
	is.Equal(end.End, Expired)
	is.True(end.MayHaveRun)
}

// Guards against resending a non-idempotent request that may have run.
func TestNonIdempotentRequestDoesNotRunTwice(t *testing.T) {
	t.Parallel()
	for outcome, again := range map[Outcome]bool{
		NotRun: true, OtherServer: true, Unsent: true, Busy: true, Full: true,
		Broken: false, TimedOut: false, ServerError: false,
	} {
		t.Run(string(outcome), func(t *testing.T) {
			is := is.New(t)
			f := newFixture()
			r := f.request("a")
			r.Idempotent, r.MinCoverage = false, 1
			act := f.submit(r)
			f.now = r.Target
			is.Equal(len(f.Tick(f.now, act.Sends[0].Job).Sends), 0) // no hedge
			end := f.done(act.Sends[0], outcome)
			if again {
				is.Equal(servers(end.Sends), "[retry:a-far]")
				is.True(end.Finished == nil)
				return
			}
			is.Equal(len(end.Sends), 0)
			is.True(end.Finished.MayHaveRun)
		})
	}
}

// Guards against replacing a complete answer of the server with an error of this node.
func TestServerAnswersArePassedOn(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	f := newFixture()
	r := f.request("a")
	r.MinCoverage = 1
	act := f.submit(r)
	end := f.done(act.Sends[0], Answered) // for example a 404
	is.True(end.Accepted)
	is.Equal(end.Finished.End, Complete)

	act = f.submit(r)
	retry := f.done(act.Sends[0], ServerError)
	is.True(!retry.Accepted)
	is.Equal(len(retry.Sends), 1)
}

// Guards against an unsuccessful answer being accepted as the answer of a shard in a request with several shards.
func TestServerErrorIsNotAShardAnswer(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	f := newFixture()
	act := f.submit(f.request("a", "b"))
	is.True(!f.done(act.Sends[0], Answered).Accepted)
}

// Guards against the failure of a server that is merged as the part of an index with a single shard: the caller would get a
// success without a hit. A relay has a single shard as well when the shards are spread over several relays.
func TestFailureOfASingleShardIsNotMerged(t *testing.T) {
	t.Parallel()
	for _, relayed := range []bool{false, true} {
		for _, outcome := range []Outcome{Answered, ServerError} {
			t.Run(fmt.Sprintf("%s, relayed %t", outcome, relayed), func(t *testing.T) {
				t.Parallel()
				is := is.New(t)
				f := newFixture()
				r := f.request("a")
				r.Merged, r.Relayed = true, relayed
				sends := f.submit(r).Sends
				id := sends[0].Job
				f.now = r.Deadline // no further attempt is allowed
				end := f.done(sends[0], outcome)
				is.True(!end.Accepted)
				if end.Finished == nil {
					end = f.Tick(f.now, id)
				}
				is.True(end.Finished.End == Expired || end.Finished.End == Failed)
				is.Equal(end.Finished.Answered, 0)
			})
		}
	}
}

// Guards against choosing a server that fails, is slow or does not answer.
func TestUnhealthyServersAreAvoided(t *testing.T) {
	t.Parallel()
	for name, degrade := range map[string]func(f *fixture){
		"refuses connections": func(f *fixture) { f.fail(Unsent, 1) },
		"breaks off":          func(f *fixture) { f.fail(Broken, failuresToEject) },
		"is slow":             func(f *fixture) { f.answerIn(10*time.Millisecond, 60); f.answerIn(90*time.Millisecond, 6) },
		"has stalled": func(f *fixture) {
			f.submit(f.request("a"))
			f.advance(60 * time.Millisecond)
		},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			f := newFixture()
			is.Equal(servers(f.submit(f.request("a")).Sends), "[primary:a-near]")
			degrade(f)
			is.Equal(servers(f.submit(f.request("a")).Sends), "[primary:a-far]")
		})
	}
}

// fail sends requests to the near server of pool a and ends each with the outcome.
func (f *fixture) fail(c Outcome, times int) {
	for range times {
		act := f.submit(f.request("a"))
		f.done(act.Sends[0], c)
		f.Abandon(act.Sends[0].Job)
	}
}

// answerIn sends requests to pool a, which the near server answers after d, until another server is chosen.
func (f *fixture) answerIn(d time.Duration, times int) {
	for range times {
		act := f.submit(f.request("a"))
		if act.Sends[0].Server.ID != "a-near" {
			f.Abandon(act.Sends[0].Job)
			return
		}
		f.advance(d)
		f.Done(f.now, act.Sends[0].Attempt, Result{Outcome: OK, Latency: d})
	}
}

// Guards against a server never getting requests again after an ejection.
func TestEjectedServersReturn(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	f := newFixture()
	f.fail(Unsent, 1)
	f.advance(minEjection)
	is.Equal(servers(f.submit(f.request("a")).Sends), "[primary:a-near]")
}

// Guards against new requests to draining servers, for example those of a failure domain that is taken out of
// service.
func TestDrainingServersGetNoRequests(t *testing.T) {
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

// Guards against sending requests to an address that another server has taken over, and against a server staying
// unused after it has been restarted under its ID.
func TestReplacedServerGetsNoRequests(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	f := newFixture()
	p := pair("a")
	p.Servers = p.Servers[:1]
	f.SetPools(f.now, []Pool{p})
	act := f.submit(f.request("a"))
	f.done(act.Sends[0], OtherServer)
	f.advance(maxEjection)
	is.Equal(f.submit(f.request("a")).Finished.End, Refused)
	f.SetPools(f.now, []Pool{p})
	is.Equal(f.submit(f.request("a")).Finished.End, Refused)
	p.Servers[0].StartTime = f.now
	f.SetPools(f.now, []Pool{p})
	is.Equal(len(f.submit(f.request("a")).Sends), 1)
}

// Guards against more connections to a server than this node's share, and against waiting requests being lost or
// overtaken by requests of lower priority.
func TestRequestsWaitForCapacity(t *testing.T) {
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

// Guards against resending a request at once to a server that has rejected it, and against a shard failing although
// there is time for another attempt.
func TestRejectedRequestsWait(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	f := newFixture()
	act := f.submit(f.request("a"))
	id := act.Sends[0].Job
	retry := f.done(act.Sends[0], NotRun)
	is.Equal(servers(retry.Sends), "[retry:a-far]")
	rejected := f.done(retry.Sends[0], NotRun)
	is.Equal(len(rejected.Sends), 0)
	is.True(rejected.Finished == nil)
	f.advance(resendDelay + overloadBackoff)
	other, again := f.Submit(f.now, f.request("a"))
	is.Equal(len(again.Sends), 2)
	is.Equal(again.Sends[0].Job, other) // it can still be answered before its target
	is.Equal(again.Sends[1].Job, id)
}

// Guards against sending non-idempotent requests to a server that has just failed one while there are other servers.
// If such a request fails, it cannot be retried and its caller gets no answer.
func TestNonIdempotentRequestsAvoidFailingServers(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	f := newFixture()
	sendNonIdempotent := func() Send {
		r := f.request("a")
		r.Idempotent = false
		return f.submit(r).Sends[0]
	}
	s := sendNonIdempotent()
	is.Equal(s.Server.ID, "a-near")
	f.done(s, Broken)
	for range 20 {
		s := sendNonIdempotent()
		is.Equal(s.Server.ID, "a-far")
		f.done(s, OK)
	}
	f.advance(time.Minute)
	is.Equal(sendNonIdempotent().Server.ID, "a-near")
}

// Guards against the servers of a saturated shard working for requests that can be answered without the shard, while
// requests that require it fail.
func TestSaturatedShardsServeRequestsThatRequireThem(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	f := newFixture()
	f.SetPools(f.now, []Pool{pair("a"), pair("b"), {Name: "slow", Servers: []Server{testServer("slow-near", here)}}})
	f.recordSlowAnswers("slow")
	optionalID, act := f.Submit(f.now, f.request("a", "b", "slow")) // two of three are enough
	is.Equal(servers(act.Sends), "[primary:a-near primary:b-near]")
	b := act.Sends[1]
	r := f.request("a", "b", "slow")
	r.MinCoverage = 1
	requiredID, act := f.Submit(f.now, r)
	is.Equal(servers(act.Sends), "[primary:a-near primary:b-near primary:slow-near]")
	is.Equal(act.Sends[2].Job, requiredID)
	is.Equal(len(f.done(act.Sends[2], OK).Sends), 0) // the other request is not expected to be answered in time
	// A shard that was held back is sent once the minimum coverage can no longer be reached without it.
	act = f.done(b, Broken)
	is.Equal(servers(act.Sends), "[retry:b-far]")
	act = f.done(act.Sends[0], Broken)
	is.Equal(servers(act.Sends), "[primary:slow-near]")
	is.Equal(act.Sends[0].Job, optionalID)
}

// recordSlowAnswers reports fast answers of pool a and slow answers of the given pool.
func (f *fixture) recordSlowAnswers(pool string) {
	for range 10 {
		s := f.submit(f.request("a")).Sends[0]
		f.Done(f.now, s.Attempt, Result{Outcome: OK, Latency: 10 * time.Millisecond})
	}
	for range 10 {
		r := f.request(pool)
		r.Target = time.Time{}
		s := f.submit(r).Sends[0]
		f.Done(f.now, s.Attempt, Result{Outcome: OK, Latency: 200 * time.Millisecond})
	}
}

// Guards against requests waiting until their deadline for a server that has stopped answering, and against canceling
// such a request although no other server can accept it.
func TestStalledAttemptsAreCanceled(t *testing.T) {
	t.Parallel()
	for name, others := range map[string]int{"another server": 1, "no other server": 0} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			f := newFixture()
			f.answerIn(10*time.Millisecond, 60)
			f.advance(time.Millisecond)
			p := pair("a")
			p.Servers = p.Servers[:1+others]
			f.SetPools(f.now, []Pool{p})
			r := f.request("a")
			r.Target, r.MinCoverage, r.MaxAttempts = time.Time{}, 1, 1+others
			act := f.submit(r)
			f.advance(minHangTimeout + time.Millisecond)
			tick := f.Tick(f.now, act.Sends[0].Job)
			is.Equal(len(tick.Cancels), others)
			end := f.done(act.Sends[0], Canceled)
			is.True(end.Finished == nil || others == 0)
		})
	}
}

// Guards against attempts running on after the caller has disconnected.
func TestAbandon(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	f := newFixture()
	act := f.submit(f.request("a", "b"))
	abandoned := f.Abandon(act.Sends[0].Job)
	is.Equal(abandoned.Cancels, []AttemptID{act.Sends[0].Attempt, act.Sends[1].Attempt})
	is.Equal(len(abandoned.Drops), 0)
	is.True(f.done(act.Sends[0], OK).Finished == nil)
}

// Guards against sending a cold server more than this node's share of its rate limit.
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
		f.advance(9 * time.Millisecond)
	}
	is.Equal(sent, 3)
	f.advance(time.Second)
	is.Equal(len(f.Tick(f.now, 1).Sends), 0)
}

// Guards against memory that grows with each route that was ever used, and against the loss of the latencies of a route
// in use.
func TestClassesAreBounded(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	f := newFixture()
	inUse := f.request("a")
	inUse.Class = "in use"
	f.submit(inUse)
	kept := f.classes["in use"]
	for i := range 4 * maxClasses {
		f.advance(time.Millisecond)
		r := f.request("a")
		r.Class = fmt.Sprint("route-", i)
		f.submit(r)
		f.submit(inUse)
	}
	is.Equal(len(f.classes), maxClasses)
	is.Equal(f.classes["in use"], kept)
}
