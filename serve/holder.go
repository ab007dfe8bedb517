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

// sliceHolder runs the scheduler of one slice on its lease holder: it executes the actions of the scheduler and reports
// their results to it.
type sliceHolder struct {
	node *Node
	key  sliceKey

	mu        sync.Mutex
	scheduler *sched.Slice
	jobs      map[sched.JobID]*job
	attempts  map[sched.AttemptID]context.CancelFunc
	timer     *time.Timer
	timerDue  time.Time
	// draining is set while the lease is being handed over.
	draining      bool
	newestVersion string
	closed        bool
}

// job is a query or an order that the scheduler has not finished; exactly one of query and order is set.
type job struct {
	requestID string
	query     *wire.SliceQuery
	gather    *query.Gather
	order     *wire.ExecuteOrder
	result    json.RawMessage
	server    netip.AddrPort
	sends     int
	done      chan sched.Finished
}

func newSliceHolder(n *Node, k sliceKey, s *sched.Slice) *sliceHolder {
	h := &sliceHolder{
		node: n, key: k, scheduler: s,
		jobs: make(map[sched.JobID]*job), attempts: make(map[sched.AttemptID]context.CancelFunc),
	}
	h.timer = time.AfterFunc(time.Hour, h.tick)
	return h
}

func (h *sliceHolder) close() {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.closed = true
	h.timer.Stop()
	for _, cancel := range h.attempts {
		cancel()
	}
}

func (h *sliceHolder) setLease(end time.Time, gained bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if gained {
		h.scheduler.MarkAllCold()
		h.scheduler.Resume()
		h.draining = false
	}
	h.scheduler.SetLease(end)
}

func (h *sliceHolder) update(p conf.Preset, newestVersion string, views []sched.ServerView) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.newestVersion != newestVersion {
		h.newestVersion = newestVersion
		h.scheduler.ClearSuccesses()
	}
	h.scheduler.SetPreset(p)
	h.apply(h.scheduler.SetServers(time.Now(), views))
}

func (h *sliceHolder) applyMark(m guard.PoisonMark) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.scheduler.MergeMark(time.Now(), m)
}

// handOverLease stops admitting requests if the lease must move to another node, and releases the lease once all
// admitted requests have finished.
func (h *sliceHolder) handOverLease() {
	p := h.node.peer
	drain := p.Draining(h.key.service, h.key.slice)
	h.mu.Lock()
	if !drain {
		if h.draining {
			h.draining = false
			h.scheduler.Resume()
		}
		h.mu.Unlock()
		return
	}
	if !h.draining {
		h.draining = true
		h.apply(h.scheduler.Drain())
		h.node.log.Info("handing over the lease", "Service", h.key.service, "Slice", h.key.slice, "Busy", h.scheduler.Unfinished())
	}
	idle := h.scheduler.Unfinished() == 0 && h.scheduler.Outstanding() == 0
	h.mu.Unlock()
	if idle {
		p.Release(h.key.service, h.key.slice)
	}
}

// Query runs a query on the slice. Errors are of type *wire.Failure.
func (h *sliceHolder) Query(ctx context.Context, q wire.SliceQuery) (wire.SliceResult, error) {
	r, f := h.newRequest(&q)
	if f != nil {
		return wire.SliceResult{}, f
	}
	j := &job{
		requestID: q.RequestID, query: &q, gather: query.NewGather(&q), done: make(chan sched.Finished, 1),
	}
	end, err := h.submit(ctx, r, j)
	if err != nil {
		return wire.SliceResult{}, err
	}
	if end.Failure != nil {
		return wire.SliceResult{}, end.Failure
	}
	for _, m := range end.Missing {
		j.gather.Fail(m.Shard, m.Reason)
	}
	p := j.gather.Partial()
	p.Sends = j.sends
	p.Sent, p.StaleVersion = end.Sent || len(p.Covered) > 0, end.Stale
	return p, nil
}

func (h *sliceHolder) newRequest(q *wire.SliceQuery) (sched.Request, *wire.Failure) {
	v := h.node.active.Load()
	service := v.catalog.Service(h.key.service)
	if service == nil {
		return sched.Request{}, h.refuse(wire.ReasonNotFound, "unknown service")
	}
	kind, index := service.Kind(q.Kind), service.Index(q.IndexVersion)
	if kind == nil || !kind.Idempotent {
		return sched.Request{}, h.refuse(wire.ReasonBadRequest, "kind does not allow queries")
	}
	if index == nil {
		return sched.Request{}, h.refuse(wire.ReasonVersion, "index version is not published")
	}
	r := sched.Request{
		RequestID: q.RequestID, Kind: q.Kind,
		Worth: effectiveWorth(v.catalog.Document.ActivePreset(), kind), Deadline: q.Deadline,
		Idempotent: true, Fingerprint: guard.FingerprintOf(q.Service, q.Kind, q.Query), SkipCanary: q.SkipCanary,
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

func (h *sliceHolder) refuse(reason wire.Reason, text string) *wire.Failure {
	return wire.Refuse(wire.StepAdmit, h.node.PeerAddress().String(), reason, "%s", text)
}

// effectiveWorth returns the worth of a kind, multiplied by its factor in the active preset if there is one.
func effectiveWorth(p conf.Preset, k *conf.Kind) float64 {
	if f, ok := p.Worth[k.Name]; ok {
		return f * k.Worth
	}
	return k.Worth
}

// Execute sends an order to a backend server of the slice. Errors are of type *wire.Failure.
func (h *sliceHolder) Execute(
	ctx context.Context, e wire.ExecuteOrder, shard query.Shard, kind *conf.Kind,
) (wire.ExecuteResult, error) {
	j := &job{requestID: e.RequestID, order: &e, done: make(chan sched.Finished, 1)}
	end, err := h.submit(ctx, sched.Request{
		RequestID: e.RequestID, Kind: e.Kind,
		Worth:    effectiveWorth(h.node.active.Load().catalog.Document.ActivePreset(), kind),
		Deadline: e.Deadline, Fingerprint: guard.FingerprintOf(e.Service, e.Kind, []byte(e.Body)),
		Tasks: []sched.Task{{Shard: shard.Name, Servers: shard.Servers}},
	}, j)
	if err != nil {
		return wire.ExecuteResult{}, err
	}
	if end.Failure != nil {
		return wire.ExecuteResult{}, end.Failure
	}
	return wire.ExecuteResult{Key: e.Key, Server: j.server.String(), Result: j.result}, nil
}

// submit schedules a request and waits until it finishes. A request whose ctx is canceled continues to run until its
// deadline.
func (h *sliceHolder) submit(ctx context.Context, r sched.Request, j *job) (sched.Finished, error) {
	h.mu.Lock()
	id, out := h.scheduler.Submit(time.Now(), r)
	h.jobs[id] = j
	h.apply(out)
	h.mu.Unlock()
	select {
	case end := <-j.done:
		return end, nil
	case <-ctx.Done():
		return sched.Finished{}, wire.UnknownOutcome(
			wire.StepScatter, h.node.PeerAddress().String(), wire.ReasonDeadline, "%v", ctx.Err())
	}
}

func (h *sliceHolder) tick() {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.timerDue = time.Time{}
	h.apply(h.scheduler.Tick(time.Now()))
}

// apply executes the actions of the scheduler. h.mu must be held.
func (h *sliceHolder) apply(out sched.Actions) {
	for _, e := range out.Events {
		h.node.decisions.Add(e.RequestID, Decision{Name: e.Name, Peer: formatAddress(e.Server), Detail: e.Detail})
	}
	for _, m := range out.PoisonMarks {
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
	h.resetTimer()
}

func (h *sliceHolder) resetTimer() {
	due := h.scheduler.NextTick()
	if due.IsZero() || h.closed || (!h.timerDue.IsZero() && !due.Before(h.timerDue)) {
		return
	}
	h.timerDue = due
	h.timer.Reset(max(0, time.Until(due)))
}

func (h *sliceHolder) finish(f sched.Finished) {
	j := h.jobs[f.Job]
	if j == nil {
		return
	}
	delete(h.jobs, f.Job)
	if f.Failure != nil {
		f.Failure.Peer = h.node.PeerAddress().String()
		h.node.decisions.Add(j.requestID, Decision{Name: "refused", Detail: f.Failure.Error()})
	}
	j.done <- f
}

func (h *sliceHolder) send(s sched.Send) {
	j := h.jobs[s.Job]
	h.node.metrics.Count("shard_requests", "purpose", string(s.Purpose))
	h.node.decisions.Add(s.RequestID, Decision{
		Name: "send " + string(s.Purpose), Peer: s.Server.String(), Shard: s.Shard,
	})
	ctx, cancel := context.WithCancel(context.Background())
	h.attempts[s.Attempt] = cancel
	if j != nil {
		j.sends++
	}
	go func() {
		defer cancel()
		if j == nil {
			h.attemptDone(s, nil, sched.Result{Outcome: sched.Unsent}, nil)
			return
		}
		if j.order != nil {
			h.sendOrder(ctx, s, j)
			return
		}
		h.sendQuery(ctx, s, j)
	}()
}

func (h *sliceHolder) sendQuery(ctx context.Context, s sched.Send, j *job) {
	q := j.query
	answer, r := h.node.backend.Query(ctx, s.Server, s.Deadline, wire.ShardQuery{
		RequestID: q.RequestID, Service: q.Service, Shard: s.Shard, IndexVersion: q.IndexVersion,
		Kind: q.Kind, Query: q.Query, TopK: q.TopK,
	})
	h.attemptDone(s, j, schedResult(r), func() { j.gather.Accept(&answer) })
}

func (h *sliceHolder) sendOrder(ctx context.Context, s sched.Send, j *job) {
	e := j.order
	answer, r := h.node.backend.Order(ctx, s.Server, s.Deadline, wire.BackendOrder{
		Key: e.Key, Service: e.Service, Shard: s.Shard, Kind: e.Kind, Body: e.Body,
	})
	h.attemptDone(s, j, schedResult(r), func() { j.result, j.server = answer.Result, s.Server })
}

// attemptDone reports the result of an attempt to the scheduler. The response is stored only if the scheduler
// accepts it as the first for its shard, and before apply, which may finish the request.
func (h *sliceHolder) attemptDone(s sched.Send, j *job, r sched.Result, accept func()) {
	h.mu.Lock()
	defer h.mu.Unlock()
	delete(h.attempts, s.Attempt)
	out := h.scheduler.Done(time.Now(), s.Attempt, r)
	if out.Accepted && j != nil {
		accept()
	}
	if r.Outcome != sched.OK && r.Outcome != sched.Cancelled {
		h.node.metrics.Count("shard_failures", "class", string(r.Outcome))
		h.node.decisions.Add(s.RequestID, Decision{
			Name: "failed " + string(r.Outcome), Peer: s.Server.String(), Shard: s.Shard, Detail: r.Detail,
		})
	}
	h.apply(out)
}

var outcomes = map[back.Outcome]sched.Outcome{
	back.OK: sched.OK, back.NotRun: sched.NotRun, back.Unsent: sched.Unsent, back.Broken: sched.Broken,
	back.Crashed: sched.Crashed, back.TimedOut: sched.TimedOut, back.Silent: sched.Silent,
	back.Invalid: sched.Invalid, back.Canceled: sched.Cancelled,
}

func schedResult(r back.Result) sched.Result {
	return sched.Result{
		Outcome: outcomes[r.Outcome], Reason: r.Reason, Local: r.Local, Incarnation: r.Incarnation,
		Warm: r.Warm, Draining: r.Draining,
		Detail: r.Message,
	}
}
