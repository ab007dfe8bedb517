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

// waiter waits for a connection for the request with the given ID.
type waiter struct {
	id      string
	granted chan grant
}

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
	waiters     []*waiter
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
		w.granted <- grant{err: errRemoved}
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

// acquire returns a connection, with its deadline set, on which the request with the given ID may be sent. If none is
// idle, it opens one within the connection limit or waits for one. With check set, a reused connection is checked as
// for an order.
func (p *pool) acquire(ctx context.Context, deadline time.Time, id string, check bool) (*conn, error) {
	for {
		c, w, err := p.popIdleOrEnqueue(id)
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

func (p *pool) popIdleOrEnqueue(id string) (*conn, *waiter, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.removed {
		return nil, nil, errRemoved
	}
	if c := p.popIdleLocked(id); c != nil {
		return c, nil, nil
	}
	w := &waiter{id: id, granted: make(chan grant, 1)}
	p.waiters = append(p.waiters, w)
	if p.open >= p.limit && len(p.idle) > 0 {
		// None of the idle connections may carry the request. The oldest one makes room for another.
		p.retireLocked(p.idle[0])
		p.idle = slices.Delete(p.idle, 0, 1)
	}
	p.dialLocked()
	return nil, w, nil
}

// acquireIdle returns an idle connection that may carry the request with the given ID, or nil. The caller must call
// prepare on it.
func (p *pool) acquireIdle(id string) *conn {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.popIdleLocked(id)
}

// popIdleLocked returns the most recently used of the idle connections that may carry the request, so that surplus
// connections stay unused and expire.
func (p *pool) popIdleLocked(id string) *conn {
	for i, c := range slices.Backward(p.idle) {
		if c.mayCarry(id) {
			p.idle = slices.Delete(p.idle, i, i+1)
			c.incarnation = p.incarnation
			return c
		}
	}
	return nil
}

func (p *pool) wait(ctx context.Context, deadline time.Time, w *waiter) (*conn, error) {
	t := time.NewTimer(time.Until(deadline))
	defer t.Stop()
	err := errNoConnection
	select {
	case g := <-w.granted:
		return g.conn, g.err
	case <-ctx.Done():
		err = errCanceled
	case <-t.C:
	}
	if p.removeWaiter(w) {
		return nil, err
	}
	if g := <-w.granted; g.conn != nil {
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
func (p *pool) removeWaiter(w *waiter) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	i := slices.Index(p.waiters, w)
	if i < 0 {
		return false
	}
	p.waiters = slices.Delete(p.waiters, i, i+1)
	return true
}

// put passes a reusable connection to the first waiter whose request it may carry, or adds it to the idle connections.
// It retires the connection if the server was removed, the connection limit is exceeded, or all waiters need another
// connection and the limit leaves no room for one.
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
	if i := slices.IndexFunc(p.waiters, func(w *waiter) bool { return c.mayCarry(w.id) }); i >= 0 {
		c.incarnation = p.incarnation
		p.grantLocked(i, grant{conn: c})
		return
	}
	if len(p.waiters) > p.dialing && p.open >= p.limit {
		p.retireLocked(c)
		return
	}
	c.wasIdle = true
	p.idle = append(p.idle, c)
}

// grantLocked passes a connection or a dial error to the waiter with the given index.
func (p *pool) grantLocked(i int, g grant) {
	w := p.waiters[i]
	p.waiters = slices.Delete(p.waiters, i, i+1)
	w.granted <- g
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
		p.grantLocked(0, grant{err: err})
	}
	p.dialLocked()
}
