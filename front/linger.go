package front

import (
	"io"
	"net"
	"sync/atomic"
	"time"
)

const (
	// lingerTime is the time for which a closed connection still reads, so that the caller can receive its last answer.
	lingerTime = 500 * time.Millisecond
	// maxLingerBytes bounds what is read meanwhile.
	maxLingerBytes = 64 << 10
)

// lingeringConn is a connection whose close does not discard the last answer. The kernel resets a connection that is closed
// with unread data, such as a pipelined request, and drops the part of the answer that the caller has not received.
type lingeringConn struct {
	*net.TCPConn
	// aborted makes Close close at once.
	aborted atomic.Bool
}

// Abort makes Close close at once.
func (c *lingeringConn) Abort() { c.aborted.Store(true) }

// Close closes the connection. If it holds unread data, it first closes only the sending side, and waits up to lingerTime
// for the caller to close the other one.
func (c *lingeringConn) Close() error {
	if !c.aborted.Load() && hasUnreadData(c) && c.CloseWrite() == nil {
		_ = c.SetReadDeadline(time.Now().Add(lingerTime))
		_, _ = io.CopyN(io.Discard, c.TCPConn, maxLingerBytes)
	}
	return c.TCPConn.Close()
}
