// Package gate bounds what the clients of HTTP listeners may use: the memory of heads and bodies, and the number of
// connections. It counts the bytes of requests as they arrive, before net/http parses them, because a parsed head takes many
// times its size. When the memory is used up, clients that are slow to complete a request lose their connection first.
package gate

import (
	"context"
	"log/slog"
	"net"
	"net/http"
	"sync"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"
	"golang.org/x/sys/unix"

	"github.com/arbutusthread/arbutusthread/conf"
	"github.com/arbutusthread/arbutusthread/limit"
	"github.com/arbutusthread/arbutusthread/meter"
)

const (
	// clientBytes is the memory of a connection without a request: its goroutine, its buffers and those of the kernel.
	clientBytes = 64 << 10
	// receiveBuffer is the size of the receive buffer of a connection, which the kernel doubles.
	receiveBuffer = 16 << 10
	// headFactor and bodyFactor are the memory of a byte of a head and of a body, and lineBytes that of a parsed line, of which
	// the maps of the request and of the forwarded headers have an entry each. They are upper bounds, with room for garbage.
	headFactor = 3
	bodyFactor = 2
	lineBytes  = 512
	// requestShare is the share of the memory that requests may take. The rest is for connections, so that there is room for
	// small requests when large ones have taken theirs.
	requestShare = 0.75
	// patience is the time for which a client that is receiving a request keeps its place in any case. A caller that is refused
	// meanwhile may come back after it.
	patience = time.Second
	// reportInterval is the interval between log lines about refused clients.
	reportInterval = time.Second
	// lingeringShare is the number of connections whose clients are given time to read their refusal, as a share of all.
	lingeringShare = 0.25
)

// Share is the share of the capacity of a VM that the clients of a listener may use.
type Share struct {
	Memory, Descriptors float64
}

// Shares of the capacity for callers, for other nodes, for the directory, and for all listeners of operators together. The rest
// is for backend servers, the state of the node and the garbage collector.
var (
	Callers   = Share{Memory: 0.35, Descriptors: 0.3}
	Peers     = Share{Memory: 0.2, Descriptors: 0.1}
	Directory = Share{Memory: 0.05, Descriptors: 0.05}
	Operators = Share{Memory: 0.05, Descriptors: 0.05}
)

// Pool returns the share of a VM with a capacity, in which zero values mean the defaults.
func (s Share) Pool(c conf.Capacity) limit.PoolConfig {
	if c.MemoryMB <= 0 {
		c.MemoryMB = conf.DefaultMemoryMB
	}
	if c.Descriptors <= 0 {
		c.Descriptors = conf.DefaultDescriptors
	}
	return limit.PoolConfig{
		Clients: int(s.Descriptors * float64(c.Descriptors)), Bytes: int64(s.Memory * c.MemoryMB * (1 << 20)),
		ClientBytes: clientBytes, RequestShare: requestShare, Patience: patience,
	}
}

// Limits are the limits of a single request.
type Limits struct {
	// HeaderBytes is the maximum size of the request line, and of all other lines of the head together.
	HeaderBytes int
	// HeaderTimeout is the time in which the head of a request must arrive, from its first byte.
	HeaderTimeout time.Duration
}

// DefaultLimits are the limits at listeners whose limits are not configured.
var DefaultLimits = Limits{HeaderBytes: 16 << 10, HeaderTimeout: 5 * time.Second}

// Config configures a Gate.
type Config struct {
	// Listener names the listener in logs and metrics.
	Listener string
	Pool     limit.PoolConfig
	// Limits is called for each request, because the limits may change. If it is nil, DefaultLimits applies.
	Limits func() Limits
	// Metrics may be nil.
	Metrics *meter.Metrics
	Log     *slog.Logger
}

// Gate bounds the clients of one or more listeners. It is safe for concurrent use.
type Gate struct {
	config Config
	// lingering holds a permit for each closed connection whose client is given time to read its refusal.
	lingering chan struct{}

	mu   sync.Mutex
	pool *limit.Pool[*Conn]
	// refused counts the clients that were refused since the last log line, by reason.
	refused map[string]int
}

// New returns a Gate.
func New(c Config) *Gate {
	if c.Limits == nil {
		c.Limits = func() Limits { return DefaultLimits }
	}
	return &Gate{
		config: c, lingering: make(chan struct{}, max(1, int(lingeringShare*float64(c.Pool.Clients)))),
		pool: limit.NewPool[*Conn](c.Pool), refused: make(map[string]int),
	}
}

// Listener returns a listener that accepts the connections of another one if there is room for them, and refuses the others.
func (g *Gate) Listener(l net.Listener) net.Listener {
	g.boundReceiveBuffer(l)
	return &listener{l, g}
}

// boundReceiveBuffer bounds what the kernel holds for the connections of a listener while the node does not read from them.
func (g *Gate) boundReceiveBuffer(l net.Listener) {
	s, ok := l.(syscall.Conn)
	if !ok {
		return
	}
	raw, err := s.SyscallConn()
	if err == nil {
		var failed error
		err = raw.Control(func(fd uintptr) { failed = unix.SetsockoptInt(int(fd), unix.SOL_SOCKET, unix.SO_RCVBUF, receiveBuffer) })
		err = errors.CombineErrors(err, failed)
	}
	if err != nil {
		g.config.Log.Warn("failed to set the receive buffer", "Listener", g.config.Listener, "Error", err)
	}
}

type listener struct {
	net.Listener
	gate *Gate
}

// Accept returns the next connection for which there is room.
func (l *listener) Accept() (net.Conn, error) {
	for {
		raw, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		c := &Conn{Conn: raw, gate: l.gate, head: newHeadScanner()}
		if l.gate.admit(c) {
			return c, nil
		}
		l.gate.turnAway(c)
	}
}

// admit gives a new connection a place.
func (g *Gate) admit(c *Conn) bool {
	now := time.Now()
	g.mu.Lock()
	victims, ok := g.pool.Admit(now, c)
	g.mu.Unlock()
	g.evict(victims, tooManyConnections)
	return ok
}

// turnAway closes a connection for which there is no room. Its client is told so, if not too many are.
func (g *Gate) turnAway(c *Conn) {
	g.report(tooManyConnections)
	select {
	case g.lingering <- struct{}{}:
		go func() {
			defer func() { <-g.lingering }()
			c.write(tooManyConnections)
			c.linger()
			abort(c.Conn)
			c.Conn.Close()
		}()
	default:
		abort(c.Conn)
		c.Conn.Close()
	}
}

// grow adds to the memory of the request on a connection and reports whether there is room for it.
func (g *Gate) grow(c *Conn, bytes int) bool {
	g.mu.Lock()
	victims, ok := g.pool.Grow(time.Now(), c, int64(bytes))
	g.mu.Unlock()
	g.evict(victims, outOfMemory)
	return ok
}

// enter records the phase of a connection. It reports false if the connection has been evicted.
func (g *Gate) enter(c *Conn, phase limit.Phase) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.pool.Enter(time.Now(), c, phase)
}

func (g *Gate) remove(c *Conn) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.pool.Remove(c)
}

func (g *Gate) evict(victims []*Conn, why *refusal) {
	for _, c := range victims {
		c.evict(why)
	}
}

// report counts a refused client, and logs the number of refused clients later.
func (g *Gate) report(why *refusal) {
	if g.config.Metrics != nil {
		g.config.Metrics.Count("clients_refused", "listener", g.config.Listener, "reason", why.label)
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	if len(g.refused) == 0 {
		time.AfterFunc(reportInterval, g.logRefused)
	}
	g.refused[why.reason]++
}

func (g *Gate) logRefused() {
	g.mu.Lock()
	refused, clients, bytes := g.refused, g.pool.Len(), g.pool.Bytes()
	g.refused = make(map[string]int)
	g.mu.Unlock()
	for reason, n := range refused {
		g.config.Log.Warn("clients refused", "Listener", g.config.Listener, "Reason", reason, "Clients", n,
			"Connections", clients, "Bytes", bytes)
	}
}

// ConnState must be called by http.Server when the state of a connection changes.
func (g *Gate) ConnState(c net.Conn, state http.ConnState) {
	v, ok := c.(*Conn)
	if !ok {
		return
	}
	switch state {
	case http.StateActive:
		v.endHead()
	case http.StateIdle:
		v.idle()
	}
}

type connKey struct{}

// ConnContext must be called by http.Server for the context of a connection.
func (g *Gate) ConnContext(ctx context.Context, c net.Conn) context.Context {
	return context.WithValue(ctx, connKey{}, c)
}

// Received records that a request has been received completely, by the context of the request. Its connection is not evicted
// until the request has been answered. It returns ErrRefused if the connection has been evicted before.
func Received(ctx context.Context) error {
	if c, ok := ctx.Value(connKey{}).(*Conn); ok && !c.received() {
		return ErrRefused
	}
	return nil
}

// Send records that an answer of a size is about to be written, by the context of the request. It returns ErrNoRoom if there is
// no memory to hold the answer until the client has read it.
func Send(ctx context.Context, bytes int) error {
	if c, ok := ctx.Value(connKey{}).(*Conn); ok && !c.send(bytes) {
		return ErrNoRoom
	}
	return nil
}

// ErrNoRoom means that there is no memory to hold an answer.
var ErrNoRoom = errors.New("gate: no memory for the answer")

// ErrRefused is the error of reads from a connection whose request cannot be received, because there is no memory for it.
// The request has not run.
var ErrRefused = errors.New("gate: no memory for the request")

// RetryAfter is the time after which a client that got ErrRefused may come back.
const RetryAfter = patience
