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
	// checkInterval is the interval at which a node checks whether it is a platform reader and whether it must hand
	// over leases, and at which a graceful shutdown checks for remaining work.
	checkInterval = 20 * time.Millisecond
	// vmListInterval is the interval at which a reader polls the list of VMs. Leaving servers must be known to all nodes
	// within 2 s.
	vmListInterval = 500 * time.Millisecond
	// watchTimeout bounds one watch request, after which the node checks whether it is still a reader.
	watchTimeout = 25 * time.Second
	// leavingNoteTTL is the lifetime of a note about a leaving VM; readers publish it again after leavingNoteRenewal.
	leavingNoteTTL     = time.Minute
	leavingNoteRenewal = 30 * time.Second
)

// Kinds of the notes that nodes exchange by gossip.
const (
	noteLeaving = "LeavingVM"
	noteMark    = "Mark"
)

// watchConfig watches the configuration on the platform while the node is a reader or not ready yet. A new node first
// pulls the document from its peers, because the platform may be stale.
func (n *Node) watchConfig(ctx context.Context) {
	for ctx.Err() == nil {
		if !n.readsPlatform() || !n.Ready() && !n.peer.BootstrapComplete() {
			clock.Sleep(ctx, checkInterval)
			continue
		}
		n.watchConfigOnce(ctx)
	}
}

func (n *Node) readsPlatform() bool {
	return n.peer.WatchesPlatform() || !n.Ready()
}

func (n *Node) watchConfigOnce(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, watchTimeout)
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

// watchVMs polls the list of VMs while the node is a reader or not ready yet.
func (n *Node) watchVMs(ctx context.Context) {
	for ctx.Err() == nil {
		if n.readsPlatform() {
			n.readVMs(ctx)
		}
		clock.Sleep(ctx, vmListInterval)
	}
}

func (n *Node) readVMs(ctx context.Context) {
	vms, err := n.platform.VMs(ctx, "")
	if err != nil {
		n.metrics.Count("platform_failures")
		n.log.Debug("failed to read the list of VMs", "Error", err)
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
	if !n.leavingServers.publishDue(time.Now(), a) {
		return
	}
	err := n.peer.Publish(fleet.Note{
		ID: noteLeaving + "/" + a.String(), Kind: noteLeaving, Body: encode(a), Expires: time.Now().Add(leavingNoteTTL),
	})
	if err != nil {
		n.log.Warn("failed to publish a note", "Peer", a, "Error", err)
	}
}

// handleEvent handles an event of the fleet state machine.
func (n *Node) handleEvent(e fleet.Event) {
	switch e.Kind {
	case fleet.LeaseGained, fleet.LeaseRenewed:
		n.holders.setLease(e.Service, e.Slice, e.End, e.Kind == fleet.LeaseGained)
	case fleet.LeaseLost:
		n.holders.clearLease(e.Service, e.Slice)
	case fleet.NoteReceived:
		n.handleNote(e.Note)
		return
	case fleet.ConfigConflict:
		n.rejectConfig(e.Version, e.Peer.String(),
			errors.Newf("serve: peer %s has a different configuration with the same version %d", e.Peer, e.Version))
	}
	if e.Kind != fleet.LeaseRenewed {
		n.log.Info("fleet", "Event", e.Kind, "Member", e.Member.Address, "Service", e.Service, "Slice", e.Slice, "Peer", e.Peer)
	}
	n.metrics.Count("fleet_events", "kind", string(e.Kind))
}

func (n *Node) handleNote(k fleet.Note) {
	switch k.Kind {
	case noteLeaving:
		var a netip.AddrPort
		if json.Unmarshal(k.Body, &a) != nil {
			return
		}
		n.leavingServers.add(a, k.Expires)
		n.holders.update()
	case noteMark:
		var m guard.PoisonMark
		if json.Unmarshal(k.Body, &m) == nil {
			n.holders.applyMark(m)
		}
	}
}

// publishMark sends the mark of a poison request, one that crashed a server, to all nodes.
func (n *Node) publishMark(m *guard.PoisonMark) {
	err := n.peer.Publish(fleet.Note{
		ID: noteMark + "/" + m.Fingerprint.String(), Kind: noteMark, Body: encode(m), Expires: m.Expires,
	})
	if err != nil {
		n.log.Warn("failed to publish a note", "Fingerprint", m.Fingerprint, "Error", err)
	}
}

// encode marshals values whose encoding cannot fail.
func encode(v any) json.RawMessage {
	raw, _ := json.Marshal(v)
	return raw
}

// leavingServers is the set of backend servers that the platform lists as leaving.
type leavingServers struct {
	mu        sync.Mutex
	expires   map[netip.AddrPort]time.Time
	published map[netip.AddrPort]time.Time
}

// publishDue reports whether a note about the server must be published now, and records that it was.
func (l *leavingServers) publishDue(now time.Time, a netip.AddrPort) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.published == nil {
		l.published = make(map[netip.AddrPort]time.Time)
	}
	if last, ok := l.published[a]; ok && now.Sub(last) < leavingNoteRenewal {
		return false
	}
	l.published[a] = now
	return true
}

func (l *leavingServers) add(a netip.AddrPort, expires time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.expires == nil {
		l.expires = make(map[netip.AddrPort]time.Time)
	}
	l.expires[a] = expires
}

// contains reports whether the server is leaving. It deletes an expired entry.
func (l *leavingServers) contains(now time.Time, a netip.AddrPort) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	expires, ok := l.expires[a]
	if ok && !now.Before(expires) {
		delete(l.expires, a)
		delete(l.published, a)
		return false
	}
	return ok
}
