package serve

import (
	"context"
	"sync"
	"time"

	"github.com/arbutusthread/arbutusthread/clock"
	"github.com/arbutusthread/arbutusthread/conf"
	"github.com/arbutusthread/arbutusthread/fleet"
	"github.com/arbutusthread/arbutusthread/guard"
	"github.com/arbutusthread/arbutusthread/query"
	"github.com/arbutusthread/arbutusthread/trial"
	"github.com/arbutusthread/arbutusthread/wire"
)

const (
	// mergeMargin is the time before the caller's deadline at which a home ends a query, and
	// hopMargin is added when the home is another node, so that the answer arrives in time.
	mergeMargin = 2 * time.Millisecond
	hopMargin   = 3 * time.Millisecond
	// homeRetry is the time between two attempts to find the home of a slice while its lease
	// moves.
	homeRetry = 10 * time.Millisecond
	// provenLimit and provenLifetime bound the fingerprints that a planner knows as harmless.
	provenLimit    = 10_000
	provenLifetime = 10 * time.Minute
)

// answer plans a query, asks the homes of its slices and merges their results. When a server no
// longer has the pinned version, the query is planned once more on another version.
func (n *Node) answer(ctx context.Context, c *conf.Caller, service string, q wire.Query) (*wire.Answer, *wire.Failure) {
	now := time.Now()
	plan, f := query.NewPlan(n.view.Load().catalog, service, q, now, "")
	if f != nil {
		return nil, f
	}
	m := n.execute(ctx, plan, c)
	sends := m.Sends()
	if m.Stale() {
		again, f := query.NewPlan(n.view.Load().catalog, service, q, now, plan.Index.Version)
		if f == nil && time.Now().Before(again.Deadline) {
			n.decisions.Add(q.RequestID, Decision{Name: "plan again", Detail: again.Index.Version})
			m = n.execute(ctx, again, c)
			sends += m.Sends()
		}
	}
	answer, f := m.Answer()
	n.record(plan, now, sends, f)
	return answer, f
}

// record writes the trace of a query for a replay, without its text.
func (n *Node) record(p *query.Plan, started time.Time, sends int, f *wire.Failure) {
	outcome := wire.Answered
	if f != nil {
		outcome = f.Outcome
	}
	n.traces.Record(trial.Trace{
		At: started, RequestID: p.Query.RequestID, Service: p.Service.Name, Kind: p.Kind.Name,
		QueryHash: guard.FingerprintOf(p.Service.Name, p.Kind.Name, p.Query.Query),
		Timeout:   wire.Duration(p.Deadline.Sub(started)), Outcome: outcome,
		Latency: wire.Duration(time.Since(started)), Sends: sends,
	})
}

func (n *Node) execute(ctx context.Context, p *query.Plan, c *conf.Caller) *query.Merge {
	n.decisions.Add(p.Query.RequestID, Decision{Name: "plan", Detail: p.Service.Name + " version " + p.Index.Version})
	m := query.NewMerge(p)
	fp := guard.FingerprintOf(p.Service.Name, p.Kind.Name, p.Query.Query)
	// A query that is harmless on one version of the index may crash servers on the next.
	known := guard.FingerprintOf(p.Service.Name+" "+p.Index.Version, p.Kind.Name, p.Query.Query)
	parts := p.Index.Parts
	if len(parts) > 1 && !n.isProven(known) {
		// The home of one slice, always the same for a fingerprint, runs the canary before any
		// other slice sees the query.
		first := int(uint64(fp) % uint64(len(parts)))
		if reason, ok := n.askCanary(ctx, p, parts[first], c, m, known); !ok {
			// The reason of the canary tells callers whether to try again.
			for i, part := range parts {
				if i != first {
					m.Lose(part, wire.Refuse(wire.StepCanary, "", reason, "the canary request failed"))
				}
			}
			return m
		}
		parts = append(append([]query.Part(nil), parts[:first]...), parts[first+1:]...)
	}
	n.askAll(ctx, p, parts, c, m, len(p.Index.Parts) > 1)
	return m
}

// askCanary sends the query to the home that runs its canary. It returns false, with the reason,
// when no shard answered.
func (n *Node) askCanary(
	ctx context.Context, p *query.Plan, part query.Part, c *conf.Caller, m *query.Merge, fp guard.Fingerprint,
) (wire.Reason, bool) {
	partial, f := n.ask(ctx, p, part, c, false)
	if f != nil {
		m.Lose(part, f)
		return f.Reason, false
	}
	if err := m.Add(part, &partial); err != nil {
		m.Lose(part, wire.Uncertain(wire.StepMerge, "", wire.ReasonPeer, "%v", err))
		return wire.ReasonPeer, false
	}
	if len(partial.Covered) == 0 {
		return partial.Missing[0].Reason, false
	}
	n.setProven(fp)
	return "", true
}

func (n *Node) askAll(ctx context.Context, p *query.Plan, parts []query.Part, c *conf.Caller, m *query.Merge, proven bool) {
	if len(parts) == 1 {
		partial, f := n.ask(ctx, p, parts[0], c, proven)
		n.merge(m, parts[0], &partial, f)
		return
	}
	var mu sync.Mutex
	var group sync.WaitGroup
	for _, part := range parts {
		group.Go(func() {
			partial, f := n.ask(ctx, p, part, c, proven)
			mu.Lock()
			defer mu.Unlock()
			n.merge(m, part, &partial, f)
		})
	}
	group.Wait()
}

func (n *Node) merge(m *query.Merge, part query.Part, partial *wire.SlicePartial, f *wire.Failure) {
	if f != nil {
		m.Lose(part, f)
		return
	}
	if err := m.Add(part, partial); err != nil {
		n.log.Warn("partial result dropped", "RequestId", partial.RequestID, "Error", err)
		m.Lose(part, wire.Uncertain(wire.StepMerge, "", wire.ReasonPeer, "%v", err))
	}
}

// ask gets the partial result of a part from its home. While the lease moves it asks again, as
// long as half of the time is left.
func (n *Node) ask(ctx context.Context, p *query.Plan, part query.Part, c *conf.Caller, proven bool) (wire.SlicePartial, *wire.Failure) {
	q := p.SliceQuery(part, c.Name, proven)
	q.Deadline = p.Deadline.Add(-mergeMargin)
	latest := time.Now().Add(time.Until(p.Deadline) / 2)
	for {
		partial, f := n.askHome(ctx, q)
		if f == nil || !movesHome(f) || !time.Now().Add(homeRetry).Before(latest) {
			return partial, f
		}
		clock.Sleep(ctx, homeRetry)
	}
}

func (n *Node) askHome(ctx context.Context, q wire.SliceQuery) (wire.SlicePartial, *wire.Failure) {
	home, ok := n.findHome(q.RequestID, q.Service, q.Slice)
	if !ok {
		return wire.SlicePartial{}, wire.Refuse(wire.StepLease, "", wire.ReasonNoHome, "no node holds slice %d", q.Slice)
	}
	if home.Address == n.PeerAddress() {
		return n.queryHere(ctx, q)
	}
	q.Deadline = q.Deadline.Add(-hopMargin)
	partial, err := n.peer.Slice(ctx, home.Address, q)
	if err == nil {
		return partial, nil
	}
	f := wire.AsFailure(err)
	if f.Peer == "" {
		f.Peer = home.Address.String()
	}
	return partial, f
}

func (n *Node) findHome(request, service string, slice int) (fleet.Member, bool) {
	home, ok := n.peer.Home(service, slice)
	name := "no home"
	if ok {
		name = "home"
	}
	n.decisions.Add(request, Decision{Name: name, Peer: peerName(home.Address), Detail: service})
	return home, ok
}

// queryHere runs a query on a slice of which this node is the home.
func (n *Node) queryHere(ctx context.Context, q wire.SliceQuery) (wire.SlicePartial, *wire.Failure) {
	h := n.homes.get(sliceKey{q.Service, q.Slice})
	if h == nil {
		return wire.SlicePartial{}, wire.Refuse(wire.StepLease, n.PeerAddress().String(), wire.ReasonNoHome,
			"this node does not hold slice %d", q.Slice)
	}
	partial, err := h.Query(ctx, q)
	if err != nil {
		return partial, wire.AsFailure(err)
	}
	return partial, nil
}

// servePeerSlice answers a planner. It never forwards, so that views that differ form no loop.
func (n *Node) servePeerSlice(ctx context.Context, q wire.SliceQuery) (wire.SlicePartial, error) {
	if f := n.notReady(); f != nil {
		return wire.SlicePartial{}, f
	}
	partial, f := n.queryHere(ctx, q)
	if f != nil {
		return partial, f
	}
	return partial, nil
}

func (n *Node) notReady() *wire.Failure {
	if n.Ready() {
		return nil
	}
	return wire.Refuse(wire.StepReady, n.PeerAddress().String(), wire.ReasonNotReady,
		"the node does not know a configuration that it may trust")
}

// movesHome reports whether another node may answer soon.
func movesHome(f *wire.Failure) bool {
	if !f.NotRun {
		return false
	}
	switch f.Reason {
	case wire.ReasonNoHome, wire.ReasonNotReady, wire.ReasonStopping, wire.ReasonPeer:
		return true
	}
	return false
}

func (n *Node) isProven(fp guard.Fingerprint) bool {
	n.provenMu.Lock()
	defer n.provenMu.Unlock()
	return n.proven.Has(time.Now(), fp)
}

func (n *Node) setProven(fp guard.Fingerprint) {
	n.provenMu.Lock()
	defer n.provenMu.Unlock()
	n.proven.Add(time.Now(), fp)
}
