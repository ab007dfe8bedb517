package drill

import (
	"fmt"
	"math/rand/v2"
	"net/netip"
	"time"

	"github.com/arbutusthread/arbutusthread/gather"
	"github.com/arbutusthread/arbutusthread/vtime"
)

// epoch is the start of virtual time.
var epoch = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

const (
	// nodesPerDomain nodes serve callers in each of the first two failure domains, as place.Serving
	// names them.
	nodesPerDomain = 2
	// nearDelay and farDelay are the delays of one way to servers of the same and of another failure
	// domain, and callerDelay that to callers.
	nearDelay   = 100 * time.Microsecond
	farDelay    = 1400 * time.Microsecond
	callerDelay = time.Millisecond
	// dropTime is how long an attempt goes on whose answer is no longer used, as in package node.
	dropTime = 250 * time.Millisecond
	// drainTime is how long a run goes on after the last arrival.
	drainTime = 8 * time.Second
	// ledgerServers is the number of servers of the pool for requests to one server.
	ledgerServers = 4
	// connections is this node's share of the connections that a server accepts.
	connections = 6
	ledgerSlots = 6
	ledger      = "ledger"
)

var domains = []string{"lukang", "yilan"}

// world is one run of one policy.
type world struct {
	setup   Case
	now     time.Duration
	events  vtime.Queue
	nodes   []*node
	servers []*server
	pools   []string
	out     map[int]bool
	// arrivals draws the arrivals, callers what callers do and picks what the script does, so that the
	// arrivals are the same for all policies.
	arrivals, callers, picks *rand.Rand
	result                   *Result
}

// node is a node that serves callers.
type node struct {
	domain string
	policy gatherer
	jobs   map[gather.JobID]*request
	// flights are the attempts that have not ended.
	flights map[gather.AttemptID]*flight
	wakes   map[gather.JobID]time.Time
}

// request is a request of a caller, with its repetitions.
type request struct {
	kind    *Kind
	arrived time.Duration
	// attemptAt is the arrival of the present attempt of the caller, and tries the number of attempts
	// that are left.
	attemptAt time.Duration
	tries     int
	impatient bool
	reached   map[int]bool
}

// gatherer decides how requests are served, as gather.Engine does.
type gatherer interface {
	SetPools(now time.Time, pools []gather.Pool) gather.Actions
	Submit(now time.Time, r gather.Request) (gather.JobID, gather.Actions)
	Done(now time.Time, id gather.AttemptID, r gather.Result) gather.Actions
	Tick(now time.Time, id gather.JobID) gather.Actions
	NextWake(now time.Time, id gather.JobID) time.Time
	Abandon(id gather.JobID) gather.Actions
}

func newWorld(c Case, p Policy, seed uint64) *world {
	w := &world{
		setup: c, out: make(map[int]bool), arrivals: rand.New(rand.NewPCG(seed, 7)),
		callers: rand.New(rand.NewPCG(seed, 11)), picks: rand.New(rand.NewPCG(seed, 13)), result: newResult(c, p, seed),
	}
	for i := range c.Shards {
		name := fmt.Sprintf("s%02d", i)
		w.pools = append(w.pools, name)
		for d := range domains {
			w.addServer(name, i, d, c.Model.Slots, seed)
		}
	}
	for i := range ledgerServers {
		w.addServer(ledger, c.Shards, i%len(domains), ledgerSlots, seed)
	}
	for i := range nodesPerDomain * len(domains) {
		n := &node{
			domain: domains[i%len(domains)], jobs: make(map[gather.JobID]*request),
			flights: make(map[gather.AttemptID]*flight), wakes: make(map[gather.JobID]time.Time),
		}
		n.policy = p.New(c, n.domain, nodesPerDomain*len(domains), seed+uint64(i))
		w.nodes = append(w.nodes, n)
	}
	w.setPools()
	return w
}

func (w *world) addServer(pool string, index, domain, slots int, seed uint64) {
	i := len(w.servers)
	a := netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, 0, byte(i >> 8), byte(i)}), uint16(10000+i))
	v := &server{
		Server: gather.Server{
			ID: fmt.Sprintf("%s-%d", pool, i), Address: a, FailureDomain: domains[domain], Slots: slots,
			Connections: connections, ColdRate: w.setup.Model.ColdRate,
		},
		world: w, pool: index, domain: domain, slow: 1, rand: rand.New(rand.NewPCG(seed, uint64(i)<<8)),
	}
	w.servers = append(w.servers, v)
	v.pause()
}

// setPools tells the nodes which servers there are.
func (w *world) setPools() {
	pools := make([]gather.Pool, len(w.pools)+1)
	for i, name := range w.pools {
		pools[i].Name = name
	}
	pools[len(w.pools)].Name = ledger
	for _, v := range w.servers {
		x := v.Server
		x.Draining = w.out[v.domain]
		if v.coldUntil > 0 {
			x.ColdUntil = epoch.Add(v.coldUntil)
		}
		pools[v.pool].Servers = append(pools[v.pool].Servers, x)
	}
	for _, n := range w.nodes {
		w.perform(n, n.policy.SetPools(w.time(), pools))
	}
}

func (w *world) time() time.Time { return epoch.Add(w.now) }

func (w *world) run() *Result {
	for i := range w.setup.Kinds {
		w.arrive(&w.setup.Kinds[i])
	}
	for _, s := range w.setup.Script {
		w.events.Add(s.At, func() { s.Do(w) })
	}
	w.events.Run(&w.now, w.setup.Duration+drainTime)
	w.result.close(w)
	return w.result
}

// schedule adds a tick at the time that the policy asks for.
func (w *world) schedule(n *node, id gather.JobID) {
	wake := n.policy.NextWake(w.time(), id)
	if wake.IsZero() || wake.Equal(n.wakes[id]) {
		return
	}
	n.wakes[id] = wake
	w.events.Add(max(w.now, wake.Sub(epoch)), func() {
		if !n.wakes[id].Equal(wake) {
			return
		}
		delete(n.wakes, id)
		w.perform(n, n.policy.Tick(w.time(), id))
		w.schedule(n, id)
	})
}

func (w *world) perform(n *node, act gather.Actions) {
	for _, s := range act.Sends {
		w.send(n, s)
		w.schedule(n, s.Job)
	}
	for _, id := range act.Cancels {
		w.cancel(n, id)
	}
	for _, id := range act.Drops {
		w.events.Add(w.now+dropTime, func() { w.cancel(n, id) })
	}
	if f := act.Finished; f != nil {
		// A request may end within Submit, before it is known here.
		w.events.Add(w.now, func() { w.finish(n, f) })
	}
}

func (w *world) send(n *node, s gather.Send) {
	v := w.serverAt(s.Server.Address)
	f := &flight{node: n, attempt: s.Attempt, server: v, sentAt: w.now, task: s.Task}
	n.flights[s.Attempt] = f
	w.events.Add(w.now, func() { f.request = n.jobs[s.Job] })
	w.events.Add(w.now+delay(n, v), func() { v.receive(f) })
	w.events.Add(max(w.now, s.Deadline.Sub(epoch)), func() {
		if !f.ended {
			w.end(f, gather.Result{Class: gather.TimedOut, Latency: w.now - f.sentAt})
			v.remove(f)
			v.next()
		}
	})
}

func (w *world) serverAt(a netip.AddrPort) *server {
	b := a.Addr().As4()
	return w.servers[int(b[2])<<8|int(b[3])]
}

func delay(n *node, v *server) time.Duration {
	if n.domain == v.FailureDomain {
		return nearDelay
	}
	return farDelay
}

// reply brings the end of an attempt to its node.
func (w *world) reply(f *flight, r gather.Result) {
	w.events.Add(w.now+delay(f.node, f.server), func() {
		if !f.ended {
			if r.Class != gather.Unsent {
				r.Latency = w.now - f.sentAt
			}
			w.end(f, r)
		}
	})
}

func (w *world) end(f *flight, r gather.Result) {
	f.ended = true
	delete(f.node.flights, f.attempt)
	w.perform(f.node, f.node.policy.Done(w.time(), f.attempt, r))
}

// cancel closes the connection of an attempt, which ends it at the server.
func (w *world) cancel(n *node, id gather.AttemptID) {
	f := n.flights[id]
	if f == nil {
		return
	}
	w.end(f, gather.Result{Class: gather.Canceled, Latency: w.now - f.sentAt})
	w.events.Add(w.now+delay(n, f.server), func() {
		f.server.remove(f)
		f.server.next()
	})
}

// each does something with a share of the servers of the shards.
func (w *world) each(share float64, do func(*server)) {
	n := w.setup.Shards * len(domains)
	for _, i := range w.picks.Perm(n)[:int(share*float64(n)+0.5)] {
		do(w.servers[i])
	}
}

// eachOf does something with the servers of a shard, and eachIn with those of a failure domain.
func (w *world) eachOf(shard int, do func(*server)) {
	for _, v := range w.servers {
		if v.pool == shard {
			do(v)
		}
	}
}

func (w *world) eachIn(domain int, do func(*server)) {
	for _, v := range w.servers {
		if v.domain == domain {
			do(v)
		}
	}
}

// stop ends a server process: its connections are reset and new ones refused.
func (w *world) stop(v *server) {
	if v.down {
		return
	}
	v.down = true
	for _, f := range append(v.running, v.queue...) {
		w.reply(f, gather.Result{Class: gather.Broken, Detail: "connection reset"})
	}
	v.running, v.queue = nil, nil
}

// start begins a server process, which is cold.
func (w *world) start(v *server) {
	if !v.down {
		return
	}
	v.down = false
	v.coldUntil = w.now + w.setup.Model.ColdFor
	w.setPools()
}

// takeOut takes a failure domain out or brings it back.
func (w *world) takeOut(domain int, out bool) {
	w.out[domain] = out
	w.setPools()
}
