package front

import (
	"encoding/json"
	"log/slog"
	"net/http"

	"github.com/arbutusthread/arbutusthread/node"
)

// OpsHandler returns the operators' API: GET /ops/status returns the state of the node as JSON, /metrics its
// metrics, /health 200 while the process is running, and /ready 200 while the node accepts callers.
func OpsHandler(n *node.Node, log *slog.Logger) http.Handler {
	m := http.NewServeMux()
	m.HandleFunc("GET /ops/status", func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Type", "application/json")
		if err := json.NewEncoder(w).Encode(n.Status()); err != nil {
			log.Info("failed to write status response", "Error", err)
		}
	})
	m.Handle("GET /metrics", n.Metrics().Handler())
	m.HandleFunc("GET /health", func(http.ResponseWriter, *http.Request) {})
	m.Handle("GET /ready", ReadyHandler(n))
	return m
}
