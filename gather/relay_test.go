package gather

import (
	"net/netip"
	"testing"
	"time"

	"github.com/matryer/is"
)

// newRemoteFixture returns an engine with four pools, whose servers are all in two other failure domains, and a
// relay in one of these domains.
func newRemoteFixture() *fixture {
	f := &fixture{Engine: New(Config{FailureDomain: "chiayi"}), now: epoch}
	f.SetPools(f.now, []Pool{pair("a"), pair("b"), pair("c"), pair("d")})
	f.SetRelays([]Relay{{Address: netip.MustParseAddrPort("127.0.0.1:7"), FailureDomain: there}})
	return f
}

func (f *fixture) submitRelayable() (Request, Actions) {
	r := f.request("a", "b", "c", "d")
	r.Relayable = true
	return r, f.submit(r)
}

func sampleLatencies(n int) []time.Duration {
	list := make([]time.Duration, n)
	for i := range list {
		list[i] = 10 * time.Millisecond
	}
	return list
}

// Guards against shard answers crossing failure domains one by one where a relay could merge them, and against
// requests that must not be relayed being sent through a relay.
func TestShardsInAnotherDomainAreRelayed(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	f := newRemoteFixture()
	r, act := f.submitRelayable()
	is.Equal(len(act.Sends), 0)
	is.Equal(len(act.Relays), 1)
	is.Equal(act.Relays[0].Tasks, []int{0, 1, 2, 3})
	is.True(act.Relays[0].ReplyAt.Before(f.NextTick(f.now, act.Relays[0].Job))) // before hedges are due
	end := f.RelayReport(f.now, act.Relays[0].Relay, RelayPart{Answered: []int{0, 1, 2, 3}, Latencies: sampleLatencies(4)})
	is.True(end.Accepted)
	is.Equal(end.Finished.End, Complete)

	r.Relayable = false
	is.Equal(len(f.submit(r).Sends), 4)
}

// Guards against shards declined by a relay failing or being charged to the retry budget.
func TestDeclinedShardsAreSentDirectly(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	f := newRemoteFixture()
	f.config.Budget = BudgetConfig{Ratio: 0, Slack: 0, Window: time.Second}
	_, act := f.submitRelayable()
	direct := f.RelayReport(f.now, act.Relays[0].Relay, RelayPart{Declined: []int{1}})
	is.Equal(len(direct.Sends), 1)
	is.Equal(direct.Sends[0].Task, 1)
}

// Guards against shards not being resent when their relay is unreachable.
func TestShardsAreResentWhenRelayFails(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	f := newRemoteFixture()
	_, act := f.submitRelayable()
	direct := f.RelayEnd(f.now, act.Relays[0].Relay, Result{Outcome: Unsent})
	is.Equal(len(direct.Sends), 4)
	_, act = f.submitRelayable()
	is.Equal(len(act.Relays), 0) // ejected
	is.Equal(len(act.Sends), 4)
}

// Guards against duplicate records: once in the merged part of a relay and once in the answer to a hedge, or in the
// merged parts of two relays. Guards also against a merged part that is thrown away because one of its shards has been
// answered already: at the worst load, a request ended without an answer although 159 of its 180 shards had answered.
func TestPartsAreNotMergedTwice(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	f := newRemoteFixture()
	_, act := f.submitRelayable()
	primary := act.Relays[0].Relay
	f.now = f.NextTick(f.now, act.Relays[0].Job)
	hedge := f.Tick(f.now, act.Relays[0].Job)
	is.Equal(len(hedge.Sends), 4) // to the other domain, which has no relay

	first := f.Done(f.now, hedge.Sends[0].Attempt, Result{Outcome: OK, Latency: time.Millisecond})
	is.True(first.Accepted)
	// The answer of the hedge stays, and that of the other shard is used.
	is.Equal(f.NeedsRelayed(primary, []int{0, 1, 1, 9}), []bool{false, true, false, false})
	merged := f.RelayReport(f.now, primary, RelayPart{Answered: []int{0, 1}, Latencies: sampleLatencies(2)})
	is.True(merged.Accepted)
	late := f.Done(f.now, hedge.Sends[1].Attempt, Result{Outcome: OK, Latency: time.Millisecond})
	is.True(!late.Accepted)

	// A shard that the relay lists a second time is not needed.
	is.Equal(f.NeedsRelayed(primary, []int{1, 2}), []bool{false, true})
	again := f.RelayReport(f.now, primary, RelayPart{Answered: []int{1, 2}, Latencies: sampleLatencies(2)})
	is.True(again.Accepted)
	nothing := f.RelayReport(f.now, primary, RelayPart{Answered: []int{1, 2}, Latencies: sampleLatencies(2)})
	is.True(!nothing.Accepted)
	// Records that cannot be told apart are not used, and their shard stays in flight at the hedge.
	unusable := f.RelayReport(f.now, primary, RelayPart{Answered: []int{1, 3}, Latencies: sampleLatencies(2), Unusable: true})
	is.True(!unusable.Accepted)
	end := f.Done(f.now, hedge.Sends[3].Attempt, Result{Outcome: OK, Latency: time.Millisecond})
	is.True(end.Accepted)
	is.Equal(end.Finished.End, Complete)
}

// Guards against a relay sending hedges itself, which would exceed the maximum number of servers of a request,
// and against a relay sending to another failure domain.
func TestRelaySendsNoHedges(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	f := newFixture()
	r := f.request("a", "b")
	r.Relayed, r.MaxAttempts, r.MinCoverage, r.Target = true, 1, 0, time.Time{}
	act := f.submit(r)
	is.Equal(servers(act.Sends), "[primary:a-near primary:b-near]")
	failed := f.done(act.Sends[0], Broken)
	is.Equal(failed.FailedTasks, []int{0})
	is.Equal(len(failed.Sends), 0)

	p := pair("a")
	p.Servers = p.Servers[1:]
	f.SetPools(f.now, []Pool{p, pair("b")})
	declined := f.submit(r)
	is.Equal(declined.FailedTasks, []int{0})
	is.Equal(servers(declined.Sends), "[primary:b-near]")
}

// Guards against sending to a relay that has stopped answering.
func TestStalledRelayIsAvoided(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	f := newRemoteFixture()
	_, act := f.submitRelayable()
	is.Equal(len(act.Relays), 1)
	f.advance(60 * time.Millisecond)
	_, act = f.submitRelayable()
	is.Equal(len(act.Relays), 0)
}

// Guards against a relay that ends with a panic because a requesting node with an older configuration names a service
// that the relay does not know: the other shards are answered, and the unknown one is reported as failed.
func TestRelayedRequestNamesAnUnknownPool(t *testing.T) {
	t.Parallel()
	for _, unknown := range []int{0, 1} {
		is := is.New(t)
		f := newFixture()
		pools := []string{"a", "a"}
		pools[unknown] = "dropped"
		r := Request{Class: "r", Pools: pools, Idempotent: true, Relayed: true, MaxAttempts: 1, Deadline: f.now.Add(time.Second)}
		act := f.submit(r)
		is.Equal(act.FailedTasks, []int{unknown})
		is.Equal(servers(act.Sends), "[primary:a-near]")
		end := f.done(act.Sends[0], OK)
		is.Equal(end.Finished.End, Partial)
		is.Equal(end.Finished.Answered, 1)
		is.Equal(end.Finished.Missing, []string{"dropped"})
	}
}

// Guards against the same panic when the request expires or is abandoned while one of its services is unknown.
func TestRequestWithAnUnknownPoolEnds(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	f := newFixture()
	r := f.request("a", "dropped")
	id, act := f.Submit(f.now, r)
	is.Equal(act.FailedTasks, []int{1})
	f.now = r.Deadline
	is.Equal(f.Tick(f.now, id).Finished.End, Expired)

	r = f.request("a", "dropped")
	_, act = f.Submit(f.now, r)
	f.Abandon(act.Sends[0].Job)
	is.Equal(f.Load(f.now).Requests, 0)
}
