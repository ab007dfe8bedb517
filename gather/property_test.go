package gather

import (
	"fmt"
	"maps"
	"net/netip"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// history drives an engine with random events and records what is needed to check the invariants.
type history struct {
	*rapid.T
	engine *Engine
	now    time.Time
	budget BudgetConfig
	nodes  int

	open      map[AttemptID]Send
	sentAt    map[AttemptID]time.Time
	relays    map[RelayID]RelaySend
	relayedAt map[RelayID]time.Time
	// pending holds the shards of each relay call that the relay has not reported on.
	pending map[RelayID]map[int]bool
	jobs    map[JobID]*jobHistory
	// first holds the times of requests by pool, and arrivals the times of sends by server.
	first    map[string][]time.Time
	arrivals map[string][]time.Time
	announcements
}

type jobHistory struct {
	request  Request
	finished bool
	// reached holds the servers that may have run each shard.
	reached []map[string]bool
	// sends holds the times at which each shard was sent, without sends that reached no server.
	sends [][]time.Time
}

var poolNames = []string{"a", "b", "c"}

func newHistory(t *rapid.T) *history {
	h := &history{
		T: t, now: epoch, nodes: rapid.IntRange(1, 4).Draw(t, "nodes"),
		budget: BudgetConfig{Ratio: 0.2, Slack: rapid.Float64Range(0, 12).Draw(t, "slack"), Window: 10 * time.Second},
		open:   make(map[AttemptID]Send), sentAt: make(map[AttemptID]time.Time),
		relays: make(map[RelayID]RelaySend), relayedAt: make(map[RelayID]time.Time),
		pending: make(map[RelayID]map[int]bool), jobs: make(map[JobID]*jobHistory),
		first: make(map[string][]time.Time), arrivals: make(map[string][]time.Time),
		announcements: newAnnouncements(rapid.Bool().Draw(t, "overloaded")),
	}
	h.engine = New(Config{FailureDomain: here, Budget: h.budget, Seed: rapid.Uint64().Draw(t, "seed")})
	h.engine.SetNodes(h.nodes)
	h.engine.SetRelays([]Relay{{Address: netip.MustParseAddrPort("127.0.0.1:7"), FailureDomain: there}})
	h.setPools()
	return h
}

// setPools draws which servers exist and which of them are draining or cold.
func (h *history) setPools() {
	var pools []Pool
	evacuated := rapid.SampledFrom([]string{"", "", "", "", here, there}).Draw(h.T, "evacuated")
	for _, name := range poolNames {
		p := Pool{Name: name}
		for i, domain := range []string{here, there, "chiayi"} {
			if rapid.IntRange(0, 5).Draw(h.T, "exists") == 0 {
				continue
			}
			s := testServer(fmt.Sprintf("%s%d", name, i), domain)
			s.Draining = domain == evacuated || rapid.IntRange(0, 5).Draw(h.T, "draining") == 0
			s.StartTime = h.drawStart(h.T, s.ID)
			s.ColdRate = 8
			if rapid.IntRange(0, 3).Draw(h.T, "cold") == 0 {
				s.ColdUntil = h.now.Add(3 * time.Second)
			}
			p.Servers = append(p.Servers, s)
		}
		pools = append(pools, p)
	}
	h.listed = pools
	h.apply(0, h.engine.SetPools(h.now, pools))
}

func (h *history) submit() {
	r := Request{
		Class: "r", Pools: poolNames[:rapid.IntRange(1, len(poolNames)).Draw(h.T, "shards")],
		Idempotent: rapid.Bool().Draw(h.T, "idempotent"), MinCoverage: 0.5, MaxAttempts: rapid.IntRange(1, 3).Draw(h.T, "attempts"),
		Deadline: h.now.Add(time.Second), Target: h.now.Add(90 * time.Millisecond), Relayable: rapid.Bool().Draw(h.T, "relayable"),
	}
	if len(r.Pools) > 1 {
		r.Idempotent = true
	}
	r.Relayable = r.Relayable && r.Idempotent
	id, act := h.engine.Submit(h.now, r)
	h.checkRefusal(&r, act.Finished)
	j := &jobHistory{request: r, reached: make([]map[string]bool, len(r.Pools)), sends: make([][]time.Time, len(r.Pools))}
	for i := range j.reached {
		j.reached[i] = make(map[string]bool)
		if act.Finished == nil || act.Finished.End != Refused {
			h.first[r.Pools[i]] = append(h.first[r.Pools[i]], h.now)
		}
	}
	h.jobs[id] = j
	h.apply(id, act)
}

// apply checks actions and carries them out.
func (h *history) apply(id JobID, act Actions) {
	for _, s := range act.Sends {
		h.checkSend(s)
		h.open[s.Attempt], h.sentAt[s.Attempt] = s, h.now
	}
	for _, s := range act.Relays {
		j := h.jobs[s.Job]
		if !j.request.Relayable || j.finished {
			h.Fatalf("job %d was relayed, but has ended or is not relayable", s.Job)
		}
		for _, i := range s.Tasks {
			h.recordArrival(j, i, "relay")
		}
		h.relays[s.Relay], h.relayedAt[s.Relay] = s, h.now
		h.pending[s.Relay] = make(map[int]bool)
		for _, i := range s.Tasks {
			h.pending[s.Relay][i] = true
		}
	}
	h.runRescheduled(act.Rescheduled)
	if act.Finished != nil {
		j := h.jobs[id]
		if j.finished {
			h.Fatalf("job %d ended twice", id)
		}
		j.finished = true
		if f := act.Finished; !f.MayHaveRun && f.End != Complete && f.End != Partial {
			for _, reached := range j.reached {
				if len(reached) > 0 {
					h.Fatalf("job %d was reported as not run, but %v may have run it", id, reached)
				}
			}
		}
	}
}

func (h *history) checkSend(s Send) {
	j := h.jobs[s.Job]
	switch {
	case j.finished:
		h.Fatalf("job %d was sent after its end", s.Job)
	case s.Server.Draining:
		h.Fatalf("draining server %s got job %d", s.Server.ID, s.Job)
	case !h.now.Before(s.Deadline):
		h.Fatalf("job %d was sent after its deadline", s.Job)
	case !j.request.Idempotent && len(j.reached[s.Task]) > 0:
		h.Fatalf("job %d may have run on %v and was sent to %s", s.Job, j.reached[s.Task], s.Server.ID)
	}
	h.checkAnnounced(&s.Server)
	h.recordArrival(j, s.Task, s.Server.ID)
	at := append(h.arrivals[s.Server.ID], h.now)
	h.arrivals[s.Server.ID] = at
	if h.now.Before(s.Server.ColdUntil) {
		recent := 0
		for _, t := range at {
			if h.now.Sub(t) < time.Second {
				recent++
			}
		}
		if float64(recent) > s.Server.ColdRate/float64(h.nodes) {
			h.Fatalf("cold server %s got %d requests in a second, more than this node's share", s.Server.ID, recent)
		}
	}
}

// recordArrival records a send that may have reached a server.
func (h *history) recordArrival(j *jobHistory, task int, server string) {
	j.reached[task][server] = true
	if len(j.reached[task]) > j.request.MaxAttempts {
		h.Fatalf("a shard may have run on %v, want at most %d servers", j.reached[task], j.request.MaxAttempts)
	}
	j.sends[task] = append(j.sends[task], h.now)
}

// unrecordArrival removes a recorded send that has reached no server.
func (h *history) unrecordArrival(j *jobHistory, task int, server string, sent time.Time) {
	delete(j.reached[task], server)
	i := slices.IndexFunc(j.sends[task], sent.Equal)
	j.sends[task] = slices.Delete(j.sends[task], i, i+1)
}

func (h *history) endAttempt() {
	ids := sorted(h.open)
	if len(ids) == 0 {
		return
	}
	id := rapid.SampledFrom(ids).Draw(h.T, "attempt")
	s := h.open[id]
	delete(h.open, id)
	c := rapid.SampledFrom(h.outcomes()).Draw(h.T, "class")
	j := h.jobs[s.Job]
	switch c {
	case Unsent, Busy, Full:
		h.unrecordArrival(j, s.Task, s.Server.ID, h.sentAt[id])
	case NotRun, OtherServer:
		delete(j.reached[s.Task], s.Server.ID)
	}
	r := Result{Outcome: c, Latency: 10 * time.Millisecond}
	h.drawAnnouncement(h.T, h.now, &s.Server, &r)
	act := h.engine.Done(h.now, id, r)
	if h.afterDone != nil {
		h.afterDone(h.engine, &act)
	}
	if act.Accepted && j.finished {
		h.Fatalf("an answer to job %d was accepted after its end", s.Job)
	}
	h.apply(s.Job, act)
}

func (h *history) relayEvent() {
	ids := sorted(h.relays)
	if len(ids) == 0 {
		return
	}
	id := rapid.SampledFrom(ids).Draw(h.T, "relay")
	s := h.relays[id]
	j := h.jobs[s.Job]
	if rapid.Bool().Draw(h.T, "ends") {
		delete(h.relays, id)
		c := rapid.SampledFrom([]Outcome{Unsent, Broken, TimedOut}).Draw(h.T, "class")
		if c == Unsent {
			for _, i := range s.Tasks {
				if h.pending[id][i] {
					h.unrecordArrival(j, i, "relay", h.relayedAt[id])
				}
			}
		}
		h.apply(s.Job, h.engine.RelayEnd(h.now, id, Result{Outcome: c}))
		return
	}
	var p RelayPart
	for _, i := range s.Tasks {
		pending := h.pending[id][i]
		switch rapid.IntRange(0, 5).Draw(h.T, "part") {
		case 0:
			p.Answered = append(p.Answered, i)
			p.Latencies = append(p.Latencies, 10*time.Millisecond)
		case 1:
			p.Failed = append(p.Failed, i)
		case 2:
			p.Refused = append(p.Refused, i)
			if pending {
				delete(j.reached[i], "relay")
			}
		case 3:
			p.Declined = append(p.Declined, i)
			if pending {
				h.unrecordArrival(j, i, "relay", h.relayedAt[id])
			}
		default:
			continue
		}
		delete(h.pending[id], i)
	}
	h.apply(s.Job, h.engine.RelayReport(h.now, id, p))
}

func (h *history) tick() {
	for _, id := range sorted(h.jobs) {
		j := h.jobs[id]
		if wake := h.engine.NextTick(h.now, id); !j.finished && !wake.IsZero() && !wake.After(h.now) {
			h.apply(id, h.engine.Tick(h.now, id))
		}
	}
}

// checkBudget describes a window whose extra arrivals exceed this node's share of the retry budget. It returns the
// empty string if there is none.
func (h *history) checkBudget(b BudgetConfig) string {
	for pool, extra := range h.extras() {
		first := h.first[pool]
		for i, from := range extra {
			to, half := from.Add(b.Window), b.Window/2
			inside := count(extra[i:], from, to)
			most := max(count(first, from, to), count(first, from.Add(-b.Window), from), count(first, from.Add(-half), to.Add(-half)))
			if limit := b.Ratio*float64(most) + b.Slack/float64(h.nodes); float64(inside) > limit+1e-9 {
				return fmt.Sprintf("pool %s got %d extra arrivals in the window from %v, want at most %.2f", pool, inside, from, limit)
			}
		}
	}
	return ""
}

// extras returns the times of all sends beyond the first of each shard, by pool and in ascending order.
func (h *history) extras() map[string][]time.Time {
	extra := make(map[string][]time.Time)
	for _, j := range h.jobs {
		for i, sends := range j.sends {
			if len(sends) > 1 {
				extra[j.request.Pools[i]] = append(extra[j.request.Pools[i]], sends[1:]...)
			}
		}
	}
	for _, times := range extra {
		slices.SortFunc(times, time.Time.Compare)
	}
	return extra
}

func count(times []time.Time, from, to time.Time) int {
	n := 0
	for _, t := range times {
		if !t.Before(from) && t.Before(to) {
			n++
		}
	}
	return n
}

func sorted[K ~uint64, V any](m map[K]V) []K { return slices.Sorted(maps.Keys(m)) }

func (h *history) run() {
	for range rapid.IntRange(1, 150).Draw(h.T, "events") {
		switch rapid.IntRange(0, 9).Draw(h.T, "event") {
		case 0, 1, 2:
			h.submit()
		case 3, 4, 5:
			h.endAttempt()
		case 6:
			h.relayEvent()
		case 7:
			h.now = h.now.Add(time.Duration(rapid.IntRange(1, 300).Draw(h.T, "ms")) * time.Millisecond)
			h.tick()
		case 8:
			h.setPools()
		case 9:
			if ids := sorted(h.jobs); len(ids) > 0 {
				id := rapid.SampledFrom(ids).Draw(h.T, "job")
				h.apply(id, h.engine.Abandon(id))
				h.jobs[id].finished = true
			}
		}
		h.checkHeld()
	}
}

// Guards, for random histories, against a shard sent to more servers than allowed, a non-idempotent request that may
// run twice, a false "not run", sends after the end of a request or to draining servers, a cold server above its rate
// limit, extra arrivals above the retry budget, sends to servers that leave or want no requests, and requests that are held
// or refused without need because of them.
func TestEngineInvariants(t *testing.T) {
	t.Parallel()
	rapid.Check(t, func(t *rapid.T) {
		h := newHistory(t)
		h.run()
		if fault := h.checkBudget(h.budget); fault != "" {
			t.Fatal(fault)
		}
		if h.fault != "" {
			t.Fatal(h.fault)
		}
	})
}

// Guards against a budget check that cannot fail: an engine configured with a larger budget must be detected.
func TestBudgetCheckDetectsLargerBudget(t *testing.T) {
	t.Parallel()
	caught := false
	rapid.Check(t, func(t *rapid.T) {
		h := newHistory(t)
		h.engine.config.Budget.Ratio, h.engine.config.Budget.Slack = 1, h.budget.Slack+8
		h.run()
		caught = caught || h.checkBudget(h.budget) != ""
	})
	if !caught {
		t.Fatal("no history exceeded the budget although the engine used a larger one")
	}
}
