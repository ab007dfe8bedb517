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

// lease is longer than any run, because trials do not measure leases.
const lease = 24 * time.Hour

// world is the state of a simulation run of one case with one policy.
type world struct {
	config     Case
	policy     Policy
	now        time.Duration
	events     vtime.Queue
	senders    []*sender
	servers    map[netip.AddrPort]*modelServer
	serverList []*modelServer
	tasks      []sched.Task
	// arrivalRand generates only the arrivals, so that they are the same for all policies; senderRand
	// selects senders.
	arrivalRand, senderRand *rand.Rand
	result                  Result
	unusable                map[netip.AddrPort]string
	attempts                map[attemptKey]*attempt
	// firstSends are the first sends of all requests, ordered by time.
	firstSends []firstSend
	// replayOutcomes holds the result of each request of a replayed trace; nil in other runs.
	replayOutcomes []replayOutcome
	recorder       *Recorder
	// domainReturnedAt is the time at which a failure domain last returned to service.
	domainReturnedAt time.Duration
}

// sender is the scheduler of a node.
type sender struct {
	id       int
	slice    *sched.Slice
	nextTick time.Duration
	jobs     map[sched.JobID]*request
}

// request is a simulated request.
type request struct {
	id           string
	kind         *Kind
	arrived      time.Duration
	poison       bool
	idealLatency time.Duration
	shards       int
	sends        int
	fingerprint  guard.Fingerprint
	// traceIndex is the index in a replayed trace.
	traceIndex int
	// duringDomainChange is set if the request arrived while a server was unusable or within
	// domainChangeTime after the return of its failure domain.
	duringDomainChange bool
}

// firstSend is the time of the first send of a request, and its worth.
type firstSend struct {
	at    time.Duration
	worth float64
}

// priorityInverted reports whether a request of lower worth was first sent after the arrival of q.
func (w *world) priorityInverted(q *request) bool {
	for i := len(w.firstSends) - 1; i >= 0 && w.firstSends[i].at >= q.arrived; i-- {
		if w.firstSends[i].worth < q.kind.Worth {
			return true
		}
	}
	return false
}

func newWorld(c Case, p Policy, seed uint64) *world {
	w := &world{
		config: c, policy: p, servers: make(map[netip.AddrPort]*modelServer),
		arrivalRand: rand.New(rand.NewPCG(seed, 7)), senderRand: rand.New(rand.NewPCG(seed, 11)), unusable: make(map[netip.AddrPort]string),
		attempts: make(map[attemptKey]*attempt), domainReturnedAt: -domainChangeTime,
	}
	w.result = newResult(c, p, seed)
	w.build(seed)
	return w
}

func (w *world) build(seed uint64) {
	for i := range w.config.Servers {
		a := netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, 0, byte(i >> 8), byte(i)}), uint16(10000+i))
		v := newModelServer(w.config.Model, seed, a)
		w.servers[a] = v
		w.serverList = append(w.serverList, v)
	}
	for i := range w.config.Shards {
		t := sched.Task{Shard: fmt.Sprintf("s%03d", i)}
		for r := range w.config.Replicas {
			t.Servers = append(t.Servers, w.serverList[(i+r*max(1, len(w.serverList)/w.config.Replicas))%len(w.serverList)].address)
		}
		w.tasks = append(w.tasks, t)
	}
	for i := range max(1, w.policy.Senders) {
		c := sched.Config{Seed: seed + uint64(i), Preset: w.config.Preset}
		w.policy.Apply(&c, w)
		s := &sender{id: i, slice: sched.New(c), jobs: make(map[sched.JobID]*request)}
		s.slice.SetLease(epoch.Add(lease))
		w.senders = append(w.senders, s)
		w.applyActions(s, s.slice.SetServers(epoch, w.serverViews()))
	}
}

// serverViews returns the servers as they appear in the configuration.
func (w *world) serverViews() []sched.ServerView {
	list := make([]sched.ServerView, len(w.serverList))
	for i, v := range w.serverList {
		list[i] = sched.ServerView{
			BackendServer: conf.BackendServer{
				Address: v.address, Slots: v.model.Slots, ColdSlots: v.model.ColdSlots,
			},
			Unusable: w.unusable[v.address],
		}
	}
	return list
}

func (w *world) run() Result {
	for i := range w.config.Kinds {
		w.scheduleArrival(&w.config.Kinds[i], 0)
	}
	for _, s := range w.config.Script {
		w.events.Add(s.At, func() { s.Do(w) })
	}
	w.events.Run(&w.now, w.config.Duration+drainTime)
	w.result.finish(w)
	return w.result
}

// domainChangeTime is the time after the return of a failure domain that still counts as part of the
// change.
const domainChangeTime = 2 * time.Second

// drainTime is the time that a run continues after the last arrival.
const drainTime = 2 * time.Second

func (w *world) time() time.Time {
	return epoch.Add(w.now)
}

func (w *world) scheduleArrival(k *Kind, n int) {
	gap := time.Duration(w.arrivalRand.ExpFloat64() * float64(time.Second) / k.Rate)
	at := w.now + gap
	if at > w.config.Duration {
		return
	}
	w.events.Add(at, func() {
		w.submit(k, fmt.Sprintf("%s-%d", k.Name, n), false)
		w.scheduleArrival(k, n+1)
	})
}

func (w *world) submit(k *Kind, id string, poison bool) {
	fp := guard.FingerprintOf("trial", k.Name, id)
	w.submitRequest(&request{id: id, kind: k, arrived: w.now, poison: poison}, fp)
}

func (w *world) submitRequest(r *request, fp guard.Fingerprint) {
	r.fingerprint = fp
	k := r.kind
	s := w.senders[w.senderRand.IntN(len(w.senders))]
	tasks := w.tasks
	if !k.Idempotent {
		tasks = tasks[:1]
	}
	r.shards = len(tasks)
	r.duringDomainChange = len(w.unusable) > 0 || w.now < w.domainReturnedAt+domainChangeTime
	if k.Idempotent && w.config.ComputeIdeal {
		r.idealLatency = w.idealLatency(r, tasks)
	}
	job, out := s.slice.Submit(w.time(), sched.Request{
		RequestID: r.id, Kind: k.Name, Worth: k.Worth, Deadline: w.time().Add(k.Timeout),
		Idempotent: k.Idempotent, Fingerprint: fp, SkipCanary: w.config.SkipCanary && !r.poison, Tasks: tasks,
	})
	s.jobs[job] = r
	w.applyActions(s, out)
}

// idealLatency returns the latency of a client with advance knowledge of each service time and without
// queueing.
func (w *world) idealLatency(r *request, tasks []sched.Task) time.Duration {
	var slowest time.Duration
	for _, t := range tasks {
		best := time.Duration(1 << 62)
		for _, a := range t.Servers {
			v := w.servers[a]
			d := time.Duration(float64(v.serviceTime(r.id, t.Shard)) * v.slowdown(w.now))
			best = min(best, d)
		}
		slowest = max(slowest, best)
	}
	return slowest + 2*w.config.Model.Network
}

func (w *world) applyActions(s *sender, out sched.Actions) {
	for _, v := range out.Sends {
		w.send(s, v)
	}
	for _, a := range out.Cancels {
		w.cancel(s, a)
	}
	for _, f := range out.Finished {
		w.requestFinished(s, f)
	}
	w.scheduleTick(s)
}

// scheduleTick adds a tick at the time requested by the scheduler.
func (w *world) scheduleTick(s *sender) {
	at := s.slice.NextTick()
	if at.IsZero() {
		return
	}
	due := max(at.Sub(epoch), w.now)
	if s.nextTick > w.now && s.nextTick <= due {
		return
	}
	s.nextTick = due
	w.events.Add(due, func() {
		if s.nextTick == due {
			s.nextTick = 0
		}
		w.applyActions(s, s.slice.Tick(w.time()))
	})
}

func (w *world) requestFinished(s *sender, f sched.Finished) {
	r := s.jobs[f.Job]
	if r == nil {
		// A request refused within Submit is added to s.jobs only after Submit returns.
		w.events.Add(w.now, func() { w.recordFinished(s, f) })
		return
	}
	w.recordFinished(s, f)
}

func (w *world) recordFinished(s *sender, f sched.Finished) {
	r := s.jobs[f.Job]
	delete(s.jobs, f.Job)
	answered := w.result.addRequest(w, r, f)
	w.recordOutcome(r, answered, f.Failure)
}
