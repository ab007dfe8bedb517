package front

import (
	"encoding/json"
	"log/slog"
	"net/http"
	"net/netip"
	"time"

	"github.com/arbutusthread/arbutusthread/wire"
)

// Directory tells callers which addresses to use.
type Directory interface {
	// Addresses returns the addresses for callers of a host in a failure domain, none when no node
	// can serve them, and how long the answer holds.
	Addresses(host, region, domain string) ([]netip.AddrPort, time.Duration)
	// Ready reports whether this node takes new callers.
	Ready() bool
}

// DirectoryHandler serves GET /v1/addresses?host=H&region=R&domain=D with
// {"Addresses":["127.0.0.1:7000"],"KeepFor":"3s"}, and 503 while no node can serve callers.
func DirectoryHandler(d Directory, log *slog.Logger) http.Handler {
	m := http.NewServeMux()
	m.HandleFunc("GET /v1/addresses", func(w http.ResponseWriter, r *http.Request) {
		q := r.URL.Query()
		addresses, keep := d.Addresses(q.Get("host"), q.Get("region"), q.Get("domain"))
		if len(addresses) == 0 {
			http.Error(w, "no node can serve callers", http.StatusServiceUnavailable)
			return
		}
		w.Header().Set("Content-Type", "application/json")
		err := json.NewEncoder(w).Encode(struct {
			Addresses []netip.AddrPort `json:"Addresses"`
			KeepFor   wire.Duration    `json:"KeepFor"`
		}{addresses, wire.Duration(keep)})
		if err != nil {
			log.Info("directory answer not delivered", "Error", err)
		}
	})
	return m
}

// ReadyHandler serves GET /ready with 200 while the node takes new callers.
func ReadyHandler(d Directory) http.Handler {
	m := http.NewServeMux()
	m.HandleFunc("GET /ready", func(w http.ResponseWriter, _ *http.Request) {
		if !d.Ready() {
			w.WriteHeader(http.StatusServiceUnavailable)
		}
	})
	return m
}
