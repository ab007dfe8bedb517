package front

import (
	"encoding/json"
	"log/slog"
	"net/http"
	"net/netip"
	"time"

	"github.com/arbutusthread/arbutusthread/wire"
)

// Directory provides the node addresses that callers should use.
type Directory interface {
	// Addresses returns the node addresses for callers of a host in a region and failure domain, and how long
	// callers may cache them. It returns no addresses if no node can serve the callers.
	Addresses(host, region, domain string) ([]netip.AddrPort, time.Duration)
	// Ready reports whether this node accepts new callers.
	Ready() bool
}

// DirectoryHandler serves GET /v1/addresses?host=H&region=R&domain=D with
// {"Addresses":["127.0.0.1:7000"],"KeepFor":"3s"}, and 503 while no node can serve callers.
func DirectoryHandler(d Directory, log *slog.Logger) http.Handler {
	m := http.NewServeMux()
	m.HandleFunc("GET /v1/addresses", func(w http.ResponseWriter, r *http.Request) {
		q := r.URL.Query()
		addresses, ttl := d.Addresses(q.Get("host"), q.Get("region"), q.Get("domain"))
		if len(addresses) == 0 {
			http.Error(w, "no node can serve callers", http.StatusServiceUnavailable)
			return
		}
		w.Header().Set("Content-Type", "application/json")
		err := json.NewEncoder(w).Encode(struct {
			Addresses []netip.AddrPort `json:"Addresses"`
			KeepFor   wire.Duration    `json:"KeepFor"`
		}{addresses, wire.Duration(ttl)})
		if err != nil {
			log.Info("failed to write directory response", "Error", err)
		}
	})
	return m
}

// ReadyHandler serves GET /ready with status 200 while the node accepts new callers, and 503 otherwise.
func ReadyHandler(d Directory) http.Handler {
	m := http.NewServeMux()
	m.HandleFunc("GET /ready", func(w http.ResponseWriter, _ *http.Request) {
		if !d.Ready() {
			w.WriteHeader(http.StatusServiceUnavailable)
		}
	})
	return m
}
