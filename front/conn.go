package front

import (
	"context"
	"net"
	"sync/atomic"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// callerConn is the state kept for a caller's connection.
type callerConn struct {
	raw syscall.RawConn
	// requests is the number of requests received on the connection.
	requests atomic.Int64
}

type callerConnKey struct{}

// withCallerConn stores the caller's connection in the context of its requests.
func withCallerConn(ctx context.Context, c net.Conn) context.Context {
	t, ok := c.(*net.TCPConn)
	if !ok {
		return ctx
	}
	raw, err := t.SyscallConn()
	if err != nil {
		return ctx
	}
	return context.WithValue(ctx, callerConnKey{}, &callerConn{raw: raw})
}

// defaultRoundTripTime is used if the kernel reports no round-trip time for a connection.
const defaultRoundTripTime = 2 * time.Millisecond

// roundTripTime returns the round-trip time to the caller, and whether this is the first request on its
// connection. It must be called exactly once per request because it counts the requests.
func roundTripTime(ctx context.Context) (rtt time.Duration, first bool) {
	c, ok := ctx.Value(callerConnKey{}).(*callerConn)
	if !ok {
		return defaultRoundTripTime, true
	}
	first = c.requests.Add(1) == 1
	rtt = defaultRoundTripTime
	_ = c.raw.Control(func(fd uintptr) {
		info, err := unix.GetsockoptTCPInfo(int(fd), unix.IPPROTO_TCP, unix.TCP_INFO)
		if err == nil && info.Rtt > 0 {
			rtt = time.Duration(info.Rtt) * time.Microsecond
		}
	})
	return rtt, first
}
