package fleet

import (
	"net/netip"
)

// batch collects the lease items of one kind for each destination.
type batch struct {
	to    []netip.AddrPort
	items map[netip.AddrPort][]sizedItem
}

type sizedItem struct {
	LeaseItem
	size int
}

func (b *batch) empty() bool { return len(b.to) == 0 }

// add collects an item of at most size bytes.
func (b *batch) add(to netip.AddrPort, it LeaseItem, size int) {
	if b.items == nil {
		b.items = make(map[netip.AddrPort][]sizedItem)
	}
	if len(b.items[to]) == 0 {
		b.to = append(b.to, to)
	}
	b.items[to] = append(b.items[to], sizedItem{it, size})
}

// sendBatch sends the collected items in as few messages as they fit in.
func (n *Node) sendBatch(b *batch, k Kind) {
	for _, to := range b.to {
		m, room := n.message(k), n.room()
		for _, it := range b.items[to] {
			if it.size > room && len(m.Leases) > 0 {
				n.send(to, m)
				m, room = n.message(k), n.room()
			}
			room -= it.size
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
	b.to = b.to[:0]
	if len(b.items) > batchLimit {
		b.items = nil
	}
}

// batchLimit bounds the destinations for which buffers are kept.
const batchLimit = 64
