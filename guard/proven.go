package guard

import (
	"container/list"
	"time"
)

// Proven is the set of fingerprints that have succeeded recently. When it is full, the one with the oldest
// last success is evicted.
type Proven struct {
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

// NewProven returns an empty set of at most limit fingerprints. Each expires when the lifetime has passed
// since its last success.
func NewProven(limit int, lifetime time.Duration) *Proven {
	return &Proven{
		limit: limit, lifetime: lifetime,
		items: make(map[Fingerprint]*list.Element), order: list.New(),
	}
}

// Add records a success.
func (p *Proven) Add(now time.Time, f Fingerprint) {
	if e := p.items[f]; e != nil {
		e.Value = success{f, now}
		p.order.MoveToFront(e)
		return
	}
	if len(p.items) >= p.limit {
		p.remove(p.order.Back())
	}
	p.items[f] = p.order.PushFront(success{f, now})
}

// Has reports whether the fingerprint succeeded within the lifetime.
func (p *Proven) Has(now time.Time, f Fingerprint) bool {
	e := p.items[f]
	return e != nil && now.Sub(e.Value.(success).at) < p.lifetime
}

// Remove deletes the fingerprint.
func (p *Proven) Remove(f Fingerprint) {
	if e := p.items[f]; e != nil {
		p.remove(e)
	}
}

// Expire deletes the fingerprints whose last success is older than the lifetime.
func (p *Proven) Expire(now time.Time) {
	for e := p.order.Back(); e != nil && now.Sub(e.Value.(success).at) >= p.lifetime; e = p.order.Back() {
		p.remove(e)
	}
}

// Clear deletes all fingerprints.
func (p *Proven) Clear() {
	clear(p.items)
	p.order.Init()
}

// Len returns the number of fingerprints, including expired ones that Expire has not deleted yet.
func (p *Proven) Len() int {
	return len(p.items)
}

func (p *Proven) remove(e *list.Element) {
	delete(p.items, e.Value.(success).fingerprint)
	p.order.Remove(e)
}
