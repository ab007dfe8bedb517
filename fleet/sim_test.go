package fleet

import (
	"container/heap"
	"fmt"
	"maps"
	"math/rand/v2"
	"net/netip"
	"slices"
	"time"

	"github.com/arbutusthread/arbutusthread/conf"
	"github.com/arbutusthread/arbutusthread/wire"
)

// The simulation passes messages between nodes in virtual time. It models neither hosts nor bandwidth
// nor a latency distribution: a message takes 1 ms to 5 ms unless a fault adds a delay.

const (
	simNodes    = 9
	simDomains  = 3
	simServices = 4
	simWarmUp   = 15 * time.Second
	// simSettle is how long member tables may differ after the last fault.
	simSettle = 60 * time.Second
	// simDrain is how long a holder finishes its work before it releases a slice.
	simDrain = 300 * time.Millisecond
	// simDrift is the maximum relative drift of a process's clock from simulated time.
	simDrift = 0.02
)

var simEpoch = time.Unix(1_800_000_000, 0).UTC()

// proc is one process. A replacement is a new proc, on the same or on another address.
type proc struct {
	id      int
	address netip.AddrPort
	node    *Node
	rate    float64
	offset  time.Duration
	dead    bool
	removed bool
	paused  bool
	inbox   []packet
	version uint64
	// minVersion is the lowest version that the process may have when it becomes ready.
	minVersion uint64
	draining   map[sliceKey]bool
}

// local converts simulated time to the clock of the process.
func (p *proc) local(t time.Duration) time.Time {
	return simEpoch.Add(p.offset + time.Duration(float64(t)*p.rate))
}

// global converts a time of the process's clock to simulated time.
func (p *proc) global(t time.Time) time.Duration {
	return time.Duration(float64(t.Sub(simEpoch)-p.offset) / p.rate)
}

type packet struct {
	from, to *proc
	address  netip.AddrPort
	m        Message
}

// leaseSpan is the period in simulated time for which a process may use a slice.
type leaseSpan struct{ begin, end time.Duration }

type simEvent struct {
	at  time.Duration
	seq int
	run func()
}

type simQueue []simEvent

func (q simQueue) Len() int { return len(q) }
func (q simQueue) Less(i, j int) bool {
	return q[i].at < q[j].at || q[i].at == q[j].at && q[i].seq < q[j].seq
}
func (q simQueue) Swap(i, j int) { q[i], q[j] = q[j], q[i] }
func (q *simQueue) Push(x any)   { *q = append(*q, x.(simEvent)) }
func (q *simQueue) Pop() any {
	e := (*q)[len(*q)-1]
	*q = (*q)[:len(*q)-1]
	return e
}

type sim struct {
	rules  rules
	rng    *rand.Rand
	now    time.Duration
	queue  simQueue
	seq    int
	procs  []*proc
	byAddr map[netip.AddrPort]*proc
	docs   map[uint64]*conf.Document
	latest uint64
	// blocked is the number of active faults that block messages from one address to another.
	blocked       map[[2]netip.AddrPort]int
	lossRate      float64
	duplicateRate float64
	delay         time.Duration
	leases        map[sliceKey]map[*proc]leaseSpan
	// Until dualHolderUntil two majorities of voters, and so two holders, may exist.
	dualHolderUntil time.Duration
	linkOnly        bool
	violation       *violation
	trace           []string
	messages        int
	bytes           int
}

func newSim(seed uint64, r rules) *sim { return newSimOf(simNodes, seed, r) }

// newSimOf returns a simulation of a fleet with the given number of nodes.
func newSimOf(size int, seed uint64, r rules) *sim {
	s := &sim{
		rules: r, rng: rand.New(rand.NewPCG(seed, 1)), byAddr: make(map[netip.AddrPort]*proc),
		docs: make(map[uint64]*conf.Document), blocked: make(map[[2]netip.AddrPort]int),
		leases: make(map[sliceKey]map[*proc]leaseSpan),
	}
	s.publishDocument(nil, false)
	for i := range size {
		s.start(simAddress(i), s.latest)
	}
	s.scheduleListing()
	return s
}

// scheduleListing distributes the platform's list of VMs every 5 s, simulating the fetches of the nodes.
func (s *sim) scheduleListing() {
	s.listVMs()
	s.reofferDocument()
	s.at(s.now+5*time.Second, s.scheduleListing)
}

// reofferDocument installs the newest document on another process if the process that received it from
// the platform died before it sent the version to another node. Real nodes continuously poll the platform
// for a newer document.
func (s *sim) reofferDocument() {
	var next *proc
	for _, p := range s.procs {
		switch {
		case p.dead:
		case p.version == s.latest:
			return
		case next == nil && !p.paused:
			next = p
		}
	}
	if next != nil {
		s.install(next, s.latest)
	}
}

func simAddress(i int) netip.AddrPort {
	return netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, byte(i >> 8), byte(i)}), 7000)
}

func simDomain(a netip.AddrPort) string {
	return fmt.Sprint("d", int(a.Addr().As4()[3])%simDomains)
}

// publishDocument adds the next document version to the platform.
func (s *sim) publishDocument(out map[string]bool, reshaped bool) *conf.Document {
	s.latest++
	d := &conf.Document{Version: s.latest}
	for i := range simDomains {
		f := conf.FailureDomain{Name: fmt.Sprint("d", i), State: conf.DomainIn}
		if out[f.Name] {
			f.State = conf.DomainOut
		}
		d.FailureDomains = append(d.FailureDomains, f)
	}
	for i := range simServices {
		d.Services = append(d.Services, conf.Service{Name: fmt.Sprint("s", i)})
		if i == 0 && reshaped {
			d.Services[i].VoterDomains = []string{"d0", "d1"}
		}
		if i == 1 && reshaped {
			d.Services[i].Voters = 1
		}
	}
	s.docs[s.latest] = d
	return d
}

func (s *sim) at(t time.Duration, run func()) {
	s.seq++
	heap.Push(&s.queue, simEvent{max(t, s.now), s.seq, run})
}

func (s *sim) logf(format string, args ...any) {
	s.trace = append(s.trace, fmt.Sprintf("%s ", s.now)+fmt.Sprintf(format, args...))
}

// start starts a new process with the document version that it gets from the platform.
func (s *sim) start(a netip.AddrPort, version uint64) {
	p := &proc{
		id: len(s.procs), address: a, rate: 1 + simDrift*(2*s.rng.Float64()-1),
		// Start times close to each other give claims of different nodes equal round numbers.
		offset: time.Duration(s.rng.IntN(5)) * time.Millisecond, draining: make(map[sliceKey]bool),
	}
	now := p.local(s.now)
	p.node = newNode(Config{
		Member: Member{Address: a, Caller: a, FailureDomain: simDomain(a)}, Start: now,
	}, now, s.rules)
	var versions []uint64
	for _, o := range s.byAddr {
		if o.address == a {
			continue
		}
		v := o.version
		if o.dead {
			v = 0
		}
		versions = append(versions, v)
	}
	slices.Sort(versions)
	if s.now > 0 && len(versions) == simNodes-1 {
		p.minVersion = versions[simNodes/2-1]
	}
	s.procs = append(s.procs, p)
	s.byAddr[a] = p
	s.logf("start process %d on %s with version %d", p.id, a, version)
	s.install(p, version)
	s.tick(p, s.now+time.Duration(s.rng.IntN(100))*time.Millisecond)
}

func (s *sim) install(p *proc, version uint64) {
	out, err := p.node.SetDocument(p.local(s.now), s.docs[version], fmt.Sprint("h", version))
	if err != nil {
		return
	}
	if version < p.version {
		s.fail(noRollback, "process %d went from version %d to %d", p.id, p.version, version)
	}
	p.version = version
	s.process(p, out)
}

// listVMs distributes the platform's list, which contains all addresses in use, to all processes.
func (s *sim) listVMs() {
	var vms []wire.VM
	for _, a := range slices.SortedFunc(maps.Keys(s.byAddr), netip.AddrPort.Compare) {
		if !s.byAddr[a].removed {
			vms = append(vms, wire.VM{Address: a, Role: wire.RoleEntry, State: wire.VMLive})
		}
	}
	for _, p := range s.procs {
		if !p.dead && !p.paused {
			s.process(p, p.node.SetVMs(p.local(s.now), vms))
		}
	}
}

func (s *sim) tick(p *proc, at time.Duration) {
	s.at(at, func() {
		if p.dead {
			return
		}
		if !p.paused {
			s.process(p, p.node.Tick(p.local(s.now)))
			s.drain(p)
		}
		s.tick(p, s.now+TickInterval)
	})
}

// drain releases draining leases after simDrain, as a node does when its requests in flight have finished.
func (s *sim) drain(p *proc) {
	for _, l := range p.node.leaseList {
		key := l.sliceKey
		if !p.node.Draining(p.local(s.now), key.service, key.slice) || p.draining[key] {
			continue
		}
		p.draining[key] = true
		s.at(s.now+simDrain, func() {
			p.draining[key] = false
			if !p.dead && !p.paused && p.node.Draining(p.local(s.now), key.service, key.slice) {
				s.process(p, p.node.Release(p.local(s.now), key.service, key.slice))
			}
		})
	}
}

func (s *sim) process(p *proc, out []Output) {
	for _, o := range out {
		if o.Event != nil {
			s.handleEvent(p, *o.Event)
			continue
		}
		size := p.node.codec.size(o.Message) - 1
		s.messages, s.bytes = s.messages+1, s.bytes+size
		if size > MaxMessageBytes {
			s.fail(messageFits, "%s of %d bytes", o.Message.Kind, size)
		}
		s.transmit(packet{from: p, to: s.byAddr[o.To], address: o.To, m: *o.Message})
	}
}

func (s *sim) transmit(k packet) {
	copies := 1
	if s.rng.Float64() < s.duplicateRate {
		copies = 2
	}
	for range copies {
		if s.rng.Float64() < s.lossRate {
			continue
		}
		latency := time.Millisecond + time.Duration(s.rng.Int64N(int64(4*time.Millisecond)))
		if s.delay > 0 {
			latency += time.Duration(s.rng.Int64N(int64(s.delay)))
		}
		s.at(s.now+latency, func() { s.deliver(k) })
	}
}

func (s *sim) deliver(k packet) {
	// A datagram reaches the process that uses the address at the time of arrival.
	to := s.byAddr[k.address]
	if to == nil || to.dead || s.blocked[[2]netip.AddrPort{k.from.address, k.address}] > 0 {
		return
	}
	if to.paused {
		to.inbox = append(to.inbox, k)
		return
	}
	s.process(to, to.node.Handle(to.local(s.now), k.from.address, k.m))
}

// pull fetches a document or a table over HTTP. Partitions block HTTP as well as datagrams.
func (s *sim) pull(p *proc, e Event) {
	o := s.byAddr[e.Peer]
	pair := [2]netip.AddrPort{p.address, e.Peer}
	back := [2]netip.AddrPort{e.Peer, p.address}
	if o == nil || o.dead || o.paused || p.dead || p.paused || s.blocked[pair]+s.blocked[back] > 0 {
		return
	}
	if e.Kind == ConfigNewer {
		s.install(p, o.version)
		return
	}
	s.process(p, p.node.Merge(p.local(s.now), e.Peer, o.node.Table()))
}

// run processes events until the given time or the first violation.
func (s *sim) run(until time.Duration) {
	for s.violation == nil && len(s.queue) > 0 && s.queue[0].at <= until {
		e := heap.Pop(&s.queue).(simEvent)
		s.now = e.at
		e.run()
	}
	s.now = max(s.now, until)
}
