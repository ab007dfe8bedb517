package stand

import (
	"cmp"
	"fmt"
	"net/http"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"

	"github.com/arbutusthread/arbutusthread/wire"
)

const (
	// DefaultWarmAfter is the number of requests after which a cold server is warm.
	DefaultWarmAfter = 16
	// DefaultCrashAfter is the number of requests above what a cold server bears at which it
	// crashes.
	DefaultCrashAfter = 10
	// DefaultRestartDelay is the time from a crash to the next incarnation.
	DefaultRestartDelay = 300 * time.Millisecond
	// DefaultHits is the number of hits that a shard has for each query.
	DefaultHits = 10
	// DefaultColdFactor is the ratio of the latency of a cold server to that of a warm one.
	DefaultColdFactor = 3
)

// ServerConfig holds the settings of a Server.
type ServerConfig struct {
	Name string
	// Slots is the number of requests that run at once; 0 means 2.
	Slots int
	// ColdSlots is the number of requests that a cold server bears; 0 means 1.
	ColdSlots int
	// Queue is the number of requests that wait for a slot; 0 means Slots, below 0 none. A
	// request above it is shed.
	Queue int
	// Connections is the number of open connections above which new ones are closed; 0 means 25.
	Connections int
	// ConnectDelay is the time before a new connection is read for the first time.
	ConnectDelay time.Duration
	// Indexes are the versions held with their shards, newest first. Without an index the server
	// holds every version and shard.
	Indexes []ServerIndex
	Latency Latency
	// StartWarm makes the first incarnation warm. Later ones always start cold.
	StartWarm bool
	// WarmAfter is the number of requests after which a cold server is warm.
	WarmAfter int
	// ColdFactor is the ratio of the latency of a server at the start of its cold phase to that of
	// a warm one.
	ColdFactor float64
	// CrashAfter is the number of requests above what a cold server bears at which it crashes.
	CrashAfter int
	// RestartDelay is the time from a crash to the next incarnation.
	RestartDelay time.Duration
	// Hits is the number of hits that a shard has for each query.
	Hits int
	Seed uint64
	// RecordLimit bounds the shard requests that Record keeps one by one; 0 means 10,000. Ten
	// times as many orders are kept.
	RecordLimit int
	Faults      ServerFaults
}

// ServerIndex is one index version with the shards of it that a server holds; no shards means
// all of them.
type ServerIndex struct {
	Version string   `json:"Version"`
	Shards  []string `json:"Shards,omitempty"`
}

func (c ServerConfig) withDefaults() ServerConfig {
	c.Slots = cmp.Or(c.Slots, 2)
	c.ColdSlots = min(cmp.Or(c.ColdSlots, 1), c.Slots)
	c.Queue = max(0, cmp.Or(c.Queue, c.Slots))
	c.Connections = cmp.Or(c.Connections, 25)
	c.WarmAfter = cmp.Or(c.WarmAfter, DefaultWarmAfter)
	c.ColdFactor = cmp.Or(c.ColdFactor, DefaultColdFactor)
	c.CrashAfter = cmp.Or(c.CrashAfter, DefaultCrashAfter)
	c.RestartDelay = cmp.Or(c.RestartDelay, DefaultRestartDelay)
	c.Hits = cmp.Or(c.Hits, DefaultHits)
	c.RecordLimit = cmp.Or(c.RecordLimit, defaultRecordLimit)
	c.Latency = c.Latency.withDefaults()
	return c
}

// Server is the stand-in of a backend server. It is an http.Handler. The faults of connections
// (cap, setup delay, silence, duplicates, refused connections after a crash) need Listen.
type Server struct {
	config ServerConfig
	mux    *http.ServeMux
	draw   drawer
	work   sync.WaitGroup

	// unreachable makes every connection silent.
	unreachable atomic.Bool

	mu       sync.Mutex
	life     *life
	lives    int
	faults   ServerFaults
	indexes  []ServerIndex
	draining bool
	record   recorder
	reported reports
	endpoint *endpoint
	restart  *time.Timer
	closed   bool
}

// NewServer returns a server of which the first incarnation is running.
func NewServer(c ServerConfig) *Server {
	c = c.withDefaults()
	s := &Server{
		config: c, mux: http.NewServeMux(), draw: drawer{seed: c.Seed}, faults: c.Faults,
		indexes: c.Indexes, record: newRecorder(c.RecordLimit),
	}
	s.unreachable.Store(c.Faults.Unreachable)
	s.mu.Lock()
	s.begin(time.Now(), c.StartWarm)
	s.mu.Unlock()
	s.mux.HandleFunc("POST /shard", s.postShard)
	s.mux.HandleFunc("POST /order", s.postOrder)
	s.mux.HandleFunc("POST /cancel", s.postCancel)
	s.mux.HandleFunc("GET /health", s.getHealth)
	s.mux.HandleFunc("GET /load", s.getHealth)
	s.mux.HandleFunc("POST /v1/faults", s.postFaults)
	s.mux.HandleFunc("PUT /v1/indexes", s.putIndexes)
	s.mux.HandleFunc("GET /v1/record", s.getRecord)
	return s
}

// ServeHTTP answers the requests of section 7.2 of the design page. A server that is down
// aborts them.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if !s.enter() {
		panic(http.ErrAbortHandler)
	}
	defer s.work.Done()
	s.mux.ServeHTTP(w, r)
}

func (s *Server) enter() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.closed || s.life == nil {
		return false
	}
	s.work.Add(1)
	return true
}

// Close stops the server and waits for its requests, which are cut off.
func (s *Server) Close() {
	s.mu.Lock()
	if s.closed {
		s.mu.Unlock()
		return
	}
	s.closed = true
	if s.restart != nil {
		s.restart.Stop()
	}
	l := s.stop(time.Now())
	e := s.endpoint
	s.mu.Unlock()
	if e != nil {
		l.stop()
		e.release()
	}
	s.work.Wait()
}

// stop ends the incarnation. The caller holds the lock, and stops the listener, if there is one,
// after giving it up.
func (s *Server) stop(now time.Time) *listener {
	if s.life != nil {
		s.life.end(now)
		s.record.endCold(now)
		s.life = nil
	}
	if s.endpoint == nil {
		return nil
	}
	return s.endpoint.incumbent()
}

// begin starts an incarnation. The caller holds the lock.
func (s *Server) begin(now time.Time, warm bool) {
	s.lives++
	name := fmt.Sprintf("%s#%d-%d", s.config.Name, s.config.Seed, s.lives)
	s.life = newLife(name, s.config, warm)
	s.record.Incarnations = append(s.record.Incarnations, name)
	if !warm {
		s.record.beginCold(now, ColdStart, s.config.ColdSlots, 0)
	}
}

// Crash ends the incarnation at once: requests are cut off, connections close and new ones are
// refused until the next incarnation starts, cold, after RestartDelay.
func (s *Server) Crash() {
	s.mu.Lock()
	l := s.crash()
	s.mu.Unlock()
	if l != nil {
		l.stop()
	}
}

// crash is Crash without stopping the listener that it returns. The caller holds the lock.
func (s *Server) crash() *listener {
	if s.life == nil || s.closed {
		return nil
	}
	s.record.Crashes++
	l := s.stop(time.Now())
	s.restart = time.AfterFunc(s.config.RestartDelay, s.restartNow)
	return l
}

func (s *Server) restartNow() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.closed || s.life != nil {
		return
	}
	if s.endpoint != nil {
		if err := s.endpoint.open(s); err != nil {
			s.restart = time.AfterFunc(s.config.RestartDelay, s.restartNow)
			return
		}
	}
	s.draining = false
	s.begin(time.Now(), false)
}

// TurnCold makes a warm server cold without a crash or any notice.
func (s *Server) TurnCold() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.life == nil {
		return
	}
	s.life.turnCold()
	s.record.beginCold(time.Now(), ColdTurned, s.life.bears(), s.life.active())
}

// Drain makes the server refuse new requests as not run; those in flight finish.
func (s *Server) Drain() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.draining = true
	s.record.Drained = time.Now()
}

// Undrain makes the server accept requests again.
func (s *Server) Undrain() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.draining = false
}

// SetIndexes replaces the index versions held. Requests that run already are not affected.
func (s *Server) SetIndexes(indexes []ServerIndex) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.indexes = append([]ServerIndex{}, indexes...)
}

// SetFaults replaces all faults.
func (s *Server) SetFaults(f ServerFaults) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults = f
	s.unreachable.Store(f.Unreachable)
}

// Mark sets the time from which Record.AfterMark counts requests.
func (s *Server) Mark() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.record.mark(time.Now())
}

// Record returns a copy of what the server has run.
func (s *Server) Record() Record {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.record.copy()
}

// Incarnation returns the name of the running incarnation, empty while the server is down.
func (s *Server) Incarnation() string {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.life == nil {
		return ""
	}
	return s.life.incarnation
}

// Warm reports whether the server is up and bears its full load.
func (s *Server) Warm() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.life != nil && s.life.warm
}

// Address returns the listening address, or the zero value without Listen.
func (s *Server) Address() netip.AddrPort {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.endpoint == nil {
		return netip.AddrPort{}
	}
	return s.endpoint.address
}

// Listen serves on the address until Close; port 0 takes a free port. A server that restarts
// listens on the same address again.
func (s *Server) Listen(address netip.AddrPort) error {
	e, err := newEndpoint(address, s.config)
	if err != nil {
		return err
	}
	if err := e.open(s); err != nil {
		e.release()
		return err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.endpoint = e
	return nil
}

// state returns what the server is, before any fault of its reports.
func (s *Server) state() wire.ServerState {
	switch {
	case s.draining:
		return wire.ServerDraining
	case s.life != nil && !s.life.warm:
		return wire.ServerCold
	}
	return wire.ServerReady
}
