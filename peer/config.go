package peer

import (
	"context"
	"crypto/tls"
	"encoding/json"
	"log/slog"
	"time"

	"github.com/arbutusthread/arbutusthread/feed"
	"github.com/arbutusthread/arbutusthread/fleet"
	"github.com/arbutusthread/arbutusthread/wire"
	"github.com/cockroachdb/errors"
)

// Config describes a node's connection to the others. Member.Address is the address of both
// sockets and the identity of the node; its port may be 0 to have one chosen.
type Config struct {
	Member fleet.Member
	// Keys authenticate nodes to each other. The first one signs, all are accepted.
	Keys [][]byte
	// Codec is that of the datagrams which the node sends. It accepts all of them.
	Codec fleet.Codec
	// Heartbeat is the time between two heartbeats to a peer; 0 means that of the fleet.
	Heartbeat time.Duration
	// ServerTLS and ClientTLS turn TLS on for HTTP when they are set.
	ServerTLS *tls.Config
	ClientTLS *tls.Config
	Handlers  Handlers
	// Event is called for each event of the state machine, in order, from one goroutine. Ends of
	// leases are in the time of time.Now.
	Event  func(fleet.Event)
	Log    *slog.Logger
	Limits Limits
}

// Handlers answer the requests of other nodes. A nil handler refuses. Errors should be
// *wire.Failure; others are reported as an unknown outcome.
type Handlers struct {
	// Slice is cancelled when the planner goes away.
	Slice func(context.Context, wire.SliceQuery) (wire.SlicePartial, error)
	// Order and Execute run to their deadline even when the asking node goes away.
	Order   func(context.Context, wire.OrderRelay) (wire.OrderResult, error)
	Execute func(context.Context, wire.Execute) (wire.ExecuteResult, error)
	// Document returns the change from the document of that version and hash, or the whole
	// document when from is 0 or no change is at hand.
	Document func(from uint64, hash string) (Document, error)
	// Pulled decodes, checks and installs a document that was pulled from a peer; it should call
	// Node.Install. When it fails for a change, the whole document is pulled.
	Pulled func(Document) error
	// Feed returns the changes after a position of what the platform publishes, Position that of
	// this node's copy, and Fed takes over changes that were pulled from a peer. When it fails for
	// changes, everything is pulled.
	Feed     func(after feed.Position) feed.Delta
	Position func() feed.Position
	Fed      func(feed.Delta) error
	// Gather serves a query of another node as a relay and sends the parts of the answer. An error
	// before the first part says that nothing was sent to a server. It ends when the asking node
	// goes away.
	Gather func(ctx context.Context, q *wire.GatherQuery, send func(wire.GatherPart) error) error
}

// Document is a configuration document, or with From above 0 the change from that version to it.
// Version and Hash are those of the resulting document.
type Document struct {
	From    uint64          `json:"From,omitempty"`
	Version uint64          `json:"Version"`
	Hash    string          `json:"Hash"`
	Body    json.RawMessage `json:"Body"`
}

// Limits bound what other nodes can make this one do. Zero fields have defaults.
type Limits struct {
	// RequestBytes and ResponseBytes are the most bytes of an HTTP body.
	RequestBytes  int64
	ResponseBytes int64
	// SourceRate and TotalRate are datagrams a second from one address and from all.
	SourceRate int
	TotalRate  int
	// PeerConnections is the number of HTTP connections to one peer.
	PeerConnections int
	// PullTimeout bounds one request for a document or table.
	PullTimeout time.Duration
}

// Defaults of Limits.
const (
	DefaultRequestBytes    = 4 << 20
	DefaultResponseBytes   = 16 << 20
	DefaultSourceRate      = 500
	DefaultTotalRate       = 20_000
	DefaultPeerConnections = 128
	DefaultPullTimeout     = 2 * time.Second
)

// minKeyBytes is the least length of a fleet key.
const minKeyBytes = 16

func (l *Limits) setDefaults() {
	setDefault(&l.RequestBytes, DefaultRequestBytes)
	setDefault(&l.ResponseBytes, DefaultResponseBytes)
	setDefault(&l.SourceRate, DefaultSourceRate)
	setDefault(&l.TotalRate, DefaultTotalRate)
	setDefault(&l.PeerConnections, DefaultPeerConnections)
	setDefault(&l.PullTimeout, DefaultPullTimeout)
}

func setDefault[T int | int64 | time.Duration](v *T, d T) {
	if *v <= 0 {
		*v = d
	}
}

func (c *Config) check() error {
	if !c.Member.Address.IsValid() || c.Member.Address.Addr().IsUnspecified() {
		return errors.Newf("peer: address %q is not that of one interface", c.Member.Address)
	}
	if c.Member.FailureDomain == "" {
		return errors.New("peer: no failure domain")
	}
	if len(c.Keys) == 0 {
		return errors.New("peer: no fleet key")
	}
	for i, k := range c.Keys {
		if len(k) < minKeyBytes {
			return errors.Newf("peer: fleet key %d has %d bytes, at least %d are needed", i, len(k), minKeyBytes)
		}
	}
	if c.Log == nil {
		c.Log = slog.New(slog.DiscardHandler)
	}
	if c.Event == nil {
		c.Event = func(fleet.Event) {}
	}
	c.Limits.setDefaults()
	return nil
}
