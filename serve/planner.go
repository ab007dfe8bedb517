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
	// mergeMargin is the time before the caller's deadline at which a lease holder ends a query. If the holder is
	// another node, hopMargin is added so that the response arrives in time.
	mergeMargin = 2 * time.Millisecond
	hopMargin   = 3 * time.Millisecond
	// leaseRetryInterval is the time between two lookups of the lease holder of a slice while the lease moves. The
	// delay between dispatches of an order grows linearly by it.
	leaseRetryInterval = 10 * time.Millisecond
	// recentSuccessLimit and recentSuccessTTL bound the number and age of the fingerprints that a planner sends to
	// several slices without a canary.
	recentSuccessLimit = 10_000
	recentSuccessTTL   = 10 * time.Minute
)

// answerQuery plans a query, sends it to the lease holders of its slices and merges their results. If a server no
// longer has the pinned index version, the query is planned once more on another version.
func (n *Node) answerQuery(ctx context.Context, c *conf.Caller, service string, q wire.Query) (*wire.Answer, *wire.Failure) {
	now := time.Now()
	plan, f := query.NewPlan(n.active.Load().catalog, service, q, now, "")
	if f != nil {
		return nil, f
	}
	m := n.executePlan(ctx, plan, c)
	sends := m.Sends()
	if m.Stale() {
		replan, f := query.NewPlan(n.active.Load().catalog, service, q, now, plan.Index.Version)
		if f == nil && time.Now().Before(replan.Deadline) {
			n.decisions.Add(q.RequestID, Decision{Name: "plan again", Detail: replan.Index.Version})
			m = n.executePlan(ctx, replan, c)
			sends += m.Sends()
		}
	}
	answer, f := m.Answer()
	n.recordTrace(plan, now, sends, f)
	return answer, f
}

// recordTrace records the trace of a query for a replay, with a hash in place of its text.
func (n *Node) recordTrace(p *query.Plan, started time.Time, sends int, f *wire.Failure) {
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

func (n *Node) executePlan(ctx context.Context, p *query.Plan, c *conf.Caller) *query.Merge {
	n.decisions.Add(p.Query.RequestID, Decision{Name: "plan", Detail: p.Service.Name + " version " + p.Index.Version})
	m := query.NewMerge(p)
	fp := guard.FingerprintOf(p.Service.Name, p.Kind.Name, p.Query.Query)
	// The index version is part of the fingerprint: a query that succeeds on one version may crash servers on the next.
	versioned := guard.FingerprintOf(p.Service.Name+" "+p.Index.Version, p.Kind.Name, p.Query.Query)
	parts := p.Index.Parts
	if len(parts) > 1 && !n.succeededRecently(versioned) {
		// The lease holder of one slice, always the same one for a fingerprint, runs the canary before any other slice
		// receives the query.
		first := int(uint64(fp) % uint64(len(parts)))
		if reason, ok := n.runCanary(ctx, p, parts[first], c, m, versioned); !ok {
			// Callers decide by the reason whether to retry, so that of the canary is passed on.
			for i, part := range parts {
				if i != first {
					m.Fail(part, wire.Refuse(wire.StepCanary, "", reason, "the canary request failed"))
				}
			}
			return m
		}
		parts = append(append([]query.SlicePart(nil), parts[:first]...), parts[first+1:]...)
	}
	n.queryParts(ctx, p, parts, c, m, len(p.Index.Parts) > 1)
	return m
}

// runCanary sends the query to the lease holder that runs its canary. It returns false and the reason if no shard
// answered.
func (n *Node) runCanary(
	ctx context.Context, p *query.Plan, part query.SlicePart, c *conf.Caller, m *query.Merge, versioned guard.Fingerprint,
) (wire.Reason, bool) {
	partial, f := n.queryPart(ctx, p, part, c, false)
	if f != nil {
		m.Fail(part, f)
		return f.Reason, false
	}
	if err := m.Add(part, &partial); err != nil {
		m.Fail(part, wire.UnknownOutcome(wire.StepMerge, "", wire.ReasonPeer, "%v", err))
		return wire.ReasonPeer, false
	}
	if len(partial.Covered) == 0 {
		return partial.Missing[0].Reason, false
	}
	n.recordSuccess(versioned)
	return "", true
}

func (n *Node) queryParts(ctx context.Context, p *query.Plan, parts []query.SlicePart, c *conf.Caller, m *query.Merge,
	skipCanary bool,
) {
	if len(parts) == 1 {
		partial, f := n.queryPart(ctx, p, parts[0], c, skipCanary)
		n.mergePart(m, parts[0], &partial, f)
		return
	}
	var mu sync.Mutex
	var group sync.WaitGroup
	for _, part := range parts {
		group.Go(func() {
			partial, f := n.queryPart(ctx, p, part, c, skipCanary)
			mu.Lock()
			defer mu.Unlock()
			n.mergePart(m, part, &partial, f)
		})
	}
	group.Wait()
}

func (n *Node) mergePart(m *query.Merge, part query.SlicePart, partial *wire.SliceResult, f *wire.Failure) {
	if f != nil {
		m.Fail(part, f)
		return
	}
	if err := m.Add(part, partial); err != nil {
		n.log.Warn("partial result rejected", "RequestId", partial.RequestID, "Error", err)
		m.Fail(part, wire.UnknownOutcome(wire.StepMerge, "", wire.ReasonPeer, "%v", err))
	}
}

// queryPart gets the partial result of a part from its lease holder. While the lease moves it retries until half of
// the time to the deadline has passed.
func (n *Node) queryPart(ctx context.Context, p *query.Plan, part query.SlicePart, c *conf.Caller, skipCanary bool) (wire.SliceResult, *wire.Failure) {
	q := p.SliceQuery(part, c.Name, skipCanary)
	q.Deadline = p.Deadline.Add(-mergeMargin)
	latest := time.Now().Add(time.Until(p.Deadline) / 2)
	for {
		partial, f := n.queryLeaseHolder(ctx, q)
		if f == nil || !isRetriableQueryFailure(f) || !time.Now().Add(leaseRetryInterval).Before(latest) {
			return partial, f
		}
		clock.Sleep(ctx, leaseRetryInterval)
	}
}

func (n *Node) queryLeaseHolder(ctx context.Context, q wire.SliceQuery) (wire.SliceResult, *wire.Failure) {
	holder, ok := n.findLeaseHolder(q.RequestID, q.Service, q.Slice)
	if !ok {
		return wire.SliceResult{}, wire.Refuse(wire.StepLease, "", wire.ReasonNoHome,
			"no node holds the lease of slice %d", q.Slice)
	}
	if holder.Address == n.PeerAddress() {
		return n.queryLocal(ctx, q)
	}
	q.Deadline = q.Deadline.Add(-hopMargin)
	partial, err := n.peer.Slice(ctx, holder.Address, q)
	if err == nil {
		return partial, nil
	}
	f := wire.AsFailure(err)
	if f.Peer == "" {
		f.Peer = holder.Address.String()
	}
	return partial, f
}

func (n *Node) findLeaseHolder(request, service string, slice int) (fleet.Member, bool) {
	holder, ok := n.peer.ExpectedHolder(service, slice)
	name := "no home"
	if ok {
		name = "home"
	}
	n.decisions.Add(request, Decision{Name: name, Peer: formatAddress(holder.Address), Detail: service})
	return holder, ok
}

// queryLocal runs a query on a slice whose lease this node holds.
func (n *Node) queryLocal(ctx context.Context, q wire.SliceQuery) (wire.SliceResult, *wire.Failure) {
	h := n.holders.get(sliceKey{q.Service, q.Slice})
	if h == nil {
		return wire.SliceResult{}, wire.Refuse(wire.StepLease, n.PeerAddress().String(), wire.ReasonNoHome,
			"this node does not hold the lease of slice %d", q.Slice)
	}
	partial, err := h.Query(ctx, q)
	if err != nil {
		return partial, wire.AsFailure(err)
	}
	return partial, nil
}

// servePeerSlice handles a slice query from a planner. It never forwards, which avoids loops between nodes with
// different views of the lease holder.
func (n *Node) servePeerSlice(ctx context.Context, q wire.SliceQuery) (wire.SliceResult, error) {
	if f := n.checkReady(); f != nil {
		return wire.SliceResult{}, f
	}
	partial, f := n.queryLocal(ctx, q)
	if f != nil {
		return partial, f
	}
	return partial, nil
}

func (n *Node) checkReady() *wire.Failure {
	if n.Ready() {
		return nil
	}
	return wire.Refuse(wire.StepReady, n.PeerAddress().String(), wire.ReasonNotReady,
		"the node is not ready: it has no confirmed configuration")
}

// isRetriableQueryFailure reports whether the query did not run and may succeed on another node shortly.
func isRetriableQueryFailure(f *wire.Failure) bool {
	if !f.NotRun {
		return false
	}
	switch f.Reason {
	case wire.ReasonNoHome, wire.ReasonNotReady, wire.ReasonStopping, wire.ReasonPeer:
		return true
	}
	return false
}

func (n *Node) succeededRecently(fp guard.Fingerprint) bool {
	n.recentSuccessesMu.Lock()
	defer n.recentSuccessesMu.Unlock()
	return n.recentSuccesses.Has(time.Now(), fp)
}

func (n *Node) recordSuccess(fp guard.Fingerprint) {
	n.recentSuccessesMu.Lock()
	defer n.recentSuccessesMu.Unlock()
	n.recentSuccesses.Add(time.Now(), fp)
}
