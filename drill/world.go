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
	// nodesPerDomain is the number of nodes that serve callers in each of the first two failure domains,
	// as selected by place.SelectNodes.
	nodesPerDomain = 2
	// nearDelay and farDelay are the one-way delays between nodes and servers of the same and of another
	// failure domain, and callerDelay is that between callers and nodes.
	nearDelay   = 100 * time.Microsecond
	farDelay    = 1400 * time.Microsecond
	callerDelay = time.Millisecond
	// unusedAttemptTime is the time after which an attempt whose response is no longer needed is
	// cancelled, as in package node.
	unusedAttemptTime = 250 * time.Millisecond
	// drainTime is the time that a run continues after the last arrival.
	drainTime = 8 * time.Second
	// ledgerServers is the number of servers of the ledger pool, for requests to a single server.
	ledgerServers = 4
	// connectionShare is the share of a node in the connections that a server accepts.
	connectionShare = 6
	ledgerSlots     = 6
	ledger          = "ledger"
)

var domains = []string{"lukang", "yilan"}

// world is the state of a simulation run of one case with one policy.
type world struct {
	config     Case
	now        time.Duration
	events     vtime.Queue
	nodes      []*node
	servers    []*server
	pools      []string
	domainsOut map[int]bool
	// arrivalRand generates the arrivals, callerRand the decisions of callers and scriptRand the selections
	// of the script. They are separate so that the arrivals are the same for all policies.
	arrivalRand, callerRand, scriptRand *rand.Rand
	result                              *Result
}

// node is a simulated node that serves callers.
type node struct {
	domain string
	policy engine
	jobs   map[gather.JobID]*request
	// attempts are the attempts in flight.
	attempts  map[gather.AttemptID]*attempt
	nextTicks map[gather.JobID]time.Time
}

// request is a request of a caller, including its repetitions.
type request struct {
	kind    *Kind
	arrived time.Duration
	// attemptAt is the time at which the caller last sent the request, and attemptsLeft the number of times
	// that it may still send it.
	attemptAt    time.Duration
	attemptsLeft int
	impatient    bool
	tasksReached map[int]bool
}

// engine decides how requests are served. gather.Engine implements it.
type engine interface {
	SetPools(now time.Time, pools []gather.Pool) gather.Actions
	Submit(now time.Time, r gather.Request) (gather.JobID, gather.Actions)
	Done(now time.Time, id gather.AttemptID, r gather.Result) gather.Actions
	Tick(now time.Time, id gather.JobID) gather.Actions
	NextTick(now time.Time, id gather.JobID) time.Time
	Abandon(id gather.JobID) gather.Actions
}

func newWorld(c Case, p Policy, seed uint64) *world {
	w := &world{
		config: c, domainsOut: make(map[int]bool), arrivalRand: rand.New(rand.NewPCG(seed, 7)),
		callerRand: rand.New(rand.NewPCG(seed, 11)), scriptRand: rand.New(rand.NewPCG(seed, 13)), result: newResult(c, p, seed),
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
			attempts: make(map[gather.AttemptID]*attempt), nextTicks: make(map[gather.JobID]time.Time),
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
			Connections: connectionShare, ColdRate: w.config.Model.ColdRate, ColdTime: w.config.Model.ColdFor,
		},
		world: w, pool: index, domain: domain, slow: 1, rand: rand.New(rand.NewPCG(seed, uint64(i)<<8)),
	}
	w.servers = append(w.servers, v)
	v.schedulePause()
}

// setPools updates the servers of all pools on all nodes.
func (w *world) setPools() {
	pools := make([]gather.Pool, len(w.pools)+1)
	for i, name := range w.pools {
		pools[i].Name = name
	}
	pools[len(w.pools)].Name = ledger
	for _, v := range w.servers {
		x := v.Server
		x.Draining = w.domainsOut[v.domain]
		if v.coldUntil > 0 {
			x.ColdUntil = epoch.Add(v.coldUntil)
		}
		pools[v.pool].Servers = append(pools[v.pool].Servers, x)
	}
	for _, n := range w.nodes {
		w.applyActions(n, n.policy.SetPools(w.time(), pools))
	}
}

func (w *world) time() time.Time { return epoch.Add(w.now) }

func (w *world) run() *Result {
	for i := range w.config.Kinds {
		w.scheduleArrival(&w.config.Kinds[i])
	}
	for _, s := range w.config.Script {
		w.events.Add(s.At, func() { s.Do(w) })
	}
	w.events.Run(&w.now, w.config.Duration+drainTime)
	w.result.finish(w)
	return w.result
}

// scheduleTick adds a tick at the time requested by the engine.
func (w *world) scheduleTick(n *node, id gather.JobID) {
	wake := n.policy.NextTick(w.time(), id)
	if wake.IsZero() || wake.Equal(n.nextTicks[id]) {
		return
	}
	n.nextTicks[id] = wake
	w.events.Add(max(w.now, wake.Sub(epoch)), func() {
		if !n.nextTicks[id].Equal(wake) {
			return
		}
		delete(n.nextTicks, id)
		w.applyActions(n, n.policy.Tick(w.time(), id))
		w.scheduleTick(n, id)
	})
}

func (w *world) applyActions(n *node, act gather.Actions) {
	for _, s := range act.Sends {
		w.send(n, s)
		w.scheduleTick(n, s.Job)
	}
	for _, id := range act.Cancels {
		w.cancel(n, id)
	}
	for _, id := range act.Drops {
		w.events.Add(w.now+unusedAttemptTime, func() { w.cancel(n, id) })
	}
	if f := act.Finished; f != nil {
		// A request may finish within Submit, before it is added to n.jobs.
		w.events.Add(w.now, func() { w.requestFinished(n, f) })
	}
}

func (w *world) send(n *node, s gather.Send) {
	v := w.serverAt(s.Server.Address)
	f := &attempt{node: n, id: s.Attempt, server: v, sentAt: w.now, task: s.Task}
	n.attempts[s.Attempt] = f
	w.events.Add(w.now, func() { f.request = n.jobs[s.Job] })
	w.events.Add(w.now+delay(n, v), func() { v.receive(f) })
	w.events.Add(max(w.now, s.Deadline.Sub(epoch)), func() {
		if !f.ended {
			w.endAttempt(f, gather.Result{Outcome: gather.TimedOut, Latency: w.now - f.sentAt})
			v.remove(f)
			v.startQueued()
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

// reply delivers the result of an attempt to its node after the network delay.
func (w *world) reply(f *attempt, r gather.Result) {
	w.events.Add(w.now+delay(f.node, f.server), func() {
		if !f.ended {
			if r.Outcome != gather.Unsent {
				r.Latency = w.now - f.sentAt
			}
			w.endAttempt(f, r)
		}
	})
}

func (w *world) endAttempt(f *attempt, r gather.Result) {
	f.ended = true
	delete(f.node.attempts, f.id)
	w.applyActions(f.node, f.node.policy.Done(w.time(), f.id, r))
}

// cancel closes the connection of an attempt, which aborts it at the server after the network delay.
func (w *world) cancel(n *node, id gather.AttemptID) {
	f := n.attempts[id]
	if f == nil {
		return
	}
	w.endAttempt(f, gather.Result{Outcome: gather.Canceled, Latency: w.now - f.sentAt})
	w.events.Add(w.now+delay(n, f.server), func() {
		f.server.remove(f)
		f.server.startQueued()
	})
}

// forShare calls do for a random share of the servers of the shards.
func (w *world) forShare(share float64, do func(*server)) {
	n := w.config.Shards * len(domains)
	for _, i := range w.scriptRand.Perm(n)[:int(share*float64(n)+0.5)] {
		do(w.servers[i])
	}
}

// forShard calls do for the servers of a shard.
func (w *world) forShard(shard int, do func(*server)) {
	for _, v := range w.servers {
		if v.pool == shard {
			do(v)
		}
	}
}

// forDomain calls do for the servers in a failure domain.
func (w *world) forDomain(domain int, do func(*server)) {
	for _, v := range w.servers {
		if v.domain == domain {
			do(v)
		}
	}
}

// stop terminates a server process: open connections are reset and new ones refused.
func (w *world) stop(v *server) {
	if v.down {
		return
	}
	v.down = true
	for _, f := range append(v.running, v.queue...) {
		w.reply(f, gather.Result{Outcome: gather.Broken, Detail: "connection reset"})
	}
	v.running, v.queue = nil, nil
}

// start starts a stopped server process, which is cold for Model.ColdFor.
func (w *world) start(v *server) {
	if !v.down {
		return
	}
	v.down = false
	v.coldUntil = w.now + w.config.Model.ColdFor
	w.setPools()
}

// setDomainOut takes a failure domain out of service or returns it.
func (w *world) setDomainOut(domain int, out bool) {
	w.domainsOut[domain] = out
	w.setPools()
}
