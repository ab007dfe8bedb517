package soak

import (
	"context"
	"net"
	"net/netip"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
)

// linkFault describes the faults that a proxy applies to its connections.
type linkFault struct {
	// Delay delays the bytes in both directions.
	Delay time.Duration
	// DropUp and DropDown drop the bytes to and from the target. Once bytes were dropped, the connection
	// forwards nothing more in that direction until one side closes it.
	DropUp, DropDown bool
	// Refuse resets new connections.
	Refuse bool
}

// proxy forwards TCP connections from its loopback address to a target.
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

// reset resets all open connections.
func (p *proxy) reset() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for c := range p.conns {
		resetConn(c)
	}
}

func resetConn(c net.Conn) {
	if t, ok := c.(*net.TCPConn); ok {
		// SetLinger fails only if the connection is already closed.
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

// add registers a connection to be closed with the proxy. It returns false if the proxy is already closed.
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
			resetConn(c)
			continue
		}
		p.work.Go(func() { p.serve(c) })
	}
}

// dialTimeout is the timeout for connecting to the target, which is on the same machine.
const dialTimeout = time.Second

func (p *proxy) serve(c net.Conn) {
	defer p.remove(c)
	d := net.Dialer{Timeout: dialTimeout}
	t, err := d.DialContext(context.Background(), "tcp", p.target.String())
	if err != nil || !p.add(t) {
		resetConn(c)
		return
	}
	defer p.remove(t)
	var both sync.WaitGroup
	both.Go(func() { p.forward(t, c, func(f linkFault) bool { return f.DropUp }) })
	both.Go(func() { p.forward(c, t, func(f linkFault) bool { return f.DropDown }) })
	both.Wait()
}

// forward copies bytes until one side closes, and propagates the close; a reset is propagated as a reset.
func (p *proxy) forward(to, from net.Conn, drops func(linkFault) bool) {
	buffer := make([]byte, 32<<10)
	dropped := false
	for {
		n, err := from.Read(buffer)
		f := p.get()
		dropped = dropped || n > 0 && drops(f)
		if n > 0 && !dropped {
			time.Sleep(f.Delay)
			if _, err := to.Write(buffer[:n]); err != nil {
				resetConn(from)
				return
			}
		}
		if err == nil {
			continue
		}
		if dropped {
			// The other side is not notified, as when a device on the path has lost the state of the connection.
			_ = from.Close()
			return
		}
		if errors.Is(err, net.ErrClosed) || !isEOF(err) {
			resetConn(to)
			return
		}
		if t, ok := to.(*net.TCPConn); ok {
			_ = t.CloseWrite()
		}
		return
	}
}
