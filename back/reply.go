package back

import (
	"bytes"
	"io"
	"net/http"
	"sync/atomic"

	"github.com/cockroachdb/errors"
)

// readReply reads one answer and reports whether the connection can be reused. The limit is the largest
// body size in bytes. A large body must also fit in the memory for all answers. The error is a *readError.
func (c *conn) readReply(method string, limit int, memory *answerMemory) (*Reply, bool, error) {
	c.readBudget = maxHeaderBytes + readBufferBytes
	if _, err := c.reader.Peek(1); err != nil {
		return nil, false, &readError{err: err, beforeAnswer: true}
	}
	v, err := readFinalResponse(c, method)
	if err != nil {
		return nil, false, &readError{err: err}
	}
	defer v.Body.Close()
	if v.ContentLength > int64(limit) {
		return nil, false, &readError{err: errTooLarge, inBody: true}
	}
	c.readBudget += limit
	reserved := &reservation{memory: memory}
	body, err := readBody(v, limit, reserved)
	if err != nil {
		reserved.release()
		return nil, false, &readError{err: err, inBody: true}
	}
	c.idleTimeout = parseIdleTimeout(v.Header)
	reusable := !v.Close && c.reader.Buffered() == 0
	return &Reply{Status: v.StatusCode, Header: v.Header, Body: body, memory: reserved}, reusable, nil
}

// errStatus means that the status line has a number that is not the status of an answer to a forwarded request.
var errStatus = errors.New("back: answer has an invalid status")

// readFinalResponse reads the status line and headers of the final response. It skips interim responses, which have a
// status below 200. No request asks for another protocol, so that 101 is none of them. Numbers outside 100 to 599 are not
// statuses: what follows such a line may be its body, and must not be taken for another response.
func readFinalResponse(c *conn, method string) (*http.Response, error) {
	for {
		v, err := http.ReadResponse(c.reader, &http.Request{Method: method})
		switch {
		case err != nil:
			return nil, err
		case checkHead(v) != nil:
			return nil, errJoinedHeads
		case v.StatusCode < 100 || v.StatusCode > 599 || v.StatusCode == http.StatusSwitchingProtocols:
			return nil, errors.Wrapf(errStatus, "%q", v.Status)
		case v.StatusCode >= http.StatusOK:
			return v, nil
		}
	}
}

// answerMemory counts the bytes that are reserved for large answers.
type answerMemory struct{ reserved atomic.Int64 }

const (
	// smallAnswerBytes is the size up to which an answer needs no reservation.
	smallAnswerBytes = 16 << 10
	// maxAnswerMemory is the maximum size of all reservations of a client. Servers that send bytes without end must not
	// exhaust the memory of a small node, whatever their number.
	maxAnswerMemory = 12 << 20
)

// reserve adds bytes to the reservation. It returns errTooLarge if the memory for answers is in use.
func (m *answerMemory) reserve(n int) error {
	if m.reserved.Add(int64(n)) > maxAnswerMemory {
		m.reserved.Add(-int64(n))
		return errTooLarge
	}
	return nil
}

// reservation is the memory that is reserved for one answer.
type reservation struct {
	memory *answerMemory
	bytes  atomic.Int64
}

// grow reserves memory for a larger buffer. The old and the new one are in use while the body is copied.
func (r *reservation) grow(bytes int, copyBody func()) error {
	if bytes <= smallAnswerBytes {
		copyBody()
		return nil
	}
	if err := r.memory.reserve(bytes); err != nil {
		return err
	}
	copyBody()
	r.memory.reserved.Add(-r.bytes.Swap(int64(bytes)))
	return nil
}

func (r *reservation) release() { r.memory.reserved.Add(-r.bytes.Swap(0)) }

// readBody reads a body. It reserves memory as the body grows, not for the length that the server claims.
func readBody(v *http.Response, limit int, reserved *reservation) ([]byte, error) {
	if v.ContentLength >= 0 && v.ContentLength <= smallAnswerBytes {
		body := make([]byte, v.ContentLength)
		_, err := io.ReadFull(v.Body, body)
		return body, err
	}
	body := make([]byte, 0, bytes.MinRead)
	for {
		n, err := v.Body.Read(body[len(body):cap(body)])
		body = body[:len(body)+n]
		switch {
		case errors.Is(err, io.EOF):
			return body, nil
		case err != nil:
			return nil, err
		case len(body) > limit:
			return nil, errTooLarge
		case len(body) < cap(body):
			continue
		}
		grown := min(2*cap(body), limit+1)
		err = reserved.grow(grown, func() { body = append(make([]byte, 0, grown), body...) })
		if err != nil {
			return nil, err
		}
	}
}
