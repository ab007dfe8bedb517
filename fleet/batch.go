package fleet

import (
	"net/netip"
)

// batch groups the lease items of one message kind by destination.
type batch struct {
	destinations []netip.AddrPort
	items        map[netip.AddrPort][]sizedItem
}

type sizedItem struct {
	LeaseItem
	size int
}

func (b *batch) empty() bool { return len(b.destinations) == 0 }

// add appends an item of at most size bytes for the destination.
func (b *batch) add(to netip.AddrPort, it LeaseItem, size int) {
	if b.items == nil {
		b.items = make(map[netip.AddrPort][]sizedItem)
	}
	if len(b.items[to]) == 0 {
		b.destinations = append(b.destinations, to)
	}
	b.items[to] = append(b.items[to], sizedItem{it, size})
}

// sendBatch sends the batched items in order, starting a new message when the next item does not fit, and
// empties the batch.
func (n *Node) sendBatch(b *batch, k Kind) {
	for _, to := range b.destinations {
		m, remaining := n.newMessage(k), n.maxListBytes()
		for _, it := range b.items[to] {
			if it.size > remaining && len(m.Leases) > 0 {
				n.send(to, m)
				m, remaining = n.newMessage(k), n.maxListBytes()
			}
			remaining -= it.size
			if len(m.Leases) == 0 {
				m.Round = it.Round
			}
			if it.Round == m.Round {
				it.Round = 0
			}
			m.Leases = append(m.Leases, it.LeaseItem)
		}
		n.send(to, m)
		b.items[to] = b.items[to][:0]
	}
	b.destinations = b.destinations[:0]
	if len(b.items) > batchLimit {
		b.items = nil
	}
}

// batchLimit is the number of destinations above which the buffers of a sent batch are discarded.
const batchLimit = 64
