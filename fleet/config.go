package fleet

import (
	"net/netip"
	"slices"
	"time"

	"github.com/arbutusthread/arbutusthread/wire"
)

const (
	// hashLength is the number of characters of a document's hash that messages carry. It only needs
	// to distinguish documents of the same version.
	hashLength = 8
	// configPullInterval is the minimum time between two requests to pull the same version.
	configPullInterval = time.Second
	// conflictInterval is the minimum time between two ConfigConflict events.
	conflictInterval = 10 * time.Second
	// sampleSize is the size of the bootstrap sample, including this node. A majority of the sample
	// must have answered before a new node is ready.
	sampleSize = 9
)

// configState tracks the configuration versions of other nodes.
type configState struct {
	highest    uint64
	pulled     uint64
	pulledAt   time.Time
	conflictAt time.Time
}

// bootstrap is the state that determines when a new node becomes ready.
type bootstrap struct {
	sampled  bool
	ready    bool
	sample   []netip.AddrPort
	answered map[netip.AddrPort]bool
}

func shortHash(h string) string {
	return h[:min(len(h), hashLength)]
}

// compareConfig compares the sender's configuration with the active one.
func (n *Node) compareConfig(from netip.AddrPort, m Message) {
	if !n.boot.ready && slices.Contains(n.boot.sample, from) {
		n.boot.answered[from] = true
	}
	n.config.highest = max(n.config.highest, m.Version)
	if e := n.edge(from); e != nil {
		e.version = max(e.version, m.Version)
	}
	c := &n.config
	switch {
	case m.Version > n.version:
		if m.Version <= c.pulled && n.now.Sub(c.pulledAt) < configPullInterval {
			return
		}
		c.pulled, c.pulledAt = m.Version, n.now
		n.emit(Event{Kind: ConfigNewer, Peer: from, Version: m.Version, Hash: m.Hash})
	case m.Version == n.version && m.Hash != n.hash && (m.Hash != "" || !m.Kind.isLease()):
		if !c.conflictAt.IsZero() && n.now.Sub(c.conflictAt) < conflictInterval {
			return
		}
		c.conflictAt = n.now
		n.emit(Event{Kind: ConfigConflict, Peer: from, Version: m.Version, Hash: m.Hash})
	}
}

// chooseSample selects the bootstrap sample, which a new node contacts until it is ready.
func (n *Node) chooseSample() {
	if n.boot.ready {
		return
	}
	var all []netip.AddrPort
	for a, s := range n.vms {
		if a != n.self.Address && s == wire.VMLive {
			all = append(all, a)
		}
	}
	rank := func(a netip.AddrPort) uint64 { return mix(hashAddress(a) ^ n.self.hash) }
	slices.SortFunc(all, func(a, b netip.AddrPort) int {
		if rank(a) != rank(b) && rank(a) > rank(b) {
			return -1
		}
		if rank(a) != rank(b) {
			return 1
		}
		return a.Compare(b)
	})
	answered := make(map[netip.AddrPort]bool)
	for a, ok := range n.boot.answered {
		answered[a] = ok
	}
	n.boot.sampled, n.boot.sample, n.boot.answered = true, all[:min(len(all), sampleSize-1)], answered
	if len(all) == 0 {
		n.joined = true
	}
}

// contactSample sends a heartbeat to each node of the bootstrap sample that has not answered.
func (n *Node) contactSample() {
	if n.boot.ready {
		return
	}
	for _, a := range n.boot.sample {
		if n.boot.answered[a] {
			continue
		}
		n.send(a, n.hello())
	}
}

// checkReady marks a new node as ready when a majority of the sample has answered and the highest
// version received is active.
func (n *Node) checkReady() {
	if n.boot.ready || n.version == 0 || !n.BootstrapComplete() {
		return
	}
	n.boot.ready = true
	n.emit(Event{Kind: BecameReady, Version: n.version, Hash: n.hash})
}

// BootstrapComplete reports whether a majority of the bootstrap sample has answered and the active version is not
// below the highest version received from peers. Until then, a document from the platform may be older
// than that of the peers.
func (n *Node) BootstrapComplete() bool {
	b := &n.boot
	if !b.sampled || n.version < n.config.highest {
		return false
	}
	count := 1
	for _, a := range b.sample {
		if b.answered[a] {
			count++
		}
	}
	return count >= n.rules.quorum(len(b.sample)+1)
}
