package front

import (
	"context"
	"net"
	"sync/atomic"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// callerConn is what is known of a caller's connection.
type callerConn struct {
	raw syscall.RawConn
	// served counts the requests on the connection.
	served atomic.Int64
}

type connKey struct{}

// withConn keeps a caller's connection in the context of its requests.
func withConn(ctx context.Context, c net.Conn) context.Context {
	t, ok := c.(*net.TCPConn)
	if !ok {
		return ctx
	}
	raw, err := t.SyscallConn()
	if err != nil {
		return ctx
	}
	return context.WithValue(ctx, connKey{}, &callerConn{raw: raw})
}

// defaultRoundTrip is used where the system does not tell the round-trip time of a connection.
const defaultRoundTrip = 2 * time.Millisecond

// roundTrip returns the round-trip time to the caller, and whether this is the first request on its
// connection. It is called once for each request.
func roundTrip(ctx context.Context) (rtt time.Duration, first bool) {
	c, ok := ctx.Value(connKey{}).(*callerConn)
	if !ok {
		return defaultRoundTrip, true
	}
	first = c.served.Add(1) == 1
	rtt = defaultRoundTrip
	_ = c.raw.Control(func(fd uintptr) {
		info, err := unix.GetsockoptTCPInfo(int(fd), unix.IPPROTO_TCP, unix.TCP_INFO)
		if err == nil && info.Rtt > 0 {
			rtt = time.Duration(info.Rtt) * time.Microsecond
		}
	})
	return rtt, first
}
