package soak

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"net/netip"
	"strings"
	"sync"
	"time"

	"github.com/arbutusthread/arbutusthread/wire"
)

// exchange is one request of a caller and its response or error.
type exchange struct {
	id, host, uri, body string
	// node is the node that received the request, and nodeStart its start count when the request was sent.
	node      *process
	nodeStart int
	// timeout is the request timeout of the caller.
	timeout       time.Duration
	at, end       time.Time
	status        int
	header        http.Header
	response      []byte
	err           error
	markerVersion uint64
}

// recorder collects the exchanges of all callers and probes.
type recorder struct {
	mu        sync.Mutex
	exchanges []*exchange
	probes    []*exchange
	lastID    int
}

func newRecorder() *recorder { return &recorder{} }

func (r *recorder) nextID() string {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.lastID++
	return fmt.Sprintf("q%d", r.lastID)
}

func (r *recorder) add(x *exchange) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if x.markerVersion > 0 {
		r.probes = append(r.probes, x)
		return
	}
	r.exchanges = append(r.exchanges, x)
}

const (
	// meanRequestInterval is the mean pause of a caller before each request.
	meanRequestInterval = 25 * time.Millisecond
	// callerTimeout is the request timeout of a caller, and longCallerTimeout that for the office. They exceed the timeouts
	// of the routes.
	callerTimeout     = 1500 * time.Millisecond
	longCallerTimeout = longTimeout + time.Second
	// longRequestShare is the share of requests to the office. Each takes as long as a hundred others.
	longRequestShare = 0.01
	// directoryTimeout is the timeout of a directory request.
	directoryTimeout = time.Second
)

// Path prefixes of the routes to a single service.
const (
	orderPrefix   = "/order/"
	longPrefix    = "/long/"
	paymentPrefix = longPrefix + "payment/"
	reportPrefix  = longPrefix + "report/"
)

// caller sends requests sequentially over persistent connections.
type caller struct {
	world  *world
	rand   *rand.Rand
	client *http.Client
	// stays means that the caller uses the same node until a request fails, also when the directory no longer lists it.
	stays           bool
	node            *process
	addresses       []netip.AddrPort
	addressesExpire time.Time
}

func newCaller(w *world, number int) *caller {
	c := &caller{world: w, rand: rand.New(rand.NewPCG(w.config.Seed, uint64(number)+100)), stays: number%3 == 0}
	c.client = &http.Client{Transport: &http.Transport{
		DisableCompression: true, MaxIdleConnsPerHost: 2,
		DialContext: func(ctx context.Context, network, address string) (net.Conn, error) {
			if a, err := netip.ParseAddrPort(address); err == nil && w.callerProxies[a] != nil {
				address = w.callerProxies[a].address().String()
			}
			return new(net.Dialer).DialContext(ctx, network, address)
		},
	}}
	return c
}

func (c *caller) run(ctx context.Context) {
	defer c.client.CloseIdleConnections()
	for ctx.Err() == nil {
		time.Sleep(time.Duration(c.rand.ExpFloat64() * float64(meanRequestInterval)))
		x := c.nextRequest()
		if x.node = c.pickNode(ctx, x.host); x.node == nil {
			continue
		}
		x.id, x.nodeStart = c.world.recorder.nextID(), x.node.startCount()
		c.send(ctx, x)
		c.world.recorder.add(x)
		if x.err != nil || x.status != http.StatusOK {
			c.addressesExpire = time.Time{} // refresh the addresses before the next request
		}
		c.node = nil
		if c.stays && x.err == nil {
			c.node = x.node
		}
	}
}

// nextRequest draws a request.
func (c *caller) nextRequest() *exchange {
	if c.rand.Float64() < longRequestShare {
		x := &exchange{host: officeHost, uri: reportPrefix + "1", timeout: longCallerTimeout}
		if c.rand.IntN(2) == 0 {
			x.uri, x.body = paymentPrefix+"new", "x"
		}
		return x
	}
	x := &exchange{host: searchHost, uri: fmt.Sprintf("/s/%d", c.rand.IntN(50)), timeout: callerTimeout}
	switch c.rand.IntN(4) {
	case 0:
		x.host, x.uri, x.body = shopHost, orderPrefix+"new", strings.Repeat("x", c.rand.IntN(400)+1)
	case 1:
		x.host, x.uri = shopHost, fmt.Sprintf("/lookup/%d", c.rand.IntN(50))
	}
	return x
}

// pickNode returns the node that the caller stays with, or a random one from the addresses listed by the directory, or nil
// if there is none.
func (c *caller) pickNode(ctx context.Context, host string) *process {
	if c.node != nil {
		return c.node
	}
	if time.Now().After(c.addressesExpire) || len(c.addresses) == 0 {
		c.refreshAddresses(ctx, host)
	}
	if len(c.addresses) == 0 {
		return nil
	}
	a := c.addresses[c.rand.IntN(len(c.addresses))]
	for _, n := range c.world.nodes {
		if n.caller == a {
			return n
		}
	}
	return nil
}

func (c *caller) refreshAddresses(ctx context.Context, host string) {
	ctx, cancel := context.WithTimeout(ctx, directoryTimeout)
	defer cancel()
	n := c.world.nodes[c.rand.IntN(len(c.world.nodes))]
	uri := fmt.Sprintf("http://%s/v1/addresses?host=%s&region=tw&domain=%s", n.directory, host, domains[c.rand.IntN(len(domains))])
	r, err := http.NewRequestWithContext(ctx, http.MethodGet, uri, nil)
	if err != nil {
		return
	}
	resp, err := c.client.Do(r)
	if err != nil {
		return // the next refresh picks a node at random again
	}
	defer resp.Body.Close()
	var answer struct {
		Addresses []netip.AddrPort
		KeepFor   wire.Duration
	}
	if resp.StatusCode == http.StatusOK && json.NewDecoder(resp.Body).Decode(&answer) == nil {
		c.addresses, c.addressesExpire = answer.Addresses, time.Now().Add(answer.KeepFor.Std())
	}
}

// send sends one request as POST, which net/http never retries once a byte has been written.
func (c *caller) send(ctx context.Context, x *exchange) {
	x.at = time.Now()
	defer func() { x.end = time.Now() }()
	names := wire.DefaultHeaders()
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), x.timeout)
	defer cancel()
	r, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+x.node.caller.String()+x.uri, strings.NewReader(x.body))
	if err != nil {
		x.err = err
		return
	}
	r.Host = x.host
	r.Header.Set(names.RequestID, x.id)
	r.Header.Set(names.Timeout, fmt.Sprint(x.timeout.Milliseconds()))
	resp, err := c.client.Do(r)
	if err != nil {
		x.err = err
		return
	}
	defer resp.Body.Close()
	x.status, x.header = resp.StatusCode, resp.Header
	x.response, x.err = io.ReadAll(resp.Body)
}

// probeInterval is the interval between two probes of a node's configuration.
const probeInterval = 200 * time.Millisecond

// probe periodically requests the newest marker route and a random marker route from one node until ctx ends.
func probe(ctx context.Context, w *world, n *process) {
	c := newCaller(w, len(w.nodes)+int(n.caller.Addr().As4()[3]))
	c.client.Transport = &http.Transport{DisableKeepAlives: true}
	for ctx.Err() == nil {
		time.Sleep(probeInterval)
		newest := w.platform.Version()
		if newest < 2 {
			continue
		}
		for _, v := range []uint64{newest, 2 + c.rand.Uint64N(newest-1)} {
			x := &exchange{
				id: w.recorder.nextID(), host: probeHost, uri: markerPath(v) + "x", node: n, nodeStart: n.startCount(),
				timeout: callerTimeout, markerVersion: v,
			}
			c.send(ctx, x)
			w.recorder.add(x)
		}
	}
}

// markerPath returns the path prefix of the marker route that the given version of the document adds.
func markerPath(version uint64) string { return fmt.Sprintf("/m%d/", version) }
