package serve

import (
	"log/slog"
	"math"
	"net/netip"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
)

// maxDecisions bounds the stored decisions of one request: about twice the number of shards of the largest query.
const maxDecisions = 320

// Decision is a routing or placement decision for a request.
type Decision struct {
	At     time.Time `json:"At"`
	Name   string    `json:"Name"`
	Peer   string    `json:"Peer,omitempty"`
	Shard  string    `json:"Shard,omitempty"`
	Detail string    `json:"Detail,omitempty"`
}

// DecisionLog logs decisions and stores those of recent requests for operators. It stores a bounded number of requests
// and of decisions per request. It is safe for concurrent use.
type DecisionLog struct {
	log *slog.Logger
	// sampleRate is the fraction of requests whose decisions are logged.
	sampleRate float64

	mu       sync.Mutex
	requests map[string][]Decision
	ring     []string
	next     int
}

// NewDecisionLog returns a DecisionLog that stores the decisions of at most limit requests and logs those of the
// fraction sampleRate of requests; 1 logs all.
func NewDecisionLog(log *slog.Logger, sampleRate float64, limit int) *DecisionLog {
	return &DecisionLog{
		log: log, sampleRate: sampleRate, requests: make(map[string][]Decision), ring: make([]string, max(1, limit)),
	}
}

// Add stores a decision, and logs it if the request is sampled. A zero time is set to the current time.
func (d *DecisionLog) Add(request string, v Decision) {
	if v.At.IsZero() {
		v.At = time.Now()
	}
	d.store(request, v)
	if d.sampled(request) {
		d.log.Info("decision", "RequestId", request, "Name", v.Name, "Peer", v.Peer, "Shard", v.Shard, "Detail", v.Detail)
	}
}

// sampled decides by the hash of the request ID, so that either all or none of the decisions of a request are logged.
func (d *DecisionLog) sampled(request string) bool {
	if d.sampleRate >= 1 || request == "" {
		return true
	}
	return float64(xxhash.Sum64String(request)) < d.sampleRate*math.MaxUint64
}

func (d *DecisionLog) store(request string, v Decision) {
	if request == "" {
		return
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	list, known := d.requests[request]
	if !known {
		delete(d.requests, d.ring[d.next])
		d.ring[d.next] = request
		d.next = (d.next + 1) % len(d.ring)
	}
	if len(list) < maxDecisions {
		d.requests[request] = append(list, v)
	}
}

// Explain returns the stored decisions of a request in the order in which they were added.
func (d *DecisionLog) Explain(request string) []Decision {
	d.mu.Lock()
	defer d.mu.Unlock()
	return append([]Decision(nil), d.requests[request]...)
}

func formatAddress(a netip.AddrPort) string {
	if !a.IsValid() {
		return ""
	}
	return a.String()
}
