package front

import (
	"encoding/json"
	"log/slog"
	"net/http"

	"github.com/arbutusthread/arbutusthread/node"
)

// OpsHandler returns the interface for operators: GET /ops/status is the state of the node as JSON,
// /metrics its counts, and /health and /ready answer 200 while it lives and while it takes callers.
func OpsHandler(n *node.Node, log *slog.Logger) http.Handler {
	m := http.NewServeMux()
	m.HandleFunc("GET /ops/status", func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Type", "application/json")
		if err := json.NewEncoder(w).Encode(n.Status()); err != nil {
			log.Info("answer to operator not delivered", "Error", err)
		}
	})
	m.Handle("GET /metrics", n.Metrics().Handler())
	m.HandleFunc("GET /health", func(http.ResponseWriter, *http.Request) {})
	m.Handle("GET /ready", ReadyHandler(n))
	return m
}
