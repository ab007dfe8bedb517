// Package feed holds the data that the platform publishes: the configuration, the backend servers and the failure
// domains that are out. Nodes replicate this state to each other as deltas. The package decides which changes are
// accepted, when a server whose entry has lapsed is removed, and which node reads the platform. It performs no input
// or output.
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
	// ID identifies one server process. A process that replaces another at the same address has a different ID.
	ID            string         `json:"Id"`
	Service       string         `json:"Service"`
	Address       netip.AddrPort `json:"Address"`
	FailureDomain string         `json:"FailureDomain"`
	// Slots is the concurrency limit of the server: the number of requests that it runs at once.
	Slots int `json:"Slots"`
	// Draining means that the server is leaving and must receive no new requests.
	Draining bool `json:"Draining,omitempty"`
	// Cold is the remaining time of the server's cold start when the entry was written.
	Cold wire.Duration `json:"Cold,omitempty"`
	// StartTime is the start time of the process. A server may restart under the same ID.
	StartTime time.Time `json:"Born,omitzero"`
}

// Change is one change of the platform's data. Exactly one of Config, Patch, Server, Removed, Out and In
// is set.
type Change struct {
	// Revision is the platform's revision of the change; revisions order the changes.
	Revision Revision `json:"Revision"`
	// Config is a new configuration, and Patch the delta from a configuration that the receiver has.
	Config *table.Config `json:"Config,omitempty"`
	Patch  *table.Delta  `json:"Patch,omitempty"`
	Server *Server       `json:"Server,omitempty"`
	// Removed is the ID of a server that is no longer listed.
	Removed string `json:"Removed,omitempty"`
	// Lapsed marks a removal seen shortly after a platform outage: the entry may have expired although the
	// server is alive.
	Lapsed bool `json:"Lapsed,omitempty"`
	// Doubtful marks a server of a copy from which the platform has come back that the sender knew to be over.
	Doubtful bool `json:"Doubtful,omitempty"`
	// Out is the name of a failure domain that operators have taken out, In that of one that they have put back in.
	Out string `json:"Out,omitempty"`
	In  string `json:"In,omitempty"`
}

// Keys of changes: the key of the configuration, and the key prefixes of servers and failure domains.
const (
	keyConfig = "config"
	keyServer = "server/"
	keyDomain = "domain/"
)

// key identifies the object that the change applies to.
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

// Delta holds the changes after revision From up to and including revision To, which are of one era. A full delta is a
// snapshot of all data published at To.
type Delta struct {
	From Revision `json:"From"`
	To   Revision `json:"To"`
	Full bool     `json:"Full,omitempty"`
	// Lapsed sets Change.Lapsed for the removals that a full delta implies.
	Lapsed  bool     `json:"Lapsed,omitempty"`
	Changes []Change `json:"Changes,omitempty"`
}

// Position identifies the state of a replica of the platform's data.
type Position struct {
	Revision Revision
	// Version is the version of the configuration, 0 when there is none.
	Version uint64
}

// ErrGap is returned when a delta starts after the revision of the state, so that changes in between are missing.
var ErrGap = errors.New("feed: changes are missing before the delta")
