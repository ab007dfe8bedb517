package node

import (
	"testing"

	"github.com/fxamacker/cbor/v2"

	"github.com/arbutusthread/arbutusthread/gather"
	"github.com/arbutusthread/arbutusthread/wire"
)

// Guards against a part of a relay's answer that causes a panic, or whose records or seals of shards that are not needed
// end up in the answer.
func FuzzRelayPart(f *testing.F) {
	for _, p := range []wire.GatherPart{
		{Answered: []int{0, 1}, Seals: []string{"a", "b"}, Records: make([]byte, 32), Sources: []byte{0, 0, 0, 1}, Latencies: []byte{1, 2}},
		{Answered: []int{0}, Seals: []string{"a"}, Records: make([]byte, 17), Sources: []byte{255, 255}, Latencies: []byte{1}, Cut: true},
	} {
		b, err := cbor.Marshal(p)
		if err != nil {
			f.Fatal(err)
		}
		f.Add(b, byte(1), 3)
	}
	f.Fuzz(func(t *testing.T, b []byte, mask byte, topK int) {
		var p wire.GatherPart
		if cbor.Unmarshal(b, &p) != nil || len(p.Seals) != len(p.Answered) || len(p.Answered) > 8 {
			return
		}
		needed := make([]bool, len(p.Answered))
		count := 0
		for i := range needed {
			if needed[i] = mask&(1<<i) != 0; needed[i] {
				count++
			}
		}
		c := &call{topK: topK, parts: make([]*Part, 9)}
		part, ok := c.partOf(&p, needed)
		if !ok {
			return
		}
		if len(part.Seals) != count || len(part.Body) > len(p.Records) {
			t.Fatalf("%d seals and %d bytes of %+v for %v", len(part.Seals), len(part.Body), p, needed)
		}
		gather.TopK([][]byte{part.Body}, topK)
	})
}
