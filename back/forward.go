package back

import (
	"bytes"
	"context"
	"net/http"
	"net/netip"
	"slices"
	"strconv"
	"strings"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/arbutusthread/arbutusthread/wire"
)

const (
	// concurrentWriteThreshold is the body size in bytes above which the answer is read while the body
	// is still being written, because a server may answer before it has read a long body.
	concurrentWriteThreshold = 8 << 10
	// answerGrace extends the read deadline, so that an answer that the server sent by the deadline can
	// still arrive.
	answerGrace = 100 * time.Millisecond
	// silenceThreshold is the minimum time without a byte before a reused connection is classified as
	// Silent. It is longer than the pauses of backend servers.
	silenceThreshold = 300 * time.Millisecond
	// idleMargin is subtracted from the server's idle timeout, so that a connection is not used while
	// the server closes it.
	idleMargin = time.Second
)

// Forward is a request that is forwarded without changes to its method, URI and body.
type Forward struct {
	Method string
	// URI is the path and query as the caller sent them.
	URI    string
	Host   string
	Header http.Header
	Body   []byte
	// RequestID is the ID sent to the server. An answer with another ID is Invalid.
	RequestID string
	// Instance is the ID of the server process that may run the request.
	Instance string
	// NonIdempotent is set for requests that must not run twice. Reused connections are always checked before
	// such a request is sent, because the server may have closed them.
	NonIdempotent bool
	// Gate, if set, is asked about Attempt before the request is written when it has waited for its connection for
	// gateDelay or longer.
	Gate    Gate
	Attempt uint64
}

// Gate decides whether an attempt may still be sent after it has waited for a connection.
type Gate interface {
	MaySend(attempt uint64) bool
}

// gateDelay is the wait for a connection from which the gate is asked. Servers allow half a second for requests that were
// on their way when they asked for no more.
const gateDelay = 100 * time.Millisecond

// Reply is the answer to a Forward.
type Reply struct {
	Status int
	Header http.Header
	Body   []byte
	// memory is the reservation for the body, nil if there is none.
	memory *reservation
}

// Release releases the memory that is reserved for the body of a large answer. It is called when the answer is no longer
// needed, or its memory is counted elsewhere.
func (r *Reply) Release() {
	if r != nil && r.memory != nil {
		r.memory.release()
	}
}

// Forward sends a request to a server at most once. The outcome of the result is OK for a complete answer
// to the request with any status, and NotRun if the server reports that it did not run the request.
// Cancellation of ctx closes the connection, which ends the request at the server.
func (k *Client) Forward(
	ctx context.Context, server netip.AddrPort, deadline time.Time, f *Forward,
) (*Reply, Result) {
	var r Result
	start := time.Now()
	p := (*k.pools.Load())[server]
	if p == nil {
		r.fail(Unsent, errRemoved.Error())
		return nil, r
	}
	for {
		c, err := p.acquire(ctx, deadline.Add(answerGrace), f.RequestID, f.NonIdempotent)
		r.ConnectionWait = time.Since(start)
		if err != nil {
			p.failAcquire(err, &r)
			return nil, r
		}
		if ctx.Err() != nil || !time.Now().Before(deadline) {
			p.put(c)
			r.Local = true
			r.fail(Unsent, "back: deadline exceeded or request canceled before it was sent")
			return nil, r
		}
		if f.Gate != nil && r.ConnectionWait >= gateDelay && !f.Gate.MaySend(f.Attempt) {
			p.put(c)
			r.Local = true
			r.fail(Unsent, "back: the server leaves or wants no requests since the attempt began")
			return nil, r
		}
		r.NewConnection, r.Opened = c.fresh(), c.openedAt
		reply, again := k.forwardRoundTrip(ctx, p, c, f, deadline, &r)
		if !again {
			return reply, r
		}
	}
}

// Connect opens a connection to the server, unless an idle one is available, and keeps it in the pool.
// The outcome of the result is OK on success and Unsent otherwise.
func (k *Client) Connect(ctx context.Context, server netip.AddrPort, deadline time.Time) Result {
	var r Result
	p := (*k.pools.Load())[server]
	if p == nil {
		r.Local = true
		r.fail(Unsent, errRemoved.Error())
		return r
	}
	c, err := p.acquire(ctx, deadline, "", true)
	if err != nil {
		p.failAcquire(err, &r)
		return r
	}
	p.put(c)
	r.Outcome = OK
	return r
}

// failAcquire sets the outcome Unsent and the cause after acquire failed.
func (p *pool) failAcquire(err error, r *Result) {
	r.Refused, r.Reset = isRefused(err), errors.Is(err, syscall.ECONNRESET)
	r.Local = errors.Is(err, errCanceled) || errors.Is(err, errNoConnection) && !p.isDialing()
	r.fail(Unsent, err.Error())
}

// forwardRoundTrip writes the request and reads the answer. It returns true if the request may be sent
// on another connection, because this connection was reused and no byte was written on it.
func (k *Client) forwardRoundTrip(
	ctx context.Context, p *pool, c *conn, f *Forward, deadline time.Time, r *Result,
) (*Reply, bool) {
	begin := time.Now()
	stop := context.AfterFunc(ctx, c.abort)
	head := k.encodeHead(f, time.Until(deadline))
	before := c.bytesWritten
	written, err := c.writeRequest(head, f.Body)
	if err != nil && c.bytesWritten == before {
		stop()
		p.discard(c, true)
		r.Reset = r.NewConnection && errors.Is(err, syscall.ECONNRESET)
		r.fail(Unsent, errors.Wrapf(err, "back: write to %s", p.host).Error())
		return nil, !r.NewConnection && !isTimeout(err) && ctx.Err() == nil
	}
	var reply *Reply
	reusable := false
	if err == nil {
		reply, reusable, err = c.readReply(f.Method, k.config.MaxAnswer, &k.buffered)
	}
	stopped := stop()
	r.Latency = time.Since(begin)
	if err == nil {
		k.classifyReply(c, f, reply, r)
		c.answers++
		if r.Outcome == NotRun {
			reusable = c.recordRejection(f.RequestID) && reusable
		}
	} else {
		k.classifyForwardError(ctx, c, p, begin, err, r)
	}
	if err == nil && reusable && stopped && written() && r.Outcome != Invalid {
		p.put(c)
	} else {
		p.discard(c, err != nil)
	}
	return reply, false
}

// encodeHead returns the request line and the headers. The time left is sent in milliseconds, at
// least 1.
func (k *Client) encodeHead(f *Forward, left time.Duration) []byte {
	h := &k.config.Headers
	var b bytes.Buffer
	b.Grow(512)
	b.WriteString(f.Method)
	b.WriteByte(' ')
	b.WriteString(f.URI)
	b.WriteString(" HTTP/1.1\r\nHost: ")
	b.WriteString(f.Host)
	b.WriteString("\r\n")
	for name, values := range f.Header {
		for _, v := range values {
			writeHeader(&b, name, v)
		}
	}
	writeHeader(&b, h.RequestID, f.RequestID)
	writeHeader(&b, h.Timeout, strconv.FormatInt(max(1, left.Milliseconds()), 10))
	writeHeader(&b, h.Target, f.Instance)
	if len(f.Body) > 0 || f.Method == http.MethodPost || f.Method == http.MethodPut || f.Method == http.MethodPatch {
		writeHeader(&b, "Content-Length", strconv.Itoa(len(f.Body)))
	}
	b.WriteString("\r\n")
	return b.Bytes()
}

func writeHeader(b *bytes.Buffer, name, value string) {
	if value == "" {
		return
	}
	b.WriteString(name)
	b.WriteString(": ")
	b.WriteString(value)
	b.WriteString("\r\n")
}

// writeRequest writes a request. A body above concurrentWriteThreshold is written in the background. The
// returned function reports whether all of the request has been written.
func (c *conn) writeRequest(head, body []byte) (func() bool, error) {
	if len(body) <= concurrentWriteThreshold {
		_, err := c.stream.Write(append(head, body...))
		return func() bool { return true }, err
	}
	if _, err := c.stream.Write(head); err != nil {
		return func() bool { return false }, err
	}
	done := make(chan error, 1)
	go func() {
		_, err := c.stream.Write(body)
		done <- err
	}()
	return func() bool {
		select {
		case err := <-done:
			return err == nil
		default:
			return false
		}
	}, nil
}

// parseIdleTimeout returns the timeout of the Keep-Alive header less idleMargin, at least 1 ms, or 0 if
// the header has none.
func parseIdleTimeout(h http.Header) time.Duration {
	for _, v := range h["Keep-Alive"] {
		for item := range strings.SplitSeq(v, ",") {
			name, value, _ := strings.Cut(strings.TrimSpace(item), "=")
			seconds, err := strconv.Atoi(value)
			if strings.EqualFold(name, "timeout") && err == nil && seconds > 0 {
				return max(time.Duration(seconds)*time.Second-idleMargin, time.Millisecond)
			}
		}
	}
	return 0
}

// classifyReply sets the outcome of a complete answer from its status and headers. An answer with the ID of another
// request, or without one on a connection whose answers bear IDs, was sent late for another request.
func (k *Client) classifyReply(c *conn, f *Forward, reply *Reply, r *Result) {
	h := &k.config.Headers
	r.Outcome, r.MayHaveRun = OK, true
	r.Incarnation = reply.Header.Get(h.Instance)
	if ms, err := strconv.ParseInt(reply.Header.Get(h.ColdRemaining), 10, 32); err == nil && ms > 0 {
		r.ColdRemaining = time.Duration(ms) * time.Millisecond
	}
	id := reply.Header.Get(h.RequestID)
	if id != "" && id != f.RequestID || id == "" && c.echoesID {
		r.fail(Invalid, "back: answer with ID "+strconv.Quote(id)+" and status "+strconv.Itoa(reply.Status)+" is for another request")
		return
	}
	c.echoesID = c.echoesID || id != ""
	if name := repeatedHeader(reply.Header, h); name != "" {
		r.fail(Invalid, "back: answer has several values of "+name)
		return
	}
	switch {
	case reply.Status == http.StatusMisdirectedRequest:
		r.Reason = wire.BackendIncarnation
		r.fail(NotRun, "back: another server instance uses the address")
	case reply.Header.Get(h.NotRun) != "":
		r.Reason = wire.BackendShed
		r.fail(NotRun, "back: status "+strconv.Itoa(reply.Status))
	case slices.ContainsFunc(reply.Header["Content-Encoding"], func(v string) bool { return v != "identity" }):
		r.fail(Invalid, "back: answer has a content encoding")
	}
	if reply.Status == http.StatusMisdirectedRequest || r.Incarnation != "" && r.Incarnation != f.Instance {
		// What another process says of itself does not concern the server that the request was for.
		return
	}
	r.Leaving = slices.Contains(reply.Header.Values(h.Leaving), wire.LeavingValue)
	if r.Outcome == NotRun && reply.Status == http.StatusServiceUnavailable {
		r.RetryAfter = parseRetryAfter(reply.Header.Values(h.RetryAfter))
	}
}

// maxRetryAfter limits the time for which a server may ask for no requests. Without a limit, one faulty value would take
// the server out of use until it restarts.
const maxRetryAfter = 10 * time.Minute

// parseRetryAfter returns the longest of the times, in seconds with an optional fraction, up to maxRetryAfter. Other
// values are ignored: signs, exponents and lists, and also dates, since the clocks of servers may be wrong.
func parseRetryAfter(values []string) time.Duration {
	longest := 0.0
	for _, v := range values {
		if strings.Trim(v, "0123456789.") != "" {
			continue
		}
		// A number that is too large is returned as infinity.
		if seconds, err := strconv.ParseFloat(v, 64); !errors.Is(err, strconv.ErrSyntax) {
			longest = max(longest, seconds)
		}
	}
	return time.Duration(min(longest, maxRetryAfter.Seconds()) * float64(time.Second))
}

// classifyForwardError classifies an attempt that failed after a byte was written.
func (k *Client) classifyForwardError(ctx context.Context, c *conn, p *pool, begin time.Time, err error, r *Result) {
	message := errors.Wrapf(err, "back: request to %s", p.host).Error()
	var e *readError
	reading := errors.As(err, &e)
	silent := isTimeout(err) && reading && e.beforeAnswer && c.answers > 0 && r.Latency >= silenceThreshold
	if silent {
		p.retireIdleBefore(begin)
	}
	switch {
	case isCanceled(ctx):
		r.fail(Canceled, message)
	case silent:
		r.fail(Silent, message)
	case isTimeout(err):
		r.fail(TimedOut, message)
	case isClosedByServer(err):
		r.Refused = !reading || !e.inBody
		r.fail(Broken, message)
	default:
		r.fail(Invalid, message)
	}
}
