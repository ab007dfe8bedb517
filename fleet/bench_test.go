package fleet

import (
	"fmt"
	"net/netip"
	"runtime"
	"testing"
	"time"

	"github.com/arbutusthread/arbutusthread/conf"
)

// Figures of the target size. Smaller fleets have the same number of slices and of restarts for
// each node.
const (
	targetNodes   = 7700
	targetSlices  = 8000
	targetDomains = 44
	// targetUpdates is the number of member updates a second: 19,140 failures and restarts a day with
	// three updates each.
	targetUpdates = 19_140 * 3.0 / 86_400
	// tagBytes is what package peer adds to a message, headerBytes what IPv4 and UDP add.
	tagBytes    = 33
	headerBytes = 28
	// Figures of one deployment of today.
	todayNodes   = 9
	todaySlices  = 52
	todayDomains = 3
)

var benchSizes = []int{todayNodes, 50, 200, 2000, targetNodes}

func benchAddress(i int) netip.AddrPort {
	return netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, byte(i >> 16), byte(i >> 8), byte(i)}), 7000)
}

// bench is one node whose peers are stand-ins that answer as real ones do.
type bench struct {
	node    *Node
	now     time.Time
	domains int
	members []Member
	doc     *conf.Document
}

func newBench(size int) *bench {
	b := &bench{now: simEpoch, domains: max(todayDomains, size*targetDomains/targetNodes), doc: &conf.Document{Version: 1}}
	for i := range b.domains {
		b.doc.FailureDomains = append(b.doc.FailureDomains, conf.FailureDomain{
			Name: fmt.Sprintf("region-%d-domain-%d", i%11, i), State: conf.DomainIn,
		})
	}
	slices, perService := max(1, size*targetSlices/targetNodes), 14
	if size == todayNodes {
		slices, perService = todaySlices, 1
	}
	for i := range (slices + perService - 1) / perService {
		b.doc.Services = append(b.doc.Services, conf.Service{
			Name: fmt.Sprintf("workshop-ledger-%d", i), Slices: min(perService, slices-perService*i),
		})
	}
	for i := range size {
		a := benchAddress(i)
		b.members = append(b.members, Member{
			Address: a, Caller: netip.AddrPortFrom(a.Addr(), 8000),
			FailureDomain: b.doc.FailureDomains[i%b.domains].Name, Region: fmt.Sprintf("region-%d", i%b.domains%11),
			Incarnation: simEpoch.UnixNano() + int64(i), State: StateAlive,
		})
	}
	if size == todayNodes {
		b.chooseBusiest()
	}
	return b
}

// chooseBusiest makes the member with the most seats the one that is measured.
func (b *bench) chooseBusiest() {
	busiest, most := 0, 0
	for i := range b.members {
		b.members[0], b.members[i] = b.members[i], b.members[0]
		b.start()
		if seats := len(b.node.order); seats > most {
			busiest, most = i, seats
		}
		b.members[0], b.members[i] = b.members[i], b.members[0]
	}
	b.members[0], b.members[busiest] = b.members[busiest], b.members[0]
}

// start gives the node the whole table and document.
func (b *bench) start() {
	b.node = New(Config{Member: b.members[0], Start: simEpoch}, b.now)
	b.node.Merge(b.now, b.members[1].Address, Table{Members: b.members[1:]})
	if _, err := b.node.SetDocument(b.now, b.doc, "01234567"); err != nil {
		panic(err)
	}
}

// answer plays the other nodes: it acknowledges heartbeats and promises all claims.
func (b *bench) answer(out []Output) {
	for _, o := range out {
		if o.Message == nil {
			continue
		}
		m := *o.Message
		m.Updates, m.Notes = nil, nil
		m.Incarnation = b.node.table.records[o.To].Incarnation
		switch o.Message.Kind {
		case KindHeartbeat:
			m.Kind = KindAck
		case KindClaim:
			m.Kind = KindPromise
		default:
			continue
		}
		b.node.Handle(b.now, o.To, m)
	}
}

// step lets 100 ms pass, in which observers and first seats send what they send in that time, and
// returns the bytes that the node sent.
func (b *bench) step(i int) (bytes, messages int) {
	b.now = b.now.Add(TickEvery)
	out := b.node.Tick(b.now)
	b.answer(out)
	if i%10 == 0 {
		for _, r := range b.node.table.observersOf(b.node.self, nil) {
			out = append(out, b.node.Handle(b.now, r.Address, Message{
				Kind: KindHeartbeat, Incarnation: r.Incarnation, Version: 1, Hash: "01234567",
				Serial: uint64(i), Digest: b.node.digest(),
			})...)
		}
	}
	if i%5 == 0 {
		out = append(out, b.claims(uint64(1e12+i))...)
	}
	for _, o := range out {
		if o.Message != nil {
			bytes += b.node.codec.size(o.Message) - 1 + tagBytes
			messages++
		}
	}
	return bytes, messages
}

// claims plays the first seats, each of which claims all its slices in one message.
func (b *bench) claims(round uint64) (out []Output) {
	var claimants []*record
	items := make(map[*record][]LeaseItem)
	for _, l := range b.node.order {
		r := l.slot.first()
		if l.seat <= 0 || r == nil || r == b.node.self {
			continue
		}
		if items[r] == nil {
			claimants = append(claimants, r)
		}
		items[r] = append(items[r], LeaseItem{Service: l.service, Slice: l.slice, Held: true})
	}
	for _, r := range claimants {
		out = append(out, b.node.Handle(b.now, r.Address, Message{
			Kind: KindClaim, Incarnation: r.Incarnation, Version: 1, Hash: "01234567",
			Round: round, Leases: items[r],
		})...)
	}
	return out
}

// churn tells the node of a restart of member i.
func (b *bench) churn(i int) {
	m := &b.members[1+i%(len(b.members)-1)]
	from := b.node.edges[i%len(b.node.edges)].record
	m.Sequence++
	if m.State == StateAlive {
		m.State = StateDown
	} else {
		m.State, m.Incarnation = StateAlive, m.Incarnation+1e9
	}
	b.node.Handle(b.now, from.Address, Message{
		Kind: KindUpdate, Incarnation: from.Incarnation, Version: 1, Hash: "01234567",
		Updates: []Update{{Member: *m}},
	})
}

func forSizes(b *testing.B, run func(b *testing.B, k *bench)) {
	for _, size := range benchSizes {
		b.Run(fmt.Sprint(size), func(b *testing.B) {
			k := newBench(size)
			k.start()
			for i := range 100 {
				k.step(i)
			}
			b.ReportAllocs()
			b.ResetTimer()
			run(b, k)
		})
	}
}

// BenchmarkTick is one Tick in the steady state, with the answers to what it sends.
func BenchmarkTick(b *testing.B) {
	forSizes(b, func(b *testing.B, k *bench) {
		for range b.N {
			k.now = k.now.Add(TickEvery)
			k.answer(k.node.Tick(k.now))
		}
	})
}

// BenchmarkHandleHeartbeat is one heartbeat of an observer with its acknowledgement.
func BenchmarkHandleHeartbeat(b *testing.B) {
	forSizes(b, func(b *testing.B, k *bench) {
		r := k.node.table.observersOf(k.node.self, nil)[0]
		m := Message{Kind: KindHeartbeat, Incarnation: r.Incarnation, Version: 1, Hash: "01234567", Digest: k.node.digest()}
		for range b.N {
			k.node.Handle(k.now, r.Address, m)
		}
	})
}

// BenchmarkHandleClaim is one claim of one slice with its answer.
func BenchmarkHandleClaim(b *testing.B) {
	forSizes(b, func(b *testing.B, k *bench) {
		l := k.node.order[0]
		r := k.node.edges[0].record
		for i := range b.N {
			k.node.Handle(k.now, r.Address, Message{
				Kind: KindClaim, Incarnation: r.Incarnation, Version: 1, Hash: "01234567",
				Leases: []LeaseItem{{Service: l.service, Slice: l.slice, Round: uint64(1e12 + i)}},
			})
		}
	})
}

// BenchmarkViewChange is one member that goes Down or comes back, with the seats that it changes.
func BenchmarkViewChange(b *testing.B) {
	forSizes(b, func(b *testing.B, k *bench) {
		for i := range b.N {
			k.churn(i / 2)
			k.node.refreshEdges()
		}
	})
}

// BenchmarkStart is the whole table and document taken over by a fresh node.
func BenchmarkStart(b *testing.B) {
	for _, size := range benchSizes {
		b.Run(fmt.Sprint(size), func(b *testing.B) {
			k := newBench(size)
			for range b.N {
				k.start()
			}
		})
	}
}

// BenchmarkDocument is a new version of the document that leaves the seats as they are.
func BenchmarkDocument(b *testing.B) {
	forSizes(b, func(b *testing.B, k *bench) {
		for range b.N {
			k.doc.Version++
			if _, err := k.node.SetDocument(k.now, k.doc, "01234567"); err != nil {
				b.Fatal(err)
			}
		}
	})
}

// BenchmarkControl is one second of a node with the usual restarts. It reports the bytes and
// messages that the node sends in a second with the tag of package peer, without and with the
// headers of IPv4 and UDP.
func BenchmarkControl(b *testing.B) {
	forSizes(b, func(b *testing.B, k *bench) {
		bytes, messages, due := 0, 0, 0.0
		rate := targetUpdates * float64(len(k.members)) / targetNodes
		for i := range b.N {
			due += rate
			for ; due >= 1; due-- {
				k.churn(i / 2)
			}
			for j := range 10 {
				n, c := k.step(10*i + j)
				bytes, messages = bytes+n, messages+c
			}
		}
		b.ReportMetric(float64(bytes)/float64(b.N), "B/s")
		b.ReportMetric(float64(bytes+headerBytes*messages)/float64(b.N), "IP-B/s")
		b.ReportMetric(float64(len(k.node.order)), "seats")
		b.ReportMetric(float64(messages)/float64(b.N), "messages/s")
	})
}

// BenchmarkMemory reports the heap that the state of one node takes.
func BenchmarkMemory(b *testing.B) {
	for _, size := range benchSizes {
		b.Run(fmt.Sprint(size), func(b *testing.B) {
			k := newBench(size)
			var before, after runtime.MemStats
			for range b.N {
				k.node = nil
				runtime.GC()
				runtime.ReadMemStats(&before)
				k.start()
				runtime.GC()
				runtime.ReadMemStats(&after)
			}
			b.ReportMetric(float64(after.HeapAlloc)-float64(before.HeapAlloc), "heap-B")
			runtime.KeepAlive(k)
		})
	}
}
