package serve

import (
	"context"
	"encoding/json"
	"net/netip"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/arbutusthread/arbutusthread/clock"
	"github.com/arbutusthread/arbutusthread/fleet"
	"github.com/arbutusthread/arbutusthread/guard"
	"github.com/arbutusthread/arbutusthread/wire"
)

const (
	// checkInterval is how often a node checks whether it is a reader, and homes whether they
	// must hand over.
	checkInterval = 20 * time.Millisecond
	// readerInterval is how often a reader asks for the list of VMs. Leaving servers must be
	// known within 2 s.
	readerInterval = 500 * time.Millisecond
	// watchTime bounds one watch, after which the node checks whether it is still a reader.
	watchTime = 25 * time.Second
	// leavingLife is how long a note about a leaving VM lasts; readers repeat it in time.
	leavingLife  = time.Minute
	leavingRenew = 30 * time.Second
)

// Kinds of notes between nodes.
const (
	noteLeaving = "LeavingVM"
	noteMark    = "Mark"
)

// watchConfig reads the configuration while the node is a reader or not ready yet. A fresh node
// first takes the document of its peers, because the platform may be stale.
func (n *Node) watchConfig(ctx context.Context) {
	for ctx.Err() == nil {
		if !n.reads() || !n.Ready() && !n.peer.Settled() {
			clock.Sleep(ctx, checkInterval)
			continue
		}
		n.watchOnce(ctx)
	}
}

func (n *Node) reads() bool {
	return n.peer.IsReader() || !n.Ready()
}

func (n *Node) watchOnce(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, watchTime)
	defer cancel()
	version, _ := n.peer.Version()
	raw, err := n.platform.Watch(ctx, version)
	if err != nil {
		n.metrics.Count("platform_failures")
		return
	}
	if err := n.installRaw(raw); err != nil {
		n.log.Warn("configuration not installed", "Error", err)
	}
}

// watchVMs reads the list of VMs while the node is a reader or not ready yet.
func (n *Node) watchVMs(ctx context.Context) {
	for ctx.Err() == nil {
		if n.reads() {
			n.readVMs(ctx)
		}
		clock.Sleep(ctx, readerInterval)
	}
}

func (n *Node) readVMs(ctx context.Context) {
	vms, err := n.platform.VMs(ctx, "")
	if err != nil {
		n.metrics.Count("platform_failures")
		n.log.Debug("list of VMs not read", "Error", err)
		return
	}
	n.peer.SetVMs(vms)
	for _, v := range vms {
		if v.Role == wire.RoleBackend && v.State == wire.VMLeaving {
			n.publishLeaving(v.Address)
		}
	}
}

func (n *Node) publishLeaving(a netip.AddrPort) {
	if !n.leaving.due(time.Now(), a) {
		return
	}
	err := n.peer.Publish(fleet.Note{
		ID: noteLeaving + "/" + a.String(), Kind: noteLeaving, Body: encode(a), Expires: time.Now().Add(leavingLife),
	})
	if err != nil {
		n.log.Warn("note not published", "Peer", a, "Error", err)
	}
}

// event handles what the state machine of the fleet reports.
func (n *Node) event(e fleet.Event) {
	switch e.Kind {
	case fleet.LeaseGained, fleet.LeaseRenewed:
		n.homes.hold(e.Service, e.Slice, e.End, e.Kind == fleet.LeaseGained)
	case fleet.LeaseLost:
		n.homes.lose(e.Service, e.Slice)
	case fleet.NoteReceived:
		n.note(e.Note)
		return
	case fleet.ConfigConflict:
		n.refuseConfig(e.Version, e.Peer.String(), errors.Newf("serve: %s has another configuration of version %d", e.Peer, e.Version))
	}
	if e.Kind != fleet.LeaseRenewed {
		n.log.Info("fleet", "Event", e.Kind, "Member", e.Member.Address, "Service", e.Service, "Slice", e.Slice, "Peer", e.Peer)
	}
	n.metrics.Count("fleet_events", "kind", string(e.Kind))
}

func (n *Node) note(k fleet.Note) {
	switch k.Kind {
	case noteLeaving:
		var a netip.AddrPort
		if json.Unmarshal(k.Body, &a) != nil {
			return
		}
		n.leaving.set(a, k.Expires)
		n.homes.update()
	case noteMark:
		var m guard.Note
		if json.Unmarshal(k.Body, &m) == nil {
			n.homes.merge(m)
		}
	}
}

// publishMark passes on the mark of a request that crashed a server.
func (n *Node) publishMark(m *guard.Note) {
	err := n.peer.Publish(fleet.Note{
		ID: noteMark + "/" + m.Fingerprint.String(), Kind: noteMark, Body: encode(m), Expires: m.Expires,
	})
	if err != nil {
		n.log.Warn("note not published", "Fingerprint", m.Fingerprint, "Error", err)
	}
}

// encode is for values whose encoding cannot fail.
func encode(v any) json.RawMessage {
	raw, _ := json.Marshal(v)
	return raw
}

// leaving holds backend servers that the platform lists as leaving.
type leaving struct {
	mu        sync.Mutex
	until     map[netip.AddrPort]time.Time
	published map[netip.AddrPort]time.Time
}

// due reports whether a note about the server is to be published again.
func (l *leaving) due(now time.Time, a netip.AddrPort) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.published == nil {
		l.published = make(map[netip.AddrPort]time.Time)
	}
	if last, ok := l.published[a]; ok && now.Sub(last) < leavingRenew {
		return false
	}
	l.published[a] = now
	return true
}

func (l *leaving) set(a netip.AddrPort, until time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.until == nil {
		l.until = make(map[netip.AddrPort]time.Time)
	}
	l.until[a] = until
}

// has reports whether the server leaves. Entries that have expired are forgotten.
func (l *leaving) has(now time.Time, a netip.AddrPort) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	until, ok := l.until[a]
	if ok && !now.Before(until) {
		delete(l.until, a)
		delete(l.published, a)
		return false
	}
	return ok
}
