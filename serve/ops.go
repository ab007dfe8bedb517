package serve

import (
	"encoding/json"
	"net/http"
	"time"

	"github.com/arbutusthread/arbutusthread/fleet"
	"github.com/arbutusthread/arbutusthread/guard"
	"github.com/arbutusthread/arbutusthread/peer"
	"github.com/arbutusthread/arbutusthread/sched"
)

// Status is the state of a node as reported to operators.
type Status struct {
	Name          string             `json:"Name"`
	FailureDomain string             `json:"FailureDomain"`
	Ready         bool               `json:"Ready"`
	Stopping      bool               `json:"Stopping"`
	Reader        bool               `json:"Reader"`
	Version       uint64             `json:"Version"`
	Preset        string             `json:"Preset"`
	ConfigFault   string             `json:"ConfigFault,omitempty"`
	Members       []fleet.Member     `json:"Members"`
	Slices        []SliceStatus      `json:"Homes"`
	Marks         []guard.PoisonMark `json:"Marks"`
	Control       peer.Counters      `json:"Control"`
}

// SliceStatus is the state of a slice on its lease holder. LeaseEnd is the end of the lease, zero if the node does not
// hold it. Unfinished is the number of requests in flight or queued.
type SliceStatus struct {
	Service    string               `json:"Service"`
	Slice      int                  `json:"Slice"`
	LeaseEnd   time.Time            `json:"Until,omitzero"`
	Unfinished int                  `json:"Busy"`
	Servers    []sched.ServerStatus `json:"Servers"`
}

// opsHandler returns the HTTP handler for operators.
func (n *Node) opsHandler() http.Handler {
	m := http.NewServeMux()
	m.HandleFunc("GET /ops/status", func(w http.ResponseWriter, _ *http.Request) { n.reply(w, n.Status()) })
	m.HandleFunc("GET /ops/explain/{id}", n.explain)
	m.Handle("GET /metrics", n.metrics.Handler())
	m.HandleFunc("GET /health", func(http.ResponseWriter, *http.Request) {})
	m.HandleFunc("GET /ready", func(w http.ResponseWriter, _ *http.Request) {
		if !n.Ready() || n.stopping.Load() {
			w.WriteHeader(http.StatusServiceUnavailable)
		}
	})
	return m
}

func (n *Node) reply(w http.ResponseWriter, v any) {
	w.Header().Set("Content-Type", "application/json")
	if err := json.NewEncoder(w).Encode(v); err != nil {
		n.log.Debug("failed to write the response to an operator", "Error", err)
	}
}

func (n *Node) explain(w http.ResponseWriter, r *http.Request) {
	id := r.PathValue("id")
	list := n.decisions.Explain(id)
	if len(list) == 0 {
		w.WriteHeader(http.StatusNotFound)
	}
	n.reply(w, struct {
		RequestID string     `json:"RequestId"`
		Node      string     `json:"Node"`
		Decisions []Decision `json:"Decisions"`
	}{id, n.settings.Name, list})
}

// Status returns the current state of the node, with the slices whose leases it holds.
func (n *Node) Status() Status {
	s := Status{
		Name: n.settings.Name, FailureDomain: n.settings.FailureDomain, Ready: n.Ready(),
		Stopping: n.stopping.Load(), Reader: n.peer.WatchesPlatform(), Members: n.peer.Members(),
		Control: n.peer.Counters(), Slices: []SliceStatus{}, Marks: []guard.PoisonMark{},
	}
	if v := n.active.Load(); v != nil {
		s.Version, s.Preset = v.catalog.Document.Version, v.catalog.Document.Preset
	}
	if f := n.configFault.Load(); f != nil {
		s.ConfigFault = *f
	}
	for _, h := range n.holders.all() {
		leaseEnd, held := n.peer.Lease(h.key.service, h.key.slice)
		if !held {
			continue
		}
		s.Slices = append(s.Slices, SliceStatus{
			Service: h.key.service, Slice: h.key.slice, LeaseEnd: leaseEnd, Unfinished: h.unfinished(), Servers: h.status(),
		})
		s.Marks = append(s.Marks, h.marks()...)
	}
	return s
}

func (h *sliceHolder) status() []sched.ServerStatus {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.scheduler.Status(time.Now())
}

func (h *sliceHolder) unfinished() int {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.scheduler.Unfinished()
}

func (h *sliceHolder) marks() []guard.PoisonMark {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.scheduler.PoisonMarks(time.Now())
}
