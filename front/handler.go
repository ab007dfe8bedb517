// Package front is the HTTP front end for callers of routed requests: it reads the complete request, passes
// it to a node and writes the response. Response statuses are guarantees: 503 means that the request has not
// run.
package front

import (
	"context"
	"io"
	"log/slog"
	"net/http"
	"os"
	"strconv"
	"strings"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/arbutusthread/arbutusthread/back"
	"github.com/arbutusthread/arbutusthread/gate"
	"github.com/arbutusthread/arbutusthread/gather"
	"github.com/arbutusthread/arbutusthread/meter"
	"github.com/arbutusthread/arbutusthread/node"
	"github.com/arbutusthread/arbutusthread/table"
	"github.com/arbutusthread/arbutusthread/wire"
)

// Backend executes requests that have been read completely.
type Backend interface {
	// Table returns the active route table, or nil before the first configuration.
	Table() *table.Table
	// Serve executes a request. It returns the error of ctx if the caller has disconnected.
	Serve(ctx context.Context, r *node.Request) (node.Outcome, error)
	// Progress returns the state of a request that is being served, and false for other requests.
	Progress(r *node.Request) (node.Progress, bool)
}

// Config configures a Handler.
type Config struct {
	Backend Backend
	Headers wire.Headers
	// Cores is the processor capacity of the node, 0 for one core.
	Cores   float64
	Metrics *meter.Metrics
	Log     *slog.Logger
}

// Handler is the HTTP handler for requests of callers.
type Handler struct {
	config Config
	// routeLabels are the route names that are used as metric labels.
	routeLabels routeLabels
}

// NewHandler returns a Handler.
func NewHandler(c Config) *Handler { return &Handler{config: c} }

// unreadBodyTime is the time that callers have to send the rest of the body of a request that has been refused.
const unreadBodyTime = 500 * time.Millisecond

// notReadyRetryAfter is the Retry-After time of a node that has no configuration yet.
const notReadyRetryAfter = 500 * time.Millisecond

// ServeHTTP serves one request. It panics with http.ErrAbortHandler if the caller disconnects.
func (h *Handler) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	started := time.Now()
	c := connOf(r.Context())
	c.update(func(o *openRequest) { o.id = r.Header.Get(h.config.Headers.RequestID) })
	t := h.config.Backend.Table()
	if t == nil {
		h.refuse(w, r, http.StatusServiceUnavailable, "no configuration is known yet", notReadyRetryAfter)
		return
	}
	path, _, _ := strings.Cut(r.RequestURI, "?")
	route := t.Match(r.Host, path)
	if route == nil {
		h.refuse(w, r, http.StatusNotFound, "no route matches", 0)
		return
	}
	c.update(func(o *openRequest) { o.route = route.Name })
	deadline := route.Deadline(started, h.callerTimeout(r))
	body, status, err := h.receive(w, r, t.Config().Limits, deadline)
	if err != nil {
		h.refuseUnread(w, r, deadline, err)
		return
	}
	if status != 0 {
		h.refuse(w, r, status, "the body is too large", 0)
		return
	}
	q := h.newRequest(r, route, body, started, deadline)
	q.Version = t.Config().Version
	c.update(func(o *openRequest) { o.phase, o.backend, o.query = serving, h.config.Backend, q })
	out, err := h.config.Backend.Serve(r.Context(), q)
	if err != nil {
		// The connection is closed, so no response can be written.
		h.config.Metrics.Count("requests", "route", h.routeLabels.label(route.Name), "status", "left")
		h.logDisconnect(r.Context(), c, q, started)
		panic(http.ErrAbortHandler)
	}
	c.update(func(o *openRequest) {
		o.phase, o.mayHaveRun, o.end = writing, out.MayHaveRun || out.Answered > 0, requestEndOf(&out)
	})
	h.respond(w, r, q, &out, started)
}

// logDisconnect logs that the context of a request has ended before its answer, and who closed the connection. A request
// that was cut off by an abort has been logged there.
func (h *Handler) logDisconnect(ctx context.Context, c *callerConn, q *node.Request, started time.Time) {
	closed := c.closedBy()
	h.config.Metrics.Count("requests_disconnected", "by", closed.by)
	if c.aborted() {
		return
	}
	level, message := slog.LevelInfo, "caller disconnected"
	if closed.by == closedByNode {
		// The caller still waits for the answer.
		level, message = slog.LevelWarn, "request canceled although the caller has not disconnected"
	}
	h.config.Log.Log(ctx, level, message, "RequestId", q.Forward.RequestID, "Route", q.Route.Name,
		"Duration", time.Since(started), "ClosedBy", closed.by, "Cause", closed.cause)
}

// receive reads the body of a request until the deadline, and records that the request is complete. It returns what readBody
// returns.
func (h *Handler) receive(w http.ResponseWriter, r *http.Request, l table.Limits, deadline time.Time) ([]byte, int, error) {
	if r.Body != nil && r.Body != http.NoBody {
		setReadDeadline(w, deadline)
		defer setReadDeadline(w, time.Time{})
	}
	body, status, err := readBody(w, r, l)
	if status == 0 {
		err = gate.Received(r.Context())
	}
	return body, status, err
}

// refuseUnread refuses a request whose body cannot be read: with 503 if there is no memory for it, with 408 if it has not
// arrived by the deadline of the request, and otherwise with 400. A timeout before the deadline is that of the close of an
// idle connection.
func (h *Handler) refuseUnread(w http.ResponseWriter, r *http.Request, deadline time.Time, err error) {
	closed := connOf(r.Context()).closedBy()
	level := slog.LevelInfo
	if errors.Is(err, os.ErrDeadlineExceeded) && time.Now().Before(deadline) {
		level = slog.LevelWarn
	}
	h.config.Log.Log(r.Context(), level, "failed to read request body", "RequestId", r.Header.Get(h.config.Headers.RequestID),
		"Error", err, "ClosedBy", closed.by, "Cause", closed.cause)
	switch {
	case errors.Is(err, gate.ErrRefused):
		h.refuse(w, r, http.StatusServiceUnavailable, "too many large requests", gate.RetryAfter)
	case errors.Is(err, os.ErrDeadlineExceeded):
		h.refuse(w, r, http.StatusRequestTimeout, "the body did not arrive in time", 0)
	default:
		h.refuse(w, r, http.StatusBadRequest, "the request cannot be read", 0)
	}
}

// setReadDeadline sets the read deadline of the connection of a request, which has none if it is zero.
func setReadDeadline(w http.ResponseWriter, t time.Time) {
	// A connection without deadlines is one of a test.
	_ = http.NewResponseController(w).SetReadDeadline(t)
}

// requestEndOf returns how a request with this outcome ends.
func requestEndOf(out *node.Outcome) requestEnd {
	switch {
	case out.Stopped:
		return endStopped
	case out.End == gather.Refused:
		return endRefused
	default:
		return endAnswered
	}
}

// callerTimeout returns the time for which the caller waits, or 0 if it does not tell.
func (h *Handler) callerTimeout(r *http.Request) time.Duration {
	ms, err := strconv.ParseInt(r.Header.Get(h.config.Headers.Timeout), 10, 32)
	if err != nil || ms < 0 {
		return 0
	}
	return time.Duration(ms) * time.Millisecond
}

func (h *Handler) newRequest(r *http.Request, route *table.Route, body []byte, now, deadline time.Time) *node.Request {
	names := &h.config.Headers
	q := &node.Request{
		Route: route, Deadline: deadline.Add(-responseMargin),
		Forward: back.Forward{
			Method: r.Method, URI: r.RequestURI, Host: r.Host, Body: body,
			RequestID: r.Header.Get(names.RequestID), Header: forwardHeader(r.Header, names),
		},
	}
	if d := route.TargetLatency.Std(); d > 0 {
		q.Target = now.Add(d - targetMargin(r.Context(), d, assemblyTime(len(route.Shards), h.config.Cores)))
	}
	return q
}

const (
	// responseMargin is subtracted from the deadline of a request so that the response arrives at the caller
	// in time.
	responseMargin = 5 * time.Millisecond
	// reusedConnRoundTrips and newConnRoundTrips are the round trips to a caller that count against its
	// response-time objective: the directory lookup, the request with its response, and on a new connection
	// the TCP handshake.
	reusedConnRoundTrips = 3
	newConnRoundTrips    = 4
	// minTargetMargin, or targetMarginShare of the objective if that is longer, is reserved for processing at
	// the node.
	minTargetMargin   = 6 * time.Millisecond
	targetMarginShare = 0.05
	// partAssemblyTime is the processor time per shard to merge the answers and to write the response, on one core.
	partAssemblyTime = 6 * time.Microsecond
	// maxTargetMarginShare is the maximum margin as a share of the objective. It limits the margin for callers
	// with a long round-trip time.
	maxTargetMarginShare = 0.6
)

// assemblyTime returns the time that a node with the given number of cores, or one if it is 0, needs to assemble an
// answer from the parts of the shards. Shards are the more noticeable the smaller the node is.
func assemblyTime(shards int, cores float64) time.Duration {
	if cores <= 0 {
		cores = 1
	}
	return time.Duration(float64(shards) * float64(partAssemblyTime) / cores)
}

// targetMargin returns how long before the end of the response-time objective a response with the parts
// received so far is sent.
func targetMargin(ctx context.Context, objective, assembly time.Duration) time.Duration {
	rtt, first := roundTripTime(ctx)
	trips := reusedConnRoundTrips
	if first {
		trips = newConnRoundTrips
	}
	margin := time.Duration(trips)*rtt + max(minTargetMargin, time.Duration(targetMarginShare*float64(objective))) + assembly
	return min(margin, time.Duration(maxTargetMarginShare*float64(objective)))
}

// readBody reads the body of a request. It returns status 413 if the body exceeds the limit, 400 and the error if
// reading fails, and 0 otherwise.
func readBody(w http.ResponseWriter, r *http.Request, l table.Limits) ([]byte, int, error) {
	limit := int64(l.BodyBytes)
	if limit <= 0 {
		limit = table.DefaultBodyBytes
	}
	if r.ContentLength > limit {
		// A caller whose connection is closed while it writes does not see the response, so read up to the
		// limit first.
		setReadDeadline(w, time.Now().Add(unreadBodyTime))
		_, _ = io.CopyN(io.Discard, r.Body, limit)
		return nil, http.StatusRequestEntityTooLarge, nil
	}
	if r.Body == nil || r.Body == http.NoBody {
		return nil, 0, nil
	}
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, limit))
	var tooLarge *http.MaxBytesError
	switch {
	case errors.As(err, &tooLarge):
		return nil, http.StatusRequestEntityTooLarge, nil
	case err != nil:
		return nil, http.StatusBadRequest, err
	}
	return body, 0, nil
}

// refuse writes the error response to a request that has not run.
func (h *Handler) refuse(w http.ResponseWriter, r *http.Request, status int, reason string, retryAfter time.Duration) {
	connOf(r.Context()).update(func(o *openRequest) { o.phase, o.end = writing, endRefused })
	if r.Body != nil && r.Body != http.NoBody {
		// net/http reads the rest of the body before it writes the response.
		setReadDeadline(w, time.Now().Add(unreadBodyTime))
	}
	if retryAfter > 0 {
		w.Header().Set("Retry-After", formatSeconds(retryAfter))
	}
	h.config.Metrics.Count("requests", "route", "", "status", strconv.Itoa(status))
	h.config.Log.Info("refused", "RequestId", r.Header.Get(h.config.Headers.RequestID), "Host", r.Host, "Status", status,
		"Reason", reason, "ConfigVersion", h.configVersion())
	http.Error(w, reason, status)
}

// configVersion returns the version of the active configuration, or 0 before the first one.
func (h *Handler) configVersion() uint64 {
	if t := h.config.Backend.Table(); t != nil {
		return t.Config().Version
	}
	return 0
}

// formatSeconds formats a duration as decimal seconds, with a fraction if needed.
func formatSeconds(d time.Duration) string {
	return strconv.FormatFloat(d.Seconds(), 'f', -1, 64)
}
