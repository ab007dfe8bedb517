package fake

import (
	"bufio"
	"cmp"
	"context"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"net/netip"
	"slices"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/arbutusthread/arbutusthread/wire"
)

// RoutedConfig holds the settings of a RoutedServer.
type RoutedConfig struct {
	// ID is the instance ID of the server, which requests may name as their target; empty means the address.
	ID      string
	Headers wire.Headers
	// Slots is the number of requests that run concurrently; 0 means 2. Queue is the number of requests
	// that may wait for a slot; 0 means Slots. Further requests are shed.
	Slots, Queue int
	// Connections is the maximum number of open connections; further ones are reset. 0 means 25.
	Connections int
	// Delay is the processing time of a request, and LongDelay that of one whose path begins with LongPrefix.
	Delay      time.Duration
	LongPrefix string
	LongDelay  time.Duration
	// Work, if set, returns the processing time of each request instead. It is called concurrently.
	Work func() time.Duration
	// EnforceTimeout makes the server end a request at the timeout that it announces, with status 504 if it has
	// started to run and as a rejection otherwise, and drop a queued request when its connection closes.
	EnforceTimeout bool
	// Records is the number of 16-byte records in a response; 0 means 8.
	Records int
	Seed    uint64
	Faults  RoutedFaults
}

// RoutedFaults holds all faults of a RoutedServer. Shares are probabilities between 0 and 1.
type RoutedFaults struct {
	// Hang is the share of requests that never get a response, TruncateBody the share of responses with a
	// truncated body, and ResetAfterRun the share of requests that run but whose connection is then reset before
	// the response.
	Hang, TruncateBody, ResetAfterRun float64
	// ExtraResponse is the share of responses followed by an unsolicited response, Unframed the share of
	// responses without a Content-Length, and Encoded the share of responses with a Content-Encoding.
	ExtraResponse, Unframed, Encoded float64
	// LateRejection is the share of rejections of which a second copy is sent before the next response on the
	// connection.
	LateRejection float64
	// InternalError is the share of requests that run and fail, with a seal and the status FailureStatus; 0 means 500.
	InternalError float64
	FailureStatus int
	// CrashURI is a request URI that crashes the server.
	CrashURI string
	// RespondEarly makes the server respond to requests with a body before it has read the body.
	RespondEarly bool
	// Slow is added to the processing time of a request.
	Slow time.Duration
	// Cold is the remaining cold start time that responses announce, with a resolution of 1 ms; 0 means none.
	Cold time.Duration
	// Leaving makes all responses announce that the server is about to stop, except those for another instance.
	Leaving bool
	// Reject is the share of requests that are rejected as if the queue were full. RetryAfter is the time for which
	// rejections ask for no requests, with a resolution of 1 ms; 0 means none.
	Reject     float64
	RetryAfter time.Duration
}

// RoutedRun is a request that a server started to run.
type RoutedRun struct {
	At        time.Time
	RequestID string
	Method    string
	URI       string
	Body      string
	// Timeout is the remaining timeout that the sender announced. Canceled is set when the sender closed
	// the connection before the response.
	Timeout  time.Duration
	Canceled bool
	// Work is the processing time of the request. Ended is the time at which the server stopped working on it, zero while
	// it is running.
	Work  time.Duration
	Ended time.Time
	// BrokenOff is set when the server ended the connection without a complete response.
	BrokenOff bool
}

// RoutedServer is a stand-in for a backend server that handles routed requests. It responds to any method
// and path with a body of records.
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
	// late holds the second copies of responses that are due before the next response on a connection.
	late   map[net.Conn][]byte
	opened int
	// arrived holds the times of all requests for this instance.
	arrived []time.Time
	runs    []*RoutedRun
	shed    int
	closed  bool
}

// NewRoutedServer starts a server on the address; port 0 selects a free port. It returns an error if it
// can't listen on the address.
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
		return nil, errors.Wrapf(err, "fake: listen on %s", address)
	}
	if c.ID == "" {
		c.ID = l.Addr().String()
	}
	s := &RoutedServer{
		config: c, listener: l, rand: rand.New(rand.NewPCG(c.Seed, 1)), faults: c.Faults, id: c.ID,
		slots: make(chan struct{}, c.Slots), conns: make(map[net.Conn]bool), late: make(map[net.Conn][]byte),
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

// SetID simulates a replacement of the server process: requests for the previous ID fail with status 421.
func (s *RoutedServer) SetID(id string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.id = id
}

// Runs returns the requests that the server started to run, oldest first.
func (s *RoutedServer) Runs() []RoutedRun {
	s.mu.Lock()
	defer s.mu.Unlock()
	list := make([]RoutedRun, 0, len(s.runs))
	for _, r := range s.runs {
		list = append(list, *r)
	}
	return list
}

// Arrivals returns the times at which requests for this instance arrived, whether they ran or not, oldest first.
func (s *RoutedServer) Arrivals() []time.Time {
	s.mu.Lock()
	defer s.mu.Unlock()
	return slices.Clone(s.arrived)
}

// AcceptedConnections returns the number of accepted connections.
func (s *RoutedServer) AcceptedConnections() int {
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

// Close stops the server, closes its connections and waits for its requests to end.
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

// crash stops the server as a process crash does: it closes the listener and resets all connections.
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
		delete(s.late, c)
		s.mu.Unlock()
	}()
	in := bufio.NewReader(c)
	for {
		r, err := http.ReadRequest(in)
		if err != nil {
			return
		}
		var body []byte
		early := s.repliesEarly() && r.ContentLength > 0
		if !early {
			if body, err = io.ReadAll(r.Body); err != nil {
				return
			}
		}
		if !s.writeLate(c) || !s.answer(c, in, r, body) {
			return
		}
		if _, err := io.Copy(io.Discard, r.Body); err != nil {
			return
		}
	}
}

func (s *RoutedServer) repliesEarly() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.faults.RespondEarly
}
