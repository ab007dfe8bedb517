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
	errRemoved  = errors.New("back: the server is not in the configuration")
	errNoSlot   = errors.New("back: no connection became free under the cap")
	errCanceled = errors.New("back: canceled before a connection was free")
)

// grant hands a connection, or the failure of a dial, to a waiter.
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

func (p *pool) setCap(limit int) {
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

// drop closes the idle connections, refuses the waiters and returns the number of connections that
// still count.
func (p *pool) drop() int {
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

func (p *pool) learn(incarnation string) {
	p.mu.Lock()
	p.incarnation = incarnation
	p.mu.Unlock()
}

func (p *pool) reap(now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.retireIdleLocked(func(c *conn) bool { return c.expired(now, p.config.IdleLifetime) })
}

// distrust retires the idle connections that have not been used since the time. After one
// connection has gone silent, others of the same age may have too.
func (p *pool) distrust(since time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.retireIdleLocked(func(c *conn) bool { return c.used.Before(since) })
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

// take returns a connection with its deadline set. It opens one when none is idle and the cap
// allows it, and otherwise waits.
func (p *pool) take(ctx context.Context, deadline time.Time, order bool) (*conn, error) {
	for {
		c, w, err := p.idleOrWaiter()
		if c == nil && err == nil {
			c, err = p.wait(ctx, deadline, w)
		}
		if err != nil {
			return nil, err
		}
		if !c.expired(time.Now(), p.config.IdleLifetime) && c.ready(deadline, order) {
			return c, nil
		}
		p.retire(c)
	}
}

func (p *pool) idleOrWaiter() (*conn, waiter, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.removed {
		return nil, nil, errRemoved
	}
	if c := p.popLocked(); c != nil {
		return c, nil, nil
	}
	w := make(waiter, 1)
	p.waiters = append(p.waiters, w)
	p.dialLocked()
	return nil, w, nil
}

// takeIdle returns an idle connection or nil. It must be checked with ready.
func (p *pool) takeIdle() *conn {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.popLocked()
}

// popLocked returns the idle connection that was used last, so that the others reach their
// lifetime when few are needed.
func (p *pool) popLocked() *conn {
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
	err := errNoSlot
	select {
	case g := <-w:
		return g.conn, g.err
	case <-ctx.Done():
		err = errCanceled
	case <-t.C:
	}
	if p.forget(w) {
		return nil, err
	}
	if g := <-w; g.conn != nil {
		p.put(g.conn)
	}
	return nil, err
}

// dials reports whether a connection is being opened. A server that does not answer leaves it open
// until the deadline of its waiters.
func (p *pool) dials() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.dialing > 0
}

// forget removes a waiter. It returns false when the waiter has been granted something.
func (p *pool) forget(w waiter) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	i := slices.Index(p.waiters, w)
	if i < 0 {
		return false
	}
	p.waiters = slices.Delete(p.waiters, i, i+1)
	return true
}

// put gives a connection that may be used again to a waiter or keeps it.
func (p *pool) put(c *conn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.putLocked(c)
}

func (p *pool) putLocked(c *conn) {
	c.used = time.Now()
	if p.removed || p.open > p.limit {
		p.retireLocked(c)
		return
	}
	if len(p.waiters) > 0 {
		c.incarnation = p.incarnation
		p.grantLocked(grant{conn: c})
		return
	}
	c.kept = true
	p.idle = append(p.idle, c)
}

func (p *pool) grantLocked(g grant) {
	w := p.waiters[0]
	p.waiters = p.waiters[1:]
	w <- g
}

// release gives up the place of a connection that the server has closed.
func (p *pool) release() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.open--
	p.dialLocked()
}

// discard closes a connection at once. A connection with a request that is given up is reset: bytes
// that a partition holds up would otherwise reach the server when it heals.
func (p *pool) discard(c *conn, givenUp bool) {
	if givenUp {
		_ = c.raw.SetLinger(0)
	}
	_ = c.raw.Close()
	p.release()
}

// retire closes a connection and counts it until the server has closed it too.
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

// dialLocked starts as many dials as there are waiters without one, up to the cap.
func (p *pool) dialLocked() {
	for !p.removed && p.dialing < len(p.waiters) && p.open < p.limit {
		p.open++
		p.dialing++
		go p.dial()
	}
}

// dial does not end with the request that needs it: a canceled dial could leave a connection at
// the server that no longer counts here.
func (p *pool) dial() {
	c, err := connect(p.config, p.address, p.config.DialTimeout)
	p.mu.Lock()
	defer p.mu.Unlock()
	// In one step with the grant: a dial that no longer counts while its waiter still does would be
	// followed by a second one.
	p.dialing--
	if err == nil {
		p.putLocked(c)
		return
	}
	p.open--
	if refused(err) {
		p.incarnation = ""
	}
	if len(p.waiters) > 0 {
		p.grantLocked(grant{err: err})
	}
	p.dialLocked()
}
