package back

import (
	"context"
	"net/netip"
	"slices"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
)

var (
	errRemoved      = errors.New("back: server is not configured")
	errNoConnection = errors.New("back: connection limit reached and no connection became free")
	errCanceled     = errors.New("back: canceled while waiting for a connection")
)

// grant passes a connection or a dial error to a waiter.
type grant struct {
	conn *conn
	err  error
}

type waiter chan grant

// pool holds the connections of one server. The field open counts every connection from before its
// dial until the server has closed it.
type pool struct {
	config  *Config
	address netip.AddrPort
	host    string

	mu          sync.Mutex
	limit       int
	removed     bool
	open        int
	dialing     int
	idle        []*conn
	waiters     []waiter
	incarnation string
}

func newPool(c *Config, address netip.AddrPort) *pool {
	return &pool{config: c, address: address, host: address.String()}
}

func (p *pool) setLimit(limit int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.limit = limit
	p.removed = false
	excess := min(p.open-p.limit, len(p.idle))
	p.retireIdleLocked(func(*conn) bool {
		excess--
		return excess >= 0
	})
	p.dialLocked()
}

// remove retires the idle connections, fails the waiters with errRemoved and returns the number of
// connections that are still counted.
func (p *pool) remove() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.removed = true
	p.retireIdleLocked(func(*conn) bool { return true })
	for _, w := range p.waiters {
		w <- grant{err: errRemoved}
	}
	p.waiters = nil
	return p.open
}

func (p *pool) setIncarnation(incarnation string) {
	p.mu.Lock()
	p.incarnation = incarnation
	p.mu.Unlock()
}

func (p *pool) reap(now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.retireIdleLocked(func(c *conn) bool { return c.expired(now, p.config.IdleLifetime) })
}

// retireIdleBefore retires the idle connections that were last used before t. When one connection stops
// delivering data, others that were idle at the same time may have failed in the same way.
func (p *pool) retireIdleBefore(t time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.retireIdleLocked(func(c *conn) bool { return c.lastUsed.Before(t) })
}

func (p *pool) retireIdleLocked(match func(*conn) bool) {
	kept := p.idle[:0]
	for _, c := range p.idle {
		if match(c) {
			p.retireLocked(c)
			continue
		}
		kept = append(kept, c)
	}
	clear(p.idle[len(kept):])
	p.idle = kept
}

// acquire returns a connection with its deadline set. If none is idle, it opens one within the
// connection limit or waits for one. With check set, a reused connection is checked as for an order.
func (p *pool) acquire(ctx context.Context, deadline time.Time, check bool) (*conn, error) {
	for {
		c, w, err := p.popIdleOrEnqueue()
		if c == nil && err == nil {
			c, err = p.wait(ctx, deadline, w)
		}
		if err != nil {
			return nil, err
		}
		if !c.expired(time.Now(), p.config.IdleLifetime) && c.prepare(deadline, check) {
			return c, nil
		}
		p.retire(c)
	}
}

func (p *pool) popIdleOrEnqueue() (*conn, waiter, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.removed {
		return nil, nil, errRemoved
	}
	if c := p.popIdleLocked(); c != nil {
		return c, nil, nil
	}
	w := make(waiter, 1)
	p.waiters = append(p.waiters, w)
	p.dialLocked()
	return nil, w, nil
}

// acquireIdle returns an idle connection or nil. The caller must call prepare on it.
func (p *pool) acquireIdle() *conn {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.popIdleLocked()
}

// popIdleLocked returns the most recently used idle connection, so that surplus connections stay unused
// and expire.
func (p *pool) popIdleLocked() *conn {
	last := len(p.idle) - 1
	if last < 0 {
		return nil
	}
	c := p.idle[last]
	p.idle[last] = nil
	p.idle = p.idle[:last]
	c.incarnation = p.incarnation
	return c
}

func (p *pool) wait(ctx context.Context, deadline time.Time, w waiter) (*conn, error) {
	t := time.NewTimer(time.Until(deadline))
	defer t.Stop()
	err := errNoConnection
	select {
	case g := <-w:
		return g.conn, g.err
	case <-ctx.Done():
		err = errCanceled
	case <-t.C:
	}
	if p.removeWaiter(w) {
		return nil, err
	}
	if g := <-w; g.conn != nil {
		p.put(g.conn)
	}
	return nil, err
}

// isDialing reports whether a dial is in progress. If the server does not answer, the dial may still be
// in progress at the deadline of its waiters.
func (p *pool) isDialing() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.dialing > 0
}

// removeWaiter removes a waiter. It returns false if the waiter has already received a grant.
func (p *pool) removeWaiter(w waiter) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	i := slices.Index(p.waiters, w)
	if i < 0 {
		return false
	}
	p.waiters = slices.Delete(p.waiters, i, i+1)
	return true
}

// put passes a reusable connection to the first waiter or adds it to the idle connections. It retires
// the connection if the server was removed or the connection limit is exceeded.
func (p *pool) put(c *conn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.putLocked(c)
}

func (p *pool) putLocked(c *conn) {
	c.lastUsed = time.Now()
	if p.removed || p.open > p.limit {
		p.retireLocked(c)
		return
	}
	if len(p.waiters) > 0 {
		c.incarnation = p.incarnation
		p.grantLocked(grant{conn: c})
		return
	}
	c.wasIdle = true
	p.idle = append(p.idle, c)
}

func (p *pool) grantLocked(g grant) {
	w := p.waiters[0]
	p.waiters = p.waiters[1:]
	w <- g
}

// release stops counting a connection that has been closed.
func (p *pool) release() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.open--
	p.dialLocked()
}

// discard closes a connection without waiting for the server. With reset set, it resets the connection:
// unsent bytes of an abandoned request would otherwise reach the server when a network partition heals.
func (p *pool) discard(c *conn, reset bool) {
	if reset {
		_ = c.raw.SetLinger(0)
	}
	_ = c.raw.Close()
	p.release()
}

// retire shuts a connection down in the background. The connection is counted until the server has
// closed it, or until it is reset after RetireTimeout.
func (p *pool) retire(c *conn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.retireLocked(c)
}

func (p *pool) retireLocked(c *conn) {
	go func() {
		c.shutdown(p.config.RetireTimeout)
		p.release()
	}()
}

// dialLocked starts one dial for each waiter without a dial, up to the connection limit.
func (p *pool) dialLocked() {
	for !p.removed && p.dialing < len(p.waiters) && p.open < p.limit {
		p.open++
		p.dialing++
		go p.dial()
	}
}

// dial opens a connection for a waiter. It is not canceled with the request that caused it, because a
// canceled dial could leave a connection open at the server that is no longer counted here.
func (p *pool) dial() {
	c, err := connect(p.config, p.address, p.config.DialTimeout)
	p.mu.Lock()
	defer p.mu.Unlock()
	// The dial count and the waiters must change under the same lock. If the dial were no longer counted
	// while its waiter is still queued, a second dial would be started for the waiter.
	p.dialing--
	if err == nil {
		p.putLocked(c)
		return
	}
	p.open--
	if isRefused(err) {
		p.incarnation = ""
	}
	if len(p.waiters) > 0 {
		p.grantLocked(grant{err: err})
	}
	p.dialLocked()
}
