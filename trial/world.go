package trial

import (
	"fmt"
	"math/rand/v2"
	"net/netip"
	"time"

	"github.com/arbutusthread/arbutusthread/conf"
	"github.com/arbutusthread/arbutusthread/guard"
	"github.com/arbutusthread/arbutusthread/sched"
	"github.com/arbutusthread/arbutusthread/vtime"
)

// epoch is the start of virtual time.
var epoch = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

// lease is longer than any run, because leases are not what a trial measures.
const lease = 24 * time.Hour

// world is one run of one policy.
type world struct {
	setup   Case
	policy  Policy
	now     time.Duration
	events  vtime.Queue
	senders []*sender
	servers map[netip.AddrPort]*modelServer
	order   []*modelServer
	tasks   []sched.Task
	// rand draws the arrivals only, so that they are the same for all policies; picks draws senders.
	rand, picks *rand.Rand
	result      Result
	unused      map[netip.AddrPort]string
	flights     map[flightKey]*flight
	// starts are the first sends of all requests in the order of their times.
	starts []start
	// replayed is what became of each request; nil unless a trace is replayed.
	replayed []replayed
	recorder *Recorder
	// returned is the time at which a failure domain last came back.
	returned time.Duration
}

// sender is one node's scheduler.
type sender struct {
	id    int
	slice *sched.Slice
	wake  time.Duration
	jobs  map[sched.JobID]*request
}

// request is one arrival.
type request struct {
	id      string
	kind    *Kind
	arrived time.Duration
	poison  bool
	ideal   time.Duration
	shards  int
	sends   int
	print   guard.Fingerprint
	// place is the index in a replayed trace.
	place int
	// moving means that it arrived while a failure domain moved.
	moving bool
}

// start is the first send of a request.
type start struct {
	at    time.Duration
	worth float64
}

// overtaken reports whether a less worthy request was started while this one waited.
func (w *world) overtaken(q *request) bool {
	for i := len(w.starts) - 1; i >= 0 && w.starts[i].at >= q.arrived; i-- {
		if w.starts[i].worth < q.kind.Worth {
			return true
		}
	}
	return false
}

func newWorld(c Case, p Policy, seed uint64) *world {
	w := &world{
		setup: c, policy: p, servers: make(map[netip.AddrPort]*modelServer),
		rand: rand.New(rand.NewPCG(seed, 7)), picks: rand.New(rand.NewPCG(seed, 11)), unused: make(map[netip.AddrPort]string),
		flights: make(map[flightKey]*flight), returned: -moveTime,
	}
	w.result = newResult(c, p, seed)
	w.build(seed)
	return w
}

func (w *world) build(seed uint64) {
	for i := range w.setup.Servers {
		a := netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, 0, byte(i >> 8), byte(i)}), uint16(10000+i))
		v := newModelServer(w.setup.Model, seed, a)
		w.servers[a] = v
		w.order = append(w.order, v)
	}
	for i := range w.setup.Shards {
		t := sched.Task{Shard: fmt.Sprintf("s%03d", i)}
		for r := range w.setup.Replicas {
			t.Servers = append(t.Servers, w.order[(i+r*max(1, len(w.order)/w.setup.Replicas))%len(w.order)].address)
		}
		w.tasks = append(w.tasks, t)
	}
	for i := range max(1, w.policy.Senders) {
		c := sched.Config{Seed: seed + uint64(i), Preset: w.setup.Preset}
		w.policy.Apply(&c, w)
		s := &sender{id: i, slice: sched.New(c), jobs: make(map[sched.JobID]*request)}
		s.slice.SetLease(epoch.Add(lease))
		w.senders = append(w.senders, s)
		w.carryOut(s, s.slice.SetServers(epoch, w.views()))
	}
}

// views describes the servers as the configuration does.
func (w *world) views() []sched.ServerView {
	list := make([]sched.ServerView, len(w.order))
	for i, v := range w.order {
		list[i] = sched.ServerView{
			BackendServer: conf.BackendServer{
				Address: v.address, Slots: v.model.Slots, ColdSlots: v.model.ColdSlots,
			},
			Unusable: w.unused[v.address],
		}
	}
	return list
}

func (w *world) run() Result {
	for i := range w.setup.Kinds {
		w.arrive(&w.setup.Kinds[i], 0)
	}
	for _, s := range w.setup.Script {
		w.events.Add(s.At, func() { s.Do(w) })
	}
	w.events.Run(&w.now, w.setup.Duration+drainTime)
	w.result.close(w)
	return w.result
}

// moveTime is how long after its return a failure domain counts as moving.
const moveTime = 2 * time.Second

// drainTime is how long a run goes on after the last arrival.
const drainTime = 2 * time.Second

func (w *world) time() time.Time {
	return epoch.Add(w.now)
}

func (w *world) arrive(k *Kind, n int) {
	gap := time.Duration(w.rand.ExpFloat64() * float64(time.Second) / k.Rate)
	at := w.now + gap
	if at > w.setup.Duration {
		return
	}
	w.events.Add(at, func() {
		w.submit(k, fmt.Sprintf("%s-%d", k.Name, n), false)
		w.arrive(k, n+1)
	})
}

func (w *world) submit(k *Kind, id string, poison bool) {
	fp := guard.FingerprintOf("trial", k.Name, id)
	w.submitRequest(&request{id: id, kind: k, arrived: w.now, poison: poison}, fp)
}

func (w *world) submitRequest(r *request, fp guard.Fingerprint) {
	r.print = fp
	k := r.kind
	s := w.senders[w.picks.IntN(len(w.senders))]
	tasks := w.tasks
	if !k.Idempotent {
		tasks = tasks[:1]
	}
	r.shards = len(tasks)
	r.moving = len(w.unused) > 0 || w.now < w.returned+moveTime
	if k.Idempotent && w.setup.Ideal {
		r.ideal = w.ideal(r, tasks)
	}
	job, out := s.slice.Submit(w.time(), sched.Request{
		RequestID: r.id, Kind: k.Name, Worth: k.Worth, Deadline: w.time().Add(k.Timeout),
		Idempotent: k.Idempotent, Fingerprint: fp, Proven: w.setup.Proven && !r.poison, Tasks: tasks,
	})
	s.jobs[job] = r
	w.carryOut(s, out)
}

// ideal is the latency of a client that knows each service time beforehand and never queues.
func (w *world) ideal(r *request, tasks []sched.Task) time.Duration {
	var slowest time.Duration
	for _, t := range tasks {
		best := time.Duration(1 << 62)
		for _, a := range t.Servers {
			v := w.servers[a]
			d := time.Duration(float64(v.draw(r.id, t.Shard)) * v.factor(w.now))
			best = min(best, d)
		}
		slowest = max(slowest, best)
	}
	return slowest + 2*w.setup.Model.Network
}

func (w *world) carryOut(s *sender, out sched.Actions) {
	for _, v := range out.Sends {
		w.send(s, v)
	}
	for _, a := range out.Cancels {
		w.cancel(s, a)
	}
	for _, f := range out.Finished {
		w.finished(s, f)
	}
	w.schedule(s)
}

// schedule adds a tick at the time that the scheduler asks for.
func (w *world) schedule(s *sender) {
	at := s.slice.NextWake()
	if at.IsZero() {
		return
	}
	due := max(at.Sub(epoch), w.now)
	if s.wake > w.now && s.wake <= due {
		return
	}
	s.wake = due
	w.events.Add(due, func() {
		if s.wake == due {
			s.wake = 0
		}
		w.carryOut(s, s.slice.Tick(w.time()))
	})
}

func (w *world) finished(s *sender, f sched.Finished) {
	r := s.jobs[f.Job]
	if r == nil {
		// A request that is refused inside Submit has no entry yet.
		w.events.Add(w.now, func() { w.record(s, f) })
		return
	}
	w.record(s, f)
}

func (w *world) record(s *sender, f sched.Finished) {
	r := s.jobs[f.Job]
	delete(s.jobs, f.Job)
	answered := w.result.add(w, r, f)
	w.note(r, answered, f.Failure)
}
