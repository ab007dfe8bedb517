package gather

import (
	"maps"
	"net/netip"
	"slices"
	"time"

	"github.com/arbutusthread/arbutusthread/route"
)

// Server describes a backend server.
type Server struct {
	// ID identifies the server. A restarted process may keep the ID.
	ID            string
	Address       netip.AddrPort
	FailureDomain string
	// Slots is the number of requests that the server runs concurrently.
	Slots int
	// Connections is this node's share of the connections that the server accepts.
	Connections int
	// ColdUntil is the end of a cold start. ColdRate is the maximum rate until then, in requests per second from all
	// nodes together; 0 means unlimited. ColdTime is the duration of a cold start.
	ColdUntil time.Time
	ColdRate  float64
	ColdTime  time.Duration
	// Draining is set if the server must get no new requests.
	Draining bool
	// StartTime is the start time of the server process, which may be restarted under the same ID.
	StartTime time.Time
}

// Pool is a set of interchangeable servers.
type Pool struct {
	Name    string
	Servers []Server
}

type pool struct {
	name    string
	servers []*server
	budget  budget
	// waiting holds the tasks that wait for capacity at a server, by priority. It may include tasks that no longer
	// wait.
	waiting []*task
}

// hasServers reports whether the pool has servers that accept new requests, now or later.
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

// isListed reports whether the server accepts new requests, now or later: it is neither draining, leaving nor replaced.
func (s *server) isListed() bool { return !s.Draining && !s.replaced && !s.isLeaving() }

// server holds the state of a backend server.
type server struct {
	Server
	health
	pool        *pool
	restart     restart
	recentSends slidingCounter
	// concurrencyLimit is the maximum number of outstanding requests from this node after the server has rejected
	// one; 0 means unlimited.
	concurrencyLimit int
	// backoffUntil is the end of the overload backoff. It is set when the server rejects a request.
	backoffUntil time.Time
	// pushbackUntil is the end of the time for which the server has asked for no requests.
	pushbackUntil time.Time
	// replaced is set if another process has answered on the address, so that this server no longer exists.
	replaced bool
	// leavingSince is the time at which the server announced that it leaves, zero if it has not.
	leavingSince time.Time
	// delistedAt is the time at which the server was last removed from the list.
	delistedAt time.Time
}

// delistedRetention is the time for which the state of a server is kept after it was removed from the list. Entries may
// expire and return while the server is running.
const delistedRetention = time.Minute

// SetPools replaces the pools and servers. Requests in flight continue, and waiting ones may be sent.
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
				s = e.delisted[v.ID]
			}
			if s == nil || s.Address != v.Address {
				s = &server{}
			}
			delete(e.delisted, v.ID)
			s.update(v, p)
			s.leavingSince = e.leaving[processOf(&v, v.StartTime)]
			servers[v.ID] = s
			p.servers = append(p.servers, s)
		}
		next[c.Name] = p
	}
	for id, s := range e.servers {
		if servers[id] == nil {
			s.delistedAt = now
			e.delisted[id] = s
		}
	}
	maps.DeleteFunc(e.delisted, func(_ string, s *server) bool {
		return now.Sub(s.delistedAt) > delistedRetention && !s.hasPushback(now)
	})
	e.pools, e.servers = next, servers
	var act Actions
	for _, c := range pools {
		p := next[c.Name]
		e.dispatch(now, p, &act)
		e.wakeUnservable(now, p, &act)
	}
	return act
}

func (s *server) update(v Server, p *pool) {
	if s.ColdUntil.After(v.ColdUntil) {
		// The time reported by the server is newer than the one listed by the platform.
		v.ColdUntil = s.ColdUntil
	}
	if !v.StartTime.Equal(s.StartTime) {
		s.replaced, s.pushbackUntil, s.restart = false, time.Time{}, restart{}
	}
	s.Server, s.pool = v, p
}

// cold reports whether the server is in a cold start, or will be when it is started again.
func (s *server) cold(now time.Time) bool { return now.Before(s.ColdUntil) || s.restart.cold(now) }

const (
	// coldWindow is the window over which the rate limit of a cold server, in requests per second, is enforced.
	coldWindow = time.Second
	// arrivalSpread is added to coldWindow when sends are counted. The first requests to a server that has just started
	// wait for connections, so that those of the next window follow them in less than a second.
	arrivalSpread = 100 * time.Millisecond
)

// slidingCounter counts the requests sent to a server in the last coldWindow and arrivalSpread.
type slidingCounter struct {
	times []time.Time
}

func (m *slidingCounter) count(now time.Time) int {
	for len(m.times) > 0 && now.Sub(m.times[0]) >= coldWindow+arrivalSpread {
		m.times = m.times[1:]
	}
	return len(m.times)
}

func (m *slidingCounter) add(now time.Time) {
	m.count(now)
	m.times = append(m.times, now)
}

// remove removes a request that was sent at the given time, if it is still counted.
func (m *slidingCounter) remove(at time.Time) {
	if i := slices.IndexFunc(m.times, at.Equal); i >= 0 {
		m.times = slices.Delete(m.times, i, i+1)
	}
}

// latencyClass holds the measured latencies of the requests of one class.
type latencyClass struct {
	// latencies covers a long window and recent a short one. The lower of their quantiles is used: the long window is
	// slow to rise in a burst, and the short one is fast to fall after it.
	latencies, recent *route.Distribution
	// target is the response-time objective.
	target time.Duration
	// usedAt is the time of the last request.
	usedAt time.Time
}

// maxClasses is the maximum number of classes of an engine, each of which takes 121 KB. Routes come and go with the
// configuration.
const maxClasses = 256

// dropOldestClass drops the class whose last request is the oldest. Its requests in flight keep it.
func (e *Engine) dropOldestClass() {
	oldest := ""
	for name, c := range e.classes {
		if old := e.classes[oldest]; old == nil || c.usedAt.Before(old.usedAt) {
			oldest = name
		}
	}
	delete(e.classes, oldest)
}

const (
	// defaultTarget is the response-time objective of a class whose requests have none.
	defaultTarget = 100 * time.Millisecond
	// defaultTypicalShare and defaultTailShare are the latencies assumed for a class until enough are measured, as
	// fractions of its response-time objective.
	defaultTypicalShare = 0.2
	defaultTailShare    = 0.4
	// typicalQuantile is the quantile used as the typical latency of a class. tailQuantile is the quantile used as its
	// tail latency, within which a hedge is expected to be answered.
	typicalQuantile = 0.5
	tailQuantile    = 0.95
)

// recentSamples is the size of the short window of a class. It covers a few seconds of a low rate of requests to 20
// shards. With the long window of 4,096 samples alone, shards were held back for 8 s after a burst of 5 s.
const recentSamples = 256

func newClass() *latencyClass {
	return &latencyClass{
		latencies: route.NewDistribution(), recent: route.NewDistributionWithWindow(recentSamples), target: defaultTarget,
	}
}

func (c *latencyClass) add(latency time.Duration) {
	c.latencies.Add(latency)
	c.recent.Add(latency)
}

func (c *latencyClass) quantile(q, share float64) time.Duration {
	v, ok := c.latencies.Quantile(q)
	if !ok {
		v = time.Duration(share * float64(c.target))
	}
	if r, ok := c.recent.Quantile(q); ok {
		v = min(v, r)
	}
	return max(v, time.Millisecond)
}

func (c *latencyClass) typical() time.Duration {
	return c.quantile(typicalQuantile, defaultTypicalShare)
}
func (c *latencyClass) tail() time.Duration { return c.quantile(tailQuantile, defaultTailShare) }
