package soak

import (
	"bufio"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"net/netip"
	"slices"
	"sync"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/arbutusthread/arbutusthread/clock"
	"github.com/arbutusthread/arbutusthread/wire"
)

// rollRequest is one request of a caller to a node.
type rollRequest struct {
	id, host string
	// timeout is the time for which the caller waits.
	timeout time.Duration
	// node is the node that received the request, and nodeStart its start count when the request was sent.
	node      *process
	nodeStart int
	// kept is set if the connection had carried a request before.
	kept bool
	// sent is the time at which the last byte was written, and end that of the answer or the close.
	sent, end time.Time
	status    int
	// closed is set if the connection ended without a complete answer, and gaveUp if the caller's deadline passed.
	closed, gaveUp bool
}

// callerKind is how a caller uses the addresses of the directory.
type callerKind int

const (
	// refreshing callers ask the directory when its answer expires.
	refreshing callerKind = iota
	// patient callers use an answer for three times as long.
	patient
	// attached callers use an open connection until the node closes it.
	attached
)

var callerKinds = []callerKind{refreshing, patient, attached}

// directoryTries is the number of nodes that a caller asks for addresses.
const directoryTries = 3

// rollCaller sends requests at random times, each on an idle connection or a new one.
type rollCaller struct {
	world  *rollWorld
	kind   callerKind
	domain string

	mu        sync.Mutex
	rand      *rand.Rand
	idle      []*rollConn
	addresses []netip.AddrPort
	expire    time.Time
}

// rollConn is an open connection of a caller.
type rollConn struct {
	net.Conn
	in   *bufio.Reader
	node *process
	// start is the start count of the node when the connection was opened.
	start int
	used  bool
}

func newRollCaller(w *rollWorld, number int) *rollCaller {
	return &rollCaller{
		world: w, kind: callerKinds[number%len(callerKinds)], domain: domains[number/len(callerKinds)%len(domains)],
		rand: rand.New(rand.NewPCG(w.config.Seed, uint64(number)+100)),
	}
}

func (c *rollCaller) run(ctx context.Context) {
	interval := float64(c.world.config.Callers) / c.world.config.Rate * float64(time.Second)
	var running sync.WaitGroup
	for {
		c.mu.Lock()
		pause := time.Duration(c.rand.ExpFloat64() * interval)
		c.mu.Unlock()
		if !clock.Sleep(ctx, pause) {
			break
		}
		running.Go(func() { c.request(ctx) })
	}
	running.Wait()
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, k := range c.idle {
		_ = k.Close()
	}
}

// request sends a request, and once more to another node if it fails.
func (c *rollCaller) request(ctx context.Context) {
	x := c.newRequest()
	n := c.pickNode(ctx, nil)
	if n == nil {
		return
	}
	c.send(ctx, n, x)
	if x.status == http.StatusOK || x.gaveUp {
		return
	}
	again := c.newRequest()
	again.host, again.timeout = x.host, x.timeout-time.Since(x.sent)
	if next := c.pickNode(ctx, n); next != nil && again.timeout > 0 {
		c.send(ctx, next, again)
	}
}

// newRequest draws a request: one of five goes to the office.
func (c *rollCaller) newRequest() *rollRequest {
	c.world.mu.Lock()
	c.world.lastID++
	x := &rollRequest{id: fmt.Sprintf("q%d", c.world.lastID), host: rollDeskHost, timeout: rollDeskTimeout}
	c.world.mu.Unlock()
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.rand.IntN(5) == 0 {
		x.host, x.timeout = officeHost, rollOfficeTimeout
	}
	return x
}

// pickNode returns the node of an idle connection of an attached caller, or a random one from the answer of the
// directory except the given one, or nil if there is none.
func (c *rollCaller) pickNode(ctx context.Context, except *process) *process {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.kind == attached && except == nil && len(c.idle) > 0 {
		return c.idle[c.rand.IntN(len(c.idle))].node
	}
	if time.Now().After(c.expire) {
		c.refreshAddresses(ctx)
	}
	var nodes []*process
	for _, n := range c.world.nodes {
		if n != except && slices.Contains(c.addresses, n.caller) {
			nodes = append(nodes, n)
		}
	}
	if len(nodes) == 0 {
		return nil
	}
	return nodes[c.rand.IntN(len(nodes))]
}

// refreshAddresses asks the directories of up to directoryTries nodes. Callers other than attached ones then close their
// idle connections to nodes that are no longer listed. The caller must hold c.mu.
func (c *rollCaller) refreshAddresses(ctx context.Context) {
	for range directoryTries {
		n := c.world.nodes[c.rand.IntN(len(c.world.nodes))]
		addresses, ttl := c.askDirectory(ctx, n)
		if len(addresses) == 0 {
			continue
		}
		if c.kind == patient {
			ttl *= 3
		}
		c.addresses, c.expire = addresses, time.Now().Add(ttl)
		if c.kind != attached {
			c.idle = slices.DeleteFunc(c.idle, func(k *rollConn) bool {
				listed := slices.Contains(addresses, k.node.caller)
				if !listed {
					_ = k.Close()
				}
				return !listed
			})
		}
		return
	}
}

func (c *rollCaller) askDirectory(ctx context.Context, n *process) ([]netip.AddrPort, time.Duration) {
	ctx, cancel := context.WithTimeout(ctx, directoryTimeout)
	defer cancel()
	uri := fmt.Sprintf("http://%s/v1/addresses?host=%s&region=tw&domain=%s", n.directory, rollDeskHost, c.domain)
	r, err := http.NewRequestWithContext(ctx, http.MethodGet, uri, nil)
	if err != nil {
		return nil, 0
	}
	resp, err := http.DefaultClient.Do(r)
	if err != nil {
		return nil, 0
	}
	defer resp.Body.Close()
	var answer struct {
		Addresses []netip.AddrPort
		KeepFor   wire.Duration
	}
	if resp.StatusCode != http.StatusOK || json.NewDecoder(resp.Body).Decode(&answer) != nil {
		return nil, 0
	}
	return answer.Addresses, answer.KeepFor.Std()
}

// connect returns an idle connection to a node or a new one, or nil if none can be opened.
func (c *rollCaller) connect(ctx context.Context, n *process) *rollConn {
	if k := c.takeIdle(n); k != nil {
		return k
	}
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), time.Second)
	defer cancel()
	start := n.startCount()
	conn, err := new(net.Dialer).DialContext(ctx, "tcp", n.caller.String())
	if err != nil {
		return nil
	}
	return &rollConn{Conn: conn, in: bufio.NewReader(conn), node: n, start: start}
}

// takeIdle returns an idle connection to a node that the node has not closed, or nil if there is none.
func (c *rollCaller) takeIdle(n *process) *rollConn {
	c.mu.Lock()
	defer c.mu.Unlock()
	for {
		i := slices.IndexFunc(c.idle, func(k *rollConn) bool { return k.node == n })
		if i < 0 {
			return nil
		}
		k := c.idle[i]
		c.idle = slices.Delete(c.idle, i, i+1)
		if k.isOpen() {
			return k
		}
		_ = k.Close()
	}
}

// isOpen reports whether the node has not closed the connection.
func (k *rollConn) isOpen() bool {
	raw, err := k.Conn.(*net.TCPConn).SyscallConn()
	if err != nil {
		return false
	}
	open := false
	err = raw.Control(func(fd uintptr) {
		var b [1]byte
		_, _, err := syscall.Recvfrom(int(fd), b[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		open = errors.Is(err, syscall.EAGAIN)
	})
	return err == nil && open
}

// send sends a request and records its outcome, unless no byte could be written.
func (c *rollCaller) send(ctx context.Context, n *process, x *rollRequest) {
	k := c.connect(ctx, n)
	if k == nil {
		c.mu.Lock()
		c.expire = time.Time{}
		c.mu.Unlock()
		return
	}
	x.node, x.nodeStart, x.kept = n, k.start, k.used
	k.used = true
	names := wire.DefaultHeaders()
	_ = k.SetDeadline(time.Now().Add(x.timeout))
	_, err := fmt.Fprintf(k, "GET /x/%s HTTP/1.1\r\nHost: %s\r\n%s: %s\r\n%s: %d\r\n\r\n",
		x.id, x.host, names.RequestID, x.id, names.Timeout, x.timeout.Milliseconds())
	x.sent = time.Now()
	if err != nil {
		_ = k.Close()
		return
	}
	status, last, err := readRollAnswer(k.in)
	x.status = status
	x.end = time.Now()
	var timeout net.Error
	x.gaveUp = errors.As(err, &timeout) && timeout.Timeout()
	x.closed = err != nil && !x.gaveUp
	c.world.mu.Lock()
	c.world.requests = append(c.world.requests, x)
	c.world.mu.Unlock()
	if err != nil || last {
		_ = k.Close()
		return
	}
	c.mu.Lock()
	c.idle = append(c.idle, k)
	c.mu.Unlock()
}

// readRollAnswer reads an answer. last reports that the node closes the connection after it. The status is 0 if the answer
// is not complete.
func readRollAnswer(in *bufio.Reader) (status int, last bool, err error) {
	resp, err := http.ReadResponse(in, nil)
	if err != nil {
		return 0, true, err
	}
	defer resp.Body.Close()
	if _, err := io.Copy(io.Discard, resp.Body); err != nil {
		return 0, true, err
	}
	return resp.StatusCode, resp.Close, nil
}
