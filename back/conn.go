package back

import (
	"bufio"
	"context"
	"crypto/tls"
	"io"
	"net"
	"net/netip"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"
)

const (
	// keepAliveIdle and keepAliveInterval find dead peers of idle connections.
	keepAliveIdle     = 5 * time.Second
	keepAliveInterval = 2 * time.Second
	keepAliveCount    = 3
	// checkAfter is the idle time after which a connection is checked before it is used again.
	// An order is always checked, because a write to a closed connection makes it Unknown.
	checkAfter = 10 * time.Millisecond
	// readBuffer is the size of the read buffer of a connection in bytes.
	readBuffer = 4 << 10
	// maxHead bounds the head of an answer in bytes.
	maxHead = 16 << 10
)

var errTooLarge = errors.New("back: the answer is too large")

// conn is one connection. Only one request uses it at a time.
type conn struct {
	raw    *net.TCPConn
	stream net.Conn
	reader *bufio.Reader
	// budget is the number of bytes that the current answer may still take.
	budget int
	// written counts the bytes given to the kernel.
	written int64
	// used is the time of the last use, and served is the number of answers.
	used   time.Time
	served int
	// kept says that the connection has been idle in the pool, where the server may have closed it.
	kept bool
	// secure says that the stream is one of TLS.
	secure bool
	// idleLimit is how long the server keeps the connection without use, 0 when it did not say.
	idleLimit time.Duration
	// incarnation is that of the server when the connection was taken, empty when unknown.
	incarnation string
	abort       func()
}

// connect opens a connection. Its error is the one of the dial or the TLS handshake.
func connect(c *Config, address netip.AddrPort, timeout time.Duration) (*conn, error) {
	ctx, cancel := context.WithTimeout(context.Background(), timeout)
	defer cancel()
	d := net.Dialer{
		KeepAliveConfig: net.KeepAliveConfig{
			Enable: true, Idle: keepAliveIdle, Interval: keepAliveInterval, Count: keepAliveCount,
		},
		Control: func(_, _ string, r syscall.RawConn) error { return setUserTimeout(r, c.UserTimeout) },
	}
	v, err := d.DialContext(ctx, "tcp", address.String())
	if err != nil {
		return nil, errors.Wrapf(err, "back: dial %s", address)
	}
	n := &conn{raw: v.(*net.TCPConn)}
	n.abort = func() { _ = n.raw.SetDeadline(time.Unix(1, 0)) }
	n.stream = counted{n.raw, n}
	if c.TLS != nil {
		t := tls.Client(n.stream, serverName(c.TLS, address))
		if err := t.HandshakeContext(ctx); err != nil {
			n.shutdown(c.RetireTimeout)
			return nil, errors.Wrapf(err, "back: TLS handshake with %s", address)
		}
		n.stream, n.secure = t, true
	}
	n.reader = bufio.NewReaderSize(bounded{n}, readBuffer)
	return n, nil
}

func serverName(c *tls.Config, address netip.AddrPort) *tls.Config {
	c = c.Clone()
	if c.ServerName == "" {
		c.ServerName = address.Addr().String()
	}
	return c
}

// fresh reports whether the connection was opened for the request that uses it.
func (c *conn) fresh() bool { return c.served == 0 && !c.kept }

// expired reports whether the connection has been idle for its lifetime.
func (c *conn) expired(now time.Time, lifetime time.Duration) bool {
	if c.idleLimit > 0 {
		lifetime = min(lifetime, c.idleLimit)
	}
	return now.Sub(c.used) >= lifetime
}

// ready sets the deadline of a connection and reports whether it can be used. One that was just
// opened needs no check. TLS session tickets would fail the check until the first answer is read.
func (c *conn) ready(deadline time.Time, check bool) bool {
	if c.raw.SetDeadline(deadline) != nil {
		return false
	}
	check = check && (c.served > 0 || c.kept && !c.secure)
	return (!check && time.Since(c.used) < checkAfter) || c.alive()
}

// alive reports whether the server has neither closed the connection nor sent bytes that no
// request asked for.
func (c *conn) alive() bool {
	r, err := c.raw.SyscallConn()
	if err != nil {
		return false
	}
	quiet := false
	err = r.Read(func(fd uintptr) bool {
		var b [1]byte
		_, _, err := syscall.Recvfrom(int(fd), b[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		quiet = errors.Is(err, syscall.EAGAIN)
		return true
	})
	return err == nil && quiet
}

// shutdown closes the connection and returns when the server has closed it too, which ends the
// request that runs on it. After the timeout the connection is reset.
func (c *conn) shutdown(timeout time.Duration) {
	defer c.raw.Close()
	if c.raw.CloseWrite() != nil || c.raw.SetReadDeadline(time.Now().Add(timeout)) != nil {
		return
	}
	if _, err := io.Copy(io.Discard, c.raw); isTimeout(err) {
		_ = c.raw.SetLinger(0)
	}
}

// counted counts the bytes written. Under TLS, a record that was written only in part counts.
type counted struct {
	*net.TCPConn
	conn *conn
}

func (c counted) Write(b []byte) (int, error) {
	n, err := c.TCPConn.Write(b)
	c.conn.written += int64(n)
	return n, err
}

// bounded ends a read when the answer has used up its budget.
type bounded struct {
	conn *conn
}

func (b bounded) Read(p []byte) (int, error) {
	if b.conn.budget <= 0 {
		return 0, errTooLarge
	}
	n, err := b.conn.stream.Read(p)
	b.conn.budget -= n
	return n, err
}

func isTimeout(err error) bool {
	var n net.Error
	return errors.As(err, &n) && n.Timeout()
}

func refused(err error) bool {
	return errors.Is(err, syscall.ECONNREFUSED) || errors.Is(err, syscall.ECONNRESET)
}
