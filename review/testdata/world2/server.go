package main

import (
	"bufio"
	"bytes"
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"net/textproto"
	"strconv"
	"sync"
	"time"
)

// server is a stand-in for one backend server. It registers itself in the store, serves one request at a time on a
// connection, and answers requests for another instance with 421.
type server struct {
	w             *world
	service, zone string
	id, address   string
	slots         int
	born          int64
	cold          time.Duration
	// handle serves one request for this server.
	handle func(x *exchange)

	listener net.Listener
	permits  chan struct{}
	mu       sync.Mutex
	conns    map[net.Conn]bool
	closed   bool
	sequence int
}

// newServer starts a server. An address of "" selects a free port.
func newServer(w *world, service, zone, id, address string, handle func(*exchange)) (*server, error) {
	if address == "" {
		address = "127.0.0.1:0"
	}
	l, err := net.Listen("tcp", address)
	if err != nil {
		return nil, err
	}
	s := &server{
		w: w, service: service, zone: zone, id: id, address: l.Addr().String(), slots: 2, born: time.Now().UnixMilli(),
		handle: handle, listener: l, permits: make(chan struct{}, 2), conns: make(map[net.Conn]bool),
	}
	go s.accept()
	return s, nil
}

// register writes the entry of the server.
func (s *server) register() {
	s.mu.Lock()
	s.sequence++
	b := beatDoc{
		Service: s.service, Address: s.address, Zone: s.zone, Version: "v1", Slots: s.slots, State: "ready",
		Sequence: s.sequence, Born: s.born, ColdMs: int(s.cold.Milliseconds()),
	}
	s.mu.Unlock()
	s.w.store.put("servers/"+s.id, b)
}

func (s *server) accept() {
	for {
		c, err := s.listener.Accept()
		if err != nil {
			return
		}
		s.mu.Lock()
		if s.closed {
			_ = c.Close()
		} else {
			s.conns[c] = true
			go s.serve(c)
		}
		s.mu.Unlock()
	}
}

// crash ends the server as the end of its process does: the listener and all connections are closed at once.
func (s *server) crash() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.closed = true
	_ = s.listener.Close()
	for c := range s.conns {
		_ = c.(*net.TCPConn).SetLinger(0)
		_ = c.Close()
	}
}

func (s *server) serve(c net.Conn) {
	defer func() {
		_ = c.Close()
		s.mu.Lock()
		delete(s.conns, c)
		s.mu.Unlock()
	}()
	in := bufio.NewReader(c)
	for {
		r, err := http.ReadRequest(in)
		if err != nil {
			return
		}
		x := &exchange{server: s, conn: c, request: r, id: r.Header.Get("X-Attempt-Id"), at: time.Now()}
		if ms, err := strconv.Atoi(r.Header.Get("X-Deadline-Ms")); err == nil {
			x.left = time.Duration(ms) * time.Millisecond
		}
		if target := r.Header.Get("X-Target-Instance"); target != "" && target != s.id {
			x.readBody()
			x.write(http.StatusMisdirectedRequest, http.Header{"X-Instance-Id": {s.id}}, nil)
		} else {
			s.handle(x)
		}
		if x.ended {
			return
		}
		if !x.bodyRead {
			x.readBody()
		}
	}
}

// exchange is one request at a server.
type exchange struct {
	server   *server
	conn     net.Conn
	request  *http.Request
	id       string
	at       time.Time
	left     time.Duration
	body     []byte
	bodyRead bool
	run      *run
	// ended is set when the server does not go on with the connection.
	ended bool
}

// readBody reads the body of the request.
func (x *exchange) readBody() bool {
	if x.bodyRead {
		return true
	}
	b, err := io.ReadAll(x.request.Body)
	x.body, x.bodyRead = b, true
	if err != nil {
		x.ended = true
	}
	return err == nil
}

// begin records that the server begins to work on the request.
func (x *exchange) begin() { x.run = x.server.w.recordRun(x) }

// answer sends the server's own answer with its seal.
func (x *exchange) answer(status int, body []byte) {
	seal := x.server.w.seal(x, status, body)
	x.write(status, http.Header{"X-Attempt-Id": {x.id}, "X-Server-Seal": {seal}}, body)
}

// reject says that the server has not run the request.
func (x *exchange) reject(h http.Header) {
	if h == nil {
		h = http.Header{}
	}
	h.Set("X-Not-Executed", "1")
	h.Set("X-Attempt-Id", x.id)
	x.write(http.StatusServiceUnavailable, h, nil)
}

// write sends an answer with a length.
func (x *exchange) write(status int, h http.Header, body []byte) {
	if h.Get("Connection") == "close" {
		x.ended = true
	}
	if _, err := x.conn.Write(encodeAnswer(status, h, body, true)); err != nil {
		x.ended = true
	}
}

func encodeAnswer(status int, h http.Header, body []byte, length bool) []byte {
	var b bytes.Buffer
	fmt.Fprintf(&b, "HTTP/1.1 %d %s\r\n", status, http.StatusText(status))
	if length {
		h.Set("Content-Length", strconv.Itoa(len(body)))
	}
	for name, values := range h {
		for _, v := range values {
			fmt.Fprintf(&b, "%s: %s\r\n", textproto.CanonicalMIMEHeaderKey(name), v)
		}
	}
	b.WriteString("\r\n")
	b.Write(body)
	return b.Bytes()
}

// reset breaks the connection off.
func (x *exchange) reset() {
	_ = x.conn.(*net.TCPConn).SetLinger(0)
	_ = x.conn.Close()
	x.ended = true
}

// run is one request that a server began to work on.
type run struct {
	at                     time.Time
	id, server, service    string
	method, host, uri, sum string
	left                   time.Duration
}

func sumOf(b []byte) string {
	h := sha256.Sum256(b)
	return hex.EncodeToString(h[:6])
}

// sealed is what a server answered under a seal.
type sealed struct {
	id, server, service string
	status              int
	body                []byte
}

// records returns n random records of 16 bytes.
func records(n int) []byte {
	b := make([]byte, 16*n)
	for i := range b {
		b[i] = byte(rand.Uint32())
	}
	return b
}
