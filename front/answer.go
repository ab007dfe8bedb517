package front

import (
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/arbutusthread/arbutusthread/back"
	"github.com/arbutusthread/arbutusthread/gather"
	"github.com/arbutusthread/arbutusthread/node"
)

// answer writes the end of a request.
func (h *Handler) answer(w http.ResponseWriter, r *http.Request, q *node.Request, out *node.Outcome, started time.Time) {
	status := http.StatusOK
	switch {
	case out.End != gather.Complete && out.End != gather.Partial:
		status = failureStatus(out)
		if out.RetryAfter > 0 && status == http.StatusServiceUnavailable {
			w.Header().Set("Retry-After", seconds(out.RetryAfter))
		}
		http.Error(w, out.Reason, status)
	case len(q.Route.Shards) == 0:
		status = out.Parts[0].Reply.Status
		h.writeReply(w, r, out.Parts[0].Reply)
	default:
		h.writeParts(w, r, q, out)
	}
	took := time.Since(started)
	route := h.routes.name(q.Route.Name)
	h.config.Metrics.Count("requests", "route", route, "status", strconv.Itoa(status))
	h.config.Metrics.Latency("request_latency", took, "route", route)
	h.config.Log.Info("answered", "RequestId", q.Forward.RequestID, "Route", q.Route.Name, "ConfigVersion", q.Version,
		"Status", status, "End", out.End, "Answered", out.Answered, "Total", out.Total, "Sends", out.Sends,
		"Hedges", out.Hedges, "Retries", out.Retries, "Remote", out.Remote, "Relayed", out.Relayed,
		"Reason", out.Reason, "Missing", out.Missing, "Duration", took.Round(100*time.Microsecond))
}

// failureStatus returns the status of a request without an answer. 503 states that it has not run.
func failureStatus(out *node.Outcome) int {
	switch {
	case !out.Sent:
		return http.StatusServiceUnavailable
	case out.End == gather.Expired:
		return http.StatusGatewayTimeout
	default:
		return http.StatusBadGateway
	}
}

// writeReply passes a server's answer on.
func (h *Handler) writeReply(w http.ResponseWriter, r *http.Request, reply *back.Reply) {
	header := w.Header()
	for name, values := range endToEnd(reply.Header, nil) {
		header[name] = values
	}
	if header["Content-Type"] == nil {
		// A nil value keeps the library from guessing a type that the server did not send.
		header["Content-Type"] = nil
	}
	h.write(w, r, reply.Status, reply.Body)
}

// writeParts merges the parts of an answer.
func (h *Handler) writeParts(w http.ResponseWriter, r *http.Request, q *node.Request, out *node.Outcome) {
	names := &h.config.Headers
	parts := make([][]byte, 0, len(out.Parts))
	var seals []string
	for _, p := range out.Parts {
		parts = append(parts, p.Body)
		seals = append(seals, p.Seals...)
	}
	header := w.Header()
	header[names.PartSeals] = []string{strings.Join(seals, ",")}
	if missing := out.Total - len(seals); missing > 0 {
		header[names.MissingParts] = []string{strconv.Itoa(missing)}
	}
	header["Content-Type"] = []string{"application/octet-stream"}
	h.write(w, r, http.StatusOK, gather.TopK(parts, q.Route.TopK))
}

func (h *Handler) write(w http.ResponseWriter, r *http.Request, status int, body []byte) {
	bodyless := status == http.StatusNoContent || status == http.StatusNotModified
	if r.Method != http.MethodHead && !bodyless {
		w.Header().Set("Content-Length", strconv.Itoa(len(body)))
	}
	w.WriteHeader(status)
	if bodyless {
		return
	}
	if _, err := w.Write(body); err != nil {
		h.config.Log.Info("answer not delivered", "RequestId", r.Header.Get(h.config.Headers.RequestID), "Error", err)
	}
}
