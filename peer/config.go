package peer

import (
	"context"
	"crypto/tls"
	"encoding/json"
	"log/slog"
	"time"

	"github.com/arbutusthread/arbutusthread/conf"
	"github.com/arbutusthread/arbutusthread/feed"
	"github.com/arbutusthread/arbutusthread/fleet"
	"github.com/arbutusthread/arbutusthread/meter"
	"github.com/arbutusthread/arbutusthread/wire"
	"github.com/cockroachdb/errors"
)

// Config configures a Node. Member.Address is the address of the TCP and the UDP socket and the identity of the
// node. If its port is 0, the system chooses one.
type Config struct {
	Member fleet.Member
	// Keys authenticate nodes to each other. The first key signs; signatures by any of them are accepted.
	Keys [][]byte
	// Codec encodes the datagrams that the node sends. Received datagrams may use any codec.
	Codec fleet.Codec
	// Heartbeat is the interval between heartbeats to a peer; 0 means the default of package fleet.
	Heartbeat time.Duration
	// ServerTLS and ClientTLS enable TLS for HTTP if they are not nil.
	ServerTLS *tls.Config
	ClientTLS *tls.Config
	Handlers  Handlers
	// OnEvent is called for each event of the state machine, in order, from one goroutine. Lease expiry times are
	// wall clock times, comparable with time.Now.
	OnEvent func(fleet.Event)
	// Capacity is that of the VM, of which other nodes get a share.
	Capacity conf.Capacity
	// Metrics may be nil.
	Metrics *meter.Metrics
	Log     *slog.Logger
	Limits  Limits
}

// Handlers serve the requests of other nodes. Requests for a nil handler are refused. Errors should be of type
// *wire.Failure; any other error is reported as an unknown outcome.
type Handlers struct {
	// Slice is cancelled when the planner disconnects.
	Slice func(context.Context, wire.SliceQuery) (wire.SliceResult, error)
	// Order and Execute are not cancelled when the requesting node disconnects, but only at their deadline.
	Order   func(context.Context, wire.OrderRelay) (wire.OrderResult, error)
	Execute func(context.Context, wire.ExecuteOrder) (wire.ExecuteResult, error)
	// Document returns the delta from the document with the given version and hash, or the whole document if from
	// is 0 or no such delta is available.
	Document func(from uint64, hash string) (Document, error)
	// InstallDocument decodes, validates and installs a document that was pulled from a peer. It should call Node.Install.
	// If it fails for a delta, the whole document is pulled.
	InstallDocument func(Document) error
	// Feed returns the changes of the platform feed after a position. FeedPosition returns the position of this
	// node's copy of the feed. ApplyFeed applies changes that were pulled from a peer; if it fails for a delta, the
	// whole feed is pulled.
	Feed         func(after feed.Position) feed.Delta
	FeedPosition func() feed.Position
	ApplyFeed    func(feed.Delta) error
	// Gather serves a query of another node as a relay and sends the parts of the response. An error before the
	// first part means that nothing was sent to a backend server. Gather is cancelled when the requesting node
	// disconnects.
	Gather func(ctx context.Context, q *wire.GatherQuery, send func(wire.GatherPart) error) error
}

// Document is a configuration document or, if From is above 0, the delta from version From. Version and Hash
// describe the resulting document.
type Document struct {
	From    uint64          `json:"From,omitempty"`
	Version uint64          `json:"Version"`
	Hash    string          `json:"Hash"`
	Body    json.RawMessage `json:"Body"`
}

// Limits bound the resources that other nodes can use on this one. Fields that are not positive get their
// defaults.
type Limits struct {
	// RequestBytes and ResponseBytes are the maximum sizes of HTTP bodies in bytes.
	RequestBytes  int64
	ResponseBytes int64
	// SourceRate and TotalRate limit the received datagrams per second, from one address and in total.
	SourceRate int
	TotalRate  int
	// PeerConnections is the maximum number of HTTP connections to one peer.
	PeerConnections int
	// PullTimeout limits the duration of one pull of a document, feed or member table.
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

// minKeyBytes is the minimum length of a fleet key in bytes.
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
		return errors.Newf("peer: member address %q is not the address of one interface", c.Member.Address)
	}
	if c.Member.FailureDomain == "" {
		return errors.New("peer: failure domain is not set")
	}
	if len(c.Keys) == 0 {
		return errors.New("peer: no fleet key is configured")
	}
	for i, k := range c.Keys {
		if len(k) < minKeyBytes {
			return errors.Newf("peer: fleet key %d has %d bytes, want at least %d", i, len(k), minKeyBytes)
		}
	}
	if c.Log == nil {
		c.Log = slog.New(slog.DiscardHandler)
	}
	if c.OnEvent == nil {
		c.OnEvent = func(fleet.Event) {}
	}
	c.Limits.setDefaults()
	return nil
}
