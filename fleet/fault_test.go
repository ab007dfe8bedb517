package fleet

import (
	"fmt"
	"net/netip"
	"slices"
	"time"

	"pgregory.net/rapid"
)

// faultKind is a kind of fault that a plan injects.
type faultKind string

const (
	faultLoss      faultKind = "loss"
	faultDelay     faultKind = "delay"
	faultDouble    faultKind = "duplicate"
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

// fault lasts from At for the time For. Node and Sides choose the nodes concerned. Stale gives a
// new process an old document.
type fault struct {
	Kind  faultKind
	At    time.Duration
	For   time.Duration
	Node  int
	Sides [simNodes]bool
	Stale bool
}

// plan is one run: two faults at once, and another pair later.
type plan struct {
	Seed   uint64
	Faults []fault
}

var allFaults = []faultKind{
	faultLoss, faultDelay, faultDouble, faultLink, faultPartition, faultPause, faultReplace,
	faultMove, faultLeave, faultDomain, faultConfig,
}

// planOf generates plans with faults of the given kinds.
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

// drawSides puts whole domains on one side, or cuts through them.
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

// runPlan runs the plan and returns the first violation, or nil.
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
	if s.found == nil {
		s.checkSettled()
	}
	return s
}

// inject begins a fault and plans its end.
func (s *sim) inject(f fault) {
	s.logf("fault %s node %d for %s %v", f.Kind, f.Node, f.For, f.Sides)
	a := s.addresses()[f.Node%len(s.addresses())]
	p := s.byAddr[a]
	over := s.now + f.For
	switch f.Kind {
	case faultLoss:
		s.drop += 0.15
		s.at(over, func() { s.drop -= 0.15 })
	case faultDelay:
		s.delay += 700 * time.Millisecond
		s.at(over, func() { s.delay -= 700 * time.Millisecond })
	case faultDouble:
		s.double += 0.3
		s.at(over, func() { s.double -= 0.3 })
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
		s.at(over, func() {
			if s.byAddr[a].dead && !s.byAddr[a].gone {
				s.start(a, s.offered(f))
				s.listVMs()
			}
		})
	case faultMove:
		s.move(p, f)
	case faultLeave:
		if p.dead || p.paused {
			return
		}
		s.carryOut(p, p.node.Leave(p.local(s.now)))
		s.at(s.now+2*time.Second, func() { s.kill(p) })
		s.at(over+2*time.Second, func() {
			if s.byAddr[a] == p && p.dead && !p.gone {
				s.start(a, s.offered(f))
				s.listVMs()
			}
		})
	case faultDomain:
		s.change(f, map[string]bool{simDomain(a): true}, false)
		s.at(over, func() { s.change(f, nil, false) })
	case faultConfig:
		s.change(f, nil, false)
	case faultReshape:
		s.change(f, nil, true)
		s.at(over, func() { s.change(f, nil, false) })
	}
}

// addresses returns the addresses in use, sorted.
func (s *sim) addresses() []netip.AddrPort {
	var all []netip.AddrPort
	for a, p := range s.byAddr {
		if !p.gone {
			all = append(all, a)
		}
	}
	slices.SortFunc(all, netip.AddrPort.Compare)
	return all
}

// offered is the document version that the platform gives a new process.
func (s *sim) offered(f fault) uint64 {
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

// partition blocks all messages between the two sides. When it cuts through two seat domains,
// two majorities of seats can form, and two holders are allowed until views agree.
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
		s.split = max(s.split, s.now+f.For+15*time.Second)
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
				s.carryOut(p, p.node.Handle(p.local(s.now), k.from.address, k.m))
			}
		}
	})
}

func (s *sim) kill(p *proc) {
	if !p.dead {
		s.logf("kill %d at %s", p.id, p.address)
	}
	p.dead = true
}

// move replaces a process by one on another address. The platform's list follows late.
func (s *sim) move(p *proc, f fault) {
	if p.gone {
		return
	}
	s.kill(p)
	p.gone = true
	next := simAddress(simNodes + len(s.procs)/simDomains*simDomains + int(p.address.Addr().As4()[3])%simDomains)
	s.at(s.now+f.For, func() {
		if s.byAddr[next] == nil {
			s.start(next, s.offered(f))
			s.listVMs()
		}
	})
}

// change publishes a document and gives it to one node.
func (s *sim) change(f fault, out map[string]bool, reshaped bool) {
	d := s.publish(out, reshaped)
	for i := range s.addresses() {
		a := s.addresses()[(f.Node+i)%len(s.addresses())]
		if p := s.byAddr[a]; !p.dead && !p.paused {
			s.give(p, d.Version)
			return
		}
	}
}

func (p plan) String() string {
	return fmt.Sprintf("seed %d, faults %+v", p.Seed, p.Faults)
}
