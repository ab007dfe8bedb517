package gate

import (
	"crypto/tls"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/arbutusthread/arbutusthread/limit"
)

const (
	// refusalTime is the time for writing a refusal, and lingerTime that for the client to read it.
	refusalTime = 100 * time.Millisecond
	lingerTime  = 500 * time.Millisecond
	// maxLingerBytes is the maximum number of bytes that are read meanwhile. A client that is still sending would otherwise get
	// a reset before it reads the refusal.
	maxLingerBytes = 512 << 10
)

// refusal is the reason for which a request is not received. All of them mean that the request has not run.
type refusal struct {
	status        int
	reason, label string
	retryAfter    time.Duration
}

var (
	tooManyConnections = &refusal{http.StatusServiceUnavailable, "too many connections", "connections", RetryAfter}
	outOfMemory        = &refusal{http.StatusServiceUnavailable, "too many large requests", "memory", RetryAfter}
	headTooLarge       = &refusal{http.StatusRequestHeaderFieldsTooLarge, "the headers are too large", "header_bytes", 0}
	headTimeout        = &refusal{http.StatusRequestTimeout, "the headers did not arrive in time", "header_timeout", 0}
)

// Conn is a connection of a client.
type Conn struct {
	net.Conn
	gate *Gate

	mu    sync.Mutex
	phase limit.Phase
	head  headScanner
	// inBody is set when the head of the request has been received.
	inBody bool
	// deadline is the read deadline that net/http has set, and headEnd that of the head, zero if it has none.
	deadline, headEnd time.Time
	// refusal is set when nothing more is received from the client, and told when it has been written.
	refusal *refusal
	told    bool
	aborted atomic.Bool
}

// Read reads from the connection. If the request is refused, it returns an error for which net/http closes the connection
// without a response of its own. The client has been told then, unless it has sent the whole head.
func (c *Conn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	cost, inHead, why := c.receive(b[:n], errors.Is(err, os.ErrDeadlineExceeded))
	if why == nil && cost > 0 && !c.gate.grow(c, cost) {
		why = outOfMemory
	}
	if why == nil {
		answerPlainText(err)
		return n, err
	}
	c.refuse(why, inHead)
	return 0, &net.OpError{Op: "read", Net: "tcp", Source: c.LocalAddr(), Addr: c.RemoteAddr(), Err: ErrRefused}
}

// answerPlainText answers a client that does not use TLS on a listener with TLS, as net/http does for a *tls.Conn.
func answerPlainText(err error) {
	var record tls.RecordHeaderError
	if !errors.As(err, &record) || record.Conn == nil {
		return
	}
	switch string(record.RecordHeader[:]) {
	case "GET /", "HEAD ", "POST ", "PUT /", "OPTIO":
		_ = record.Conn.SetWriteDeadline(time.Now().Add(refusalTime))
		_, _ = io.WriteString(record.Conn, "HTTP/1.0 400 Bad Request\r\n\r\nClient sent an HTTP request to an HTTPS server.\n")
	}
}

// Write writes to the connection. Nothing follows a refusal: net/http takes a line that the refusal has cut short for a malformed
// one, which it answers with 400.
func (c *Conn) Write(b []byte) (int, error) {
	c.mu.Lock()
	told := c.told
	c.mu.Unlock()
	if told {
		return 0, net.ErrClosed
	}
	return c.Conn.Write(b)
}

// receive returns the memory that received bytes take, whether they belong to a head, and the reason if nothing more is
// received.
func (c *Conn) receive(b []byte, timedOut bool) (cost int, inHead bool, why *refusal) {
	c.mu.Lock()
	defer c.mu.Unlock()
	inHead = !c.inBody && c.phase != limit.Serving && c.phase != limit.Sending
	cost = c.count(b)
	limits := c.gate.config.Limits()
	switch {
	case c.refusal != nil:
		why = c.refusal
	case inHead && (c.head.lineBytes > limits.HeaderBytes || c.head.fieldBytes > limits.HeaderBytes):
		why = headTooLarge
	case inHead && timedOut && !c.headEnd.IsZero() && !time.Now().Before(c.headEnd):
		why = headTimeout
	}
	return cost, inHead, why
}

// count returns the memory that received bytes take, and follows the head. The caller holds c.mu.
func (c *Conn) count(b []byte) int {
	if len(b) == 0 || c.phase == limit.Serving || c.phase == limit.Sending {
		return 0
	}
	if c.phase == limit.Idle {
		c.enter(limit.Receiving)
		c.head, c.inBody = newHeadScanner(), false
	}
	if c.inBody {
		return bodyFactor * len(b)
	}
	begun, lines := c.head.begun, c.head.lines
	n, ended := c.head.scan(b)
	if c.head.begun && !begun && !ended {
		c.headEnd = time.Now().Add(c.gate.config.Limits().HeaderTimeout)
		_ = c.setDeadline()
	}
	cost := headFactor*n + lineBytes*(c.head.lines-lines) + bodyFactor*(len(b)-n)
	if ended {
		c.leaveHead()
	}
	return cost
}

// leaveHead removes the deadline of the head. The caller holds c.mu.
func (c *Conn) leaveHead() {
	c.inBody = true
	if !c.headEnd.IsZero() {
		c.headEnd = time.Time{}
		_ = c.setDeadline()
	}
}

// enter records the phase of the connection. It reports false if the connection has been evicted. The caller holds c.mu.
func (c *Conn) enter(phase limit.Phase) bool {
	c.phase = phase
	return c.gate.enter(c, phase)
}

// endHead records that net/http has parsed the head of a request.
func (c *Conn) endHead() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.phase == limit.Idle {
		c.enter(limit.Receiving) // the request was in the buffer of net/http
	}
	c.leaveHead()
}

// received records that the request has been received. It reports false if the request has been refused.
func (c *Conn) received() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.refusal == nil && c.enter(limit.Serving)
}

func (c *Conn) idle() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.head, c.inBody = newHeadScanner(), false
	c.enter(limit.Idle)
}

// IsIdle reports whether no byte of a request is being received or answered.
func (c *Conn) IsIdle() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.phase == limit.Idle || c.phase == limit.Receiving && !c.inBody && !c.head.begun
}

// send records that an answer of a size is written. It reports false if there is no room for it.
func (c *Conn) send(bytes int) bool {
	if !c.gate.grow(c, bytes) {
		return false
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.enter(limit.Sending)
}

// evict makes the connection receive nothing more, and ends the answer that is written.
func (c *Conn) evict(why *refusal) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.phase == limit.Sending {
		_ = c.SetWriteDeadline(time.Unix(1, 0))
	}
	c.setRefusal(why)
}

// setRefusal records why nothing more is received from the client. The caller holds c.mu.
func (c *Conn) setRefusal(why *refusal) {
	if c.refusal != nil {
		return
	}
	c.refusal = why
	_ = c.setDeadline()
	c.gate.report(why)
}

// refuse refuses the request that is being received. It answers the request if net/http does not have the whole head, and so
// has no request to answer.
func (c *Conn) refuse(why *refusal, inHead bool) {
	c.mu.Lock()
	c.setRefusal(why)
	tell := inHead && c.head.begun && !c.told
	c.told = c.told || tell
	c.mu.Unlock()
	if tell {
		c.write(why)
	}
}

// SetReadDeadline sets the read deadline, which does not extend that of the head.
func (c *Conn) SetReadDeadline(t time.Time) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.deadline = t
	return c.setDeadline()
}

// setDeadline sets the read deadline of the connection. The caller holds c.mu.
func (c *Conn) setDeadline() error {
	t := c.deadline
	if !c.headEnd.IsZero() && (t.IsZero() || c.headEnd.Before(t)) {
		t = c.headEnd
	}
	if c.refusal != nil {
		t = time.Unix(1, 0)
	}
	return c.Conn.SetReadDeadline(t)
}

// write writes a refusal. The caller must not hold c.mu, because the accepting goroutine may evict the connection meanwhile.
func (c *Conn) write(why *refusal) {
	retry := ""
	if why.retryAfter > 0 {
		retry = fmt.Sprintf("Retry-After: %d\r\n", int(why.retryAfter.Seconds()))
	}
	_ = c.SetWriteDeadline(time.Now().Add(refusalTime))
	// A client that does not take the refusal sees the close.
	_, _ = fmt.Fprintf(c.Conn, "HTTP/1.1 %d %s\r\n%sConnection: close\r\nContent-Type: text/plain; charset=utf-8\r\nContent-Length: %d\r\n\r\n%s\n",
		why.status, http.StatusText(why.status), retry, len(why.reason)+1, why.reason)
}

// linger closes the sending side and reads for a while, so that the client can read its refusal.
func (c *Conn) linger() {
	half, ok := c.Conn.(interface{ CloseWrite() error })
	if !ok || half.CloseWrite() != nil {
		return
	}
	_ = c.Conn.SetReadDeadline(time.Now().Add(lingerTime))
	_, _ = io.CopyN(io.Discard, c.Conn, maxLingerBytes)
}

// Abort makes Close close at once.
func (c *Conn) Abort() {
	c.aborted.Store(true)
	abort(c.Conn)
}

// abort makes a connection close at once that would otherwise wait for its client.
func abort(c net.Conn) {
	if a, ok := c.(interface{ Abort() }); ok {
		a.Abort()
	}
}

// Close closes the connection. It keeps its place until its descriptor is free.
func (c *Conn) Close() error {
	defer c.gate.remove(c)
	c.mu.Lock()
	refused := c.refusal != nil
	c.mu.Unlock()
	if refused && !c.aborted.Load() {
		select {
		case c.gate.lingering <- struct{}{}:
			c.linger()
			<-c.gate.lingering
		default:
		}
		abort(c.Conn)
	}
	return c.Conn.Close()
}

// NetConn returns the connection below.
func (c *Conn) NetConn() net.Conn { return c.Conn }

// SyscallConn returns the raw connection, or an error if there is none.
func (c *Conn) SyscallConn() (syscall.RawConn, error) {
	if s, ok := c.Conn.(syscall.Conn); ok {
		return s.SyscallConn()
	}
	return nil, errors.Newf("gate: connection of type %T has no descriptor", c.Conn)
}
