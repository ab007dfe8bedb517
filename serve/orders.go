package serve

import (
	"context"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/arbutusthread/arbutusthread/clock"
	"github.com/arbutusthread/arbutusthread/conf"
	"github.com/arbutusthread/arbutusthread/order"
	"github.com/arbutusthread/arbutusthread/query"
	"github.com/arbutusthread/arbutusthread/wire"
)

const (
	// relayMargin is the time before the caller's deadline at which an issuer responds, so that the response reaches
	// the caller through the relaying node in time.
	relayMargin = 5 * time.Millisecond
	// maxDispatches limits the dispatches of one order. An order is dispatched again only if it is certain not to
	// have run.
	maxDispatches = 5
)

// orders runs the orders whose keys were issued by this incarnation of the node.
type orders struct {
	node   *Node
	signer *order.Signer

	mu    sync.Mutex
	table *order.Table
}

func newOrders(n *Node, signer *order.Signer) (*orders, error) {
	self := n.peer.Self()
	t, err := order.NewTable(order.Config{
		Issuer: self.Address, Incarnation: uint64(self.Incarnation), Signer: signer,
		MaxKeys: n.settings.Limits.OrderKeys, MaxBatch: n.settings.Limits.OrderKeyBatch,
	})
	if err != nil {
		return nil, err
	}
	return &orders{node: n, signer: signer, table: t}, nil
}

func (o *orders) issue(service, caller string, count int) ([]wire.OrderKey, *wire.Failure) {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.table.Issue(time.Now(), service, caller, count)
}

// stopIssuing stops issuing order keys; issued keys remain usable.
func (o *orders) stopIssuing() {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.table.Stop()
}

func (o *orders) running() int {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.table.Running()
}

// handle passes an order, or a lookup of its outcome, to the node that issued its key. An invalid key is handled
// locally, which refuses it.
func (o *orders) handle(ctx context.Context, r wire.OrderRelay) (wire.OrderResult, *wire.Failure) {
	k, err := o.signer.Parse(r.Order.Key)
	if err != nil || k.Issuer == o.node.PeerAddress() {
		return o.handleLocal(ctx, r)
	}
	o.node.decisions.Add(r.RequestID, Decision{Name: "relay order", Peer: k.Issuer.String()})
	result, err := o.node.peer.Order(ctx, k.Issuer, r)
	if err == nil {
		return result, nil
	}
	return wire.OrderResult{}, o.relayFailure(wire.AsFailure(err), k)
}

// relayFailure adjusts the outcome of a failed relay to the issuer. This node does not know whether an earlier attempt
// with the key ran, so the failure says "not run" only if the issuer reported that for the key.
func (o *orders) relayFailure(f *wire.Failure, k order.Key) *wire.Failure {
	if f.Peer == "" {
		f.Peer = k.Issuer.String()
	}
	switch {
	case f.Step == wire.StepRelay && !f.Forwarded:
		f.Outcome, f.NotRun = wire.Unknown, false
	case f.Step == wire.StepDecode || f.Step == wire.StepAuth || f.Step == wire.StepReady:
		// The issuer refused this attempt before checking the key, with which an earlier attempt may have started the
		// order.
		f.Outcome, f.NotRun, f.Forwarded = wire.Unknown, false, false
	case f.Reason == wire.ReasonKeyForeign && f.Outcome == wire.Unknown:
		// Another incarnation of a node runs at the address of the issuer.
		f.Forwarded = false
	}
	return f
}

// handleLocal runs an order on this node and waits for its outcome until the deadline, or looks up its outcome
// without waiting.
func (o *orders) handleLocal(ctx context.Context, r wire.OrderRelay) (wire.OrderResult, *wire.Failure) {
	q := order.Request{Key: r.Order.Key, Service: r.Service, Caller: r.Caller, Kind: r.Order.Kind, Body: r.Order.Body}
	out := o.start(q, r)
	for out.State == order.Running && !r.LookUp {
		select {
		case <-out.Settled:
			out = o.lookUp(q)
		case <-ctx.Done():
			return wire.OrderResult{}, o.pendingFailure(wire.ReasonDeadline)
		case <-time.After(time.Until(r.Deadline)):
			return wire.OrderResult{}, o.pendingFailure(wire.ReasonDeadline)
		}
	}
	switch {
	case out.Failure != nil:
		f := *out.Failure
		f.Forwarded = f.Forwarded || out.State == order.Closed || out.State == order.Unknown
		return wire.OrderResult{}, &f
	case out.State == order.Done:
		return wire.OrderResult{Key: r.Order.Key, Outcome: wire.Answered, Result: out.Result}, nil
	}
	return wire.OrderResult{}, o.pendingFailure(wire.ReasonDeadline)
}

func (o *orders) pendingFailure(reason wire.Reason) *wire.Failure {
	return wire.UnknownOutcome(wire.StepDispatch, o.node.PeerAddress().String(), reason,
		"the order has no outcome yet; look it up with the same key")
}

func (o *orders) start(q order.Request, r wire.OrderRelay) order.Outcome {
	o.mu.Lock()
	defer o.mu.Unlock()
	if r.LookUp {
		return o.table.LookUp(time.Now(), q)
	}
	out := o.table.Start(time.Now(), q)
	if out.Dispatch {
		// The order continues if its caller disconnects, because the key is used up in either case.
		go o.run(out.Attempt, r)
	}
	return out
}

func (o *orders) lookUp(q order.Request) order.Outcome {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.table.LookUp(time.Now(), q)
}

// run dispatches an order until it has an outcome. It is dispatched again only if the previous dispatch is certain not
// to have run.
func (o *orders) run(a order.Attempt, r wire.OrderRelay) {
	ctx, cancel := context.WithDeadline(context.Background(), r.Deadline)
	defer cancel()
	for attempt := 1; ; attempt++ {
		result, f := o.dispatch(ctx, r)
		now := time.Now()
		o.mu.Lock()
		switch {
		case f == nil:
			o.table.Finish(now, a, result.Result)
		case !f.NotRun:
			o.table.MarkUnknown(now, a)
		case attempt >= maxDispatches || !isRetriableOrderFailure(f) || !now.Add(leaseRetryInterval).Before(r.Deadline):
			o.table.Close(now, a, f)
		default:
			next, ok := o.table.Retry(now, a, f)
			o.mu.Unlock()
			if !ok {
				return
			}
			a = next
			clock.Sleep(ctx, leaseRetryInterval*time.Duration(attempt))
			continue
		}
		o.mu.Unlock()
		return
	}
}

func isRetriableOrderFailure(f *wire.Failure) bool {
	switch f.Reason {
	case wire.ReasonNoHome, wire.ReasonNotReady, wire.ReasonStopping, wire.ReasonPeer, wire.ReasonNoServer,
		wire.ReasonBackend, wire.ReasonOverload:
		return true
	}
	return false
}

// dispatch sends the order through the lease holder of its slice.
func (o *orders) dispatch(ctx context.Context, r wire.OrderRelay) (wire.ExecuteResult, *wire.Failure) {
	n := o.node
	shard, kind, f := n.orderShard(r.Service, r.Order.Kind, r.Order.Key)
	if f != nil {
		return wire.ExecuteResult{}, f
	}
	e := wire.ExecuteOrder{
		RequestID: r.RequestID, Key: r.Order.Key, Service: r.Service, Slice: shard.Slice, Kind: r.Order.Kind,
		Body: r.Order.Body, Deadline: r.Deadline.Add(-relayMargin),
	}
	holder, ok := n.findLeaseHolder(r.RequestID, r.Service, shard.Slice)
	if !ok {
		return wire.ExecuteResult{}, wire.Refuse(wire.StepLease, "", wire.ReasonNoHome,
			"no node holds the lease of slice %d", shard.Slice)
	}
	if holder.Address == n.PeerAddress() {
		return n.executeLocal(ctx, e, shard, kind)
	}
	result, err := n.peer.Execute(ctx, holder.Address, e)
	if err != nil {
		return result, wire.AsFailure(err)
	}
	return result, nil
}

// orderShard selects the shard for an order by the hash of its key, from the newest index.
func (n *Node) orderShard(service, kind, key string) (query.Shard, *conf.Kind, *wire.Failure) {
	s := n.active.Load().catalog.Service(service)
	if s == nil {
		return query.Shard{}, nil, wire.Refuse(wire.StepDispatch, "", wire.ReasonNotFound, "unknown service %q", service)
	}
	k := s.Kind(kind)
	if k == nil {
		return query.Shard{}, nil, wire.Refuse(wire.StepDispatch, "", wire.ReasonBadRequest, "Kind: unknown kind %q", kind)
	}
	x := s.Newest("")
	if x == nil || len(x.Parts) == 0 {
		return query.Shard{}, nil, wire.Refuse(wire.StepDispatch, "", wire.ReasonVersion, "no index version is published")
	}
	h := xxhash.Sum64String(key)
	part := x.Parts[h%uint64(len(x.Parts))]
	shard, _ := x.Shard(part.Shards[(h>>32)%uint64(len(part.Shards))])
	return shard, k, nil
}

func (n *Node) executeLocal(ctx context.Context, e wire.ExecuteOrder, shard query.Shard, k *conf.Kind) (wire.ExecuteResult, *wire.Failure) {
	h := n.holders.get(sliceKey{e.Service, e.Slice})
	if h == nil {
		return wire.ExecuteResult{}, wire.Refuse(wire.StepLease, n.PeerAddress().String(), wire.ReasonNoHome,
			"this node does not hold the lease of slice %d", e.Slice)
	}
	result, err := h.Execute(ctx, e, shard, k)
	if err != nil {
		return result, wire.AsFailure(err)
	}
	return result, nil
}

// servePeerExecute sends an order to a backend server on behalf of the issuer of its key. It never forwards.
func (n *Node) servePeerExecute(ctx context.Context, e wire.ExecuteOrder) (wire.ExecuteResult, error) {
	if f := n.checkReady(); f != nil {
		return wire.ExecuteResult{}, f
	}
	shard, kind, f := n.orderShard(e.Service, e.Kind, e.Key)
	if f != nil {
		return wire.ExecuteResult{}, f
	}
	if shard.Slice != e.Slice {
		return wire.ExecuteResult{}, wire.Refuse(wire.StepLease, n.PeerAddress().String(), wire.ReasonNoHome,
			"the configuration of this node places the order on slice %d", shard.Slice)
	}
	result, f := n.executeLocal(ctx, e, shard, kind)
	if f != nil {
		return result, f
	}
	return result, nil
}

// servePeerOrder runs or looks up an order relayed by another node. It never forwards.
func (n *Node) servePeerOrder(ctx context.Context, r wire.OrderRelay) (wire.OrderResult, error) {
	if n.active.Load() == nil {
		f := n.checkReady()
		f.Outcome, f.NotRun = wire.Unknown, false
		return wire.OrderResult{}, f
	}
	r.Deadline = r.Deadline.Add(-relayMargin)
	result, f := n.orders.handleLocal(ctx, r)
	if f != nil {
		return result, f
	}
	return result, nil
}
