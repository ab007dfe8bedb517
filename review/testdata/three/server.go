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
	"syscall"
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
	// coldUntil is the end of a cold start, and arrivals holds the times of the requests since its beginning.
	coldUntil time.Time
	arrivals  []time.Time
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
	s.listener = &cappedListener{
		TCPListener: l.(*net.TCPListener), limit: int64(s.limit), conns: make(map[*countedConn]bool),
		dark: make(chan struct{}), woken: make(chan struct{}),
	}
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

// goDark makes the machine of the server lose power.
func (s *server) goDark() { s.listener.goDark() }

// returnCold starts a process of the server after goDark. It is cold for coldTime.
func (s *server) returnCold() {
	s.listener.wake()
	s.boot()
	s.mu.Lock()
	defer s.mu.Unlock()
	s.coldUntil = s.born.Add(coldTime)
	s.arrivals = nil
}

const (
	coldTime   = 3 * time.Second
	coldFactor = 1.6
)

// entry is what the server writes of itself to the store.
func (s *server) entry(state string) map[string]any {
	return map[string]any{
		"service": s.service, "address": s.address, "zone": s.zone, "version": "v1", "slots": s.slots, "state": state,
		"cold-remaining-ms": max(0, time.Until(s.coldUntil).Milliseconds()), "sequence": 1, "born": s.born.UnixMilli(),
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
	work := s.arrive(time.Now())
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
	case <-time.After(work):
	case <-r.Context().Done():
		return
	}
	s.answer(w, id)
}

// arrive records the arrival of a request at a cold server, and returns how long it works on a request.
func (s *server) arrive(now time.Time) time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !now.Before(s.coldUntil) {
		return s.work
	}
	s.arrivals = append(s.arrivals, now)
	return time.Duration(coldFactor * float64(s.work))
}

// mostArrivals returns the largest number of requests that arrived at the cold server within a second, and the beginning of
// that second after its start.
func (s *server) mostArrivals() (most int, begin time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	first := 0
	for i, at := range s.arrivals {
		for at.Sub(s.arrivals[first]) >= time.Second {
			first++
		}
		if n := i - first + 1; n > most {
			most, begin = n, s.arrivals[first].Sub(s.born)
		}
	}
	return most, begin
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

// cappedListener resets connections beyond a limit. It can go silent, as when the machine of the server loses power.
type cappedListener struct {
	*net.TCPListener
	limit int64

	mu    sync.Mutex
	conns map[*countedConn]bool
	// dark is closed when the machine loses power, and woken when it has power again.
	dark, woken chan struct{}
}

func (l *cappedListener) Accept() (net.Conn, error) {
	for {
		c, err := l.AcceptTCP()
		if err != nil {
			return nil, err
		}
		if isClosed(l.dark) {
			<-l.woken
		}
		if k := l.add(c); k != nil {
			return k, nil
		}
		_ = c.SetLinger(0)
		c.Close()
	}
}

func (l *cappedListener) add(c *net.TCPConn) *countedConn {
	l.mu.Lock()
	defer l.mu.Unlock()
	if int64(len(l.conns)) >= l.limit || isClosed(l.woken) {
		return nil
	}
	k := &countedConn{TCPConn: c, list: l}
	l.conns[k] = true
	return k
}

// reset resets all connections.
func (l *cappedListener) reset() {
	l.mu.Lock()
	open := slices.Collect(maps.Keys(l.conns))
	l.mu.Unlock()
	for _, k := range open {
		k.reset()
	}
}

// goDark makes the address silent: packets of new connections are dropped once the queue of the listener is full.
func (l *cappedListener) goDark() {
	close(l.dark)
	raw, err := l.SyscallConn()
	must(err)
	must(raw.Control(func(fd uintptr) { _ = syscall.Listen(int(fd), 0) }))
	for range 4 {
		go func() {
			if c, err := net.DialTimeout("tcp", l.Addr().String(), 200*time.Millisecond); err == nil {
				<-l.woken
				c.Close()
			}
		}()
	}
}

// wake ends the silence. Connections on which something has been sent meanwhile are reset, and the others when something
// is sent on them: the machine knows none of them.
func (l *cappedListener) wake() {
	l.mu.Lock()
	close(l.woken)
	open := slices.Collect(maps.Keys(l.conns))
	l.mu.Unlock()
	l.Close()
	for _, k := range open {
		if k.used.Load() {
			k.reset()
		}
	}
}

// countedConn is a connection of a cappedListener.
type countedConn struct {
	*net.TCPConn
	list *cappedListener
	// used is set if something was to be sent on the connection while the machine had no power.
	used atomic.Bool
}

func (c *countedConn) Read(b []byte) (int, error) {
	n, err := c.TCPConn.Read(b)
	if isClosed(c.list.dark) {
		return 0, c.endDark()
	}
	return n, err
}

func (c *countedConn) Write(b []byte) (int, error) {
	if isClosed(c.list.dark) {
		return 0, c.endDark()
	}
	return c.TCPConn.Write(b)
}

// endDark waits until the machine has power again, resets the connection and returns an error.
func (c *countedConn) endDark() error {
	c.used.Store(true)
	<-c.list.woken
	c.reset()
	return net.ErrClosed
}

func (c *countedConn) reset() {
	_ = c.SetLinger(0)
	c.Close()
}

// Close closes the connection. The process cannot do that while its machine has no power.
func (c *countedConn) Close() error {
	if isClosed(c.list.dark) {
		<-c.list.woken
	}
	c.list.mu.Lock()
	delete(c.list.conns, c)
	c.list.mu.Unlock()
	return c.TCPConn.Close()
}

func isClosed(c chan struct{}) bool {
	select {
	case <-c:
		return true
	default:
		return false
	}
}

func serverID(service string, n int) string { return fmt.Sprintf("i-%s-%d", service, n) }
