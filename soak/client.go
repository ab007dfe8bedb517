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

// exchange is one request of a caller with what came back.
type exchange struct {
	id, host, uri, body string
	// node is the node that was asked, and run the number of its start at that time.
	node     *process
	run      int
	at, end  time.Time
	status   int
	header   http.Header
	answer   []byte
	err      error
	markerOf uint64
}

// record keeps what callers have seen.
type record struct {
	mu    sync.Mutex
	list  []*exchange
	marks []*exchange
	last  int
}

func newRecord() *record { return &record{} }

func (r *record) nextID() string {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.last++
	return fmt.Sprintf("q%d", r.last)
}

func (r *record) add(x *exchange) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if x.markerOf > 0 {
		r.marks = append(r.marks, x)
		return
	}
	r.list = append(r.list, x)
}

const (
	// callerPause is the mean time between two requests of a caller.
	callerPause = 25 * time.Millisecond
	// callerTimeout is how long a caller waits. It is above the time of the routes.
	callerTimeout = 1500 * time.Millisecond
	// askTimeout bounds a question to the directory.
	askTimeout = time.Second
)

// caller sends requests one after the other and keeps its connections.
type caller struct {
	world     *world
	rand      *rand.Rand
	client    *http.Client
	addresses []netip.AddrPort
	until     time.Time
}

func newCaller(w *world, number int) *caller {
	c := &caller{world: w, rand: rand.New(rand.NewPCG(w.config.Seed, uint64(number)+100))}
	c.client = &http.Client{Timeout: callerTimeout, Transport: &http.Transport{
		DisableCompression: true, MaxIdleConnsPerHost: 2,
		DialContext: func(ctx context.Context, network, address string) (net.Conn, error) {
			if a, err := netip.ParseAddrPort(address); err == nil && w.callers[a] != nil {
				address = w.callers[a].address().String()
			}
			return new(net.Dialer).DialContext(ctx, network, address)
		},
	}}
	return c
}

func (c *caller) run(ctx context.Context) {
	defer c.client.CloseIdleConnections()
	for ctx.Err() == nil {
		time.Sleep(time.Duration(c.rand.ExpFloat64() * float64(callerPause)))
		host, uri, body := searchHost, fmt.Sprintf("/s/%d", c.rand.IntN(50)), ""
		switch c.rand.IntN(4) {
		case 0:
			host, uri, body = shopHost, "/order/new", strings.Repeat("x", c.rand.IntN(400)+1)
		case 1:
			host, uri = shopHost, fmt.Sprintf("/lookup/%d", c.rand.IntN(50))
		}
		n := c.choose(ctx, host)
		if n == nil {
			continue
		}
		x := &exchange{id: c.world.record.nextID(), host: host, uri: uri, body: body, node: n, run: n.run()}
		c.send(ctx, x)
		c.world.record.add(x)
		if x.err != nil || x.status != http.StatusOK {
			c.until = time.Time{} // ask the directory again
		}
	}
}

// choose returns a node that the directory names.
func (c *caller) choose(ctx context.Context, host string) *process {
	if time.Now().After(c.until) || len(c.addresses) == 0 {
		c.ask(ctx, host)
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

func (c *caller) ask(ctx context.Context, host string) {
	ctx, cancel := context.WithTimeout(ctx, askTimeout)
	defer cancel()
	n := c.world.nodes[c.rand.IntN(len(c.world.nodes))]
	uri := fmt.Sprintf("http://%s/v1/addresses?host=%s&region=tw&domain=%s", n.directory, host, domains[c.rand.IntN(len(domains))])
	r, err := http.NewRequestWithContext(ctx, http.MethodGet, uri, nil)
	if err != nil {
		return
	}
	resp, err := c.client.Do(r)
	if err != nil {
		return // another node is asked next time
	}
	defer resp.Body.Close()
	var answer struct {
		Addresses []netip.AddrPort
		KeepFor   wire.Duration
	}
	if resp.StatusCode == http.StatusOK && json.NewDecoder(resp.Body).Decode(&answer) == nil {
		c.addresses, c.until = answer.Addresses, time.Now().Add(answer.KeepFor.Std())
	}
}

// send sends one request as POST, which the library never sends twice once a byte is written.
func (c *caller) send(ctx context.Context, x *exchange) {
	x.at = time.Now()
	defer func() { x.end = time.Now() }()
	names := wire.DefaultHeaders()
	r, err := http.NewRequestWithContext(context.WithoutCancel(ctx), http.MethodPost, "http://"+x.node.caller.String()+x.uri, strings.NewReader(x.body))
	if err != nil {
		x.err = err
		return
	}
	r.Host = x.host
	r.Header.Set(names.RequestID, x.id)
	r.Header.Set(names.Timeout, fmt.Sprint(callerTimeout.Milliseconds()))
	resp, err := c.client.Do(r)
	if err != nil {
		x.err = err
		return
	}
	defer resp.Body.Close()
	x.status, x.header = resp.StatusCode, resp.Header
	x.answer, x.err = io.ReadAll(resp.Body)
}

// probeEvery is the time between two probes of a node's configuration.
const probeEvery = 200 * time.Millisecond

// probe asks one node again and again for the newest marker route and a random older one.
func probe(ctx context.Context, w *world, n *process) {
	c := newCaller(w, len(w.nodes)+int(n.caller.Addr().As4()[3]))
	c.client.Transport = &http.Transport{DisableKeepAlives: true}
	for ctx.Err() == nil {
		time.Sleep(probeEvery)
		newest := w.platform.Version()
		if newest < 2 {
			continue
		}
		for _, v := range []uint64{newest, 2 + c.rand.Uint64N(newest-1)} {
			x := &exchange{id: w.record.nextID(), host: probeHost, uri: markerPath(v) + "x", node: n, run: n.run(), markerOf: v}
			c.send(ctx, x)
			w.record.add(x)
		}
	}
}

// markerPath is the prefix of a route that a version of the document adds.
func markerPath(version uint64) string { return fmt.Sprintf("/m%d/", version) }
