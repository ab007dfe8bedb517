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
	// relayMargin is the time before the caller's deadline at which an issuer answers, so that
	// the answer passes the relaying node in time.
	relayMargin = 5 * time.Millisecond
	// orderTries bounds the dispatches of one order that certainly did not run.
	orderTries = 5
)

// orders runs the orders whose keys this incarnation issued.
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

// stop ends the issue of keys.
func (o *orders) stop() {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.table.Stop()
}

func (o *orders) running() int {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.table.Running()
}

// handle takes an order, or a look-up of its outcome, to the issuer of its key.
func (o *orders) handle(ctx context.Context, r wire.OrderRelay) (wire.OrderResult, *wire.Failure) {
	k, err := o.signer.Parse(r.Order.Key)
	if err != nil || k.Issuer == o.node.PeerAddress() {
		return o.here(ctx, r)
	}
	o.node.decisions.Add(r.RequestID, Decision{Name: "relay order", Peer: k.Issuer.String()})
	result, err := o.node.peer.Order(ctx, k.Issuer, r)
	if err == nil {
		return result, nil
	}
	return wire.OrderResult{}, o.relayed(wire.AsFailure(err), k)
}

// relayed states a failure to reach the issuer. This node cannot know whether the order ran when it
// was sent before, so that the failure never says "not run", unless the issuer itself said it.
func (o *orders) relayed(f *wire.Failure, k order.Key) *wire.Failure {
	if f.Peer == "" {
		f.Peer = k.Issuer.String()
	}
	switch {
	case f.Step == wire.StepRelay && !f.Forwarded:
		f.Outcome, f.NotRun = wire.Unknown, false
	case f.Step == wire.StepDecode || f.Step == wire.StepAuth || f.Step == wire.StepReady:
		// The issuer refused this attempt before it looked at the key, which an earlier attempt
		// may have started.
		f.Outcome, f.NotRun, f.Forwarded = wire.Unknown, false, false
	case f.Reason == wire.ReasonKeyForeign && f.Outcome == wire.Unknown:
		// Another incarnation runs at the address of the issuer.
		f.Forwarded = false
	}
	return f
}

// here runs or looks up an order at this node and waits for its outcome until the deadline.
func (o *orders) here(ctx context.Context, r wire.OrderRelay) (wire.OrderResult, *wire.Failure) {
	q := order.Request{Key: r.Order.Key, Service: r.Service, Caller: r.Caller, Kind: r.Order.Kind, Body: r.Order.Body}
	out := o.begin(q, r)
	for out.State == order.Running && !r.LookUp {
		select {
		case <-out.Settled:
			out = o.lookUp(q)
		case <-ctx.Done():
			return wire.OrderResult{}, o.late(wire.ReasonDeadline)
		case <-time.After(time.Until(r.Deadline)):
			return wire.OrderResult{}, o.late(wire.ReasonDeadline)
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
	return wire.OrderResult{}, o.late(wire.ReasonDeadline)
}

func (o *orders) late(reason wire.Reason) *wire.Failure {
	return wire.Uncertain(wire.StepDispatch, o.node.PeerAddress().String(), reason,
		"the order has no outcome yet; ask for it with the same key")
}

func (o *orders) begin(q order.Request, r wire.OrderRelay) order.Outcome {
	o.mu.Lock()
	defer o.mu.Unlock()
	if r.LookUp {
		return o.table.LookUp(time.Now(), q)
	}
	out := o.table.Start(time.Now(), q)
	if out.Run {
		// The order goes on when its caller goes away: the key is spent either way.
		go o.run(out.Attempt, r)
	}
	return out
}

func (o *orders) lookUp(q order.Request) order.Outcome {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.table.LookUp(time.Now(), q)
}

// run dispatches an order until it has an outcome. Another dispatch follows only one that
// certainly did not run.
func (o *orders) run(a order.Attempt, r wire.OrderRelay) {
	ctx, cancel := context.WithDeadline(context.Background(), r.Deadline)
	defer cancel()
	for try := 1; ; try++ {
		result, f := o.dispatch(ctx, r)
		now := time.Now()
		o.mu.Lock()
		switch {
		case f == nil:
			o.table.Finish(now, a, result.Result)
		case !f.NotRun:
			o.table.Lose(now, a)
		case try >= orderTries || !retriesOrder(f) || !now.Add(homeRetry).Before(r.Deadline):
			o.table.Close(now, a, f)
		default:
			next, ok := o.table.Retry(now, a, f)
			o.mu.Unlock()
			if !ok {
				return
			}
			a = next
			clock.Sleep(ctx, homeRetry*time.Duration(try))
			continue
		}
		o.mu.Unlock()
		return
	}
}

func retriesOrder(f *wire.Failure) bool {
	switch f.Reason {
	case wire.ReasonNoHome, wire.ReasonNotReady, wire.ReasonStopping, wire.ReasonPeer, wire.ReasonNoServer,
		wire.ReasonBackend, wire.ReasonOverload:
		return true
	}
	return false
}

// dispatch sends the order through the home of its slice.
func (o *orders) dispatch(ctx context.Context, r wire.OrderRelay) (wire.ExecuteResult, *wire.Failure) {
	n := o.node
	shard, kind, f := n.orderShard(r.Service, r.Order.Kind, r.Order.Key)
	if f != nil {
		return wire.ExecuteResult{}, f
	}
	e := wire.Execute{
		RequestID: r.RequestID, Key: r.Order.Key, Service: r.Service, Slice: shard.Slice, Kind: r.Order.Kind,
		Body: r.Order.Body, Deadline: r.Deadline.Add(-relayMargin),
	}
	home, ok := n.findHome(r.RequestID, r.Service, shard.Slice)
	if !ok {
		return wire.ExecuteResult{}, wire.Refuse(wire.StepLease, "", wire.ReasonNoHome, "no node holds slice %d", shard.Slice)
	}
	if home.Address == n.PeerAddress() {
		return n.executeHere(ctx, e, shard, kind)
	}
	result, err := n.peer.Execute(ctx, home.Address, e)
	if err != nil {
		return result, wire.AsFailure(err)
	}
	return result, nil
}

// orderShard picks the shard for an order by its key, from the newest index.
func (n *Node) orderShard(service, kind, key string) (query.Shard, *conf.Kind, *wire.Failure) {
	s := n.view.Load().catalog.Service(service)
	if s == nil {
		return query.Shard{}, nil, wire.Refuse(wire.StepDispatch, "", wire.ReasonNotFound, "unknown service %q", service)
	}
	k := s.Kind(kind)
	if k == nil {
		return query.Shard{}, nil, wire.Refuse(wire.StepDispatch, "", wire.ReasonBadRequest, "Kind: unknown kind %q", kind)
	}
	x := s.Newest("")
	if x == nil || len(x.Parts) == 0 {
		return query.Shard{}, nil, wire.Refuse(wire.StepDispatch, "", wire.ReasonVersion, "no index is published")
	}
	h := xxhash.Sum64String(key)
	part := x.Parts[h%uint64(len(x.Parts))]
	shard, _ := x.Shard(part.Shards[(h>>32)%uint64(len(part.Shards))])
	return shard, k, nil
}

func (n *Node) executeHere(ctx context.Context, e wire.Execute, shard query.Shard, k *conf.Kind) (wire.ExecuteResult, *wire.Failure) {
	h := n.homes.get(sliceKey{e.Service, e.Slice})
	if h == nil {
		return wire.ExecuteResult{}, wire.Refuse(wire.StepLease, n.PeerAddress().String(), wire.ReasonNoHome,
			"this node does not hold slice %d", e.Slice)
	}
	result, err := h.Execute(ctx, e, shard, k)
	if err != nil {
		return result, wire.AsFailure(err)
	}
	return result, nil
}

// servePeerExecute sends an order for its issuer. It never forwards.
func (n *Node) servePeerExecute(ctx context.Context, e wire.Execute) (wire.ExecuteResult, error) {
	if f := n.notReady(); f != nil {
		return wire.ExecuteResult{}, f
	}
	shard, kind, f := n.orderShard(e.Service, e.Kind, e.Key)
	if f != nil {
		return wire.ExecuteResult{}, f
	}
	if shard.Slice != e.Slice {
		return wire.ExecuteResult{}, wire.Refuse(wire.StepLease, n.PeerAddress().String(), wire.ReasonNoHome,
			"the configuration here has the order on slice %d", shard.Slice)
	}
	result, f := n.executeHere(ctx, e, shard, kind)
	if f != nil {
		return result, f
	}
	return result, nil
}

// servePeerOrder runs or looks up an order that another node has relayed. It never forwards.
func (n *Node) servePeerOrder(ctx context.Context, r wire.OrderRelay) (wire.OrderResult, error) {
	if n.view.Load() == nil {
		f := n.notReady()
		f.Outcome, f.NotRun = wire.Unknown, false
		return wire.OrderResult{}, f
	}
	r.Deadline = r.Deadline.Add(-relayMargin)
	result, f := n.orders.here(ctx, r)
	if f != nil {
		return result, f
	}
	return result, nil
}
