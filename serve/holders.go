package serve

import (
	"cmp"
	"context"
	"slices"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/arbutusthread/arbutusthread/back"
	"github.com/arbutusthread/arbutusthread/guard"
	"github.com/arbutusthread/arbutusthread/query"
	"github.com/arbutusthread/arbutusthread/sched"
)

// sliceKey identifies a slice of a service.
type sliceKey struct {
	service string
	slice   int
}

// sliceHolders contains the slices for which the node holds or has held a lease, and the known poison marks.
type sliceHolders struct {
	node *Node

	mu          sync.Mutex
	byKey       map[sliceKey]*sliceHolder
	poisonMarks map[guard.Fingerprint]guard.PoisonMark
}

func newSliceHolders(n *Node) *sliceHolders {
	return &sliceHolders{node: n, byKey: make(map[sliceKey]*sliceHolder), poisonMarks: make(map[guard.Fingerprint]guard.PoisonMark)}
}

// get returns the holder of a slice, or nil if there is none.
func (s *sliceHolders) get(k sliceKey) *sliceHolder {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.byKey[k]
}

// all returns the holders sorted by service and slice.
func (s *sliceHolders) all() []*sliceHolder {
	s.mu.Lock()
	defer s.mu.Unlock()
	list := make([]*sliceHolder, 0, len(s.byKey))
	for _, h := range s.byKey {
		list = append(list, h)
	}
	slices.SortFunc(list, func(a, b *sliceHolder) int {
		return cmp.Or(cmp.Compare(a.key.service, b.key.service), cmp.Compare(a.key.slice, b.key.slice))
	})
	return list
}

// setLease records a lease. With a new lease, all servers of the slice count as cold.
func (s *sliceHolders) setLease(service string, slice int, end time.Time, gained bool) {
	k := sliceKey{service, slice}
	h := s.get(k)
	added := h == nil
	if added {
		h = s.add(k)
	}
	if h == nil {
		return
	}
	h.setLease(end, gained)
	if gained || added {
		s.update()
	}
}

func (s *sliceHolders) add(k sliceKey) *sliceHolder {
	v := s.node.active.Load()
	if v == nil {
		return nil
	}
	c := sched.Config{
		Service: k.service, Slice: k.slice, Preset: v.catalog.Document.ActivePreset(),
		Seed: xxhash.Sum64String(k.service) + uint64(k.slice),
	}
	h := newSliceHolder(s.node, k, sched.New(c))
	s.mu.Lock()
	defer s.mu.Unlock()
	s.byKey[k] = h
	for _, m := range s.poisonMarks {
		h.applyMark(m)
	}
	return h
}

func (s *sliceHolders) clearLease(service string, slice int) {
	if h := s.get(sliceKey{service, slice}); h != nil {
		h.setLease(time.Time{}, false)
	}
}

// update applies the active configuration and the set of leaving servers to all holders.
func (s *sliceHolders) update() {
	v := s.node.active.Load()
	if v == nil {
		return
	}
	var servers []back.Server
	for _, h := range s.all() {
		views := s.views(v, h.key)
		h.update(v.catalog.Document.ActivePreset(), newestIndex(v, h.key.service), views)
		for _, w := range views {
			servers = append(servers, back.Server{Address: w.Address, Connections: w.Connections})
		}
	}
	s.node.backend.SetServers(servers)
}

func newestIndex(v *activeConfig, service string) string {
	if s := v.catalog.Service(service); s != nil {
		if x := s.Newest(""); x != nil {
			return x.Version
		}
	}
	return ""
}

func (s *sliceHolders) views(v *activeConfig, k sliceKey) []sched.ServerView {
	service := v.catalog.Service(k.service)
	if service == nil {
		return nil
	}
	return serverViews(v.catalog, service, k.slice, &s.node.leavingServers)
}

func serverViews(c *query.Catalog, service *query.Service, slice int, l *leavingServers) []sched.ServerView {
	var list []sched.ServerView
	now := time.Now()
	for _, b := range service.Servers {
		if b.Slice != slice {
			continue
		}
		w := sched.ServerView{BackendServer: b}
		switch {
		case !c.Document.DomainIn(b.FailureDomain):
			w.Unusable = "failure domain out"
		case l.contains(now, b.Address):
			w.Unusable = "leaving"
		}
		list = append(list, w)
	}
	return list
}

// applyMark applies a poison mark from a peer to existing holders of the service, and stores it for later ones.
func (s *sliceHolders) applyMark(m guard.PoisonMark) {
	s.mu.Lock()
	if len(s.poisonMarks) >= maxPoisonMarks {
		s.expireMarks(time.Now())
	}
	if len(s.poisonMarks) < maxPoisonMarks {
		s.poisonMarks[m.Fingerprint] = m
	}
	s.mu.Unlock()
	for _, h := range s.all() {
		if h.key.service == m.Service {
			h.applyMark(m)
		}
	}
}

// maxPoisonMarks bounds the poison marks that a node stores for slices whose lease it may acquire.
const maxPoisonMarks = 4096

func (s *sliceHolders) expireMarks(now time.Time) {
	for f, m := range s.poisonMarks {
		if !now.Before(m.Expires) {
			delete(s.poisonMarks, f)
		}
	}
}

// maintainHolders hands over leases, checks server health and refreshes the set of leaving servers.
func (n *Node) maintainHolders(ctx context.Context) {
	tick := time.NewTicker(checkInterval)
	defer tick.Stop()
	last := time.Now()
	for {
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
		}
		for _, h := range n.holders.all() {
			h.handOverLease()
		}
		if now := time.Now(); now.Sub(last) >= healthInterval {
			last = now
			n.holders.update()
			n.checkHealth(ctx)
		}
	}
}

func (s *sliceHolders) close() {
	for _, h := range s.all() {
		h.close()
	}
}
