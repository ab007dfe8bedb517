package front

import (
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/arbutusthread/arbutusthread/back"
	"github.com/arbutusthread/arbutusthread/gate"
	"github.com/arbutusthread/arbutusthread/gather"
	"github.com/arbutusthread/arbutusthread/node"
)

const (
	// smallAnswerBytes is the size up to which an answer needs no room of its own, because the kernel takes it.
	smallAnswerBytes = 16 << 10
	// answerTime and answerTimePerByte are the time in which callers must have read an answer.
	answerTime        = 30 * time.Second
	answerTimePerByte = time.Second / (16 << 10)
)

// respond writes the response to a request, and records its metrics and its log line.
func (h *Handler) respond(w http.ResponseWriter, r *http.Request, q *node.Request, out *node.Outcome, started time.Time) {
	var status int
	switch {
	case out.End != gather.Complete && out.End != gather.Partial:
		status = failureStatus(out)
		if out.RetryAfter > 0 && status == http.StatusServiceUnavailable {
			w.Header().Set("Retry-After", formatSeconds(out.RetryAfter))
		}
		http.Error(w, out.Reason, status)
	case len(q.Route.Shards) == 0:
		status = h.writeReply(w, r, out.Parts[0].Reply)
	default:
		status = h.writeMerged(w, r, q, out)
	}
	took := time.Since(started)
	route := h.routeLabels.label(q.Route.Name)
	h.config.Metrics.Count("requests", "route", route, "status", strconv.Itoa(status))
	h.config.Metrics.ObserveLatency("request_latency", took, "route", route)
	h.config.Log.Info("answered", "RequestId", q.Forward.RequestID, "Route", q.Route.Name, "ConfigVersion", q.Version,
		"Status", status, "End", out.End, "Answered", out.Answered, "Total", out.Total, "Sends", out.Sends,
		"Hedges", out.Hedges, "Retries", out.Retries, "Remote", out.Remote, "Relayed", out.Relayed,
		"Reason", out.Reason, "Missing", out.Missing, "Duration", took.Round(100*time.Microsecond))
}

// failureStatus returns the status of a request without an answer. 503 guarantees that the request has not
// run.
func failureStatus(out *node.Outcome) int {
	switch {
	case !out.MayHaveRun:
		return http.StatusServiceUnavailable
	case out.End == gather.Expired:
		return http.StatusGatewayTimeout
	default:
		return http.StatusBadGateway
	}
}

// writeReply forwards the response of a backend server. It returns the status that it has written.
func (h *Handler) writeReply(w http.ResponseWriter, r *http.Request, reply *back.Reply) int {
	err := reserveAnswer(r, reply.Body)
	reply.Release()
	if err != nil {
		return h.refuseAnswer(w, r, err)
	}
	header := w.Header()
	for name, values := range endToEndHeaders(reply.Header, nil) {
		header[name] = values
	}
	if header["Content-Type"] == nil {
		// A nil value disables content type detection in net/http, because the server sent no type.
		header["Content-Type"] = nil
	}
	return h.writeBody(w, r, reply.Status, reply.Body)
}

// reserveAnswer reserves the memory of a large answer, which is needed until the caller has read it.
func reserveAnswer(r *http.Request, body []byte) error {
	if cap(body) <= smallAnswerBytes {
		return nil
	}
	return gate.Send(r.Context(), cap(body))
}

// refuseAnswer answers a request whose answer cannot be held. It returns the status, which does not promise that the request
// has not run.
func (h *Handler) refuseAnswer(w http.ResponseWriter, r *http.Request, err error) int {
	h.config.Log.Info("failed to write response", "RequestId", r.Header.Get(h.config.Headers.RequestID), "Error", err)
	http.Error(w, "too many large answers", http.StatusBadGateway)
	return http.StatusBadGateway
}

// writeMerged merges the parts of an answer and writes the result. It returns the status that it has written.
func (h *Handler) writeMerged(w http.ResponseWriter, r *http.Request, q *node.Request, out *node.Outcome) int {
	names := &h.config.Headers
	parts := make([][]byte, 0, len(out.Parts))
	var seals []string
	for _, p := range out.Parts {
		parts = append(parts, p.Body)
		seals = append(seals, p.Seals...)
	}
	body := gather.TopK(parts, q.Route.TopK)
	if err := reserveAnswer(r, body); err != nil {
		return h.refuseAnswer(w, r, err)
	}
	header := w.Header()
	header[names.PartSeals] = []string{strings.Join(seals, ",")}
	if missing := out.Total - len(seals); missing > 0 {
		header[names.MissingParts] = []string{strconv.Itoa(missing)}
	}
	header["Content-Type"] = []string{"application/octet-stream"}
	return h.writeBody(w, r, http.StatusOK, body)
}

// writeBody writes an answer. It returns the status.
func (h *Handler) writeBody(w http.ResponseWriter, r *http.Request, status int, body []byte) int {
	// A connection without deadlines is one of a test.
	_ = http.NewResponseController(w).SetWriteDeadline(time.Now().Add(answerTime + time.Duration(len(body))*answerTimePerByte))
	bodyless := status == http.StatusNoContent || status == http.StatusNotModified
	if r.Method != http.MethodHead && !bodyless {
		w.Header().Set("Content-Length", strconv.Itoa(len(body)))
	}
	w.WriteHeader(status)
	if bodyless {
		return status
	}
	if _, err := w.Write(body); err != nil {
		c := connOf(r.Context())
		c.update(func(o *openRequest) { o.end = endDisconnected })
		closed := c.closedBy()
		h.config.Log.Info("failed to write response", "RequestId", r.Header.Get(h.config.Headers.RequestID), "Error", err,
			"ClosedBy", closed.by, "Cause", closed.cause)
	}
	return status
}
