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

// sliceKey names a slice of a service.
type sliceKey struct {
	service string
	slice   int
}

// homes holds the slices for which the node has, or lately had, a lease.
type homes struct {
	node *Node

	mu    sync.Mutex
	byKey map[sliceKey]*home
	marks map[guard.Fingerprint]guard.Note
}

func newHomes(n *Node) *homes {
	return &homes{node: n, byKey: make(map[sliceKey]*home), marks: make(map[guard.Fingerprint]guard.Note)}
}

// get returns the home of a slice, or nil.
func (s *homes) get(k sliceKey) *home {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.byKey[k]
}

// all returns the homes in a fixed order.
func (s *homes) all() []*home {
	s.mu.Lock()
	defer s.mu.Unlock()
	list := make([]*home, 0, len(s.byKey))
	for _, h := range s.byKey {
		list = append(list, h)
	}
	slices.SortFunc(list, func(a, b *home) int {
		return cmp.Or(cmp.Compare(a.key.service, b.key.service), cmp.Compare(a.key.slice, b.key.slice))
	})
	return list
}

// hold records a lease. A lease that is new makes all servers of the slice count as cold.
func (s *homes) hold(service string, slice int, end time.Time, gained bool) {
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

func (s *homes) add(k sliceKey) *home {
	v := s.node.view.Load()
	if v == nil {
		return nil
	}
	c := sched.Config{
		Service: k.service, Slice: k.slice, Preset: v.catalog.Document.InForce(),
		Seed: xxhash.Sum64String(k.service) + uint64(k.slice),
	}
	h := newHome(s.node, k, sched.New(c))
	s.mu.Lock()
	defer s.mu.Unlock()
	s.byKey[k] = h
	for _, m := range s.marks {
		h.merge(m)
	}
	return h
}

func (s *homes) lose(service string, slice int) {
	if h := s.get(sliceKey{service, slice}); h != nil {
		h.setLease(time.Time{}, false)
	}
}

// update passes the configuration in force and the leaving servers to all homes.
func (s *homes) update() {
	v := s.node.view.Load()
	if v == nil {
		return
	}
	var caps []back.Server
	for _, h := range s.all() {
		views := s.views(v, h.key)
		h.update(v.catalog.Document.InForce(), newestIndex(v, h.key.service), views)
		for _, w := range views {
			caps = append(caps, back.Server{Address: w.Address, Connections: w.Connections})
		}
	}
	s.node.backend.SetServers(caps)
}

func newestIndex(v *view, service string) string {
	if s := v.catalog.Service(service); s != nil {
		if x := s.Newest(""); x != nil {
			return x.Version
		}
	}
	return ""
}

func (s *homes) views(v *view, k sliceKey) []sched.ServerView {
	service := v.catalog.Service(k.service)
	if service == nil {
		return nil
	}
	return serverViews(v.catalog, service, k.slice, &s.node.leaving)
}

func serverViews(c *query.Catalog, service *query.Service, slice int, l *leaving) []sched.ServerView {
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
		case l.has(now, b.Address):
			w.Unusable = "leaving"
		}
		list = append(list, w)
	}
	return list
}

// merge takes over a mark from a peer for present and later homes.
func (s *homes) merge(m guard.Note) {
	s.mu.Lock()
	if len(s.marks) >= maxMarks {
		s.expireMarks(time.Now())
	}
	if len(s.marks) < maxMarks {
		s.marks[m.Fingerprint] = m
	}
	s.mu.Unlock()
	for _, h := range s.all() {
		if h.key.service == m.Service {
			h.merge(m)
		}
	}
}

// maxMarks bounds the marks that a node remembers for slices whose home it may become.
const maxMarks = 4096

func (s *homes) expireMarks(now time.Time) {
	for f, m := range s.marks {
		if !now.Before(m.Expires) {
			delete(s.marks, f)
		}
	}
}

// watchHomes hands leases over, checks health endpoints and renews the view of leaving servers.
func (n *Node) watchHomes(ctx context.Context) {
	tick := time.NewTicker(checkInterval)
	defer tick.Stop()
	last := time.Now()
	for {
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
		}
		for _, h := range n.homes.all() {
			h.handOver()
		}
		if now := time.Now(); now.Sub(last) >= healthInterval {
			last = now
			n.homes.update()
			n.checkHealth(ctx)
		}
	}
}

func (s *homes) close() {
	for _, h := range s.all() {
		h.close()
	}
}
