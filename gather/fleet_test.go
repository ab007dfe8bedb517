package gather

import (
	"flag"
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/arbutusthread/arbutusthread/vtime"
)

// fleetSeeds is the number of fleets that the bounds over all nodes are checked with.
var fleetSeeds = flag.Int("gather.fleets", 40, "seeds of the tests of bounds over all nodes")

// fleetFault is a wrong rule that the checks must notice.
type fleetFault int

const (
	noFault fleetFault = iota
	// newNodesShareAtOnce gives a new node its part of the bounds from its start.
	newNodesShareAtOnce
	// newNodesShareUnheard gives a new node its part before a node that is cut off has heard of it.
	newNodesShareUnheard
	// lostNodesStopCounting divides the bounds by the nodes that are in touch.
	lostNodesStopCounting
)

const (
	fleetTime = 50 * time.Second
	// fleetColdAt is when a server of the fleet returns cold.
	fleetColdAt = 25 * time.Second
	fleetPool   = "a"
)

// fleetMember is a node with the engine of its present process.
type fleetMember struct {
	engine *Engine
	// alone means that the node is cut off from all others, and met that it has been in touch with all
	// at once.
	alone, down, met bool
}

// fleetModel runs the engines of all nodes in virtual time under joins, restarts, losses and partitions.
// Nodes exchange nothing but membership.
type fleetModel struct {
	rand    *rand.Rand
	queue   vtime.Queue
	now     time.Duration
	fault   fleetFault
	budget  BudgetConfig
	cold    float64
	members []*fleetMember
	// first and extra are the times of requests and of arrivals beyond the first, and coldSends those of
	// requests to the cold server.
	first, extra, coldSends []time.Time
}

func newFleetModel(seed uint64, fault fleetFault) *fleetModel {
	m := &fleetModel{rand: rand.New(rand.NewPCG(seed, 1)), fault: fault}
	nodes := 2 + m.rand.IntN(7)
	m.budget = BudgetConfig{Ratio: 0.2, Slack: float64(nodes * (2 + m.rand.IntN(8))), Window: 10 * time.Second}
	m.cold = float64(nodes * (1 + m.rand.IntN(4)))
	for range nodes {
		m.join()
	}
	for range 3 + m.rand.IntN(12) {
		m.queue.Add(time.Duration(m.rand.Int64N(int64(fleetTime))), m.disturb)
	}
	m.queue.Add(fleetColdAt, m.setPools)
	return m
}

func (m *fleetModel) clock() time.Time { return epoch.Add(m.now) }

func (m *fleetModel) within(d time.Duration) time.Duration {
	return time.Duration(m.rand.Int64N(int64(d)))
}

// join adds a node. The others count it after a while, and it counts them.
func (m *fleetModel) join() {
	n := &fleetMember{}
	m.members = append(m.members, n)
	m.start(n)
	m.queue.Add(m.now+time.Millisecond+m.within(JoinSpread), m.count)
	m.queue.Add(m.now+m.within(time.Second), func() { m.load(n) })
}

// start begins a process of the node, which knows nobody yet.
func (m *fleetModel) start(n *fleetMember) {
	c := Config{FailureDomain: here, Budget: m.budget, Start: m.clock(), FirstStart: m.now == 0, Seed: m.rand.Uint64()}
	if m.fault == newNodesShareAtOnce {
		c.Start = epoch.Add(-time.Hour)
	}
	n.engine, n.down, n.met = New(c), false, false
	n.engine.SetNodes(0)
	n.engine.SetPools(m.clock(), m.pools())
	if !n.alone {
		m.queue.Add(m.now+m.within(JoinSpread), m.count)
	}
}

// count makes the nodes that are in touch count all that they have met. A node that is cut off keeps what it
// knew. A new node has no part until all others have heard of it.
func (m *fleetModel) count() {
	met, touch := 0, 0
	for _, n := range m.members {
		if !n.alone && !n.down {
			touch++
		}
		if m.fault != lostNodesStopCounting || !n.alone && !n.down {
			met++
		}
	}
	for _, n := range m.members {
		if n.alone || n.down {
			if m.fault == lostNodesStopCounting {
				n.engine.SetNodes(1)
			}
			continue
		}
		if n.met = n.met || touch == len(m.members) || m.fault == newNodesShareUnheard; n.met {
			n.engine.SetNodes(met)
		}
	}
}

func (m *fleetModel) disturb() {
	n := m.members[m.rand.IntN(len(m.members))]
	switch m.rand.IntN(4) {
	case 0:
		m.join()
	case 1: // a crash and a restart
		n.down = true
		m.queue.Add(m.now+m.within(3*time.Second), func() { m.start(n) })
	case 2: // a loss
		n.down = true
	case 3: // a partition of one node, which goes on serving
		n.alone = true
		m.queue.Add(m.now+2*time.Second+m.within(20*time.Second), func() { n.alone = false; m.count() })
	}
	m.queue.Add(m.now+m.within(JoinSpread), m.count)
}

func (m *fleetModel) pools() []Pool {
	p := Pool{Name: fleetPool}
	for i := range 3 {
		s := testServer(fmt.Sprint(fleetPool, i), here)
		s.Slots, s.Connections, s.ColdRate = 1000, 1000, m.cold
		if i == 0 && m.now >= fleetColdAt {
			s.ColdUntil = epoch.Add(fleetTime)
		}
		p.Servers = append(p.Servers, s)
	}
	return []Pool{p}
}

func (m *fleetModel) setPools() {
	for _, n := range m.members {
		n.engine.SetPools(m.clock(), m.pools())
	}
}

// load sends requests to the node, most of which fail at their servers, so that all nodes want all of the
// budget.
func (m *fleetModel) load(n *fleetMember) {
	m.queue.Add(m.now+m.within(300*time.Millisecond), func() { m.load(n) })
	if n.down {
		return
	}
	m.first = append(m.first, m.clock())
	e, sends := n.engine, 0
	id, act := e.Submit(m.clock(), Request{
		Class: "r", Pools: []string{fleetPool}, Idempotent: true, MinCoverage: 1, MaxAttempts: 3,
		Deadline: m.clock().Add(time.Second), Target: m.clock().Add(90 * time.Millisecond),
	})
	var take func(Actions)
	take = func(act Actions) {
		for _, s := range act.Sends {
			if sends++; sends > 1 {
				m.extra = append(m.extra, m.clock())
			}
			if m.now >= fleetColdAt && s.Server.ID == fleetPool+"0" {
				m.coldSends = append(m.coldSends, m.clock())
			}
			class, latency := ServerError, time.Millisecond+m.within(30*time.Millisecond)
			if m.rand.IntN(3) == 0 {
				class = OK
			}
			m.queue.Add(m.now+latency, func() {
				if e == n.engine && !n.down {
					take(e.Done(m.clock(), s.Attempt, Result{Class: class, Latency: latency}))
				}
			})
		}
		if wake := e.NextWake(m.clock(), id); !wake.IsZero() && act.Finished == nil {
			m.queue.Add(max(wake.Sub(epoch), m.now+time.Millisecond), func() {
				if e == n.engine && !n.down {
					take(e.Tick(m.clock(), id))
				}
			})
		}
	}
	take(act)
}

// check returns the first window in which the nodes together exceed a bound.
func (m *fleetModel) check() string {
	m.queue.Run(&m.now, fleetTime)
	for _, times := range [][]time.Time{m.first, m.extra, m.coldSends} {
		slices.SortFunc(times, time.Time.Compare)
	}
	for i, from := range m.extra {
		to, half := from.Add(m.budget.Window), m.budget.Window/2
		inside := count(m.extra[i:], from, to)
		most := max(count(m.first, from, to), count(m.first, from.Add(-m.budget.Window), from),
			count(m.first, from.Add(-half), to.Add(-half)))
		if limit := m.budget.Ratio*float64(most) + m.budget.Slack; float64(inside) > limit {
			return fmt.Sprintf("%d extra arrivals after %v, %.2f are allowed", inside, from.Sub(epoch), limit)
		}
	}
	for i, from := range m.coldSends {
		if n := count(m.coldSends[i:], from, from.Add(coldWindow)); float64(n) > m.cold {
			return fmt.Sprintf("the cold server gets %d requests after %v, %g are allowed", n, from.Sub(epoch), m.cold)
		}
	}
	return ""
}

// Guards against nodes that together exceed the retry budget of a service or the rate of a cold server,
// while nodes join, restart, go down or are cut off.
func TestBoundsOverAllNodes(t *testing.T) {
	t.Parallel()
	faults, err := vtime.RunSeeds(t.Context(), 1, *fleetSeeds, func(_ int, seed uint64) string {
		return newFleetModel(seed, noFault).check()
	})
	if err != nil {
		t.Fatal(err)
	}
	for i, fault := range faults[0] {
		if fault != "" {
			t.Errorf("seed %d: %s", i+1, fault)
		}
	}
}

// Guards against checks of these bounds that cannot fail: each wrong rule is caught.
func TestBoundsOverAllNodesAreChecked(t *testing.T) {
	t.Parallel()
	for name, c := range map[string]struct {
		fault fleetFault
		seed  uint64 // of a fleet that shows it
	}{
		"new nodes share at once":  {newNodesShareAtOnce, 94},
		"new nodes share unheard":  {newNodesShareUnheard, 1362},
		"lost nodes stop counting": {lostNodesStopCounting, 1},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			f := newFleetModel(c.seed, c.fault).check()
			if f == "" {
				t.Fatal("the wrong rule is not noticed")
			}
			t.Log(f)
		})
	}
}
