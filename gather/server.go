package gather

import (
	"maps"
	"net/netip"
	"time"

	"github.com/arbutusthread/arbutusthread/route"
)

// Server is a backend server as an engine is told of it.
type Server struct {
	// ID names one server process.
	ID            string
	Address       netip.AddrPort
	FailureDomain string
	// Slots is the number of requests that the server runs at once.
	Slots int
	// Connections is this node's share of the connections that the server accepts.
	Connections int
	// ColdUntil is the end of a cold start, and ColdRate the requests a second that the server
	// bears until then from all nodes; a rate of 0 means no bound.
	ColdUntil time.Time
	ColdRate  float64
	// Draining servers get no new work.
	Draining bool
	// Born is the start of the server process, which may start again under its ID.
	Born time.Time
}

// Pool is a set of servers that answer equally well.
type Pool struct {
	Name    string
	Servers []Server
}

type pool struct {
	name    string
	servers []*server
	budget  budget
	// waiting are the tasks that wait for room at a server, the most urgent first. Some may have
	// ended.
	waiting []*task
}

// hasServers reports whether the pool has servers that take new work, now or later.
func (p *pool) hasServers() bool {
	if p == nil {
		return false
	}
	for _, s := range p.servers {
		if s.isListed() {
			return true
		}
	}
	return false
}

// isListed reports whether the server takes new work, now or later.
func (s *server) isListed() bool { return !s.Draining && !s.replaced }

// server is what the engine knows of a backend server.
type server struct {
	Server
	health
	pool *pool
	sent coldMeter
	// window is the number of requests that this node sends at once to a server that has refused
	// one; 0 means no bound.
	window int
	// fullUntil is set when the server has refused a request.
	fullUntil time.Time
	// replaced means that another process has answered at the address, so that this one is gone.
	replaced bool
	// absentSince is when the server was last taken off the list.
	absentSince time.Time
}

// absentTime is how long a server that is no longer listed is remembered. Entries may lapse and come
// back while the server lives.
const absentTime = time.Minute

// SetPools makes the engine use exactly these pools and servers. Requests in flight go on, and those
// that wait may be sent.
func (e *Engine) SetPools(now time.Time, pools []Pool) Actions {
	servers := make(map[string]*server, len(e.servers))
	next := make(map[string]*pool, len(pools))
	for _, c := range pools {
		p := e.pools[c.Name]
		if p == nil {
			p = &pool{name: c.Name}
		}
		p.servers = p.servers[:0:0]
		for _, v := range c.Servers {
			s := e.servers[v.ID]
			if s == nil {
				s = e.absent[v.ID]
			}
			if s == nil || s.Address != v.Address {
				s = &server{}
			}
			delete(e.absent, v.ID)
			s.update(v, p)
			servers[v.ID] = s
			p.servers = append(p.servers, s)
		}
		next[c.Name] = p
	}
	for id, s := range e.servers {
		if servers[id] == nil {
			s.absentSince = now
			e.absent[id] = s
		}
	}
	maps.DeleteFunc(e.absent, func(_ string, s *server) bool { return now.Sub(s.absentSince) > absentTime })
	e.pools, e.servers = next, servers
	var act Actions
	for _, p := range next {
		e.dispatch(now, p, &act)
	}
	return act
}

func (s *server) update(v Server, p *pool) {
	if s.ColdUntil.After(v.ColdUntil) {
		// What the server said of itself is newer than what the platform lists.
		v.ColdUntil = s.ColdUntil
	}
	if !v.Born.Equal(s.Born) {
		s.replaced = false
	}
	s.Server, s.pool = v, p
}

// cold reports whether the server is in a cold start.
func (s *server) cold(now time.Time) bool { return now.Before(s.ColdUntil) }

// coldWindow is the window of the bound on a cold server, which is a rate per second.
const coldWindow = time.Second

// coldMeter counts the requests sent to a server in the last coldWindow.
type coldMeter struct {
	at []time.Time
}

func (m *coldMeter) count(now time.Time) int {
	for len(m.at) > 0 && now.Sub(m.at[0]) >= coldWindow {
		m.at = m.at[1:]
	}
	return len(m.at)
}

func (m *coldMeter) add(now time.Time) {
	m.count(now)
	m.at = append(m.at, now)
}

// class is what the engine knows of the requests of one route.
type class struct {
	// latencies are those of a long window and recent those of a short one. The lower quantile counts: the
	// long window is slow to take in a burst, and the short one quick to forget it.
	latencies, recent *route.Distribution
	// target is the response-time objective.
	target time.Duration
}

const (
	// defaultTarget is used for a class whose requests have named no objective.
	defaultTarget = 100 * time.Millisecond
	// defaultTypical and defaultTail are the latencies of a class until enough are measured, as
	// shares of its target latency.
	defaultTypical = 0.2
	defaultTail    = 0.4
	// typicalQuantile and tailQuantile of a class are its typical latency, and the time in which a
	// hedge may be expected to be answered.
	typicalQuantile = 0.5
	tailQuantile    = 0.95
)

// recentSamples is the size of the short window of a class, some seconds of a few requests to 20 shards. With
// the long one of 4,096 alone, shards were held back for 8 s after a burst of 5 s.
const recentSamples = 256

func newClass() *class {
	return &class{
		latencies: route.NewDistribution(), recent: route.NewDistributionOf(recentSamples), target: defaultTarget,
	}
}

func (c *class) add(latency time.Duration) {
	c.latencies.Add(latency)
	c.recent.Add(latency)
}

func (c *class) quantile(q, share float64) time.Duration {
	v, ok := c.latencies.Quantile(q)
	if !ok {
		v = time.Duration(share * float64(c.target))
	}
	if r, ok := c.recent.Quantile(q); ok {
		v = min(v, r)
	}
	return max(v, time.Millisecond)
}

func (c *class) typical() time.Duration { return c.quantile(typicalQuantile, defaultTypical) }
func (c *class) tail() time.Duration    { return c.quantile(tailQuantile, defaultTail) }
