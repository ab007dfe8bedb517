package serve

import (
	"log/slog"
	"net/netip"
	"sync"
	"time"
)

const (
	// ringRequests is the number of requests whose decisions a node remembers.
	ringRequests = 4096
	// ringDecisions bounds the decisions of one request, twice the shards of the widest query.
	ringDecisions = 320
)

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
	log    *slog.Logger
	sample uint64

	mu       sync.Mutex
	requests map[string][]Decision
	order    []string
	next     int
	counter  uint64
}

// NewDecisions returns an empty record. Sample 1 logs each decision, n each n-th.
func NewDecisions(log *slog.Logger, sample uint64) *Decisions {
	return &Decisions{
		log: log, sample: max(1, sample), requests: make(map[string][]Decision, ringRequests),
		order: make([]string, ringRequests),
	}
}

// Add logs a decision and remembers it.
func (d *Decisions) Add(request string, v Decision) {
	if d.remember(request, v) {
		d.log.Info("decision", "RequestId", request, "Name", v.Name, "Peer", v.Peer, "Shard", v.Shard, "Detail", v.Detail)
	}
}

// remember stores the decision and reports whether it is to be logged.
func (d *Decisions) remember(request string, v Decision) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.counter++
	if request != "" {
		d.store(request, v)
	}
	return d.counter%d.sample == 0
}

func (d *Decisions) store(request string, v Decision) {
	list, known := d.requests[request]
	if !known {
		delete(d.requests, d.order[d.next])
		d.order[d.next] = request
		d.next = (d.next + 1) % len(d.order)
	}
	if len(list) < ringDecisions {
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
