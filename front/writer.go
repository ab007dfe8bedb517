package front

import (
	"log/slog"
	"net/http"
	"runtime/debug"
	"sync/atomic"

	"github.com/cockroachdb/errors"
)

// responseWriter adds "Connection: close" to responses that begin while the server is draining.
type responseWriter struct {
	http.ResponseWriter
	draining *atomic.Bool
	// begun is set when the response has begun.
	begun bool
}

// Unwrap returns the writer below, for http.ResponseController.
func (w *responseWriter) Unwrap() http.ResponseWriter { return w.ResponseWriter }

// WriteHeader sends the status and the headers.
func (w *responseWriter) WriteHeader(status int) {
	w.begun = true
	if w.draining.Load() {
		w.Header().Set("Connection", "close")
	}
	w.ResponseWriter.WriteHeader(status)
}

// answerPanic answers a request whose handler has panicked with 502, because a server may have run it. net/http would close
// the connection without an answer. It must be deferred. Other panics than those of a handler that aborts its response are
// logged.
func (w *responseWriter) answerPanic(log *slog.Logger, c *callerConn) {
	v := recover()
	if v == nil {
		return
	}
	if err, ok := v.(error); ok && errors.Is(err, http.ErrAbortHandler) {
		panic(v)
	}
	log.Error("request caused a panic", "RequestId", c.requestID(), "Error", v, "Stack", string(debug.Stack()))
	if w.begun {
		panic(http.ErrAbortHandler)
	}
	clear(w.Header()) // such as the seal of a server
	http.Error(w, "internal error", http.StatusBadGateway)
}
