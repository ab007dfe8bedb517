package fake

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
	errCrashed   = errors.New("fake: server crashed")
	errCancelled = errors.New("fake: request cancelled")
)

// job is a shard request or an order that the server processes.
type job struct {
	id      string
	service string
	shard   string
	// version is empty for an order; key is empty for a shard request.
	version  string
	key      string
	text     string
	deadline time.Time
	query    *wire.ShardQuery
	order    *wire.BackendOrder

	incarnation *incarnation
	wait        chan struct{}
	faults      requestFaults
	cancel      context.CancelCauseFunc
	done        chan struct{}
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

// readJob decodes the body into v and reads the headers. It reads the body to the end, because the
// HTTP server detects a closed connection only after that.
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

// perform admits a request, waits for a slot, runs it for its simulated latency and sends the
// response.
func (s *Server) perform(w http.ResponseWriter, r *http.Request, j *job) {
	if s.applySilentAfter(r) {
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
	defer context.AfterFunc(j.incarnation.ctx, func() { cancel(errCrashed) })()
	ctx, stop := s.withDeadline(ctx, j)
	defer stop()
	if err := s.waitForSlot(ctx, j); err != nil {
		s.abort(w, r, j, err, true)
		return
	}
	if err := s.execute(ctx, j); err != nil {
		s.abort(w, r, j, err, false)
		return
	}
	s.send(w, r, s.buildReply(j))
}

// accept checks and admits the request. It returns false and the reason if the request is refused
// without being run, and panics with http.ErrAbortHandler while the server is down.
func (s *Server) accept(j *job, now time.Time) (wire.BackendReason, bool) {
	s.mu.Lock()
	down := s.incarnation == nil
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

// acceptLocked implements accept. If the request crashes the server, it returns the listener, which the
// caller must stop after unlocking s.mu.
func (s *Server) acceptLocked(j *job, now time.Time) (*listener, wire.BackendReason, bool) {
	in := s.incarnation
	j.incarnation = in
	j.faults = s.drawRequestFaults(j, s.faults)
	s.record.addReceived(now, s.draining)
	if reason := s.refusalReason(j, now); reason != "" {
		return nil, reason, false
	}
	wait, ok := in.admit()
	if !ok {
		return nil, wire.BackendShed, false
	}
	j.wait = wait
	in.jobs[j] = struct{}{}
	s.record.addAdmitted(now, in)
	s.recordHealth(now)
	if !in.overloaded() {
		return nil, "", true
	}
	in.excess++
	if in.excess < s.config.CrashAfter {
		return nil, "", true
	}
	return s.crash(), "", true
}

// refusalReason returns the reason for refusing a request before admission, or an empty reason.
func (s *Server) refusalReason(j *job, now time.Time) wire.BackendReason {
	switch {
	case !now.Add(s.faults.ClockAhead.Std()).Before(j.deadline):
		return wire.BackendDeadline
	case s.draining:
		return wire.BackendDraining
	case j.order == nil && !s.hasVersion(j.version):
		return wire.BackendVersion
	case j.order == nil && !s.hasShard(j.version, j.shard):
		return wire.BackendBadRequest
	case j.faults.shed:
		return wire.BackendShed
	case s.faults.ShedCold && !s.incarnation.warm && s.incarnation.active() >= s.incarnation.concurrencyLimit():
		return wire.BackendCold
	}
	return ""
}

func (s *Server) hasVersion(version string) bool {
	for _, i := range s.indexes {
		if i.Version == version {
			return true
		}
	}
	return len(s.indexes) == 0
}

func (s *Server) hasShard(version, shard string) bool {
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
	if j.faults.hang {
		return ctx, func() {}
	}
	s.mu.Lock()
	ahead := s.faults.ClockAhead.Std()
	s.mu.Unlock()
	return context.WithDeadline(ctx, j.deadline.Add(-ahead))
}

// waitForSlot waits until the request has a slot. On error the request has not run and holds no slot.
func (s *Server) waitForSlot(ctx context.Context, j *job) error {
	if j.wait != nil {
		select {
		case <-j.wait:
		case <-ctx.Done():
		}
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	err := context.Cause(ctx)
	if j.incarnation != s.incarnation {
		err = errCrashed
	}
	if err != nil {
		delete(j.incarnation.jobs, j)
		if j.wait == nil {
			j.incarnation.release()
		} else {
			j.incarnation.abandonQueue(j.wait)
		}
		s.recordHealth(time.Now())
		return err
	}
	s.record.addRun(time.Now(), j)
	return nil
}

// execute runs the request in its slot. The request has already been recorded as run, whether it
// completes or not.
func (s *Server) execute(ctx context.Context, j *job) error {
	if j.faults.crash {
		s.Crash()
		return errCrashed
	}
	s.mu.Lock()
	d := time.Duration(float64(j.faults.latency) * j.incarnation.latencyFactor())
	s.mu.Unlock()
	if j.faults.hang {
		<-ctx.Done()
	}
	ok := clock.Sleep(ctx, d)
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Now()
	delete(j.incarnation.jobs, j)
	if ok && j.incarnation == s.incarnation && j.incarnation.finish() {
		s.record.endCold(now)
	}
	j.incarnation.release()
	s.recordHealth(now)
	if !ok {
		return context.Cause(ctx)
	}
	s.record.addAnswer(j)
	return nil
}

// abort ends a request that was cancelled, exceeded its deadline or was interrupted by a crash. After a
// crash it panics with http.ErrAbortHandler.
func (s *Server) abort(w http.ResponseWriter, r *http.Request, j *job, err error, notRun bool) {
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
	f := wire.BackendFailure{RequestID: j.id, Reason: reason, Incarnation: j.incarnation.name}
	s.send(w, r, newReply(statusOf(reason), f))
}

// refuse responds that the request has not run, with the reason.
func (s *Server) refuse(w http.ResponseWriter, r *http.Request, reason wire.BackendReason) {
	s.mu.Lock()
	s.record.NotRun[reason]++
	f := wire.BackendFailure{RequestID: r.Header.Get(wire.HeaderRequestID), NotRun: true, Reason: reason}
	if s.incarnation != nil {
		f.Incarnation = s.incarnation.name
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

// postCancel cancels the requests with the given ID and shard, or all with the ID if no shard is given.
// It responds after they have stopped, so that the caller can reuse their slots.
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
	if s.incarnation != nil {
		for j := range s.incarnation.jobs {
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
