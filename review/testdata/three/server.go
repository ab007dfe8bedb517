package main

import (
	"encoding/binary"
	"fmt"
	"io"
	"log"
	"maps"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"slices"
	"strconv"
	"sync"
	"sync/atomic"
	"time"
)

// server is a stand-in for a sound backend server: it runs up to slots requests at a time, queues a few more and rejects
// the others.
type server struct {
	id, service, zone, address string
	slots                      int
	work                       time.Duration
	records                    int
	permits                    chan struct{}
	queued                     atomic.Int64
	// behave, if set, is called with each request that is about to run.
	behave func(r *http.Request)

	mu       sync.Mutex
	listener *cappedListener
	born     time.Time
	limit    int
	// down is set while the server has crashed.
	down bool
}

const serverQueue = 24

func startServer(id, service, zone string, slots, connections int, work time.Duration, records int) *server {
	s := &server{
		id: id, service: service, zone: zone, slots: slots, work: work, records: records, permits: make(chan struct{}, slots),
		address: serverAddress(), limit: connections,
	}
	s.boot()
	return s
}

// serverAddress returns a free address. It is not one that the kernel uses for outgoing connections, so that it stays free
// while the server is down.
func serverAddress() string {
	for ip := fmt.Sprintf("127.47.%d.1", os.Getpid()%200+1); ; {
		port := int(lastServerPort.Add(1))
		if l, err := net.Listen("tcp", net.JoinHostPort(ip, strconv.Itoa(port))); err == nil {
			l.Close()
			return l.Addr().String()
		}
	}
}

var lastServerPort = func() *atomic.Int64 {
	p := &atomic.Int64{}
	p.Store(20000)
	return p
}()

// boot starts a process of the server, at the address that it had before if there was one.
func (s *server) boot() {
	l, err := net.Listen("tcp", s.address)
	must(err)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.address, s.born = l.Addr().String(), time.Now()
	s.listener = &cappedListener{Listener: l, limit: int64(s.limit), conns: make(map[*countedConn]bool)}
	h := &http.Server{Handler: s, IdleTimeout: 30 * time.Second, ErrorLog: log.New(io.Discard, "", 0)}
	go func(l *cappedListener) { _ = h.Serve(l) }(s.listener)
}

// crash ends the process of the server: its address refuses connections from now on.
func (s *server) crash() {
	s.mu.Lock()
	l := s.listener
	s.down = true
	s.mu.Unlock()
	l.Close()
	l.reset()
}

// entry is what the server writes of itself to the store.
func (s *server) entry(state string) map[string]any {
	return map[string]any{
		"service": s.service, "address": s.address, "zone": s.zone, "version": "v1", "slots": s.slots, "state": state,
		"cold-remaining-ms": 0, "sequence": 1, "born": s.born.UnixMilli(),
	}
}

func (s *server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if r.URL.Path == "/healthz" {
		w.Header().Set("X-Instance-Id", s.id)
		return
	}
	if _, err := io.Copy(io.Discard, r.Body); err != nil {
		return
	}
	id := r.Header.Get("X-Attempt-Id")
	w.Header().Set("X-Attempt-Id", id)
	if t := r.Header.Get("X-Target-Instance"); t != "" && t != s.id {
		w.Header().Set("X-Not-Executed", "1")
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	if s.behave != nil {
		s.behave(r)
	}
	if s.queued.Add(1) > int64(s.slots+serverQueue) {
		s.queued.Add(-1)
		w.Header().Set("X-Not-Executed", "1")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	defer s.queued.Add(-1)
	select {
	case s.permits <- struct{}{}:
	case <-r.Context().Done():
		return
	}
	defer func() { <-s.permits }()
	select {
	case <-time.After(s.work):
	case <-r.Context().Done():
		return
	}
	s.answer(w, id)
}

func (s *server) answer(w http.ResponseWriter, id string) {
	w.Header().Set("X-Server-Seal", s.id+"."+id)
	b := make([]byte, 16*s.records)
	for i := 0; i < len(b); i += 8 {
		binary.BigEndian.PutUint64(b[i:], rand.Uint64())
	}
	w.Header().Set("Content-Length", strconv.Itoa(len(b)))
	_, _ = w.Write(b)
}

// cappedListener resets connections beyond a limit.
type cappedListener struct {
	net.Listener
	limit int64

	mu    sync.Mutex
	conns map[*countedConn]bool
}

func (l *cappedListener) Accept() (net.Conn, error) {
	for {
		c, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		if k := l.add(c); k != nil {
			return k, nil
		}
		_ = c.(*net.TCPConn).SetLinger(0)
		c.Close()
	}
}

func (l *cappedListener) add(c net.Conn) *countedConn {
	l.mu.Lock()
	defer l.mu.Unlock()
	if int64(len(l.conns)) >= l.limit {
		return nil
	}
	k := &countedConn{Conn: c, list: l}
	l.conns[k] = true
	return k
}

// reset resets all connections.
func (l *cappedListener) reset() {
	l.mu.Lock()
	open := slices.Collect(maps.Keys(l.conns))
	l.mu.Unlock()
	for _, k := range open {
		_ = k.Conn.(*net.TCPConn).SetLinger(0)
		k.Close()
	}
}

type countedConn struct {
	net.Conn
	list *cappedListener
}

func (c *countedConn) Close() error {
	c.list.mu.Lock()
	delete(c.list.conns, c)
	c.list.mu.Unlock()
	return c.Conn.Close()
}

func serverID(service string, n int) string { return fmt.Sprintf("i-%s-%d", service, n) }
