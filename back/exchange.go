package back

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"net/netip"
	"net/url"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/arbutusthread/arbutusthread/wire"
)

// maxKept is the largest buffer in bytes that is kept for the next request.
const maxKept = 256 << 10

// request is one request to a server. A nil body makes it a GET.
type request struct {
	path  string
	id    string
	shard string
	body  any
	order bool
	// accept decodes an answer with status 200 and sets the class Invalid when it does not belong
	// to the request. Nil accepts any.
	accept func(answer []byte, r *Result)
}

// scratch holds the buffers of one request.
type scratch struct {
	body    bytes.Buffer
	out     bytes.Buffer
	in      bytes.Buffer
	encoder *json.Encoder
	reader  bytes.Reader
	limited io.LimitedReader
	content io.ReadCloser
	url     url.URL
	request http.Request
	id      [1]string
	until   [1]string
	pool    *pool
	sent    request
}

func newScratch() *scratch {
	s := &scratch{}
	s.encoder = json.NewEncoder(&s.body)
	s.encoder.SetEscapeHTML(false)
	s.content = io.NopCloser(&s.reader)
	s.request = http.Request{
		URL: &s.url,
		Header: http.Header{
			"Content-Type":       {"application/json"},
			"User-Agent":         {""},
			wire.HeaderRequestID: s.id[:],
			wire.HeaderDeadline:  s.until[:],
		},
	}
	return s
}

func (k *Client) keep(s *scratch) {
	if s.body.Cap() > maxKept || s.out.Cap() > maxKept || s.in.Cap() > maxKept {
		return
	}
	k.scratch.Put(s)
}

// encode writes the whole request into s.out, so that it needs one write to the connection.
func (s *scratch) encode(q request, host string, deadline time.Time, limit int) error {
	s.sent = q
	s.body.Reset()
	s.out.Reset()
	s.request.Method, s.request.Body = http.MethodGet, nil
	if q.body != nil {
		if err := s.encoder.Encode(q.body); err != nil {
			return errors.Wrap(err, "back: encode request")
		}
		s.request.Method, s.request.Body = http.MethodPost, s.content
	}
	if s.body.Len() > limit {
		return errors.Newf("back: the request body of %d bytes is above %d", s.body.Len(), limit)
	}
	s.reader.Reset(s.body.Bytes())
	s.id[0] = q.id
	s.until[0] = deadline.UTC().Format(time.RFC3339Nano)
	s.url.Path = q.path
	s.request.Host = host
	s.request.ContentLength = int64(s.body.Len())
	return errors.Wrap(s.request.Write(&s.out), "back: encode request")
}

// send makes one attempt. When the class is OK, s.in holds the body of an answer with status 200.
// A reused connection on which no byte could be written is replaced within the attempt.
func (k *Client) send(
	ctx context.Context, server netip.AddrPort, deadline time.Time, q request, s *scratch,
) Result {
	var r Result
	start := time.Now()
	boot := k.bootTime(q)
	remaining := deadline.Sub(start)
	p := (*k.pools.Load())[server]
	if p == nil {
		r.fail(Unsent, errRemoved.Error())
		return r
	}
	s.pool = p
	if err := s.encode(q, p.host, deadline, k.config.MaxRequest); err != nil {
		r.fail(Unsent, err.Error())
		return r
	}
	for {
		c, err := p.take(ctx, deadline, q.order)
		r.Wait = time.Since(start)
		if err != nil {
			r.Refused = refused(err)
			r.Local = errors.Is(err, errCanceled) || errors.Is(err, errNoSlot) && !p.dials()
			r.fail(Unsent, err.Error())
			return r
		}
		// A VM that resumes from a pause must not send an order whose time has passed.
		if ctx.Err() != nil || r.Wait >= remaining || k.bootTime(q)-boot >= remaining {
			p.put(c)
			r.Local = true
			r.fail(Unsent, "back: the deadline passed or the request was canceled before it was sent")
			return r
		}
		r.Fresh = c.fresh()
		again := k.exchange(ctx, p, c, s, &r)
		if !again {
			return r
		}
	}
}

func (k *Client) bootTime(q request) time.Duration {
	if !q.order {
		return 0
	}
	return sinceBoot()
}

// exchange writes the request and reads the answer. It returns true when the request may be sent on
// another connection, because no byte was written on this reused one.
func (k *Client) exchange(ctx context.Context, p *pool, c *conn, s *scratch, r *Result) bool {
	begin := time.Now()
	stop := context.AfterFunc(ctx, c.abort)
	before := c.written
	_, err := c.stream.Write(s.out.Bytes())
	sent := c.written > before
	reusable := false
	status := 0
	if err == nil {
		status, reusable, err = c.read(s, k.config.MaxAnswer)
	}
	stopped := stop()
	r.Latency = time.Since(begin)
	if err == nil {
		c.served++
		k.classify(status, s, r)
		// After an answer that belongs to another request, each later one on the connection may be
		// one late, and a refusal would be taken for that of the wrong order.
		if reusable && stopped && r.Class != Invalid {
			p.put(c)
		} else {
			p.retire(c)
		}
		return false
	}
	if !sent {
		p.retire(c)
		r.fail(Unsent, errors.Wrapf(err, "back: write to %s", p.host).Error())
		return !r.Fresh && !isTimeout(err)
	}
	if e := (*readError)(nil); errors.As(err, &e) && e.silent && isTimeout(err) && canceled(ctx) {
		r.fail(Canceled, err.Error())
		k.cancel(p, c, s.sent)
		return false
	}
	k.broken(ctx, p, c, begin, err, r)
	return false
}

// read reads one answer into s.in. It reports whether the connection can be used again.
func (c *conn) read(s *scratch, limit int) (status int, reusable bool, err error) {
	c.budget = maxHead + limit
	if _, err := c.reader.Peek(1); err != nil {
		return 0, false, &readError{err: err, silent: true}
	}
	v, err := http.ReadResponse(c.reader, nil)
	if err != nil {
		return 0, false, &readError{err: err}
	}
	defer v.Body.Close()
	s.in.Reset()
	if v.ContentLength > int64(limit) {
		return 0, false, &readError{err: errTooLarge, body: true}
	}
	if v.ContentLength > 0 {
		s.in.Grow(int(v.ContentLength) + bytes.MinRead)
	}
	s.limited = io.LimitedReader{R: v.Body, N: int64(limit) + 1}
	if _, err := s.in.ReadFrom(&s.limited); err != nil {
		return 0, false, &readError{err: err, body: true}
	}
	if s.in.Len() > limit {
		return 0, false, &readError{err: errTooLarge, body: true}
	}
	return v.StatusCode, !v.Close && c.reader.Buffered() == 0, nil
}

// readError tells where in the answer a read failed.
type readError struct {
	err    error
	silent bool
	body   bool
}

func (e *readError) Error() string { return "back: read answer: " + e.err.Error() }

func (e *readError) Unwrap() error { return e.err }
