package front

import (
	"context"
	"net"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"golang.org/x/sys/unix"

	"github.com/arbutusthread/arbutusthread/node"
)

// callerConn is the state kept for a caller's connection.
type callerConn struct {
	raw syscall.RawConn
	// requests is the number of requests received on the connection.
	requests atomic.Int64

	mu sync.Mutex
	// closeCause says why this node closes the connection or was about to; it is empty if it was not.
	closeCause string
	// request is the request in progress, if open is set. HTTP/1 has at most one on a connection.
	request openRequest
	open    bool
}

// openRequest is a request whose answer has not been written completely.
type openRequest struct {
	id, route string
	started   time.Time
	phase     phase
	// backend and query are set in the phase serving.
	backend Backend
	query   *node.Request
	// mayHaveRun is set if the outcome is known and a server may have run the request.
	mayHaveRun bool
	end        requestEnd
}

// phase is how far a request has come.
type phase int

const (
	reading phase = iota
	serving
	writing
)

// requestEnd is how a request ends.
type requestEnd int

const (
	endAnswered requestEnd = iota
	// endRefused means that the request has not run.
	endRefused
	// endStopped means that the stop of the node came before the deadline of the request.
	endStopped
	// endDisconnected means that the connection was closed before there was an answer.
	endDisconnected
	// endAborted means that the node closed the connection with all others.
	endAborted
	endKinds
)

type callerConnKey struct{}

// newCallerConn returns the state for a connection. Its raw connection is nil if it is not a TCP connection.
func newCallerConn(c net.Conn) *callerConn {
	v := &callerConn{}
	if t, ok := c.(syscall.Conn); ok {
		if raw, err := t.SyscallConn(); err == nil {
			v.raw = raw
		}
	}
	return v
}

// connOf returns the caller's connection of the context of a request. A request that was not received by a Server has
// none; its state is then discarded.
func connOf(ctx context.Context) *callerConn {
	if c, ok := ctx.Value(callerConnKey{}).(*callerConn); ok {
		return c
	}
	return &callerConn{}
}

// begin records that a request has arrived.
func (c *callerConn) begin() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.request, c.open = openRequest{started: time.Now(), end: endDisconnected}, true
	if c.closeCause != causeAbort {
		c.closeCause = ""
	}
}

// update changes the request in progress.
func (c *callerConn) update(change func(r *openRequest)) {
	c.mu.Lock()
	defer c.mu.Unlock()
	change(&c.request)
}

// finish removes the request in progress and returns how it ended. It reports false if there is none.
func (c *callerConn) finish() (requestEnd, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.open {
		return 0, false
	}
	c.open = false
	return c.request.end, true
}

// abort records that this node closes the connection, and removes and returns the request that this cuts off, if any.
func (c *callerConn) abort() (openRequest, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.closeCause = causeAbort
	r, open := c.request, c.open
	c.open = false
	return r, open
}

// requestID returns the ID of the last request on the connection.
func (c *callerConn) requestID() string {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.request.id
}

// aborted reports whether the request on the connection has been cut off by abort.
func (c *callerConn) aborted() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.closeCause == causeAbort
}

// maxAwaitedText is the maximum number of servers that a log line names.
const maxAwaitedText = 4

// describe returns what the request waits for, and whether a server may have run it.
func (r *openRequest) describe() (waitsFor string, ran bool) {
	switch r.phase {
	case reading:
		return "body of the request", false
	case writing:
		return "write of the answer", r.mayHaveRun
	}
	p, ok := r.backend.Progress(r.query)
	switch {
	case !ok:
		// The request has just been answered or has not been submitted yet.
		return "processing", r.mayHaveRun
	case len(p.Awaited) == 0:
		return "capacity", p.MayHaveRun
	}
	return "answer of " + strings.Join(p.Awaited[:min(len(p.Awaited), maxAwaitedText)], ", "), p.MayHaveRun
}

// attributes returns what the log says of the request.
func (r *openRequest) attributes(now time.Time) []any {
	waitsFor, ran := r.describe()
	return []any{
		"RequestId", r.id, "Route", r.route, "Age", now.Sub(r.started).Round(time.Millisecond),
		"WaitsFor", waitsFor, "MayHaveRun", ran,
	}
}

// Causes of the close of a connection, for the log.
const (
	causeIdle    = "idle timeout"
	causeStop    = "idle during the stop"
	causeAbort   = "abort"
	causeFin     = "caller closed"
	causeReset   = "reset or timeout"
	causeUnknown = "unknown"
)

// closer tells who closed a connection.
type closer struct {
	by, cause string
}

// closedByCaller and closedByNode are the values of closer.by.
const (
	closedByCaller = "caller"
	closedByNode   = "node"
)

// closedBy tells who closed a connection whose request was canceled. The state of the socket decides, because a
// connection may still serve a request after this node has asked for its close: a connection that is still established
// has not been closed by the caller.
func (c *callerConn) closedBy() closer {
	c.mu.Lock()
	cause := c.closeCause
	c.mu.Unlock()
	if cause == "" {
		cause = causeUnknown
	}
	switch c.tcpState() {
	case unix.BPF_TCP_CLOSE_WAIT:
		return closer{closedByCaller, causeFin}
	case unix.BPF_TCP_CLOSE:
		return closer{closedByCaller, causeReset}
	default:
		return closer{closedByNode, cause}
	}
}

// tcpState returns the state of the TCP connection, or 0 if this node has closed the socket.
func (c *callerConn) tcpState() uint8 {
	info, ok := c.tcpInfo()
	if !ok {
		return 0
	}
	return info.State
}

func (c *callerConn) tcpInfo() (*unix.TCPInfo, bool) {
	if c.raw == nil {
		return nil, false
	}
	var info *unix.TCPInfo
	var err error
	if e := c.raw.Control(func(fd uintptr) {
		info, err = unix.GetsockoptTCPInfo(int(fd), unix.IPPROTO_TCP, unix.TCP_INFO)
	}); e != nil || err != nil {
		return nil, false
	}
	return info, true
}

// defaultRoundTripTime is used if the kernel reports no round-trip time for a connection.
const defaultRoundTripTime = 2 * time.Millisecond

// roundTripTime returns the round-trip time to the caller, and whether this is the first request on its
// connection. It must be called exactly once per request because it counts the requests.
func roundTripTime(ctx context.Context) (rtt time.Duration, first bool) {
	c := connOf(ctx)
	first = c.requests.Add(1) == 1
	if info, ok := c.tcpInfo(); ok && info.Rtt > 0 {
		return time.Duration(info.Rtt) * time.Microsecond, first
	}
	return defaultRoundTripTime, first
}
