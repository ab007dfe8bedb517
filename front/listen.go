package front

import (
	"net"
	"net/netip"
	"os"
	"time"

	"github.com/cockroachdb/errors"
	"golang.org/x/sys/unix"
)

// listener is a TCP listener that can be closed without a reset of the connections that wait to be accepted.
type listener struct {
	*net.TCPListener
}

func listen(a netip.AddrPort) (*listener, error) {
	l, err := net.ListenTCP("tcp", net.TCPAddrFromAddrPort(a))
	if err != nil {
		return nil, errors.Wrapf(err, "front: listen on %s", a)
	}
	return &listener{l}, nil
}

// acceptTime is the time for which Accept waits for connections that are pending when the listener drains.
const acceptTime = 10 * time.Millisecond

// drain makes Accept return the pending connections and then close the listener. The kernel has completed their
// handshakes, so that callers have sent requests on them, which a close would discard.
func (l *listener) drain() { _ = l.SetDeadline(time.Unix(1, 0)) }

// Accept returns the next connection, and net.ErrClosed after drain if none is pending.
func (l *listener) Accept() (net.Conn, error) {
	for {
		c, err := l.AcceptTCP()
		if err == nil {
			return &lingeringConn{TCPConn: c}, nil
		}
		if !errors.Is(err, os.ErrDeadlineExceeded) {
			return nil, err
		}
		if !l.hasPending() {
			_ = l.Close()
			return nil, net.ErrClosed
		}
		_ = l.SetDeadline(time.Now().Add(acceptTime))
	}
}

// hasPending reports whether a connection waits to be accepted.
func (l *listener) hasPending() bool {
	raw, err := l.SyscallConn()
	if err != nil {
		return false
	}
	ready := 0
	err = raw.Control(func(fd uintptr) {
		ready, _ = unix.Poll([]unix.PollFd{{Fd: int32(fd), Events: unix.POLLIN}}, 0)
	})
	return err == nil && ready > 0
}
