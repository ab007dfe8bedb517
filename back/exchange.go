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

// maxPooledBuffer is the largest buffer, in bytes, that is returned to the pool for reuse.
const maxPooledBuffer = 256 << 10

// request is a request to a server. It is a POST if it has a body and a GET otherwise.
type request struct {
	path  string
	id    string
	shard string
	body  any
	order bool
	// decodeAnswer decodes an answer with status 200 and sets the outcome Invalid if it does not belong
	// to the request. If it is nil, any answer is accepted.
	decodeAnswer func(answer []byte, r *Result)
}

// scratch holds the buffers of one request.
type scratch struct {
	body     bytes.Buffer
	out      bytes.Buffer
	in       bytes.Buffer
	encoder  *json.Encoder
	reader   bytes.Reader
	limited  io.LimitedReader
	content  io.ReadCloser
	url      url.URL
	request  http.Request
	id       [1]string
	deadline [1]string
	pool     *pool
	sent     request
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
			wire.HeaderDeadline:  s.deadline[:],
		},
	}
	return s
}

func (k *Client) putScratch(s *scratch) {
	if s.body.Cap() > maxPooledBuffer || s.out.Cap() > maxPooledBuffer || s.in.Cap() > maxPooledBuffer {
		return
	}
	k.scratch.Put(s)
}

// encode encodes the request into s.out, so that it can be sent with a single write. The deadline is
// sent as a header; limit is the largest body size in bytes.
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
		return errors.Newf("back: request body of %d bytes exceeds the limit of %d bytes", s.body.Len(), limit)
	}
	s.reader.Reset(s.body.Bytes())
	s.id[0] = q.id
	s.deadline[0] = deadline.UTC().Format(time.RFC3339Nano)
	s.url.Path = q.path
	s.request.Host = host
	s.request.ContentLength = int64(s.body.Len())
	return errors.Wrap(s.request.Write(&s.out), "back: encode request")
}

// send makes one attempt. If the outcome of the result is OK, s.in holds the body of an answer with
// status 200. If no byte could be written on a reused connection, the attempt goes on with another one.
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
		c, err := p.acquire(ctx, deadline, q.id, q.order)
		r.ConnectionWait = time.Since(start)
		if err != nil {
			r.Refused = isRefused(err)
			r.Local = errors.Is(err, errCanceled) || errors.Is(err, errNoConnection) && !p.isDialing()
			r.fail(Unsent, err.Error())
			return r
		}
		// A VM that resumes after a suspension must not send an order whose deadline has passed. The
		// monotonic clock does not count the suspension, so bootTime is checked as well.
		if ctx.Err() != nil || r.ConnectionWait >= remaining || k.bootTime(q)-boot >= remaining {
			p.put(c)
			r.Local = true
			r.fail(Unsent, "back: deadline exceeded or request canceled before it was sent")
			return r
		}
		r.NewConnection = c.fresh()
		again := k.roundTrip(ctx, p, c, s, &r)
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

// roundTrip writes the request and reads the answer. It returns true if the request may be sent on
// another connection, because this connection was reused and no byte was written on it.
func (k *Client) roundTrip(ctx context.Context, p *pool, c *conn, s *scratch, r *Result) bool {
	begin := time.Now()
	stop := context.AfterFunc(ctx, c.abort)
	before := c.bytesWritten
	_, err := c.stream.Write(s.out.Bytes())
	sent := c.bytesWritten > before
	reusable := false
	status := 0
	if err == nil {
		status, reusable, err = c.readAnswer(s, k.config.MaxAnswer)
	}
	stopped := stop()
	r.Latency = time.Since(begin)
	if err == nil {
		c.answers++
		k.classify(status, s, r)
		if r.Outcome == NotRun {
			reusable = c.recordRejection(s.sent.id) && reusable
		}
		// After an answer to another request, each later answer on the connection may belong to the
		// request before it, and a refusal would be attributed to the wrong order.
		if reusable && stopped && r.Outcome != Invalid {
			p.put(c)
		} else {
			p.retire(c)
		}
		return false
	}
	if !sent {
		p.retire(c)
		r.fail(Unsent, errors.Wrapf(err, "back: write to %s", p.host).Error())
		return !r.NewConnection && !isTimeout(err)
	}
	if e := (*readError)(nil); errors.As(err, &e) && e.beforeAnswer && isTimeout(err) && isCanceled(ctx) {
		r.fail(Canceled, err.Error())
		k.cancel(p, c, s.sent)
		return false
	}
	k.classifyError(ctx, p, c, begin, err, r)
	return false
}

// readAnswer reads one answer into s.in and reports whether the connection can be reused. The error is
// a *readError.
func (c *conn) readAnswer(s *scratch, limit int) (status int, reusable bool, err error) {
	c.readBudget = maxHeaderBytes + readBufferBytes
	if _, err := c.reader.Peek(1); err != nil {
		return 0, false, &readError{err: err, beforeAnswer: true}
	}
	v, err := http.ReadResponse(c.reader, nil)
	if err != nil {
		return 0, false, &readError{err: err}
	}
	defer v.Body.Close()
	if err := checkHead(v); err != nil {
		return 0, false, &readError{err: err}
	}
	s.in.Reset()
	c.readBudget += limit
	if v.ContentLength > int64(limit) {
		return 0, false, &readError{err: errTooLarge, inBody: true}
	}
	if v.ContentLength > 0 {
		s.in.Grow(int(min(v.ContentLength, smallAnswerBytes)) + bytes.MinRead)
	}
	s.limited = io.LimitedReader{R: v.Body, N: int64(limit) + 1}
	if _, err := s.in.ReadFrom(&s.limited); err != nil {
		return 0, false, &readError{err: err, inBody: true}
	}
	if s.in.Len() > limit {
		return 0, false, &readError{err: errTooLarge, inBody: true}
	}
	return v.StatusCode, !v.Close && c.reader.Buffered() == 0, nil
}

// readError is a failed read of an answer. The field beforeAnswer is set if no byte of the answer was
// read, and inBody if the headers were read completely.
type readError struct {
	err          error
	beforeAnswer bool
	inBody       bool
}

func (e *readError) Error() string { return "back: read answer: " + e.err.Error() }

func (e *readError) Unwrap() error { return e.err }
