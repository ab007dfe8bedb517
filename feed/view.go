package feed

import (
	"net/netip"
	"time"

	"github.com/arbutusthread/arbutusthread/table"
)

// View is the effective state at one time.
type View struct {
	// Config is nil before the first configuration.
	Config *table.Config
	// Servers are sorted by ID.
	Servers []ServerView
	// Out holds the failure domains that operators have taken out.
	Out map[string]bool
	// NextExpiry is the earliest time at which the view changes because the hold of a server or failure domain ends, zero
	// when none is held.
	NextExpiry time.Time
}

// ServerView is a server with the local state of this node.
type ServerView struct {
	Server
	// ColdUntil is the end of the server's cold start, zero for an entry without one.
	ColdUntil time.Time
	// Lapsed means that the entry expired during a platform outage and the server stays in use for lapseHoldTime.
	Lapsed bool
}

// View returns the effective state at the given time, and drops what is held beyond its time.
func (s *State) View(now time.Time) View {
	v := View{Config: s.config, Out: make(map[string]bool, len(s.out)), NextExpiry: s.acceptDoubtful(now)}
	holders := s.addressHolders()
	for _, id := range sortedKeys(s.servers) {
		e := s.servers[id]
		if holders[e.Address] != id {
			continue
		}
		if !e.heldUntil.IsZero() {
			if !now.Before(e.heldUntil) {
				delete(s.servers, id)
				continue
			}
			v.expire(e.heldUntil)
		}
		x := ServerView{Server: e.Server, Lapsed: !e.heldUntil.IsZero()}
		if e.Cold > 0 {
			x.ColdUntil = e.updatedAt.Add(e.Cold.Std())
		}
		v.Servers = append(v.Servers, x)
	}
	for name, until := range s.out {
		if !until.IsZero() && !now.Before(until) {
			s.set(now, &Change{In: name})
			continue
		}
		v.Out[name] = true
		v.expire(until)
	}
	return v
}

// expire sets NextExpiry to the given time, unless that is zero or later.
func (v *View) expire(at time.Time) {
	if !at.IsZero() && (v.NextExpiry.IsZero() || at.Before(v.NextExpiry)) {
		v.NextExpiry = at
	}
}

// addressHolders returns the ID of the server that holds each address: the one whose entry was written last.
// Entries of stopped servers may stay listed for a while after their address has been reassigned.
func (s *State) addressHolders() map[netip.AddrPort]string {
	holders := make(map[netip.AddrPort]string, len(s.servers))
	for id, e := range s.servers {
		other, taken := holders[e.Address]
		if !taken || s.revisions[keyServer+id] > s.revisions[keyServer+other] {
			holders[e.Address] = id
		}
	}
	return holders
}
