package back

import (
	"bufio"
	"context"
	"crypto/tls"
	"io"
	"net"
	"net/netip"
	"slices"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"
)

const (
	// The TCP keepalive settings detect unreachable peers of idle connections.
	keepAliveIdle     = 5 * time.Second
	keepAliveInterval = 2 * time.Second
	keepAliveCount    = 3
	// aliveCheckAfter is the idle time after which a connection is checked before it is reused. Orders
	// always check it, because a write to a closed connection makes the outcome of an order Unknown.
	aliveCheckAfter = 10 * time.Millisecond
	// readBufferBytes is the size of the read buffer of a connection.
	readBufferBytes = 4 << 10
	// maxHeaderBytes bounds the status line and headers of an answer.
	maxHeaderBytes = 16 << 10
	// maxDrainBytes bounds what is read from a connection that is being closed. A server that sends more is reset.
	maxDrainBytes = 64 << 10
)

var errTooLarge = errors.New("back: answer is too large")

// conn is a connection to a server. Only one request uses it at a time.
type conn struct {
	raw    *net.TCPConn
	stream net.Conn
	reader *bufio.Reader
	// readBudget is the number of bytes that may still be read for the current answer.
	readBudget int
	// openedAt is the time at which the connection was opened.
	openedAt time.Time
	// bytesWritten counts the bytes that the kernel accepted.
	bytesWritten int64
	// lastUsed is the time when the connection was last put into the pool, and answers is the number of
	// answers read from it.
	lastUsed time.Time
	answers  int
	// echoesID is set once an answer bore the ID of its request. An answer without one is then for another request.
	echoesID bool
	// rejected holds the IDs of the requests that the server has rejected on the connection. None of them is sent on it
	// again, because a late copy of the rejection would be taken for the answer.
	rejected []string
	// wasIdle is set once the connection has been idle in the pool, where the server may have closed it.
	wasIdle bool
	isTLS   bool
	// idleTimeout is the time after which the idle connection is no longer used, from the Keep-Alive
	// header of the server; 0 if the server sent none.
	idleTimeout time.Duration
	// incarnation is the server's incarnation when the connection was acquired, or empty if unknown.
	incarnation string
	abort       func()
}

// connect opens a connection. The error wraps that of the dial or the TLS handshake.
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
	n := &conn{raw: v.(*net.TCPConn), openedAt: time.Now()}
	n.abort = func() { _ = n.raw.SetDeadline(time.Unix(1, 0)) }
	n.stream = countingConn{n.raw, n}
	if c.TLS != nil {
		t := tls.Client(n.stream, serverName(c.TLS, address))
		if err := t.HandshakeContext(ctx); err != nil {
			n.shutdown(c.RetireTimeout)
			return nil, errors.Wrapf(err, "back: TLS handshake with %s", address)
		}
		n.stream, n.isTLS = t, true
	}
	n.reader = bufio.NewReaderSize(budgetReader{n}, readBufferBytes)
	return n, nil
}

func serverName(c *tls.Config, address netip.AddrPort) *tls.Config {
	c = c.Clone()
	if c.ServerName == "" {
		c.ServerName = address.Addr().String()
	}
	return c
}

// fresh reports whether the connection has neither been idle nor returned an answer.
func (c *conn) fresh() bool { return c.answers == 0 && !c.wasIdle }

// maxRejected is the number of rejections after which a connection is no longer used. It bounds the memory for their IDs.
const maxRejected = 32

// mayCarry reports whether the request with this ID may be sent on the connection.
func (c *conn) mayCarry(id string) bool { return !slices.Contains(c.rejected, id) }

// recordRejection records that the server may have rejected the request with this ID on the connection. It reports
// whether the connection may be used for other requests.
func (c *conn) recordRejection(id string) bool {
	c.rejected = append(c.rejected, id)
	return len(c.rejected) < maxRejected
}

// expired reports whether the connection has been idle for the lifetime or for the server's idle
// timeout.
func (c *conn) expired(now time.Time, lifetime time.Duration) bool {
	if c.idleTimeout > 0 {
		lifetime = min(lifetime, c.idleTimeout)
	}
	return now.Sub(c.lastUsed) >= lifetime
}

// prepare sets the deadline of a connection and reports whether it can be used. It checks connections
// idle for aliveCheckAfter, and with check set also those used more recently, except connections that
// were just opened and TLS connections without an answer: unread TLS session tickets would fail the
// check until the first answer is read.
func (c *conn) prepare(deadline time.Time, check bool) bool {
	if c.raw.SetDeadline(deadline) != nil {
		return false
	}
	// Without IDs in the answers, only the check shows bytes that a server has sent late.
	check = check || c.answers > 0 && !c.echoesID
	check = check && (c.answers > 0 || c.wasIdle && !c.isTLS)
	return (!check && time.Since(c.lastUsed) < aliveCheckAfter) || c.alive()
}

// alive reports whether the connection is still open and has no unread bytes.
func (c *conn) alive() bool {
	r, err := c.raw.SyscallConn()
	if err != nil {
		return false
	}
	open := false
	err = r.Read(func(fd uintptr) bool {
		var b [1]byte
		_, _, err := syscall.Recvfrom(int(fd), b[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		open = errors.Is(err, syscall.EAGAIN)
		return true
	})
	return err == nil && open
}

// shutdown closes the sending side of the connection, which ends the request that runs on it, and waits
// for the server to close the other side. After the timeout, or when the server sends on, the connection is reset.
func (c *conn) shutdown(timeout time.Duration) {
	defer c.raw.Close()
	if c.raw.CloseWrite() != nil || c.raw.SetReadDeadline(time.Now().Add(timeout)) != nil {
		return
	}
	if n, err := io.CopyN(io.Discard, c.raw, maxDrainBytes); isTimeout(err) || n == maxDrainBytes {
		_ = c.raw.SetLinger(0)
	}
}

// countingConn counts the bytes written. Under TLS, these include a partially written record.
type countingConn struct {
	*net.TCPConn
	conn *conn
}

func (c countingConn) Write(b []byte) (int, error) {
	n, err := c.TCPConn.Write(b)
	c.conn.bytesWritten += int64(n)
	return n, err
}

// budgetReader returns errTooLarge once the read budget of the answer is used up.
type budgetReader struct {
	conn *conn
}

func (b budgetReader) Read(p []byte) (int, error) {
	if b.conn.readBudget <= 0 {
		return 0, errTooLarge
	}
	n, err := b.conn.stream.Read(p)
	b.conn.readBudget -= n
	return n, err
}

func isTimeout(err error) bool {
	var n net.Error
	return errors.As(err, &n) && n.Timeout()
}

func isRefused(err error) bool {
	return errors.Is(err, syscall.ECONNREFUSED) || errors.Is(err, syscall.ECONNRESET)
}
