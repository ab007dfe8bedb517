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
	// Until is the earliest time at which a held server is removed from the view, zero when none is held.
	Until time.Time
}

// ServerView is a server with the local state of this node.
type ServerView struct {
	Server
	// ColdUntil is the end of the server's cold start, zero for an entry without one.
	ColdUntil time.Time
	// Held means that the entry lapsed during a platform outage and the server stays in use for now.
	Held bool
}

// View returns the effective state at the given time, and drops held servers whose hold time has ended.
func (s *State) View(now time.Time) View {
	v := View{Config: s.config, Out: make(map[string]bool, len(s.out))}
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
			if v.Until.IsZero() || e.heldUntil.Before(v.Until) {
				v.Until = e.heldUntil
			}
		}
		x := ServerView{Server: e.Server, Held: !e.heldUntil.IsZero()}
		if e.Cold > 0 {
			x.ColdUntil = e.updatedAt.Add(e.Cold.Std())
		}
		v.Servers = append(v.Servers, x)
	}
	for name := range s.out {
		v.Out[name] = true
	}
	return v
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
