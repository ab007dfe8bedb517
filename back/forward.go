package back

import (
	"bytes"
	"context"
	"io"
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
	// concurrentBody is the body size in bytes above which an answer is read while the request is
	// still being written, since a server may answer before it has read a long body.
	concurrentBody = 8 << 10
	// lateAnswer is how long after the deadline an answer is read that the server gave in time.
	lateAnswer = 100 * time.Millisecond
	// silentAfter is the time without a byte after which a reused connection counts as silent. It is
	// above the pauses that backend servers make.
	silentAfter = 300 * time.Millisecond
	// idleMargin is how long before the server's idle timeout a connection is no longer used.
	idleMargin = time.Second
)

// Forward is a request that is passed on as it came.
type Forward struct {
	Method string
	// URI is the path and query as the caller sent them.
	URI    string
	Host   string
	Header http.Header
	Body   []byte
	// RequestID is what the server must repeat in its answer.
	RequestID string
	// Instance is the server process that may run the request.
	Instance string
	// Once is set for requests that must not run twice: they are not sent on a connection that the
	// server may have closed.
	Once bool
}

// Reply is the answer to a Forward.
type Reply struct {
	Status int
	Header http.Header
	Body   []byte
}

// Forward sends a request to a server once. The result's class is OK for a complete answer of any
// status that belongs to the request, and NotRun when the server says that it has not run it.
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
		c, err := p.take(ctx, deadline.Add(lateAnswer), f.Once)
		r.Wait = time.Since(start)
		if err != nil {
			p.unconnected(err, &r)
			return nil, r
		}
		if ctx.Err() != nil || !time.Now().Before(deadline) {
			p.put(c)
			r.Local = true
			r.fail(Unsent, "back: the deadline passed or the request was canceled before it was sent")
			return nil, r
		}
		r.Fresh = c.fresh()
		reply, again := k.forward(ctx, p, c, f, deadline, &r)
		if !again {
			return reply, r
		}
	}
}

// Connect makes sure that there is an open connection to the server, and keeps it for later use. The
// class of the result is OK if there is.
func (k *Client) Connect(ctx context.Context, server netip.AddrPort, deadline time.Time) Result {
	var r Result
	p := (*k.pools.Load())[server]
	if p == nil {
		r.Local = true
		r.fail(Unsent, errRemoved.Error())
		return r
	}
	c, err := p.take(ctx, deadline, true)
	if err != nil {
		p.unconnected(err, &r)
		return r
	}
	p.put(c)
	r.Class = OK
	return r
}

// unconnected describes why no connection could be had.
func (p *pool) unconnected(err error, r *Result) {
	r.Refused, r.Reset = refused(err), errors.Is(err, syscall.ECONNRESET)
	r.Local = errors.Is(err, errCanceled) || errors.Is(err, errNoSlot) && !p.dials()
	r.fail(Unsent, err.Error())
}

// forward exchanges one request on a connection. It returns true when the request may be sent on
// another connection, because no byte was written on this reused one.
func (k *Client) forward(
	ctx context.Context, p *pool, c *conn, f *Forward, deadline time.Time, r *Result,
) (*Reply, bool) {
	begin := time.Now()
	stop := context.AfterFunc(ctx, c.abort)
	head := k.head(f, time.Until(deadline))
	before := c.written
	written, err := c.send(head, f.Body)
	if err != nil && c.written == before {
		stop()
		p.discard(c, true)
		r.Reset = r.Fresh && errors.Is(err, syscall.ECONNRESET)
		r.fail(Unsent, errors.Wrapf(err, "back: write to %s", p.host).Error())
		return nil, !r.Fresh && !isTimeout(err) && ctx.Err() == nil
	}
	var reply *Reply
	reusable := false
	if err == nil {
		reply, reusable, err = c.receive(f.Method, k.config.MaxAnswer)
	}
	stopped := stop()
	r.Latency = time.Since(begin)
	if err == nil {
		c.served++
		k.judge(f, reply, r)
	} else {
		k.forwardFailed(ctx, c, p, begin, err, r)
	}
	if err == nil && reusable && stopped && written() && r.Class != Invalid {
		p.put(c)
	} else {
		p.discard(c, err != nil)
	}
	return reply, false
}

// head returns the request line and headers.
func (k *Client) head(f *Forward, left time.Duration) []byte {
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

// send writes a request. The returned function reports whether all of it has been written.
func (c *conn) send(head, body []byte) (func() bool, error) {
	if len(body) <= concurrentBody {
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

// receive reads one answer. It reports whether the connection can be used again.
func (c *conn) receive(method string, limit int) (*Reply, bool, error) {
	c.budget = maxHead + limit
	if _, err := c.reader.Peek(1); err != nil {
		return nil, false, &readError{err: err, silent: true}
	}
	v, err := readFinal(c, method)
	if err != nil {
		return nil, false, &readError{err: err}
	}
	defer v.Body.Close()
	if v.ContentLength > int64(limit) {
		return nil, false, &readError{err: errTooLarge, body: true}
	}
	body, err := readBody(v, limit)
	if err != nil {
		return nil, false, &readError{err: err, body: true}
	}
	c.idleLimit = idleLimit(v.Header)
	reusable := !v.Close && c.reader.Buffered() == 0
	return &Reply{Status: v.StatusCode, Header: v.Header, Body: body}, reusable, nil
}

// readFinal reads the head of an answer and skips interim ones.
func readFinal(c *conn, method string) (*http.Response, error) {
	for {
		v, err := http.ReadResponse(c.reader, &http.Request{Method: method})
		if err != nil {
			return nil, err
		}
		if v.StatusCode >= http.StatusOK || v.StatusCode == http.StatusSwitchingProtocols {
			return v, nil
		}
	}
}

func readBody(v *http.Response, limit int) ([]byte, error) {
	if v.ContentLength >= 0 {
		body := make([]byte, v.ContentLength)
		_, err := io.ReadFull(v.Body, body)
		return body, err
	}
	body, err := io.ReadAll(io.LimitReader(v.Body, int64(limit)+1))
	if err == nil && len(body) > limit {
		err = errTooLarge
	}
	return body, err
}

// idleLimit returns how long the server keeps an idle connection, 0 when it does not say.
func idleLimit(h http.Header) time.Duration {
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

// judge sets the class of a complete answer.
func (k *Client) judge(f *Forward, reply *Reply, r *Result) {
	h := &k.config.Headers
	r.Class, r.MayHaveRun = OK, true
	r.Incarnation = reply.Header.Get(h.Instance)
	if ms, err := strconv.ParseInt(reply.Header.Get(h.ColdFor), 10, 32); err == nil && ms > 0 {
		r.ColdFor = time.Duration(ms) * time.Millisecond
	}
	switch id := reply.Header.Get(h.RequestID); {
	case id != "" && id != f.RequestID:
		r.fail(Invalid, "back: the answer names another request")
	case reply.Status == http.StatusMisdirectedRequest:
		r.Reason = wire.BackendIncarnation
		r.fail(NotRun, "back: another server has the address")
	case reply.Header.Get(h.NotRun) != "":
		r.Reason = wire.BackendShed
		r.fail(NotRun, "back: status "+strconv.Itoa(reply.Status))
	case slices.ContainsFunc(reply.Header["Content-Encoding"], func(v string) bool { return v != "identity" }):
		r.fail(Invalid, "back: the answer is encoded")
	}
}

// forwardFailed classifies an attempt that failed after a byte was written.
func (k *Client) forwardFailed(ctx context.Context, c *conn, p *pool, begin time.Time, err error, r *Result) {
	message := errors.Wrapf(err, "back: request to %s", p.host).Error()
	var e *readError
	inAnswer := errors.As(err, &e)
	silent := isTimeout(err) && inAnswer && e.silent && c.served > 0 && r.Latency >= silentAfter
	if silent {
		p.distrust(begin)
	}
	switch {
	case canceled(ctx):
		r.fail(Canceled, message)
	case silent:
		r.fail(Silent, message)
	case isTimeout(err):
		r.fail(TimedOut, message)
	case ended(err):
		r.Refused = !inAnswer || !e.body
		r.fail(Broken, message)
	default:
		r.fail(Invalid, message)
	}
}
