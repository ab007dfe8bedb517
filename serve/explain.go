package serve

import (
	"log/slog"
	"math"
	"net/netip"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
)

// maxDecisions bounds the decisions of one request, about twice the shards of the widest query.
const maxDecisions = 320

// Decision is one routing or placement decision.
type Decision struct {
	At     time.Time `json:"At"`
	Name   string    `json:"Name"`
	Peer   string    `json:"Peer,omitempty"`
	Shard  string    `json:"Shard,omitempty"`
	Detail string    `json:"Detail,omitempty"`
}

// Decisions logs decisions and remembers those of recent requests for operators. Its memory is
// bounded. It is safe for concurrent use.
type Decisions struct {
	log *slog.Logger
	// share is the share of requests whose decisions are logged.
	share float64

	mu       sync.Mutex
	requests map[string][]Decision
	order    []string
	next     int
}

// NewDecisions returns a record of at most limit requests. The decisions of the given share of
// requests are logged; 1 logs all.
func NewDecisions(log *slog.Logger, share float64, limit int) *Decisions {
	return &Decisions{
		log: log, share: share, requests: make(map[string][]Decision), order: make([]string, max(1, limit)),
	}
}

// Add logs a decision and remembers it.
func (d *Decisions) Add(request string, v Decision) {
	if v.At.IsZero() {
		v.At = time.Now()
	}
	d.remember(request, v)
	if d.logs(request) {
		d.log.Info("decision", "RequestId", request, "Name", v.Name, "Peer", v.Peer, "Shard", v.Shard, "Detail", v.Detail)
	}
}

// logs decides by the request's identifier, so that a request is logged as a whole or not at all.
func (d *Decisions) logs(request string) bool {
	if d.share >= 1 || request == "" {
		return true
	}
	return float64(xxhash.Sum64String(request)) < d.share*math.MaxUint64
}

func (d *Decisions) remember(request string, v Decision) {
	if request == "" {
		return
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	list, known := d.requests[request]
	if !known {
		delete(d.requests, d.order[d.next])
		d.order[d.next] = request
		d.next = (d.next + 1) % len(d.order)
	}
	if len(list) < maxDecisions {
		d.requests[request] = append(list, v)
	}
}

// Explain returns the decisions of a request in the order in which they were made.
func (d *Decisions) Explain(request string) []Decision {
	d.mu.Lock()
	defer d.mu.Unlock()
	return append([]Decision(nil), d.requests[request]...)
}

func peerName(a netip.AddrPort) string {
	if !a.IsValid() {
		return ""
	}
	return a.String()
}
