package limit

import (
	"container/list"
	"time"
)

// Phase is the state of a client of a Pool.
type Phase int

// A client is Receiving until its request has been received completely, also before the first byte of its first one, Serving
// until there is an answer, Sending while an answer is written that takes memory, and then Idle.
const (
	Receiving Phase = iota
	Serving
	Sending
	Idle
	phases
)

// PoolConfig configures a Pool.
type PoolConfig struct {
	// Clients is the maximum number of clients. Bytes is the memory of all clients, of which each takes ClientBytes for
	// itself, and the requests and answers of all together at most RequestShare.
	Clients      int
	Bytes        int64
	ClientBytes  int64
	RequestShare float64
	// Patience is the time for which a client may be Receiving or Sending before it can be evicted.
	Patience time.Duration
}

// Pool divides memory and connections among clients. When it is exhausted, the clients that have been Receiving or Sending for
// longest lose their place first, because one that stops before the end would keep it for good. Then Idle ones lose theirs.
// Requests that are served are never evicted. K identifies a client.
type Pool[K comparable] struct {
	config  PoolConfig
	clients map[K]*client[K]
	// queues holds the clients in each phase that have not been evicted, the one that has been in it for longest first.
	queues [phases]*list.List
	// used is the memory of these clients, and requests the part of it that their requests and answers take.
	used, requests int64
	evicted        int
}

// client is the state of one client.
type client[K comparable] struct {
	key      K
	phase    Phase
	since    time.Time
	requests int64
	// place is nil after the eviction.
	place *list.Element
}

// NewPool returns an empty Pool.
func NewPool[K comparable](c PoolConfig) *Pool[K] {
	p := &Pool[K]{config: c, clients: make(map[K]*client[K])}
	for i := range p.queues {
		p.queues[i] = list.New()
	}
	return p
}

// Len returns the number of clients that have not been evicted.
func (p *Pool[K]) Len() int { return len(p.clients) - p.evicted }

// Bytes returns the memory that these clients take.
func (p *Pool[K]) Bytes() int64 { return p.used }

// Admit adds a client, which is Receiving. It returns the clients that are evicted for it, and false if there is no room.
func (p *Pool[K]) Admit(now time.Time, key K) ([]K, bool) {
	var victims []K
	for p.Len() >= p.config.Clients || p.used+p.config.ClientBytes > p.config.Bytes {
		victim := p.stalled(now)
		if victim == nil {
			victim = p.oldest(Idle)
		}
		if victim == nil {
			return victims, false
		}
		victims = append(victims, p.evict(victim))
	}
	c := &client[K]{key: key, since: now}
	c.place = p.queues[Receiving].PushBack(c)
	p.clients[key] = c
	p.used += p.config.ClientBytes
	return victims, true
}

// Grow adds to the memory that the request or the answer of a client takes. It returns the clients that are evicted for it,
// and false if there is no room or if the client has been evicted.
func (p *Pool[K]) Grow(now time.Time, key K, bytes int64) ([]K, bool) {
	c := p.clients[key]
	if c == nil || c.place == nil {
		return nil, false
	}
	var victims []K
	for p.requests+bytes > p.requestBytes() || p.used+bytes > p.config.Bytes {
		victim := p.stalled(now)
		if victim == nil || victim == c {
			return victims, false
		}
		victims = append(victims, p.evict(victim))
	}
	c.requests += bytes
	p.requests += bytes
	p.used += bytes
	return victims, true
}

// Enter records the phase of a client. An Idle client has no request. It reports false if the client has been evicted.
func (p *Pool[K]) Enter(now time.Time, key K, phase Phase) bool {
	c := p.clients[key]
	if c == nil || c.place == nil {
		return false
	}
	if phase == Idle {
		p.release(c)
	}
	if c.phase != phase {
		p.queues[c.phase].Remove(c.place)
		c.phase, c.since = phase, now
		c.place = p.queues[phase].PushBack(c)
	}
	return true
}

// Remove removes a client.
func (p *Pool[K]) Remove(key K) {
	c := p.clients[key]
	if c == nil {
		return
	}
	if c.place == nil {
		p.evicted--
	} else {
		p.take(c)
	}
	delete(p.clients, key)
}

// requestBytes returns the memory that all requests and answers together may take.
func (p *Pool[K]) requestBytes() int64 { return int64(p.config.RequestShare * float64(p.config.Bytes)) }

// stalled returns the client that has been Receiving or Sending for longest, if that is longer than Patience, or nil.
func (p *Pool[K]) stalled(now time.Time) *client[K] {
	c := p.oldest(Receiving)
	if s := p.oldest(Sending); c == nil || s != nil && s.since.Before(c.since) {
		c = s
	}
	if c == nil || now.Sub(c.since) <= p.config.Patience {
		return nil
	}
	return c
}

// oldest returns the client that has been in a phase for longest, or nil.
func (p *Pool[K]) oldest(phase Phase) *client[K] {
	if e := p.queues[phase].Front(); e != nil {
		return e.Value.(*client[K])
	}
	return nil
}

func (p *Pool[K]) evict(c *client[K]) K {
	p.take(c)
	p.evicted++
	return c.key
}

// take takes the memory of a client and its place in a queue from it.
func (p *Pool[K]) take(c *client[K]) {
	p.release(c)
	p.used -= p.config.ClientBytes
	p.queues[c.phase].Remove(c.place)
	c.place = nil
}

// release releases the memory of the request and the answer of a client.
func (p *Pool[K]) release(c *client[K]) {
	p.used -= c.requests
	p.requests -= c.requests
	c.requests = 0
}
