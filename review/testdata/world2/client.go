package main

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"time"
)

// attempt is one request of a client.
type attempt struct {
	id, host, method, uri string
	body                  []byte
	deadline              time.Duration
	sentAt                time.Time
}

// outcome is what a client saw of its request.
type outcome struct {
	status int
	header http.Header
	body   []byte
	err    error
	took   time.Duration
}

func (o outcome) String() string {
	if o.err != nil {
		return fmt.Sprintf("no answer after %s: %v", o.took.Round(time.Millisecond), o.err)
	}
	return fmt.Sprintf("status %d after %s", o.status, o.took.Round(time.Millisecond))
}

func newID() string { return fmt.Sprintf("%016x", rand.Uint64()) }

// clientConn is a kept connection of a client.
type clientConn struct {
	conn   net.Conn
	in     *bufio.Reader
	closed bool
}

func dialFront(address string) (*clientConn, error) {
	c, err := net.DialTimeout("tcp", address, time.Second)
	if err != nil {
		return nil, err
	}
	return &clientConn{conn: c, in: bufio.NewReader(c)}, nil
}

func (a *attempt) encode() []byte {
	var b bytes.Buffer
	fmt.Fprintf(&b, "%s %s HTTP/1.1\r\nHost: %s\r\nX-Attempt-Id: %s\r\nX-Deadline-Ms: %d\r\n",
		a.method, a.uri, a.host, a.id, a.deadline.Milliseconds())
	switch {
	case len(a.body) > 0 || a.method == http.MethodPost:
		b.WriteString("Content-Length: " + strconv.Itoa(len(a.body)) + "\r\n\r\n")
		b.Write(a.body)
	default:
		b.WriteString("\r\n")
	}
	return b.Bytes()
}

// answerTime is how long a client waits for an answer beyond its deadline.
const answerTime = 2 * time.Second

// do sends a request and reads the answer. It closes the connection if it cannot be used again.
func (c *clientConn) do(a *attempt) outcome {
	a.sentAt = time.Now()
	_ = c.conn.SetDeadline(a.sentAt.Add(a.deadline + answerTime))
	var o outcome
	finish := func(err error) outcome {
		o.err, o.took = err, time.Since(a.sentAt)
		if err != nil {
			c.close()
		}
		return o
	}
	if _, err := c.conn.Write(a.encode()); err != nil {
		return finish(err)
	}
	r, err := http.ReadResponse(c.in, &http.Request{Method: a.method})
	if err != nil {
		return finish(err)
	}
	defer r.Body.Close()
	b, err := io.ReadAll(r.Body)
	if err != nil {
		return finish(err)
	}
	o.status, o.header, o.body = r.StatusCode, r.Header, b
	if r.Close {
		c.close()
	}
	return finish(nil)
}

func (c *clientConn) close() {
	c.closed = true
	_ = c.conn.Close()
}

// once sends a request on a new connection.
func once(front string, a *attempt) outcome {
	c, err := dialFront(front)
	if err != nil {
		return outcome{err: err}
	}
	defer c.conn.Close()
	return c.do(a)
}
