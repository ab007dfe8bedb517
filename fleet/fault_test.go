package fleet

import (
	"fmt"
	"net/netip"
	"slices"
	"time"

	"pgregory.net/rapid"
)

// faultKind is the kind of an injected fault.
type faultKind string

const (
	faultLoss      faultKind = "loss"
	faultDelay     faultKind = "delay"
	faultDuplicate faultKind = "duplicate"
	faultLink      faultKind = "link"
	faultPartition faultKind = "partition"
	faultPause     faultKind = "pause"
	faultReplace   faultKind = "replace"
	faultMove      faultKind = "move"
	faultLeave     faultKind = "leave"
	faultDomain    faultKind = "domain"
	faultConfig    faultKind = "config"
	faultReshape   faultKind = "reshape"
)

// fault starts at At and lasts for the duration For. Node and Sides select the affected nodes. Stale
// starts a new process with an old document; in a link fault it blocks both directions.
type fault struct {
	Kind  faultKind
	At    time.Duration
	For   time.Duration
	Node  int
	Sides [simNodes]bool
	Stale bool
}

// plan is the input of one run: one or two rounds of up to three faults that may overlap. The second
// round starts 25 s after the first.
type plan struct {
	Seed   uint64
	Faults []fault
}

var allFaults = []faultKind{
	faultLoss, faultDelay, faultDuplicate, faultLink, faultPartition, faultPause, faultReplace,
	faultMove, faultLeave, faultDomain, faultConfig,
}

// planOf returns a generator of plans with faults of the given kinds.
func planOf(kinds ...faultKind) *rapid.Generator[plan] {
	return rapid.Custom(func(t *rapid.T) plan {
		p := plan{Seed: rapid.Uint64().Draw(t, "seed")}
		for round := range rapid.IntRange(1, 2).Draw(t, "rounds") {
			begin := simWarmUp + time.Duration(round)*25*time.Second
			for range rapid.IntRange(1, 3).Draw(t, "faults") {
				f := fault{
					Kind:  rapid.SampledFrom(kinds).Draw(t, "kind"),
					At:    begin + time.Duration(rapid.IntRange(0, 8000).Draw(t, "at"))*time.Millisecond,
					For:   time.Duration(rapid.IntRange(300, 16000).Draw(t, "for")) * time.Millisecond,
					Node:  rapid.IntRange(0, simNodes-1).Draw(t, "node"),
					Stale: rapid.Bool().Draw(t, "stale"),
				}
				if f.Kind == faultPartition {
					f.Sides = drawSides(t)
				}
				p.Faults = append(p.Faults, f)
			}
		}
		return p
	})
}

// drawSides assigns nodes to the two sides of a partition, either by whole domain or individually.
func drawSides(t *rapid.T) (sides [simNodes]bool) {
	whole := rapid.Bool().Draw(t, "whole")
	for i := range sides {
		if whole && i >= simDomains {
			sides[i] = sides[i%simDomains]
			continue
		}
		sides[i] = rapid.Bool().Draw(t, "side")
	}
	return sides
}

// runPlan runs the plan until the first violation or its end, and returns the simulation.
func runPlan(p plan, r rules) *sim {
	s := newSim(p.Seed, r)
	end := simWarmUp
	links := 0
	for _, f := range p.Faults {
		if f.Kind == faultLink {
			links++
		}
		s.at(f.At, func() { s.inject(f) })
		end = max(end, f.At+f.For)
	}
	s.linkOnly = links == 1 && len(p.Faults) == 1
	s.run(end + simSettle)
	if s.violation == nil {
		s.checkSettled()
	}
	return s
}

// inject starts a fault and schedules its end.
func (s *sim) inject(f fault) {
	s.logf("inject fault %s on node %d for %s, sides %v", f.Kind, f.Node, f.For, f.Sides)
	a := s.addresses()[f.Node%len(s.addresses())]
	p := s.byAddr[a]
	end := s.now + f.For
	switch f.Kind {
	case faultLoss:
		s.lossRate += 0.15
		s.at(end, func() { s.lossRate -= 0.15 })
	case faultDelay:
		s.delay += 700 * time.Millisecond
		s.at(end, func() { s.delay -= 700 * time.Millisecond })
	case faultDuplicate:
		s.duplicateRate += 0.3
		s.at(end, func() { s.duplicateRate -= 0.3 })
	case faultLink:
		b := s.addresses()[(f.Node+1)%len(s.addresses())]
		s.block(f.For, [2]netip.AddrPort{a, b})
		if f.Stale {
			s.block(f.For, [2]netip.AddrPort{b, a})
		}
	case faultPartition:
		s.partition(f)
	case faultPause:
		s.pause(p, f.For)
	case faultReplace:
		s.kill(p)
		s.at(end, func() {
			if s.byAddr[a].dead && !s.byAddr[a].removed {
				s.start(a, s.offeredVersion(f))
				s.listVMs()
			}
		})
	case faultMove:
		s.move(p, f)
	case faultLeave:
		if p.dead || p.paused {
			return
		}
		s.process(p, p.node.Leave(p.local(s.now)))
		s.at(s.now+2*time.Second, func() { s.kill(p) })
		s.at(end+2*time.Second, func() {
			if s.byAddr[a] == p && p.dead && !p.removed {
				s.start(a, s.offeredVersion(f))
				s.listVMs()
			}
		})
	case faultDomain:
		s.changeDocument(f, map[string]bool{simDomain(a): true}, false)
		s.at(end, func() { s.changeDocument(f, nil, false) })
	case faultConfig:
		s.changeDocument(f, nil, false)
	case faultReshape:
		s.changeDocument(f, nil, true)
		s.at(end, func() { s.changeDocument(f, nil, false) })
	}
}

// addresses returns the addresses in use, sorted.
func (s *sim) addresses() []netip.AddrPort {
	var all []netip.AddrPort
	for a, p := range s.byAddr {
		if !p.removed {
			all = append(all, a)
		}
	}
	slices.SortFunc(all, netip.AddrPort.Compare)
	return all
}

// offeredVersion returns the document version that a new process gets from the platform.
func (s *sim) offeredVersion(f fault) uint64 {
	if f.Stale {
		return 1
	}
	return s.latest
}

func (s *sim) block(d time.Duration, pairs ...[2]netip.AddrPort) {
	for _, k := range pairs {
		s.blocked[k]++
	}
	s.at(s.now+d, func() {
		for _, k := range pairs {
			s.blocked[k]--
		}
	})
}

// partition blocks all messages between the two sides. If it splits two domains with voters, two
// majorities of voters can form, and two holders are allowed until the member tables agree again.
func (s *sim) partition(f fault) {
	var pairs [][2]netip.AddrPort
	on := map[bool]map[string]bool{true: {}, false: {}}
	cut := 0
	side := func(a netip.AddrPort) bool { return f.Sides[int(a.Addr().As4()[3])%simNodes] }
	for _, a := range s.addresses() {
		on[side(a)][simDomain(a)] = true
		for _, b := range s.addresses() {
			if side(a) != side(b) {
				pairs = append(pairs, [2]netip.AddrPort{a, b})
			}
		}
	}
	s.block(f.For, pairs...)
	for d := range on[true] {
		if on[false][d] {
			cut++
		}
	}
	if cut >= 2 {
		s.dualHolderUntil = max(s.dualHolderUntil, s.now+f.For+15*time.Second)
	}
}

func (s *sim) pause(p *proc, d time.Duration) {
	if p.dead || p.paused {
		return
	}
	p.paused = true
	s.at(s.now+d, func() {
		p.paused = false
		inbox := p.inbox
		p.inbox = nil
		for _, k := range inbox {
			if !p.dead {
				s.process(p, p.node.Handle(p.local(s.now), k.from.address, k.m))
			}
		}
	})
}

func (s *sim) kill(p *proc) {
	if !p.dead {
		s.logf("kill process %d on %s", p.id, p.address)
	}
	p.dead = true
}

// move replaces a process by one on another address. The platform's list is updated with a delay.
func (s *sim) move(p *proc, f fault) {
	if p.removed {
		return
	}
	s.kill(p)
	p.removed = true
	next := simAddress(simNodes + len(s.procs)/simDomains*simDomains + int(p.address.Addr().As4()[3])%simDomains)
	s.at(s.now+f.For, func() {
		if s.byAddr[next] == nil {
			s.start(next, s.offeredVersion(f))
			s.listVMs()
		}
	})
}

// changeDocument publishes a document and installs it on one running node.
func (s *sim) changeDocument(f fault, out map[string]bool, reshaped bool) {
	d := s.publishDocument(out, reshaped)
	for i := range s.addresses() {
		a := s.addresses()[(f.Node+i)%len(s.addresses())]
		if p := s.byAddr[a]; !p.dead && !p.paused {
			s.install(p, d.Version)
			return
		}
	}
}

func (p plan) String() string {
	return fmt.Sprintf("seed %d, faults %+v", p.Seed, p.Faults)
}
