package soak

import (
	"context"
	"net"
	"net/netip"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
)

// linkFault is what a proxy does to the bytes that pass it.
type linkFault struct {
	// Delay holds up the bytes of both directions.
	Delay time.Duration
	// DropUp and DropDown lose the bytes towards and from the target. A connection that has lost some
	// stays silent until one side closes it.
	DropUp, DropDown bool
	// Refuse resets new connections.
	Refuse bool
}

// proxy forwards connections from its address to a target.
type proxy struct {
	target   netip.AddrPort
	listener net.Listener
	work     sync.WaitGroup

	mu     sync.Mutex
	fault  linkFault
	conns  map[net.Conn]bool
	closed bool
}

func newProxy(target netip.AddrPort) (*proxy, error) {
	l, err := new(net.ListenConfig).Listen(context.Background(), "tcp", "127.0.0.1:0")
	if err != nil {
		return nil, errors.Wrapf(err, "soak: proxy of %s", target)
	}
	p := &proxy{target: target, listener: l, conns: make(map[net.Conn]bool)}
	p.work.Go(p.accept)
	return p, nil
}

func (p *proxy) address() netip.AddrPort { return p.listener.Addr().(*net.TCPAddr).AddrPort() }

func (p *proxy) set(f linkFault) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.fault = f
}

func (p *proxy) get() linkFault {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.fault
}

// reset breaks all open connections.
func (p *proxy) reset() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for c := range p.conns {
		abort(c)
	}
}

func abort(c net.Conn) {
	if t, ok := c.(*net.TCPConn); ok {
		// The error says that the connection is closed already.
		_ = t.SetLinger(0)
	}
	_ = c.Close()
}

func (p *proxy) close() {
	p.mu.Lock()
	p.closed = true
	_ = p.listener.Close()
	for c := range p.conns {
		_ = c.Close()
	}
	p.mu.Unlock()
	p.work.Wait()
}

// add keeps a connection to be closed with the proxy. It returns false when that is closed.
func (p *proxy) add(c net.Conn) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if !p.closed {
		p.conns[c] = true
	}
	return !p.closed
}

func (p *proxy) remove(c net.Conn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	delete(p.conns, c)
}

func (p *proxy) accept() {
	for {
		c, err := p.listener.Accept()
		if err != nil {
			return
		}
		if p.get().Refuse || !p.add(c) {
			abort(c)
			continue
		}
		p.work.Go(func() { p.serve(c) })
	}
}

// dialTime bounds the connection to the target, which is on the same machine.
const dialTime = time.Second

func (p *proxy) serve(c net.Conn) {
	defer p.remove(c)
	d := net.Dialer{Timeout: dialTime}
	t, err := d.DialContext(context.Background(), "tcp", p.target.String())
	if err != nil || !p.add(t) {
		abort(c)
		return
	}
	defer p.remove(t)
	var both sync.WaitGroup
	both.Go(func() { p.copy(t, c, func(f linkFault) bool { return f.DropUp }) })
	both.Go(func() { p.copy(c, t, func(f linkFault) bool { return f.DropDown }) })
	both.Wait()
}

// copy forwards bytes until one side ends, and passes the end on: a reset as a reset.
func (p *proxy) copy(to, from net.Conn, drops func(linkFault) bool) {
	buffer := make([]byte, 32<<10)
	lost := false
	for {
		n, err := from.Read(buffer)
		f := p.get()
		lost = lost || n > 0 && drops(f)
		if n > 0 && !lost {
			time.Sleep(f.Delay)
			if _, err := to.Write(buffer[:n]); err != nil {
				abort(from)
				return
			}
		}
		if err == nil {
			continue
		}
		if lost {
			// The other side is told nothing, as when the network has forgotten the connection.
			_ = from.Close()
			return
		}
		if errors.Is(err, net.ErrClosed) || !isEOF(err) {
			abort(to)
			return
		}
		if t, ok := to.(*net.TCPConn); ok {
			_ = t.CloseWrite()
		}
		return
	}
}
