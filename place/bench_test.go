package place

import (
	"fmt"
	"net/netip"
	"testing"
)

// BenchmarkChoose measures an answer of the directory that is not cached, by the number of members.
func BenchmarkChoose(b *testing.B) {
	for _, n := range []int{30, 300, 7700} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			nodes := make([]Node, n)
			for i := range nodes {
				nodes[i] = Node{
					Address:       netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, byte(i >> 8), byte(i), 1}), 80),
					FailureDomain: fmt.Sprint("domain-", i%44), Region: fmt.Sprint("region-", i%11), Weight: 4,
				}
			}
			caller := Caller{FailureDomain: "domain-1", Region: "region-1"}
			for b.Loop() {
				Choose("ledger.example", nil, DomainsByService{}, caller, nodes)
			}
		})
	}
}
