package guard

import (
	"container/list"
	"time"
)

// RecentSuccesses is the set of fingerprints that have succeeded recently. When it is full, the one with the oldest
// last success is evicted.
type RecentSuccesses struct {
	limit    int
	lifetime time.Duration
	items    map[Fingerprint]*list.Element
	// order lists the items by their last success, newest first.
	order *list.List
}

type success struct {
	fingerprint Fingerprint
	at          time.Time
}

// NewRecentSuccesses returns an empty set of at most limit fingerprints. Each expires when the lifetime has passed
// since its last success.
func NewRecentSuccesses(limit int, lifetime time.Duration) *RecentSuccesses {
	return &RecentSuccesses{
		limit: limit, lifetime: lifetime,
		items: make(map[Fingerprint]*list.Element), order: list.New(),
	}
}

// Add records a success.
func (s *RecentSuccesses) Add(now time.Time, f Fingerprint) {
	if e := s.items[f]; e != nil {
		e.Value = success{f, now}
		s.order.MoveToFront(e)
		return
	}
	if len(s.items) >= s.limit {
		s.remove(s.order.Back())
	}
	s.items[f] = s.order.PushFront(success{f, now})
}

// Has reports whether the fingerprint succeeded within the lifetime.
func (s *RecentSuccesses) Has(now time.Time, f Fingerprint) bool {
	e := s.items[f]
	return e != nil && now.Sub(e.Value.(success).at) < s.lifetime
}

// Remove deletes the fingerprint.
func (s *RecentSuccesses) Remove(f Fingerprint) {
	if e := s.items[f]; e != nil {
		s.remove(e)
	}
}

// Expire deletes the fingerprints whose last success is older than the lifetime.
func (s *RecentSuccesses) Expire(now time.Time) {
	for e := s.order.Back(); e != nil && now.Sub(e.Value.(success).at) >= s.lifetime; e = s.order.Back() {
		s.remove(e)
	}
}

// Clear deletes all fingerprints.
func (s *RecentSuccesses) Clear() {
	clear(s.items)
	s.order.Init()
}

// Len returns the number of fingerprints, including expired ones that Expire has not deleted yet.
func (s *RecentSuccesses) Len() int {
	return len(s.items)
}

func (s *RecentSuccesses) remove(e *list.Element) {
	delete(s.items, e.Value.(success).fingerprint)
	s.order.Remove(e)
}
