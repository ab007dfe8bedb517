package gather

import (
	"math"
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
}

// server is what the engine knows of a backend server.
type server struct {
	Server
	pool *pool
	// open are the attempts that have not ended, oldest first.
	open []*attempt
	// slowness is the moving average of latencies divided by the typical latency of their class.
	slowness   float64
	slownessAt time.Time
	// answeredAt is the time of the last answer.
	answeredAt time.Time
	// failures counts the failures in a row.
	failures     int
	ejections    int
	ejectedUntil time.Time
	sent         coldMeter
	removed      bool
}

const (
	// slownessWeight is the weight of a new sample in the moving average of the slowness.
	slownessWeight = 0.3
	// slownessHalfLife is the time in which an old measurement of slowness loses half of its
	// effect, so that a server that was slow is tried again.
	slownessHalfLife = 2 * time.Second
	// failuresToEject is the number of failures in a row that ejects a server.
	failuresToEject = 3
	// firstEjection is the first time for which a server is ejected. It doubles up to lastEjection.
	firstEjection = 250 * time.Millisecond
	lastEjection  = 4 * time.Second
)

// SetPools makes the engine use exactly these pools and servers. Requests in flight go on.
func (e *Engine) SetPools(pools []Pool) {
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
			if s == nil || s.Address != v.Address {
				s = &server{slowness: 1}
			}
			s.update(v, p)
			servers[v.ID] = s
			p.servers = append(p.servers, s)
		}
		next[c.Name] = p
	}
	for id, s := range e.servers {
		if servers[id] != s {
			s.removed = true
		}
	}
	e.pools, e.servers = next, servers
}

func (s *server) update(v Server, p *pool) {
	if s.Server.ColdUntil.After(v.ColdUntil) {
		// What the server said of itself is newer than what the platform lists.
		v.ColdUntil = s.Server.ColdUntil
	}
	s.Server, s.pool, s.removed = v, p, false
}

// observe includes a latency relative to the typical one of its class.
func (s *server) observe(now time.Time, ratio float64) {
	s.slowness = s.slownessNow(now) + slownessWeight*(ratio-s.slownessNow(now))
	s.slownessAt = now
}

// slownessNow returns the slowness, which approaches 1 while the server is not measured.
func (s *server) slownessNow(now time.Time) float64 {
	if s.slownessAt.IsZero() {
		return 1
	}
	age := now.Sub(s.slownessAt)
	return 1 + (s.slowness-1)*math.Exp2(-float64(age)/float64(slownessHalfLife))
}

// succeed records an answer.
func (s *server) succeed(now time.Time) {
	s.answeredAt = now
	s.failures, s.ejections, s.ejectedUntil = 0, 0, time.Time{}
}

// fail records a failure and reports whether it ejects the server.
func (s *server) fail(now time.Time, severe bool) bool {
	if now.Before(s.ejectedUntil) {
		return false
	}
	s.failures++
	if !severe && s.failures < failuresToEject && s.ejections == 0 {
		return false
	}
	s.ejectedUntil = now.Add(min(lastEjection, firstEjection<<min(s.ejections, 10)))
	s.ejections++
	s.failures = 0
	return true
}

// stalled reports whether an attempt has been open for longer than wait and nothing has been
// answered since it was sent. The server pauses, or is gone without a word.
func (s *server) stalled(now time.Time, wait time.Duration) bool {
	for _, a := range s.open {
		if a.canceled {
			continue
		}
		return now.Sub(a.sentAt) > wait && s.answeredAt.Before(a.sentAt)
	}
	return false
}

func (s *server) drop(a *attempt) {
	for i, x := range s.open {
		if x == a {
			s.open = append(s.open[:i], s.open[i+1:]...)
			return
		}
	}
}

// cold reports whether the server is in a cold start.
func (s *server) cold(now time.Time) bool { return now.Before(s.ColdUntil) }

// coldMeter counts the requests sent to a server in the last second.
type coldMeter struct {
	at []time.Time
}

func (m *coldMeter) count(now time.Time) int {
	for len(m.at) > 0 && now.Sub(m.at[0]) >= time.Second {
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
	latencies *route.Distribution
}

const (
	// defaultTypical and defaultTail are the latencies of a class until enough are measured, as
	// shares of its target latency.
	defaultTypical = 0.2
	defaultTail    = 0.4
	// typicalQuantile and tailQuantile of a class are its typical latency, and the time in which a
	// hedge may be expected to be answered.
	typicalQuantile = 0.5
	tailQuantile    = 0.95
)

func (c *class) quantile(q float64, target time.Duration, share float64) time.Duration {
	if v, ok := c.latencies.Quantile(q); ok {
		return v
	}
	return time.Duration(share * float64(target))
}

func (c *class) typical(target time.Duration) time.Duration {
	return max(time.Millisecond, c.quantile(typicalQuantile, target, defaultTypical))
}

func (c *class) tail(target time.Duration) time.Duration {
	return max(time.Millisecond, c.quantile(tailQuantile, target, defaultTail))
}
