package sched

import (
	"fmt"
	"math/rand/v2"
	"net/netip"
	"slices"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/arbutusthread/arbutusthread/conf"
	"github.com/arbutusthread/arbutusthread/guard"
	"github.com/arbutusthread/arbutusthread/wire"
)

const (
	testServers     = 5
	testShards      = 6
	testSlots       = 3
	testHedgeBudget = 0.2
)

// fault is a fault injected between the harness and the scheduler. It makes the scheduler behave like a
// broken one, which the checks must detect.
type fault string

const (
	noFault          fault = ""
	excessSlots      fault = "scheduler configured with too many slots"
	hedgeToCold      fault = "hedges sent to cold servers"
	unlimitedHedges  fault = "unlimited hedge budget"
	extendedLease    fault = "scheduler lease too long"
	ordersIdempotent fault = "orders marked idempotent"
	lateDeadline     fault = "scheduler deadline too late"
	brokenAsUnsent   fault = "broken attempts reported as unsent"
	skippedCanary    fault = "unknown fingerprints sent without a canary"
	ignoredCold      fault = "cold responses reported as warm"
)

// testEvent is one random step. Its numbers select among the operations possible at that point.
type testEvent struct {
	Kind, Pick, Class int
	Wait              time.Duration
}

type testJob struct {
	request    Request
	deadline   time.Time
	accepted   map[string]bool
	skipCanary bool
	ended      bool
}

type testAttempt struct {
	send    Send
	at      time.Time
	ended   bool
	outcome Outcome
}

// harness drives a slice and checks its actions against an independent record of all sends.
type harness struct {
	fault    fault
	slice    *Slice
	now      time.Time
	lease    time.Time
	jobs     map[JobID]*testJob
	attempts map[AttemptID]*testAttempt
	inFlight []AttemptID
	inUse    map[netip.AddrPort]int
	// cold holds the servers that have indicated that they are cold and not reported warm since.
	cold         map[netip.AddrPort]bool
	unusable     map[netip.AddrPort]bool
	incarnation  map[netip.AddrPort]int
	first, hedge int
	serial       int
	err          error
}

func testAddress(i int) netip.AddrPort {
	return netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, 0, 0, byte(1 + i%testServers)}), 9000)
}

func newHarness(f fault) *harness {
	h := &harness{
		fault: f, now: time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC), jobs: make(map[JobID]*testJob),
		attempts: make(map[AttemptID]*testAttempt), inUse: make(map[netip.AddrPort]int),
		cold: make(map[netip.AddrPort]bool), unusable: make(map[netip.AddrPort]bool),
		incarnation: make(map[netip.AddrPort]int),
	}
	budget := testHedgeBudget
	if f == unlimitedHedges {
		budget = 1
	}
	c := Config{
		Service: "test", Seed: 1, Preset: conf.Preset{HedgeBudget: budget, RetryBudget: 0.3, QueueLimit: 20},
	}
	if f == hedgeToCold {
		c.LimitOverride = func(netip.AddrPort) int { return testSlots }
	}
	h.slice = New(c)
	h.setLease(time.Hour)
	for i := range testServers {
		h.cold[testAddress(i)] = true
	}
	h.setServers()
	h.warmUp()
	return h
}

// warmUp sends requests until all servers are warm, because hedges are only sent to warm servers.
func (h *harness) warmUp() {
	r := rand.New(rand.NewPCG(1, 1))
	for range 60 * testShards {
		h.submit(r.IntN(1000)*4, true)
		for len(h.inFlight) > 0 {
			h.advance(4*time.Millisecond + time.Duration(r.IntN(1000))*time.Microsecond)
			h.done(0, OK)
		}
	}
}

func (h *harness) setLease(d time.Duration) {
	h.lease = h.now.Add(d)
	end := h.lease
	if h.fault == extendedLease {
		end = end.Add(time.Second)
	}
	h.slice.SetLease(end)
}

func (h *harness) setServers() {
	views := make([]ServerView, testServers)
	for i := range views {
		b := conf.BackendServer{Address: testAddress(i), Slots: testSlots, ColdSlots: 1}
		if h.fault == excessSlots {
			b.Slots = testSlots + 3
		}
		views[i] = ServerView{BackendServer: b}
		if h.unusable[b.Address] {
			views[i].Unusable = "out"
		}
	}
	h.apply(h.slice.SetServers(h.now, views))
}

func (h *harness) fail(format string, args ...any) {
	if h.err == nil {
		h.err = errors.Newf(format, args...)
	}
}

// step executes one event.
func (h *harness) step(e testEvent) {
	h.advance(e.Wait)
	switch e.Kind {
	case 0, 1, 2:
		h.submit(e.Pick, false)
	case 3:
		h.setLease(time.Duration(e.Pick%600) * time.Millisecond)
	case 4:
		a := testAddress(e.Pick)
		h.unusable[a] = !h.unusable[a]
		if !h.unusable[a] {
			h.cold[a] = true
		}
		h.setServers()
	case 5:
		h.slice.MarkAllCold()
		for i := range testServers {
			h.cold[testAddress(i)] = true
		}
	case 6:
		h.setLease(time.Hour)
	default:
		if len(h.inFlight) > 0 {
			h.done(e.Pick%len(h.inFlight), testClasses[e.Class%len(testClasses)])
		}
	}
}

var testClasses = []Outcome{OK, OK, OK, OK, OK, OK, NotRun, Unsent, Broken, Crashed, TimedOut, Silent, Invalid}

func (h *harness) submit(pick int, skipCanary bool) {
	h.serial++
	r := Request{
		RequestID: fmt.Sprint("q", h.serial), Kind: "stock", Worth: float64(1 + pick%3),
		Deadline:   h.now.Add(time.Duration(20+pick%200) * time.Millisecond),
		Idempotent: pick%4 != 3, SkipCanary: skipCanary || pick%4 != 0,
		Fingerprint: guard.FingerprintOf("test", "stock", fmt.Sprint(h.serial)),
	}
	n := testShards
	if !r.Idempotent {
		n = 1
	}
	for i := range n {
		s := (i + pick) % testShards
		t := Task{Shard: fmt.Sprint("s", s)}
		for k := range 2 + s%2 {
			t.Servers = append(t.Servers, testAddress(s+k))
		}
		r.Tasks = append(r.Tasks, t)
	}
	j := &testJob{request: r, deadline: r.Deadline, accepted: make(map[string]bool), skipCanary: r.SkipCanary}
	switch h.fault {
	case ordersIdempotent:
		r.Idempotent = true
	case lateDeadline:
		r.Deadline = r.Deadline.Add(time.Second)
	case skippedCanary:
		r.SkipCanary = true
	}
	// A request can end during Submit, before its ID is known.
	h.jobs[0] = j
	id, out := h.slice.Submit(h.now, r)
	delete(h.jobs, 0)
	h.jobs[id] = j
	h.apply(out)
}

func (h *harness) done(i int, c Outcome) {
	id := h.inFlight[i]
	a := h.attempts[id]
	h.inFlight = slices.Delete(h.inFlight, i, i+1)
	server := a.send.Server
	h.inUse[server]--
	a.ended, a.outcome = true, c
	r := Result{Outcome: c, Warm: true, Incarnation: fmt.Sprint(h.incarnation[server])}
	switch {
	case c == Crashed || c == Unsent || c == Broken:
		h.cold[server] = true
		h.incarnation[server]++
	case c == NotRun:
		r.Reason = []wire.BackendReason{wire.BackendShed, wire.BackendCold, wire.BackendDeadline}[int(id)%3]
		h.cold[server] = h.cold[server] || r.Reason != wire.BackendDeadline
	case c == OK && int(id)%11 == 0 && h.serial > 60*testShards:
		r.Warm = h.fault == ignoredCold
		h.cold[server] = true
	case c == OK:
		h.cold[server] = false
	}
	if h.fault == brokenAsUnsent && c == Broken {
		r.Outcome = Unsent
	}
	out := h.slice.Done(h.now, id, r)
	if out.Accepted {
		j := h.jobs[a.send.Job]
		if j.ended || j.accepted[a.send.Shard] || c != OK {
			h.fail("response of shard %s accepted twice, late or after %s", a.send.Shard, c)
		}
		j.accepted[a.send.Shard] = true
		j.skipCanary = true
	}
	h.apply(out)
}

// advance advances the clock by d and calls Tick at each time that NextTick returns.
func (h *harness) advance(d time.Duration) {
	target := h.now.Add(d)
	for {
		at := h.slice.NextTick()
		if at.IsZero() || at.After(target) {
			break
		}
		if at.After(h.now) {
			h.now = at
		}
		h.apply(h.slice.Tick(h.now))
	}
	h.now = target
}

// finish advances past all deadlines, ends all attempts and checks that nothing is left.
func (h *harness) finish() error {
	h.advance(2 * time.Second)
	for len(h.inFlight) > 0 {
		h.done(0, Cancelled)
	}
	for id, j := range h.jobs {
		if !j.ended {
			h.fail("job %d has not ended", id)
		}
	}
	if h.slice.Unfinished() != 0 || h.slice.Outstanding() != 0 {
		h.fail("%d jobs and %d attempts are left", h.slice.Unfinished(), h.slice.Outstanding())
	}
	return h.err
}
