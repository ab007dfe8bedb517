package feed

import (
	"net/netip"
	"time"

	"github.com/arbutusthread/arbutusthread/table"
)

// View is what is in force at one moment.
type View struct {
	// Config is nil before the first configuration.
	Config *table.Config
	// Servers are in the order of their IDs.
	Servers []ServerView
	// Out holds the failure domains that operators have taken out.
	Out map[string]bool
	// Until is the time at which a server that is held leaves the view; zero when none does.
	Until time.Time
}

// ServerView is a server with what this node adds.
type ServerView struct {
	Server
	// ColdUntil is the end of the server's cold start, zero when it is warm.
	ColdUntil time.Time
	// Held means that the entry has run out while the platform was away.
	Held bool
}

// View returns what is in force now.
func (s *State) View(now time.Time) View {
	v := View{Config: s.config, Out: make(map[string]bool, len(s.out))}
	holders := s.holders()
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
			x.ColdUntil = e.seen.Add(e.Cold.Std())
		}
		v.Servers = append(v.Servers, x)
	}
	for name := range s.out {
		v.Out[name] = true
	}
	return v
}

// holders returns the server that holds each address: the one that was written last. Entries of servers
// that are gone may stay for a while after their address has been given to another one.
func (s *State) holders() map[netip.AddrPort]string {
	holders := make(map[netip.AddrPort]string, len(s.servers))
	for id, e := range s.servers {
		other, taken := holders[e.Address]
		if !taken || s.revisions[keyServer+id] > s.revisions[keyServer+other] {
			holders[e.Address] = id
		}
	}
	return holders
}
