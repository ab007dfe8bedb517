package stand

import (
	"bufio"
	"cmp"
	"context"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"net/netip"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/arbutusthread/arbutusthread/wire"
)

// RoutedConfig holds the settings of a RoutedServer.
type RoutedConfig struct {
	// ID is what requests must name as their target; empty means the address.
	ID      string
	Headers wire.Headers
	// Slots is the number of requests that run at once; 0 means 2. Queue more wait, and the server
	// sheds above that; 0 means Slots.
	Slots, Queue int
	// Connections is the number of open connections above which new ones are reset; 0 means 25.
	Connections int
	// Delay is the time that a request takes.
	Delay time.Duration
	// Records is the number of 16-byte records in an answer; 0 means 8.
	Records int
	Seed    uint64
	Faults  RoutedFaults
}

// RoutedFaults are the faults of a RoutedServer. Shares are between 0 and 1.
type RoutedFaults struct {
	// Hang is the share of requests that are never answered, Break that of answers that end early,
	// and Lose that of requests that run and whose connection is then reset.
	Hang, Break, Lose float64
	// Extra is the share of answers that are followed by another one, Unframed that of answers
	// without a length, and Encoded that of answers with a content coding.
	Extra, Unframed, Encoded float64
	// Fail is the share of requests that are answered 500.
	Fail float64
	// CrashURI crashes the server with each request for this path.
	CrashURI string
	// Early answers requests with a body before it has been read.
	Early bool
	// Slow is added to the time that a request takes.
	Slow time.Duration
	// Cold is what the server says of its cold start.
	Cold time.Duration
}

// RoutedRun is one request that a server has begun to run.
type RoutedRun struct {
	At        time.Time
	RequestID string
	Method    string
	URI       string
	Body      string
	// Left is the time that the sender said to wait, and Canceled tells that it closed the
	// connection before the answer.
	Left     time.Duration
	Canceled bool
}

// RoutedServer is the stand-in of a backend server that answers routed requests: any method and path,
// with records as the body.
type RoutedServer struct {
	config   RoutedConfig
	listener net.Listener
	work     sync.WaitGroup

	mu      sync.Mutex
	rand    *rand.Rand
	faults  RoutedFaults
	id      string
	slots   chan struct{}
	waiting int
	conns   map[net.Conn]bool
	opened  int
	runs    []*RoutedRun
	shed    int
	closed  bool
}

// NewRoutedServer listens on the address, with port 0 on a free port.
func NewRoutedServer(address netip.AddrPort, c RoutedConfig) (*RoutedServer, error) {
	c.Slots = cmp.Or(c.Slots, 2)
	c.Queue = cmp.Or(c.Queue, c.Slots)
	c.Connections = cmp.Or(c.Connections, 25)
	c.Records = cmp.Or(c.Records, 8)
	if c.Headers == (wire.Headers{}) {
		c.Headers = wire.DefaultHeaders()
	}
	var lc net.ListenConfig
	l, err := lc.Listen(context.Background(), "tcp", address.String())
	if err != nil {
		return nil, errors.Wrapf(err, "stand: listen on %s", address)
	}
	if c.ID == "" {
		c.ID = l.Addr().String()
	}
	s := &RoutedServer{
		config: c, listener: l, rand: rand.New(rand.NewPCG(c.Seed, 1)), faults: c.Faults, id: c.ID,
		slots: make(chan struct{}, c.Slots), conns: make(map[net.Conn]bool),
	}
	s.work.Go(s.accept)
	return s, nil
}

// Address returns the listening address.
func (s *RoutedServer) Address() netip.AddrPort { return s.listener.Addr().(*net.TCPAddr).AddrPort() }

// SetFaults replaces all faults.
func (s *RoutedServer) SetFaults(f RoutedFaults) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults = f
}

// SetID makes another process of the server: requests for the former ID are misdirected.
func (s *RoutedServer) SetID(id string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.id = id
}

// Runs returns what the server has begun to run.
func (s *RoutedServer) Runs() []RoutedRun {
	s.mu.Lock()
	defer s.mu.Unlock()
	list := make([]RoutedRun, 0, len(s.runs))
	for _, r := range s.runs {
		list = append(list, *r)
	}
	return list
}

// Opened returns the number of connections that were accepted.
func (s *RoutedServer) Opened() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.opened
}

// ResetConnections resets all open connections.
func (s *RoutedServer) ResetConnections() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for c := range s.conns {
		reset(c)
	}
}

// Close stops the server and cuts off its requests.
func (s *RoutedServer) Close() {
	s.mu.Lock()
	s.closed = true
	_ = s.listener.Close()
	for c := range s.conns {
		_ = c.Close()
	}
	s.mu.Unlock()
	s.work.Wait()
}

// crash ends the server as the end of its process does.
func (s *RoutedServer) crash() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.closed = true
	_ = s.listener.Close()
	for c := range s.conns {
		reset(c)
	}
}

// Crashed reports whether a request has crashed the server.
func (s *RoutedServer) Crashed() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.closed
}

func reset(c net.Conn) {
	if t, ok := c.(*net.TCPConn); ok {
		_ = t.SetLinger(0)
	}
	_ = c.Close()
}

func (s *RoutedServer) accept() {
	for {
		c, err := s.listener.Accept()
		if err != nil {
			return
		}
		s.mu.Lock()
		full := len(s.conns) >= s.config.Connections
		if !full && !s.closed {
			s.conns[c] = true
			s.opened++
			s.work.Go(func() { s.serve(c) })
		}
		s.mu.Unlock()
		if full {
			reset(c)
		}
	}
}

func (s *RoutedServer) serve(c net.Conn) {
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
		var body []byte
		early := s.early() && r.ContentLength > 0
		if !early {
			if body, err = io.ReadAll(r.Body); err != nil {
				return
			}
		}
		if !s.answer(c, in, r, body) {
			return
		}
		if _, err := io.Copy(io.Discard, r.Body); err != nil {
			return
		}
	}
}

func (s *RoutedServer) early() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.faults.Early
}
