package stand

import (
	"bufio"
	"bytes"
	"encoding/binary"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"time"
)

// Run is one execution of a request at a server.
type Run struct {
	Server string
	At     time.Time
}

// Ledger records what servers received and ran, by attempt ID.
type Ledger struct {
	mu   sync.Mutex
	runs map[string][]Run
}

// NewLedger returns an empty ledger.
func NewLedger() *Ledger { return &Ledger{runs: make(map[string][]Run)} }

func (l *Ledger) ran(id, server string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.runs[id] = append(l.runs[id], Run{server, time.Now()})
}

// Runs returns the executions of a request.
func (l *Ledger) Runs(id string) []Run {
	l.mu.Lock()
	defer l.mu.Unlock()
	return append([]Run(nil), l.runs[id]...)
}

// ServerConfig describes a backend server.
type ServerConfig struct {
	ID, Service, Zone string
	// Slots requests run at once and Queue further ones wait; the server rejects all others.
	Slots, Queue int
	// Work returns the time that one request takes.
	Work func() time.Duration
	// Records is the number of records in an answer of a shard, 0 for a server that is no shard.
	Records int
	Ledger  *Ledger
	// Extra, if set, decides whether a second copy of an answer is sent late: when the next request arrives on the
	// connection, before the answer to that request.
	Extra func(status int) bool
	// Crashes, if set, reports whether a request with the path crashes the server when it begins to run.
	Crashes func(path string) bool
	// OnExtra is called when a second copy is sent.
	OnExtra func(id string, status int, next string)
}

// Server is a backend server.
type Server struct {
	ServerConfig
	listener net.Listener
	born     time.Time
	slots    chan struct{}
	queued   atomic.Int64
	sequence atomic.Int64
	closed   atomic.Bool
	mu       sync.Mutex
	conns    map[net.Conn]bool
	// Rejected counts the requests that were rejected because the server was full.
	Rejected atomic.Int64
	state    atomic.Value
	// crashed is called once when a request has crashed the server.
	crashed func()
}

// NewServer starts a server at the address.
func NewServer(address string, c ServerConfig) (*Server, error) {
	l, err := net.Listen("tcp", address)
	if err != nil {
		return nil, err
	}
	s := &Server{ServerConfig: c, listener: l, born: time.Now(), slots: make(chan struct{}, c.Slots), conns: make(map[net.Conn]bool)}
	s.state.Store("ready")
	go s.accept()
	return s, nil
}

// Entry returns what the server writes to the store.
func (s *Server) Entry() map[string]any {
	return map[string]any{
		"service": s.Service, "address": s.listener.Addr().String(), "zone": s.Zone, "version": "v1", "slots": s.Slots,
		"state": s.state.Load(), "cold-remaining-ms": 0, "sequence": s.sequence.Add(1), "born": s.born.UnixMilli(),
	}
}

// Close ends the server.
func (s *Server) Close() {
	s.closed.Store(true)
	s.close()
}

func (s *Server) close() {
	_ = s.listener.Close()
	s.mu.Lock()
	defer s.mu.Unlock()
	for c := range s.conns {
		_ = c.Close()
	}
}

func (s *Server) accept() {
	for {
		c, err := s.listener.Accept()
		if err != nil {
			return
		}
		s.mu.Lock()
		s.conns[c] = true
		if s.closed.Load() {
			_ = c.Close()
		}
		s.mu.Unlock()
		go s.serve(c)
	}
}

func (s *Server) serve(c net.Conn) {
	defer func() {
		s.mu.Lock()
		delete(s.conns, c)
		s.mu.Unlock()
		_ = c.Close()
	}()
	in := bufio.NewReader(c)
	var late []byte
	var lateID string
	var lateStatus int
	for {
		r, err := http.ReadRequest(in)
		if err != nil {
			return
		}
		if _, err := io.Copy(io.Discard, r.Body); err != nil {
			return
		}
		id := r.Header.Get("X-Attempt-Id")
		if late != nil {
			if s.OnExtra != nil {
				s.OnExtra(lateID, lateStatus, id)
			}
			if _, err := c.Write(late); err != nil {
				return
			}
			late = nil
		}
		status, head, body, ok := s.answer(c, in, r)
		if !ok {
			return
		}
		b := encode(status, id, head, body)
		if _, err := c.Write(b); err != nil {
			return
		}
		if s.Extra != nil && s.Extra(status) {
			late, lateID, lateStatus = b, id, status
		}
	}
}

func encode(status int, id string, head map[string]string, body []byte) []byte {
	var b bytes.Buffer
	fmt.Fprintf(&b, "HTTP/1.1 %d %s\r\nX-Attempt-Id: %s\r\n", status, http.StatusText(status), id)
	for k, v := range head {
		fmt.Fprintf(&b, "%s: %s\r\n", k, v)
	}
	fmt.Fprintf(&b, "Content-Length: %d\r\n\r\n", len(body))
	b.Write(body)
	return b.Bytes()
}

// answer runs a request, or rejects it. It reports false when the connection has closed meanwhile.
func (s *Server) answer(c net.Conn, in *bufio.Reader, r *http.Request) (int, map[string]string, []byte, bool) {
	id := r.Header.Get("X-Attempt-Id")
	instance := map[string]string{"X-Instance-Id": s.ID}
	if r.URL.Path == "/healthz" {
		return http.StatusOK, instance, nil, true
	}
	if t := r.Header.Get("X-Target-Instance"); t != "" && t != s.ID {
		return http.StatusMisdirectedRequest, instance, nil, true
	}
	if id == "" {
		return http.StatusBadRequest, map[string]string{"X-Not-Executed": "1"}, nil, true
	}
	if s.queued.Add(1) > int64(s.Slots+s.Queue) {
		s.queued.Add(-1)
		s.Rejected.Add(1)
		return http.StatusServiceUnavailable, map[string]string{"X-Not-Executed": "1"}, nil, true
	}
	defer s.queued.Add(-1)
	wait := 30 * time.Second
	if ms, err := strconv.Atoi(r.Header.Get("X-Deadline-Ms")); err == nil {
		wait = time.Duration(ms) * time.Millisecond
	}
	deadline := time.NewTimer(wait)
	defer deadline.Stop()
	gone := make(chan struct{})
	stop := make(chan struct{})
	go func() {
		// The request is dropped when its connection closes.
		defer close(gone)
		_, err := in.Peek(1)
		if err == nil || isTimeout(err) {
			<-stop
		}
	}()
	defer func() {
		close(stop)
		_ = c.SetReadDeadline(time.Unix(1, 0))
		<-gone
		_ = c.SetReadDeadline(time.Time{})
	}()
	select {
	case s.slots <- struct{}{}:
	case <-gone:
		return 0, nil, nil, false
	case <-deadline.C:
		return http.StatusServiceUnavailable, map[string]string{"X-Not-Executed": "1"}, nil, true
	}
	defer func() { <-s.slots }()
	s.Ledger.ran(id, s.ID)
	if s.Crashes != nil && s.Crashes(r.URL.Path) {
		if !s.closed.Swap(true) {
			s.close()
			if s.crashed != nil {
				s.crashed()
			}
		}
		return 0, nil, nil, false
	}
	work := time.NewTimer(s.Work())
	defer work.Stop()
	select {
	case <-work.C:
	case <-gone:
		return 0, nil, nil, false
	case <-deadline.C:
		return http.StatusGatewayTimeout, map[string]string{"X-Server-Seal": s.seal(id)}, nil, true
	}
	body := make([]byte, 16*s.Records)
	for i := 0; i < len(body); i += 8 {
		binary.BigEndian.PutUint64(body[i:], rand.Uint64())
	}
	if s.Records == 0 {
		body = []byte("answer of " + s.ID + " to " + id)
	}
	return http.StatusOK, map[string]string{"X-Server-Seal": s.seal(id)}, body, true
}

func (s *Server) seal(id string) string { return s.Service + "." + s.ID + "." + id }

func isTimeout(err error) bool {
	n, ok := err.(net.Error)
	return ok && n.Timeout()
}
