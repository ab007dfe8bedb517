// Package feed holds what the platform publishes, the configuration, the backend servers and the
// failure domains that are out, as a state that nodes pass on to each other by changes. It decides
// which news is accepted, when a server that has vanished counts as gone, and which node reads the
// platform. It does no input or output.
package feed

import (
	"net/netip"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/arbutusthread/arbutusthread/table"
	"github.com/arbutusthread/arbutusthread/wire"
)

// Server is a backend server as the platform lists it.
type Server struct {
	// ID names one server process. A process that starts on the address of another has another ID.
	ID            string         `json:"Id"`
	Service       string         `json:"Service"`
	Address       netip.AddrPort `json:"Address"`
	FailureDomain string         `json:"FailureDomain"`
	// Slots is the number of requests that the server runs at once.
	Slots int `json:"Slots"`
	// Draining means that the server leaves and must get no new work.
	Draining bool `json:"Draining,omitempty"`
	// Cold is how much longer the server stays cold, counted from when it was written.
	Cold wire.Duration `json:"Cold,omitempty"`
	// Born is the start of the process. A server may start again under its ID.
	Born time.Time `json:"Born,omitzero"`
}

// Change is one change of what the platform publishes. Exactly one of Config, Patch, Server, Removed,
// Out and In is set.
type Change struct {
	// Revision orders the changes of the platform.
	Revision uint64 `json:"Revision"`
	// Config is a new configuration, and Patch the difference from one that the receiver has.
	Config *table.Config `json:"Config,omitempty"`
	Patch  *table.Delta  `json:"Patch,omitempty"`
	Server *Server       `json:"Server,omitempty"`
	// Removed is the ID of a server that is no longer listed.
	Removed string `json:"Removed,omitempty"`
	// Lapsed marks a removal that was seen just after the platform had been away: the entry may
	// have run out although the server lives.
	Lapsed bool `json:"Lapsed,omitempty"`
	// Out is a failure domain that operators have taken out, In one that they have put back.
	Out string `json:"Out,omitempty"`
	In  string `json:"In,omitempty"`
}

// Keys of changes: that of the configuration, and the prefixes of those of servers and failure domains.
const (
	keyConfig = "config"
	keyServer = "server/"
	keyDomain = "domain/"
)

// key identifies what the change is about.
func (c *Change) key() string {
	switch {
	case c.Config != nil, c.Patch != nil:
		return keyConfig
	case c.Server != nil:
		return keyServer + c.Server.ID
	case c.Removed != "":
		return keyServer + c.Removed
	default:
		return keyDomain + c.Out + c.In
	}
}

// Delta is a run of changes after revision From up to revision To. A full delta holds everything
// that is published at To.
type Delta struct {
	From uint64 `json:"From"`
	To   uint64 `json:"To"`
	Full bool   `json:"Full,omitempty"`
	// Lapsed marks the removals that a full delta implies as those of Change.Lapsed.
	Lapsed  bool     `json:"Lapsed,omitempty"`
	Changes []Change `json:"Changes,omitempty"`
}

// Position is how far a copy of what the platform publishes has come.
type Position struct {
	Revision uint64
	// Version is that of the configuration, 0 without one.
	Version uint64
}

// ErrGap means that a delta begins after the revision of the state.
var ErrGap = errors.New("feed: changes are missing before the delta")
