// Package front serves callers of routed requests over HTTP: it reads a request whole, lets a node
// serve it and writes the answer, so that each status keeps its promise.
package front

import (
	"context"
	"io"
	"log/slog"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/arbutusthread/arbutusthread/back"
	"github.com/arbutusthread/arbutusthread/meter"
	"github.com/arbutusthread/arbutusthread/node"
	"github.com/arbutusthread/arbutusthread/table"
	"github.com/arbutusthread/arbutusthread/wire"
)

// Backend serves requests that have been read.
type Backend interface {
	// Table returns the routes in force, or nil before the first configuration.
	Table() *table.Table
	// Serve serves a request. Its error is that of ctx when the caller has left.
	Serve(ctx context.Context, r *node.Request) (node.Outcome, error)
}

// Config describes a handler.
type Config struct {
	Backend Backend
	Headers wire.Headers
	Metrics *meter.Metrics
	Log     *slog.Logger
}

// Handler serves the requests of callers.
type Handler struct {
	config Config
	// routes are those that metrics name.
	routes routeNames
}

// NewHandler returns a handler.
func NewHandler(c Config) *Handler { return &Handler{config: c} }

// notReadyRetry is when a caller should come back to a node that knows no configuration yet.
const notReadyRetry = 500 * time.Millisecond

// ServeHTTP serves one request.
func (h *Handler) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	started := time.Now()
	t := h.config.Backend.Table()
	if t == nil {
		h.refuse(w, r, http.StatusServiceUnavailable, "no configuration is known yet", notReadyRetry)
		return
	}
	path, _, _ := strings.Cut(r.RequestURI, "?")
	route := t.Match(r.Host, path)
	if route == nil {
		h.refuse(w, r, http.StatusNotFound, "no route matches", 0)
		return
	}
	body, status := readBody(w, r, t.Config().Limits)
	if status != 0 {
		h.refuse(w, r, status, "the request cannot be read", 0)
		return
	}
	q := h.request(r, route, body, started)
	q.Version = t.Config().Version
	out, err := h.config.Backend.Serve(r.Context(), q)
	if err != nil {
		// The caller has left, so that nothing can be written.
		h.config.Metrics.Count("requests", "route", h.routes.name(route.Name), "status", "left")
		h.config.Log.Info("caller left", "RequestId", q.Forward.RequestID, "Route", route.Name, "Duration", time.Since(started))
		panic(http.ErrAbortHandler)
	}
	h.answer(w, r, q, &out, started)
}

func (h *Handler) request(r *http.Request, route *table.Route, body []byte, now time.Time) *node.Request {
	names := &h.config.Headers
	var caller time.Duration
	if ms, err := strconv.ParseInt(r.Header.Get(names.Timeout), 10, 32); err == nil && ms > 0 {
		caller = time.Duration(ms) * time.Millisecond
	}
	q := &node.Request{
		Route: route, Deadline: route.Deadline(now, caller).Add(-answerMargin),
		Forward: back.Forward{
			Method: r.Method, URI: r.RequestURI, Host: r.Host, Body: body,
			RequestID: r.Header.Get(names.RequestID), Header: forwardHeader(r.Header, names),
		},
	}
	if d := route.TargetLatency.Std(); d > 0 {
		q.Target = now.Add(d - targetMargin(r.Context(), d))
	}
	return q
}

const (
	// answerMargin is the time before the deadline at which a request is answered, so that the
	// answer arrives in time.
	answerMargin = 5 * time.Millisecond
	// keptRoundTrips and firstRoundTrips are the round trips to a caller within its response-time
	// objective: for the question for an address, the request with its answer, and on a new connection
	// its opening.
	keptRoundTrips  = 3
	firstRoundTrips = 4
	// minMargin and marginShare of the objective are for the work at the node.
	minMargin   = 6 * time.Millisecond
	marginShare = 0.05
	// maxMarginShare bounds the margin for callers that are far away.
	maxMarginShare = 0.6
)

// targetMargin returns the time before the end of the response-time objective at which an answer with
// the parts that are in is sent.
func targetMargin(ctx context.Context, objective time.Duration) time.Duration {
	rtt, first := roundTrip(ctx)
	trips := keptRoundTrips
	if first {
		trips = firstRoundTrips
	}
	margin := time.Duration(trips)*rtt + max(minMargin, time.Duration(marginShare*float64(objective)))
	return min(margin, time.Duration(maxMarginShare*float64(objective)))
}

// readBody reads the body of a request. It returns a status when the request exceeds a limit.
func readBody(w http.ResponseWriter, r *http.Request, l table.Limits) ([]byte, int) {
	limit := int64(l.BodyBytes)
	if limit <= 0 {
		limit = table.DefaultBodyBytes
	}
	if r.ContentLength > limit {
		// A caller that is cut off while it writes does not see the answer.
		_, _ = io.CopyN(io.Discard, r.Body, limit)
		return nil, http.StatusRequestEntityTooLarge
	}
	if r.Body == nil || r.Body == http.NoBody {
		return nil, 0
	}
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, limit))
	var tooLarge *http.MaxBytesError
	switch {
	case errors.As(err, &tooLarge):
		return nil, http.StatusRequestEntityTooLarge
	case err != nil:
		return nil, http.StatusBadRequest
	}
	return body, 0
}

// refuse answers a request that has not run.
func (h *Handler) refuse(w http.ResponseWriter, r *http.Request, status int, reason string, after time.Duration) {
	if after > 0 {
		w.Header().Set("Retry-After", seconds(after))
	}
	h.config.Metrics.Count("requests", "route", "", "status", strconv.Itoa(status))
	h.config.Log.Info("refused", "RequestId", r.Header.Get(h.config.Headers.RequestID), "Host", r.Host, "Status", status,
		"Reason", reason, "ConfigVersion", h.version())
	http.Error(w, reason, status)
}

// version returns that of the configuration in force, 0 before the first.
func (h *Handler) version() uint64 {
	if t := h.config.Backend.Table(); t != nil {
		return t.Config().Version
	}
	return 0
}

// seconds writes a time in seconds with a fraction.
func seconds(d time.Duration) string {
	return strconv.FormatFloat(d.Seconds(), 'f', -1, 64)
}
