package fleet

import (
	"fmt"
	"net/netip"
	"runtime"
	"testing"
	"time"

	"github.com/arbutusthread/arbutusthread/conf"
)

// Parameters of the target size. Smaller fleets have the same number of slices and restarts per node.
const (
	targetNodes   = 7700
	targetSlices  = 8000
	targetDomains = 44
	// targetUpdates is the number of member updates per second: 19,140 failures and restarts per day with
	// three updates each.
	targetUpdates = 19_140 * 3.0 / 86_400
	// tagBytes is the size of the authentication tag that package peer adds to a message, and headerBytes
	// that of the IPv4 and UDP headers.
	tagBytes    = 33
	headerBytes = 28
	// Parameters of a small deployment.
	smallNodes   = 9
	smallSlices  = 52
	smallDomains = 3
)

var benchSizes = []int{smallNodes, 50, 200, 2000, targetNodes}

func benchAddress(i int) netip.AddrPort {
	return netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, byte(i >> 16), byte(i >> 8), byte(i)}), 7000)
}

// bench is one node with simulated peers that answer like real ones.
type bench struct {
	node    *Node
	now     time.Time
	domains int
	members []Member
	doc     *conf.Document
}

func newBench(size int) *bench {
	b := &bench{now: simEpoch, domains: max(smallDomains, size*targetDomains/targetNodes), doc: &conf.Document{Version: 1}}
	for i := range b.domains {
		b.doc.FailureDomains = append(b.doc.FailureDomains, conf.FailureDomain{
			Name: fmt.Sprintf("region-%d-domain-%d", i%11, i), State: conf.DomainIn,
		})
	}
	slices, perService := max(1, size*targetSlices/targetNodes), 14
	if size == smallNodes {
		slices, perService = smallSlices, 1
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
	if size == smallNodes {
		b.chooseBusiest()
	}
	return b
}

// chooseBusiest selects the member with the most leases and voter roles as the measured node.
func (b *bench) chooseBusiest() {
	busiest, most := 0, 0
	for i := range b.members {
		b.members[0], b.members[i] = b.members[i], b.members[0]
		b.start()
		if leases := len(b.node.leaseList); leases > most {
			busiest, most = i, leases
		}
		b.members[0], b.members[i] = b.members[i], b.members[0]
	}
	b.members[0], b.members[busiest] = b.members[busiest], b.members[0]
}

// start creates the node and installs the complete table and the document.
func (b *bench) start() {
	b.node = New(Config{Member: b.members[0], Start: simEpoch}, b.now)
	b.node.Merge(b.now, b.members[1].Address, Table{Members: b.members[1:]})
	if _, err := b.node.SetDocument(b.now, b.doc, "01234567"); err != nil {
		panic(err)
	}
}

// respond simulates the other nodes: it acknowledges all heartbeats and promises all claims.
func (b *bench) respond(out []Output) {
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

// step advances time by 100 ms, delivers the heartbeats and claims that observers and preferred holders
// send in that time, and returns the number of bytes and messages that the node sent.
func (b *bench) step(i int) (bytes, messages int) {
	b.now = b.now.Add(TickInterval)
	out := b.node.Tick(b.now)
	b.respond(out)
	if i%10 == 0 {
		for _, r := range b.node.table.observersOf(b.node.self, nil) {
			out = append(out, b.node.Handle(b.now, r.Address, Message{
				Kind: KindHeartbeat, Incarnation: r.Incarnation, Version: 1, Hash: "01234567",
				Serial: uint64(i), Digest: b.node.digest(),
			})...)
		}
	}
	if i%5 == 0 {
		out = append(out, b.sendClaims(uint64(1e12+i))...)
	}
	for _, o := range out {
		if o.Message != nil {
			bytes += b.node.codec.size(o.Message) - 1 + tagBytes
			messages++
		}
	}
	return bytes, messages
}

// sendClaims simulates the preferred holders, each of which claims all of its slices in one message.
func (b *bench) sendClaims(round uint64) (out []Output) {
	var claimants []*record
	items := make(map[*record][]LeaseItem)
	for _, l := range b.node.leaseList {
		r := l.voters.preferredHolder()
		if l.voterIndex <= 0 || r == nil || r == b.node.self {
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

// churn delivers an update about a failure or a restart of member i to the node.
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

// BenchmarkTick measures one Tick in the steady state, including the answers to the messages it sends.
func BenchmarkTick(b *testing.B) {
	forSizes(b, func(b *testing.B, k *bench) {
		for range b.N {
			k.now = k.now.Add(TickInterval)
			k.respond(k.node.Tick(k.now))
		}
	})
}

// BenchmarkHandleHeartbeat measures one heartbeat from an observer and its acknowledgement.
func BenchmarkHandleHeartbeat(b *testing.B) {
	forSizes(b, func(b *testing.B, k *bench) {
		r := k.node.table.observersOf(k.node.self, nil)[0]
		m := Message{Kind: KindHeartbeat, Incarnation: r.Incarnation, Version: 1, Hash: "01234567", Digest: k.node.digest()}
		for range b.N {
			k.node.Handle(k.now, r.Address, m)
		}
	})
}

// BenchmarkHandleClaim measures one claim of one slice and its answer.
func BenchmarkHandleClaim(b *testing.B) {
	forSizes(b, func(b *testing.B, k *bench) {
		l := k.node.leaseList[0]
		r := k.node.edges[0].record
		for i := range b.N {
			k.node.Handle(k.now, r.Address, Message{
				Kind: KindClaim, Incarnation: r.Incarnation, Version: 1, Hash: "01234567",
				Leases: []LeaseItem{{Service: l.service, Slice: l.slice, Round: uint64(1e12 + i)}},
			})
		}
	})
}

// BenchmarkViewChange measures one member that goes Down or rejoins, including the reassignment of voters.
func BenchmarkViewChange(b *testing.B) {
	forSizes(b, func(b *testing.B, k *bench) {
		for i := range b.N {
			k.churn(i / 2)
			k.node.refreshEdges()
		}
	})
}

// BenchmarkStart measures a new node that merges the complete table and installs the document.
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

// BenchmarkDocument measures a new document version that does not change the voters.
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

// BenchmarkControl measures one second of a node at the usual rate of restarts. It reports the messages
// that the node sends per second, and their bytes including the authentication tag of package peer, without
// and with the IPv4 and UDP headers.
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
		b.ReportMetric(float64(len(k.node.leaseList)), "leases")
		b.ReportMetric(float64(messages)/float64(b.N), "messages/s")
	})
}

// BenchmarkMemory reports the heap size of the state of one node.
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
