package fake

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
	// DefaultWarmAfter is the default number of completed requests after which a cold server becomes warm.
	DefaultWarmAfter = 16
	// DefaultCrashAfter is the default number of requests above the concurrency limit at which a cold
	// server crashes.
	DefaultCrashAfter = 10
	// DefaultRestartDelay is the default time from a crash to the next incarnation.
	DefaultRestartDelay = 300 * time.Millisecond
	// DefaultHits is the default number of hits that a shard has for each query.
	DefaultHits = 10
	// DefaultColdFactor is the default ratio of the latency at the start of a cold phase to the warm latency.
	DefaultColdFactor = 3
)

// ServerConfig holds the settings of a Server.
type ServerConfig struct {
	Name string
	// Slots is the number of requests that run concurrently; 0 means 2.
	Slots int
	// ColdSlots is the concurrency limit at the start of a cold phase, at most Slots; 0 means 1.
	ColdSlots int
	// Queue is the maximum number of requests that wait for a slot; 0 means Slots, a negative value
	// none. Further requests are shed.
	Queue int
	// Connections is the maximum number of open connections; further ones are closed. 0 means 25.
	Connections int
	// ConnectDelay is the delay before the first read from a new connection.
	ConnectDelay time.Duration
	// Indexes holds the index versions of the server with their shards, newest first. An empty list
	// means every version and shard.
	Indexes []ServerIndex
	Latency Latency
	// StartWarm makes the first incarnation warm. Later ones always start cold.
	StartWarm bool
	// WarmAfter is the number of requests completed within the concurrency limit after which a cold
	// server becomes warm; 0 means DefaultWarmAfter.
	WarmAfter int
	// ColdFactor is the ratio of the latency at the start of a cold phase to the warm latency; 0 means
	// DefaultColdFactor.
	ColdFactor float64
	// CrashAfter is the number of requests above the concurrency limit at which a cold server crashes;
	// 0 means DefaultCrashAfter.
	CrashAfter int
	// RestartDelay is the time from a crash to the next incarnation; 0 means DefaultRestartDelay.
	RestartDelay time.Duration
	// Hits is the number of hits that a shard has for each query; 0 means DefaultHits.
	Hits int
	Seed uint64
	// RecordLimit is the maximum number of shard requests retained in Record; 0 means 10,000. The limit
	// for orders is ten times as high.
	RecordLimit int
	Faults      ServerFaults
}

// ServerIndex is an index version with the shards that a server holds; an empty list means all
// shards.
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

// Server is a stand-in for a backend server. It is an http.Handler. Connection faults (connection
// limit, setup delay, silence, duplicates, refused connections after a crash) require Listen.
type Server struct {
	config ServerConfig
	mux    *http.ServeMux
	random randSource
	work   sync.WaitGroup

	// unreachable makes all connections silent.
	unreachable atomic.Bool

	mu            sync.Mutex
	incarnation   *incarnation
	starts        int
	faults        ServerFaults
	indexes       []ServerIndex
	draining      bool
	record        recorder
	healthHistory healthHistory
	endpoint      *endpoint
	restart       *time.Timer
	closed        bool
}

// NewServer returns a server whose first incarnation is running.
func NewServer(c ServerConfig) *Server {
	c = c.withDefaults()
	s := &Server{
		config: c, mux: http.NewServeMux(), random: randSource{seed: c.Seed}, faults: c.Faults,
		indexes: c.Indexes, record: newRecorder(c.RecordLimit),
	}
	s.unreachable.Store(c.Faults.Unreachable)
	s.mu.Lock()
	s.startIncarnation(time.Now(), c.StartWarm)
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

// ServeHTTP handles the requests of section 7.2 of the design page. While the server is down, it
// panics with http.ErrAbortHandler.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if !s.startRequest() {
		panic(http.ErrAbortHandler)
	}
	defer s.work.Done()
	s.mux.ServeHTTP(w, r)
}

func (s *Server) startRequest() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.closed || s.incarnation == nil {
		return false
	}
	s.work.Add(1)
	return true
}

// Close stops the server, aborts its requests and waits until they have ended.
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

// stop ends the current incarnation. s.mu must be held. The caller must stop the returned listener, if
// not nil, after unlocking s.mu.
func (s *Server) stop(now time.Time) *listener {
	if s.incarnation != nil {
		s.incarnation.end(now)
		s.record.endCold(now)
		s.incarnation = nil
	}
	if s.endpoint == nil {
		return nil
	}
	return s.endpoint.currentListener()
}

// startIncarnation starts a new incarnation. s.mu must be held.
func (s *Server) startIncarnation(now time.Time, warm bool) {
	s.starts++
	name := fmt.Sprintf("%s#%d-%d", s.config.Name, s.config.Seed, s.starts)
	s.incarnation = newIncarnation(name, s.config, warm)
	s.record.Incarnations = append(s.record.Incarnations, name)
	if !warm {
		s.record.beginCold(now, ColdStart, s.config.ColdSlots, 0)
	}
}

// Crash ends the current incarnation immediately: requests are aborted, connections are closed and new
// ones are refused until the next incarnation starts cold after ServerConfig.RestartDelay.
func (s *Server) Crash() {
	s.mu.Lock()
	l := s.crash()
	s.mu.Unlock()
	if l != nil {
		l.stop()
	}
}

// crash implements Crash. s.mu must be held. The caller must stop the returned listener, if not nil,
// after unlocking s.mu.
func (s *Server) crash() *listener {
	if s.incarnation == nil || s.closed {
		return nil
	}
	s.record.Crashes++
	l := s.stop(time.Now())
	s.restart = time.AfterFunc(s.config.RestartDelay, s.restartAfterCrash)
	return l
}

func (s *Server) restartAfterCrash() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.closed || s.incarnation != nil {
		return
	}
	if s.endpoint != nil {
		if err := s.endpoint.open(s); err != nil {
			s.restart = time.AfterFunc(s.config.RestartDelay, s.restartAfterCrash)
			return
		}
	}
	s.draining = false
	s.startIncarnation(time.Now(), false)
}

// MakeCold makes a warm server cold without a crash or notification.
func (s *Server) MakeCold() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.incarnation == nil {
		return
	}
	s.incarnation.turnCold()
	s.record.beginCold(time.Now(), ColdUnannounced, s.incarnation.concurrencyLimit(), s.incarnation.active())
}

// Drain makes the server refuse new requests as not run. Requests in flight run to completion.
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

// SetIndexes replaces the index versions of the server. Requests in flight are not affected.
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

// Record returns a copy of the record of received and run requests.
func (s *Server) Record() Record {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.record.copy()
}

// Incarnation returns the name of the current incarnation, or an empty string while the server is down.
func (s *Server) Incarnation() string {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.incarnation == nil {
		return ""
	}
	return s.incarnation.name
}

// Warm reports whether the server is up and can use all its slots without being overloaded.
func (s *Server) Warm() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.incarnation != nil && s.incarnation.warm
}

// Address returns the listening address, or the zero value before Listen.
func (s *Server) Address() netip.AddrPort {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.endpoint == nil {
		return netip.AddrPort{}
	}
	return s.endpoint.address
}

// Listen starts serving on the address until Close; port 0 selects a free port. After a restart the
// server listens on the same address. It returns an error if the address is not IPv4 or can't be bound.
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

// state returns the actual state, before report faults are applied.
func (s *Server) state() wire.ServerState {
	switch {
	case s.draining:
		return wire.ServerDraining
	case s.incarnation != nil && !s.incarnation.warm:
		return wire.ServerCold
	}
	return wire.ServerReady
}
