package fleet

import (
	"fmt"
	"time"
)

// invariant names what a run found broken.
type invariant string

const (
	oneHolder    invariant = "one holder"
	afterOld     invariant = "a right begins after the old one ended"
	noReversal   invariant = "no reversal of configuration"
	readyCurrent invariant = "a ready node has the current configuration"
	linkNotDown  invariant = "one broken link takes no member down"
	converges    invariant = "views converge"
	served       invariant = "each slice has a home after the faults"
	smallEnough  invariant = "messages fit"
)

type violation struct {
	invariant invariant
	detail    string
}

func (s *sim) fail(i invariant, format string, args ...any) {
	if s.found == nil {
		s.found = &violation{i, fmt.Sprintf("%s: ", s.now) + fmt.Sprintf(format, args...)}
	}
}

// handle checks an event of a process and does what package peer does for it.
func (s *sim) handle(p *proc, e Event) {
	key := sliceKey{e.Service, e.Slice}
	switch e.Kind {
	case LeaseGained, LeaseRenewed:
		s.grant(p, key, e)
	case LeaseLost:
		s.logf("%d loses %v", p.id, key)
		if r, ok := s.rights[key][p]; ok {
			r.end = min(r.end, s.now)
			s.rights[key][p] = r
		}
	case MemberDown:
		s.logf("%d: %s is down", p.id, e.Member.Address)
		if s.linkOnly {
			s.fail(linkNotDown, "process %d holds %s for down", p.id, e.Member.Address)
		}
	case BecameReady:
		if e.Version < p.floor {
			s.fail(readyCurrent, "process %d is ready with version %d, want %d", p.id, e.Version, p.floor)
		}
	case ConfigNewer, TableWanted:
		s.at(s.now+10*time.Millisecond, func() { s.pull(p, e) })
	}
}

func (s *sim) grant(p *proc, key sliceKey, e Event) {
	if s.rights[key] == nil {
		s.rights[key] = make(map[*proc]right)
	}
	end := p.global(e.End)
	if e.Kind == LeaseRenewed {
		s.rights[key][p] = right{s.rights[key][p].begin, end}
		return
	}
	s.logf("%d gains %v", p.id, key)
	holders := 1
	for o, r := range s.rights[key] {
		if o == p || r.end <= s.now {
			continue
		}
		holders++
		if s.now < s.split {
			continue
		}
		if o.dead || o.paused {
			s.fail(afterOld, "process %d gains %v, the right of %d ends at %s", p.id, key, o.id, r.end)
		}
		s.fail(oneHolder, "process %d gains %v, the right of %d ends at %s", p.id, key, o.id, r.end)
	}
	if holders > 2 {
		s.fail(oneHolder, "%d holders of %v", holders, key)
	}
	s.rights[key][p] = right{s.now, end}
}

// checkSettled checks that all views agree and that each slice has one home that all name.
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
			s.fail(converges, "process %d sees %d members up, want %d: %v", p.id, up, len(live), p.node.Members())
		}
		if p.version != s.latest || !p.node.Ready() {
			s.fail(converges, "process %d has version %d of %d, ready %v", p.id, p.version, s.latest, p.node.Ready())
		}
	}
	for key := range live[0].node.view.slots {
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
			m, ok := p.node.Home(p.local(s.now), key.service, key.slice)
			if !ok || s.byAddr[m.Address].id != holders[0] {
				s.fail(served, "process %d names %s as home of %v, held by %v", p.id, m.Address, key, holders)
			}
		}
	}
}
