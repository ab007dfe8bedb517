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

// fleetSeeds is the number of random fleets for which the limits over all nodes are checked.
var fleetSeeds = flag.Int("gather.fleets", 40, "seeds of the tests of bounds over all nodes")

// modelFault is a fault injected into the model, which the checks must detect.
type modelFault int

const (
	noFault modelFault = iota
	// newNodesShareImmediately gives a new node its share of the limits as soon as it starts.
	newNodesShareImmediately
	// newNodesShareBeforeKnown gives a new node its share before a partitioned node has learned of it.
	newNodesShareBeforeKnown
	// unreachableNodesNotCounted divides the limits by the number of connected nodes only.
	unreachableNodesNotCounted
)

const (
	fleetTime = 50 * time.Second
	// fleetColdAt is the time at which a server returns and starts cold.
	fleetColdAt = 25 * time.Second
	fleetPool   = "a"
)

// fleetMember is a node with the engine of its current process.
type fleetMember struct {
	engine *Engine
	// partitioned is set while the node is cut off from all others, and seenAll once it has been connected to all
	// others at the same time.
	partitioned, down, seenAll bool
}

// fleetModel simulates the engines of all nodes in virtual time with joins, restarts, node losses and partitions.
// Nodes exchange only membership.
type fleetModel struct {
	rand     *rand.Rand
	queue    vtime.Queue
	now      time.Duration
	fault    modelFault
	budget   BudgetConfig
	coldRate float64
	members  []*fleetMember
	// first holds the times of requests, extra those of arrivals beyond the first of a request, and coldSends those
	// of sends to the cold server.
	first, extra, coldSends []time.Time
}

func newFleetModel(seed uint64, fault modelFault) *fleetModel {
	m := &fleetModel{rand: rand.New(rand.NewPCG(seed, 1)), fault: fault}
	nodes := 2 + m.rand.IntN(7)
	m.budget = BudgetConfig{Ratio: 0.2, Slack: float64(nodes * (2 + m.rand.IntN(8))), Window: 10 * time.Second}
	m.coldRate = float64(nodes * (1 + m.rand.IntN(4)))
	for range nodes {
		m.join()
	}
	for range 3 + m.rand.IntN(12) {
		m.queue.Add(time.Duration(m.rand.Int64N(int64(fleetTime))), m.injectEvent)
	}
	m.queue.Add(fleetColdAt, m.setPools)
	return m
}

func (m *fleetModel) clock() time.Time { return epoch.Add(m.now) }

func (m *fleetModel) randomDuration(d time.Duration) time.Duration {
	return time.Duration(m.rand.Int64N(int64(d)))
}

// join adds a node. The node and the others count each other within JoinPropagationTime.
func (m *fleetModel) join() {
	n := &fleetMember{}
	m.members = append(m.members, n)
	m.start(n)
	m.queue.Add(m.now+time.Millisecond+m.randomDuration(JoinPropagationTime), m.updateNodeCounts)
	m.queue.Add(m.now+m.randomDuration(time.Second), func() { m.sendRequests(n) })
}

// start starts a process of the node, which knows no other node yet.
func (m *fleetModel) start(n *fleetMember) {
	c := Config{FailureDomain: here, Budget: m.budget, Start: m.clock(), FirstStart: m.now == 0, Seed: m.rand.Uint64()}
	if m.fault == newNodesShareImmediately {
		c.Start = epoch.Add(-time.Hour)
	}
	n.engine, n.down, n.seenAll = New(c), false, false
	n.engine.SetNodes(0)
	n.engine.SetPools(m.clock(), m.pools())
	if !n.partitioned {
		m.queue.Add(m.now+m.randomDuration(JoinPropagationTime), m.updateNodeCounts)
	}
}

// updateNodeCounts sets the number of nodes at the connected nodes, including known nodes that are unreachable. A
// partitioned node keeps its last number. A new node has no share until all others know it.
func (m *fleetModel) updateNodeCounts() {
	known, connected := 0, 0
	for _, n := range m.members {
		if !n.partitioned && !n.down {
			connected++
		}
		if m.fault != unreachableNodesNotCounted || !n.partitioned && !n.down {
			known++
		}
	}
	for _, n := range m.members {
		if n.partitioned || n.down {
			if m.fault == unreachableNodesNotCounted {
				n.engine.SetNodes(1)
			}
			continue
		}
		if n.seenAll = n.seenAll || connected == len(m.members) || m.fault == newNodesShareBeforeKnown; n.seenAll {
			n.engine.SetNodes(known)
		}
	}
}

func (m *fleetModel) injectEvent() {
	n := m.members[m.rand.IntN(len(m.members))]
	switch m.rand.IntN(4) {
	case 0:
		m.join()
	case 1: // crash and restart
		n.down = true
		m.queue.Add(m.now+m.randomDuration(3*time.Second), func() { m.start(n) })
	case 2: // permanent loss
		n.down = true
	case 3: // partition of one node, which continues to serve
		n.partitioned = true
		m.queue.Add(m.now+2*time.Second+m.randomDuration(20*time.Second), func() { n.partitioned = false; m.updateNodeCounts() })
	}
	m.queue.Add(m.now+m.randomDuration(JoinPropagationTime), m.updateNodeCounts)
}

func (m *fleetModel) pools() []Pool {
	p := Pool{Name: fleetPool}
	for i := range 3 {
		s := testServer(fmt.Sprint(fleetPool, i), here)
		s.Slots, s.Connections, s.ColdRate = 1000, 1000, m.coldRate
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

// sendRequests sends requests to the node. Most of them fail at their servers, so that all nodes use up the retry
// budget.
func (m *fleetModel) sendRequests(n *fleetMember) {
	m.queue.Add(m.now+m.randomDuration(300*time.Millisecond), func() { m.sendRequests(n) })
	if n.down {
		return
	}
	m.first = append(m.first, m.clock())
	e, sends := n.engine, 0
	id, act := e.Submit(m.clock(), Request{
		Class: "r", Pools: []string{fleetPool}, Idempotent: true, MinCoverage: 1, MaxAttempts: 3,
		Deadline: m.clock().Add(time.Second), Target: m.clock().Add(90 * time.Millisecond),
	})
	var process func(Actions)
	process = func(act Actions) {
		for _, s := range act.Sends {
			if sends++; sends > 1 {
				m.extra = append(m.extra, m.clock())
			}
			if m.now >= fleetColdAt && s.Server.ID == fleetPool+"0" {
				m.coldSends = append(m.coldSends, m.clock())
			}
			outcome, latency := ServerError, time.Millisecond+m.randomDuration(30*time.Millisecond)
			if m.rand.IntN(3) == 0 {
				outcome = OK
			}
			m.queue.Add(m.now+latency, func() {
				if e == n.engine && !n.down {
					process(e.Done(m.clock(), s.Attempt, Result{Outcome: outcome, Latency: latency}))
				}
			})
		}
		if wake := e.NextTick(m.clock(), id); !wake.IsZero() && act.Finished == nil {
			m.queue.Add(max(wake.Sub(epoch), m.now+time.Millisecond), func() {
				if e == n.engine && !n.down {
					process(e.Tick(m.clock(), id))
				}
			})
		}
	}
	process(act)
}

// check runs the model and describes the first window in which the nodes together exceed a limit. It returns the empty
// string if there is none.
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
			return fmt.Sprintf("got %d extra arrivals in the window from %v, want at most %.2f", inside, from.Sub(epoch), limit)
		}
	}
	for i, from := range m.coldSends {
		if n := count(m.coldSends[i:], from, from.Add(coldWindow)); float64(n) > m.coldRate {
			return fmt.Sprintf("cold server got %d requests in the window from %v, want at most %g", n, from.Sub(epoch), m.coldRate)
		}
	}
	return ""
}

// Guards against all nodes together exceeding the retry budget of a service or the rate limit of a cold server while
// nodes join, restart, fail or are partitioned.
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

// Guards against checks of these limits that cannot fail: each injected fault must be detected.
func TestBoundsOverAllNodesAreChecked(t *testing.T) {
	t.Parallel()
	for name, c := range map[string]struct {
		fault modelFault
		seed  uint64 // of a fleet in which the fault exceeds a limit
	}{
		"new nodes share immediately":   {newNodesShareImmediately, 94},
		"new nodes share before known":  {newNodesShareBeforeKnown, 1362},
		"unreachable nodes not counted": {unreachableNodesNotCounted, 1},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			f := newFleetModel(c.seed, c.fault).check()
			if f == "" {
				t.Fatal("injected fault not detected")
			}
			t.Log(f)
		})
	}
}
