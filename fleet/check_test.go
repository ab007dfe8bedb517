package fleet

import (
	"fmt"
	"time"
)

// invariant is a property of the protocol that a run can violate.
type invariant string

const (
	oneHolder    invariant = "at most one holder"
	noOverlap    invariant = "a lease begins after the previous one has ended"
	noRollback   invariant = "no rollback of the configuration"
	readyCurrent invariant = "a ready node has the current configuration"
	linkNotDown  invariant = "one broken link does not mark a member Down"
	converges    invariant = "member tables converge"
	served       invariant = "each slice has one holder after the faults"
	messageFits  invariant = "messages fit in MaxMessageBytes"
)

type violation struct {
	invariant invariant
	detail    string
}

func (s *sim) fail(i invariant, format string, args ...any) {
	if s.violation == nil {
		s.violation = &violation{i, fmt.Sprintf("%s: ", s.now) + fmt.Sprintf(format, args...)}
	}
}

// handleEvent checks an event of a process and performs the pulls that package peer would perform.
func (s *sim) handleEvent(p *proc, e Event) {
	key := sliceKey{e.Service, e.Slice}
	switch e.Kind {
	case LeaseGained, LeaseRenewed:
		s.recordLease(p, key, e)
	case LeaseLost:
		s.logf("process %d loses the lease of %v", p.id, key)
		if r, ok := s.leases[key][p]; ok {
			r.end = min(r.end, s.now)
			s.leases[key][p] = r
		}
	case MemberDown:
		s.logf("process %d: %s is Down", p.id, e.Member.Address)
		if s.linkOnly {
			s.fail(linkNotDown, "process %d declared %s Down", p.id, e.Member.Address)
		}
	case BecameReady:
		if e.Version < p.minVersion {
			s.fail(readyCurrent, "process %d is ready with version %d, want %d", p.id, e.Version, p.minVersion)
		}
	case ConfigNewer, TableWanted:
		s.at(s.now+10*time.Millisecond, func() { s.pull(p, e) })
	}
}

func (s *sim) recordLease(p *proc, key sliceKey, e Event) {
	if s.leases[key] == nil {
		s.leases[key] = make(map[*proc]leaseSpan)
	}
	end := p.global(e.End)
	if e.Kind == LeaseRenewed {
		s.leases[key][p] = leaseSpan{s.leases[key][p].begin, end}
		return
	}
	s.logf("process %d gains the lease of %v", p.id, key)
	holders := 1
	for o, r := range s.leases[key] {
		if o == p || r.end <= s.now {
			continue
		}
		holders++
		if s.now < s.dualHolderUntil {
			continue
		}
		if o.dead || o.paused {
			s.fail(noOverlap, "process %d gains the lease of %v, the lease of %d ends at %s", p.id, key, o.id, r.end)
		}
		s.fail(oneHolder, "process %d gains the lease of %v, the lease of %d ends at %s", p.id, key, o.id, r.end)
	}
	if holders > 2 {
		s.fail(oneHolder, "%d holders of %v", holders, key)
	}
	s.leases[key][p] = leaseSpan{s.now, end}
}

// checkSettled checks that all member tables agree and that each slice has exactly one holder, which
// all processes return from ExpectedHolder.
func (s *sim) checkSettled() {
	var live []*proc
	for _, p := range s.procs {
		if !p.dead {
			live = append(live, p)
		}
	}
	for _, p := range live {
		up := 0
		for _, m := range p.node.Members() {
			if m.State != StateDown {
				up++
			}
		}
		if up != len(live) || p.node.digest() != live[0].node.digest() {
			s.fail(converges, "process %d has %d members up, want %d: %v", p.id, up, len(live), p.node.Members())
		}
		if p.version != s.latest || !p.node.Ready() {
			s.fail(converges, "process %d has version %d of %d, ready %v", p.id, p.version, s.latest, p.node.Ready())
		}
	}
	for key := range live[0].node.assignment.voters {
		var holders []int
		for _, p := range live {
			if _, ok := p.node.Lease(p.local(s.now), key.service, key.slice); ok {
				holders = append(holders, p.id)
			}
		}
		if len(holders) != 1 {
			s.fail(served, "%v is held by %v", key, holders)
			continue
		}
		for _, p := range live {
			m, ok := p.node.ExpectedHolder(p.local(s.now), key.service, key.slice)
			if !ok || s.byAddr[m.Address].id != holders[0] {
				s.fail(served, "process %d returns %s as expected holder of %v, held by %v", p.id, m.Address, key, holders)
			}
		}
	}
}
