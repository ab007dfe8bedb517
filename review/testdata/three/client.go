package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"time"
)

var lastAttempt atomic.Int64

func newAttemptID() string { return fmt.Sprintf("%016x", lastAttempt.Add(1)) }

// answer is what a requester gets. The status is 0 if the connection ended without an answer.
type answer struct {
	status int
	header http.Header
	body   []byte
	err    error
	took   time.Duration
}

// requester is a requester's connection to a node.
type requester struct {
	address string
	conn    net.Conn
	reader  *bufio.Reader
}

func (q *requester) close() {
	if q.conn != nil {
		q.conn.Close()
		q.conn = nil
	}
}

// send sends a request as it stands and reads the answer within the timeout.
func (q *requester) send(method, text string, timeout time.Duration) answer {
	begin := time.Now()
	if q.conn == nil {
		c, err := net.DialTimeout("tcp", q.address, time.Second)
		if err != nil {
			return answer{err: err, took: time.Since(begin)}
		}
		q.conn, q.reader = c, bufio.NewReader(c)
	}
	_ = q.conn.SetDeadline(begin.Add(timeout))
	a := q.exchange(method, text)
	a.took = time.Since(begin)
	if a.err != nil || strings.EqualFold(a.header.Get("Connection"), "close") {
		q.close()
	}
	return a
}

func (q *requester) exchange(method, text string) answer {
	if _, err := io.WriteString(q.conn, text); err != nil {
		return answer{err: err}
	}
	r, err := http.ReadResponse(q.reader, &http.Request{Method: method})
	if err != nil {
		return answer{err: err}
	}
	defer r.Body.Close()
	b, err := io.ReadAll(r.Body)
	if r.Close {
		r.Header.Set("Connection", "close")
	}
	return answer{status: r.StatusCode, header: r.Header, body: b, err: err}
}

// headOf returns the head of a request without its last line.
func headOf(method, uri, id string, deadline time.Duration, lines ...string) string {
	return fmt.Sprintf("%s %s HTTP/1.1\r\nHost: %s\r\nX-Attempt-Id: %s\r\nX-Deadline-Ms: %d\r\n%s",
		method, uri, host, id, deadline.Milliseconds(), strings.Join(lines, ""))
}
