package stand

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"time"

	"github.com/arbutusthread/arbutusthread/clock"
	"github.com/arbutusthread/arbutusthread/wire"
	"github.com/cockroachdb/errors"
)

var (
	errCrashed   = errors.New("stand: server crashed")
	errCancelled = errors.New("stand: request cancelled")
)

// job is a shard request or an order on its way through the server.
type job struct {
	id      string
	service string
	shard   string
	// version is empty for an order, key is empty for a query.
	version  string
	key      string
	text     string
	deadline time.Time
	query    *wire.ShardQuery
	order    *wire.BackendOrder

	life   *life
	wait   chan struct{}
	drawn  drawnFaults
	cancel context.CancelCauseFunc
	done   chan struct{}
}

func (s *Server) postShard(w http.ResponseWriter, r *http.Request) {
	var q wire.ShardQuery
	j, ok := readJob(r, &q)
	if !ok || q.RequestID == "" || j.id != q.RequestID {
		s.refuse(w, r, wire.BackendBadRequest)
		return
	}
	j.service, j.shard, j.version, j.text, j.query = q.Service, q.Shard, q.IndexVersion, q.Query, &q
	s.perform(w, r, j)
}

func (s *Server) postOrder(w http.ResponseWriter, r *http.Request) {
	var o wire.BackendOrder
	j, ok := readJob(r, &o)
	if !ok || o.Key == "" || j.id == "" {
		s.refuse(w, r, wire.BackendBadRequest)
		return
	}
	j.service, j.shard, j.key, j.text, j.order = o.Service, o.Shard, o.Key, string(o.Body), &o
	s.perform(w, r, j)
}

// readJob decodes the body into v and reads the headers. The body is read to its end, because the
// HTTP server notices a closed connection only after that.
func readJob(r *http.Request, v any) (*job, bool) {
	raw, err := io.ReadAll(io.LimitReader(r.Body, maxBody))
	if err != nil || json.Unmarshal(raw, v) != nil {
		return nil, false
	}
	deadline, err := time.Parse(time.RFC3339Nano, r.Header.Get(wire.HeaderDeadline))
	if err != nil {
		return nil, false
	}
	return &job{id: r.Header.Get(wire.HeaderRequestID), deadline: deadline, done: make(chan struct{})}, true
}

// perform takes a request through admission, its slot and its latency to the answer.
func (s *Server) perform(w http.ResponseWriter, r *http.Request, j *job) {
	if s.swallow(r) {
		return
	}
	ctx, cancel := context.WithCancelCause(r.Context())
	defer cancel(nil)
	j.cancel = cancel
	if reason, ok := s.accept(j, time.Now()); !ok {
		s.refuse(w, r, reason)
		return
	}
	defer close(j.done)
	defer context.AfterFunc(j.life.ctx, func() { cancel(errCrashed) })()
	ctx, stop := s.withDeadline(ctx, j)
	defer stop()
	if err := s.await(ctx, j); err != nil {
		s.cutOff(w, r, j, err, true)
		return
	}
	if err := s.execute(ctx, j); err != nil {
		s.cutOff(w, r, j, err, false)
		return
	}
	s.send(w, r, s.result(j))
}

// accept makes the checks that come before admission and admits the request. It returns why the
// request was refused as not run.
func (s *Server) accept(j *job, now time.Time) (wire.BackendReason, bool) {
	s.mu.Lock()
	down := s.life == nil
	var l *listener
	var reason wire.BackendReason
	var ok bool
	if !down {
		l, reason, ok = s.acceptLocked(j, now)
	}
	s.mu.Unlock()
	if down {
		panic(http.ErrAbortHandler)
	}
	if l != nil {
		l.stop()
	}
	return reason, ok
}

// acceptLocked is accept without stopping the listener that it returns after a crash.
func (s *Server) acceptLocked(j *job, now time.Time) (*listener, wire.BackendReason, bool) {
	l := s.life
	j.life = l
	j.drawn = s.drawFaults(j, s.faults)
	s.record.arrive(now, s.draining)
	if reason := s.check(j, now); reason != "" {
		return nil, reason, false
	}
	wait, ok := l.admit()
	if !ok {
		return nil, wire.BackendShed, false
	}
	j.wait = wait
	l.inWork[j] = struct{}{}
	s.record.admit(now, l)
	s.note(now)
	if !l.overloaded() {
		return nil, "", true
	}
	l.excess++
	if l.excess < s.config.CrashAfter {
		return nil, "", true
	}
	return s.crash(), "", true
}

// check returns why a request is refused before admission, or an empty reason.
func (s *Server) check(j *job, now time.Time) wire.BackendReason {
	switch {
	case !now.Add(s.faults.ClockAhead.Std()).Before(j.deadline):
		return wire.BackendDeadline
	case s.draining:
		return wire.BackendDraining
	case j.order == nil && !s.holds(j.version):
		return wire.BackendVersion
	case j.order == nil && !s.holdsShard(j.version, j.shard):
		return wire.BackendBadRequest
	case j.drawn.shed:
		return wire.BackendShed
	case s.faults.ShedCold && !s.life.warm && s.life.active() >= s.life.bears():
		return wire.BackendCold
	}
	return ""
}

func (s *Server) holds(version string) bool {
	for _, i := range s.indexes {
		if i.Version == version {
			return true
		}
	}
	return len(s.indexes) == 0
}

func (s *Server) holdsShard(version, shard string) bool {
	for _, i := range s.indexes {
		if i.Version != version || len(i.Shards) == 0 {
			continue
		}
		for _, h := range i.Shards {
			if h == shard {
				return true
			}
		}
		return false
	}
	return true
}

func (s *Server) withDeadline(ctx context.Context, j *job) (context.Context, context.CancelFunc) {
	if j.drawn.hang {
		return ctx, func() {}
	}
	s.mu.Lock()
	ahead := s.faults.ClockAhead.Std()
	s.mu.Unlock()
	return context.WithDeadline(ctx, j.deadline.Add(-ahead))
}

// await waits for the slot. After an error the request has not run and holds no slot.
func (s *Server) await(ctx context.Context, j *job) error {
	if j.wait != nil {
		select {
		case <-j.wait:
		case <-ctx.Done():
		}
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	err := context.Cause(ctx)
	if j.life != s.life {
		err = errCrashed
	}
	if err != nil {
		delete(j.life.inWork, j)
		if j.wait == nil {
			j.life.release()
		} else {
			j.life.abandon(j.wait)
		}
		s.note(time.Now())
		return err
	}
	s.record.run(time.Now(), j)
	return nil
}

// execute runs the request in its slot. An order counts as run from its start.
func (s *Server) execute(ctx context.Context, j *job) error {
	if j.drawn.crash {
		s.Crash()
		return errCrashed
	}
	s.mu.Lock()
	d := time.Duration(float64(j.drawn.latency) * j.life.factor())
	s.mu.Unlock()
	if j.drawn.hang {
		<-ctx.Done()
	}
	ok := clock.Sleep(ctx, d)
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Now()
	delete(j.life.inWork, j)
	if ok && j.life == s.life && j.life.finish() {
		s.record.endCold(now)
	}
	j.life.release()
	s.note(now)
	if !ok {
		return context.Cause(ctx)
	}
	s.record.answer(j)
	return nil
}

// cutOff ends a request that was cancelled, passed its deadline or lost its server.
func (s *Server) cutOff(w http.ResponseWriter, r *http.Request, j *job, err error, notRun bool) {
	if errors.Is(err, errCrashed) {
		panic(http.ErrAbortHandler)
	}
	reason := wire.BackendCancelled
	s.mu.Lock()
	if errors.Is(err, context.DeadlineExceeded) {
		reason = wire.BackendDeadline
		if !notRun {
			s.record.Expired++
		}
	} else {
		s.record.Cancelled++
	}
	s.mu.Unlock()
	if notRun {
		s.refuse(w, r, reason)
		return
	}
	f := wire.BackendFailure{RequestID: j.id, Reason: reason, Incarnation: j.life.incarnation}
	s.send(w, r, newReply(statusOf(reason), f))
}

// refuse answers that the request has not run.
func (s *Server) refuse(w http.ResponseWriter, r *http.Request, reason wire.BackendReason) {
	s.mu.Lock()
	s.record.NotRun[reason]++
	f := wire.BackendFailure{RequestID: r.Header.Get(wire.HeaderRequestID), NotRun: true, Reason: reason}
	if s.life != nil {
		f.Incarnation = s.life.incarnation
	}
	if len(s.indexes) > 0 {
		f.IndexVersion = s.indexes[0].Version
	}
	s.mu.Unlock()
	s.send(w, r, newReply(statusOf(reason), f))
}

func statusOf(reason wire.BackendReason) int {
	switch reason {
	case wire.BackendBadRequest:
		return http.StatusBadRequest
	case wire.BackendVersion:
		return http.StatusConflict
	case wire.BackendDeadline:
		return http.StatusGatewayTimeout
	}
	return http.StatusServiceUnavailable
}

// postCancel cancels the requests with the id and the shard, or all with the id when no shard is
// named. It answers when they have stopped, so that the caller may use their slots.
func (s *Server) postCancel(w http.ResponseWriter, r *http.Request) {
	var body struct {
		RequestID string `json:"RequestId"`
		Shard     string `json:"Shard"`
	}
	if !readJSON(w, r, &body) {
		return
	}
	var found []*job
	s.mu.Lock()
	if s.life != nil {
		for j := range s.life.inWork {
			if j.id == body.RequestID && (body.Shard == "" || j.shard == body.Shard) {
				found = append(found, j)
			}
		}
	}
	s.mu.Unlock()
	for _, j := range found {
		j.cancel(errCancelled)
	}
	for _, j := range found {
		select {
		case <-j.done:
		case <-r.Context().Done():
			return
		}
	}
	writeJSON(w, struct {
		Cancelled int `json:"Cancelled"`
	}{len(found)})
}
