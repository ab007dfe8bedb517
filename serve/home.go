package serve

import (
	"context"
	"encoding/json"
	"net/netip"
	"sync"
	"time"

	"github.com/arbutusthread/arbutusthread/back"
	"github.com/arbutusthread/arbutusthread/conf"
	"github.com/arbutusthread/arbutusthread/guard"
	"github.com/arbutusthread/arbutusthread/query"
	"github.com/arbutusthread/arbutusthread/sched"
	"github.com/arbutusthread/arbutusthread/wire"
)

// home runs the scheduler of one slice: it carries out its actions and reports their results.
type home struct {
	node *Node
	key  sliceKey

	mu       sync.Mutex
	slice    *sched.Slice
	jobs     map[sched.JobID]*work
	attempts map[sched.AttemptID]context.CancelFunc
	timer    *time.Timer
	wake     time.Time
	// draining means that the lease is being handed over.
	draining bool
	// newest is the newest index version of the service.
	newest string
	closed bool
}

// work is a request at a home.
type work struct {
	requestID string
	query     *wire.SliceQuery
	gather    *query.Gather
	order     *wire.Execute
	result    json.RawMessage
	server    netip.AddrPort
	sends     int
	done      chan sched.Finished
}

func newHome(n *Node, k sliceKey, s *sched.Slice) *home {
	h := &home{
		node: n, key: k, slice: s,
		jobs: make(map[sched.JobID]*work), attempts: make(map[sched.AttemptID]context.CancelFunc),
	}
	h.timer = time.AfterFunc(time.Hour, h.tick)
	return h
}

func (h *home) close() {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.closed = true
	h.timer.Stop()
	for _, cancel := range h.attempts {
		cancel()
	}
}

func (h *home) setLease(end time.Time, gained bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if gained {
		h.slice.Restart()
		h.slice.Resume()
		h.draining = false
	}
	h.slice.SetLease(end)
}

func (h *home) update(p conf.Preset, newest string, views []sched.ServerView) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.newest != newest {
		h.newest = newest
		h.slice.ClearProven()
	}
	h.slice.SetPreset(p)
	h.apply(h.slice.SetServers(time.Now(), views))
}

func (h *home) merge(m guard.Note) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.slice.Merge(time.Now(), m)
}

// handOver stops new work when the lease must go to another node, and releases it once the admitted
// work has ended.
func (h *home) handOver() {
	p := h.node.peer
	drain := p.Draining(h.key.service, h.key.slice)
	h.mu.Lock()
	if !drain {
		if h.draining {
			h.draining = false
			h.slice.Resume()
		}
		h.mu.Unlock()
		return
	}
	if !h.draining {
		h.draining = true
		h.apply(h.slice.Drain())
		h.node.log.Info("handing over the lease", "Service", h.key.service, "Slice", h.key.slice, "Busy", h.slice.Busy())
	}
	idle := h.slice.Busy() == 0 && h.slice.Outstanding() == 0
	h.mu.Unlock()
	if idle {
		p.Release(h.key.service, h.key.slice)
	}
}

// Query runs a query on the slice.
func (h *home) Query(ctx context.Context, q wire.SliceQuery) (wire.SlicePartial, error) {
	r, f := h.request(&q)
	if f != nil {
		return wire.SlicePartial{}, f
	}
	w := &work{
		requestID: q.RequestID, query: &q, gather: query.NewGather(&q), done: make(chan sched.Finished, 1),
	}
	end, err := h.submit(ctx, r, w)
	if err != nil {
		return wire.SlicePartial{}, err
	}
	if end.Failure != nil {
		return wire.SlicePartial{}, end.Failure
	}
	for _, m := range end.Missing {
		w.gather.Miss(m.Shard, m.Reason)
	}
	p := w.gather.Partial()
	p.Sends = w.sends
	p.Sent, p.StaleVersion = end.Sent || len(p.Covered) > 0, end.Stale
	return p, nil
}

func (h *home) request(q *wire.SliceQuery) (sched.Request, *wire.Failure) {
	v := h.node.view.Load()
	service := v.catalog.Service(h.key.service)
	if service == nil {
		return sched.Request{}, h.refuse(wire.ReasonNotFound, "unknown service")
	}
	kind, index := service.Kind(q.Kind), service.Index(q.IndexVersion)
	if kind == nil || !kind.Idempotent {
		return sched.Request{}, h.refuse(wire.ReasonBadRequest, "kind cannot be queried")
	}
	if index == nil {
		return sched.Request{}, h.refuse(wire.ReasonVersion, "index version is not published")
	}
	r := sched.Request{
		RequestID: q.RequestID, Kind: q.Kind, Worth: worth(v.catalog.Document.InForce(), kind), Deadline: q.Deadline,
		Idempotent: true, Fingerprint: guard.FingerprintOf(q.Service, q.Kind, q.Query), Proven: q.Proven,
		Tasks: make([]sched.Task, 0, len(q.Shards)),
	}
	for _, name := range q.Shards {
		s, ok := index.Shard(name)
		if !ok || s.Slice != h.key.slice {
			return sched.Request{}, h.refuse(wire.ReasonVersion, "shard does not belong to the slice")
		}
		r.Tasks = append(r.Tasks, sched.Task{Shard: s.Name, Servers: s.Servers})
	}
	return r, nil
}

func (h *home) refuse(reason wire.Reason, text string) *wire.Failure {
	return wire.Refuse(wire.StepAdmit, h.node.PeerAddress().String(), reason, "%s", text)
}

// worth is the worth of a kind under the preset in force.
func worth(p conf.Preset, k *conf.Kind) float64 {
	if f, ok := p.Worth[k.Name]; ok {
		return f * k.Worth
	}
	return k.Worth
}

// Execute sends an order to a backend server of the slice.
func (h *home) Execute(ctx context.Context, e wire.Execute, shard query.Shard, kind *conf.Kind) (wire.ExecuteResult, error) {
	w := &work{requestID: e.RequestID, order: &e, done: make(chan sched.Finished, 1)}
	end, err := h.submit(ctx, sched.Request{
		RequestID: e.RequestID, Kind: e.Kind, Worth: worth(h.node.view.Load().catalog.Document.InForce(), kind),
		Deadline: e.Deadline, Fingerprint: guard.FingerprintOf(e.Service, e.Kind, []byte(e.Body)),
		Tasks: []sched.Task{{Shard: shard.Name, Servers: shard.Servers}},
	}, w)
	if err != nil {
		return wire.ExecuteResult{}, err
	}
	if end.Failure != nil {
		return wire.ExecuteResult{}, end.Failure
	}
	return wire.ExecuteResult{Key: e.Key, Server: w.server.String(), Result: w.result}, nil
}

// submit waits for the end of a request. A query whose planner has gone away runs to its deadline.
func (h *home) submit(ctx context.Context, r sched.Request, w *work) (sched.Finished, error) {
	h.mu.Lock()
	id, out := h.slice.Submit(time.Now(), r)
	h.jobs[id] = w
	h.apply(out)
	h.mu.Unlock()
	select {
	case end := <-w.done:
		return end, nil
	case <-ctx.Done():
		return sched.Finished{}, wire.Uncertain(wire.StepScatter, h.node.PeerAddress().String(), wire.ReasonDeadline, "%v", ctx.Err())
	}
}

func (h *home) tick() {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.wake = time.Time{}
	h.apply(h.slice.Tick(time.Now()))
}

// apply carries out the actions of the scheduler. The lock is held.
func (h *home) apply(out sched.Actions) {
	for _, e := range out.Events {
		h.node.decisions.Add(e.RequestID, Decision{Name: e.Name, Peer: peerName(e.Server), Detail: e.Detail})
	}
	for _, m := range out.Notes {
		go h.node.publishMark(m)
	}
	for _, s := range out.Sends {
		h.send(s)
	}
	for _, a := range out.Cancels {
		if cancel := h.attempts[a]; cancel != nil {
			cancel()
		}
	}
	for _, f := range out.Finished {
		h.finish(f)
	}
	h.schedule()
}

func (h *home) schedule() {
	due := h.slice.NextWake()
	if due.IsZero() || h.closed || (!h.wake.IsZero() && !due.Before(h.wake)) {
		return
	}
	h.wake = due
	h.timer.Reset(max(0, time.Until(due)))
}

func (h *home) finish(f sched.Finished) {
	w := h.jobs[f.Job]
	if w == nil {
		return
	}
	delete(h.jobs, f.Job)
	if f.Failure != nil {
		f.Failure.Peer = h.node.PeerAddress().String()
		h.node.decisions.Add(w.requestID, Decision{Name: "refused", Detail: f.Failure.Error()})
	}
	w.done <- f
}

func (h *home) send(s sched.Send) {
	w := h.jobs[s.Job]
	h.node.metrics.Count("shard_requests", "purpose", string(s.Purpose))
	h.node.decisions.Add(s.RequestID, Decision{
		Name: "send " + string(s.Purpose), Peer: s.Server.String(), Shard: s.Shard,
	})
	ctx, cancel := context.WithCancel(context.Background())
	h.attempts[s.Attempt] = cancel
	if w != nil {
		w.sends++
	}
	go func() {
		defer cancel()
		if w == nil {
			h.done(s, nil, sched.Result{Class: sched.Unsent}, nil)
			return
		}
		if w.order != nil {
			h.attemptOrder(ctx, s, w)
			return
		}
		h.attemptQuery(ctx, s, w)
	}()
}

func (h *home) attemptQuery(ctx context.Context, s sched.Send, w *work) {
	q := w.query
	answer, r := h.node.backend.Query(ctx, s.Server, s.Deadline, wire.ShardQuery{
		RequestID: q.RequestID, Service: q.Service, Shard: s.Shard, IndexVersion: q.IndexVersion,
		Kind: q.Kind, Query: q.Query, TopK: q.TopK,
	})
	h.done(s, w, result(r), func() { w.gather.Accept(&answer) })
}

func (h *home) attemptOrder(ctx context.Context, s sched.Send, w *work) {
	e := w.order
	answer, r := h.node.backend.Order(ctx, s.Server, s.Deadline, wire.BackendOrder{
		Key: e.Key, Service: e.Service, Shard: s.Shard, Kind: e.Kind, Body: e.Body,
	})
	h.done(s, w, result(r), func() { w.result, w.server = answer.Result, s.Server })
}

// done reports the end of an attempt. The answer is taken only if the scheduler accepts it as the
// first of its shard; it must be in place before the request ends.
func (h *home) done(s sched.Send, w *work, r sched.Result, accept func()) {
	h.mu.Lock()
	defer h.mu.Unlock()
	delete(h.attempts, s.Attempt)
	out := h.slice.Done(time.Now(), s.Attempt, r)
	if out.Accepted && w != nil {
		accept()
	}
	if r.Class != sched.OK && r.Class != sched.Cancelled {
		h.node.metrics.Count("shard_failures", "class", string(r.Class))
		h.node.decisions.Add(s.RequestID, Decision{
			Name: "failed " + string(r.Class), Peer: s.Server.String(), Shard: s.Shard, Detail: r.Detail,
		})
	}
	h.apply(out)
}

var classes = map[back.Class]sched.Class{
	back.OK: sched.OK, back.NotRun: sched.NotRun, back.Unsent: sched.Unsent, back.Broken: sched.Broken,
	back.Crashed: sched.Crashed, back.TimedOut: sched.TimedOut, back.Silent: sched.Silent,
	back.Invalid: sched.Invalid, back.Canceled: sched.Cancelled,
}

func result(r back.Result) sched.Result {
	return sched.Result{
		Class: classes[r.Class], Reason: r.Reason, Local: r.Local, Incarnation: r.Incarnation, Warm: r.Warm, Draining: r.Draining,
		Detail: r.Message,
	}
}
