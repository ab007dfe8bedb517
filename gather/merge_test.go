package gather

import (
	"bytes"
	"fmt"
	"math"
	"slices"
	"testing"

	"github.com/matryer/is"
	"pgregory.net/rapid"
)

// Guards against lost, repeated or unordered records, and against trailing bytes being treated as a
// record.
func TestTopK(t *testing.T) {
	t.Parallel()
	rapid.Check(t, func(t *rapid.T) {
		record := rapid.SliceOfN(rapid.ByteRange(0, 3), RecordSize, RecordSize)
		var parts [][]byte
		var all [][]byte
		for range rapid.IntRange(0, 4).Draw(t, "parts") {
			var part []byte
			for _, r := range rapid.SliceOfN(record, 0, 6).Draw(t, "records") {
				part = append(part, r...)
				all = append(all, r)
			}
			part = append(part, make([]byte, rapid.IntRange(0, RecordSize-1).Draw(t, "remainder"))...)
			parts = append(parts, part)
		}
		k := rapid.IntRange(0, 12).Draw(t, "k")
		slices.SortFunc(all, func(a, b []byte) int { return bytes.Compare(b, a) })
		want := bytes.Join(all[:min(k, len(all))], nil)
		if got := TopK(parts, k); !bytes.Equal(got, want) {
			t.Fatalf("got %x, want %x", got, want)
		}
	})
}

// Guards against a relay changing the answer by merging: the greatest records of some parts must be
// equivalent to these parts.
func TestTopKOfMergedParts(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	part := func(seed byte) []byte {
		var b []byte
		for i := range byte(10) {
			r := make([]byte, RecordSize)
			r[0] = i*7 + seed
			b = append(b, r...)
		}
		return b
	}
	a, b, c := part(1), part(2), part(3)
	is.Equal(TopK([][]byte{TopK([][]byte{a, b}, 5), c}, 5), TopK([][]byte{a, b, c}, 5))
}

// Guards against a count from a message or a configuration that panics or allocates memory for records that do not
// exist.
func TestTopKWithOddCounts(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	parts := [][]byte{make([]byte, 3*RecordSize)}
	is.Equal(len(TopK(parts, math.MaxInt)), 3*RecordSize)
	is.Equal(len(TopK(parts, -1)), 0)
	is.Equal(len(TopK(nil, math.MaxInt)), 0)
}

// Guards against a wrong answer when relays merge overlapping sets of shards with different answers: the greatest records
// of all parts that are used must be those of a direct merge of the answers that they stand for.
func TestOverlappingMergesEqualADirectMerge(t *testing.T) {
	t.Parallel()
	var used, refused int
	rapid.Check(t, func(t *rapid.T) {
		k := rapid.IntRange(0, 8).Draw(t, "k")
		shards := rapid.IntRange(1, 6).Draw(t, "shards")
		answer := rapid.Custom(func(t *rapid.T) []byte {
			var b []byte
			for range rapid.IntRange(0, 5).Draw(t, "records") {
				r := make([]byte, RecordSize)
				r[0] = rapid.ByteRange(0, 20).Draw(t, "value")
				b = append(b, r...)
			}
			return b
		})
		answered := make([]bool, shards)
		var parts, direct [][]byte
		for range rapid.IntRange(1, 5).Draw(t, "relays") {
			var group []int
			var bodies [][]byte
			for i := range shards {
				if rapid.Bool().Draw(t, "asked") {
					group = append(group, i)
					// Two servers of a shard may answer differently.
					bodies = append(bodies, answer.Draw(t, "answer"))
				}
			}
			m := Merge(bodies, k)
			body := m.Only(func(source int) bool { return !answered[group[source]] })
			if !m.Suffices(append(slices.Clone(parts), body), k) && slices.ContainsFunc(group, func(i int) bool { return answered[i] }) {
				refused++
				continue
			}
			used++
			parts = append(parts, body)
			for n, i := range group {
				if !answered[i] {
					answered[i] = true
					direct = append(direct, bodies[n])
				}
			}
		}
		if got, want := TopK(parts, k), TopK(direct, k); !bytes.Equal(got, want) {
			t.Fatalf("got %x, want %x", got, want)
		}
	})
	if used == 0 || refused == 0 {
		t.Errorf("%d parts used and %d refused: the cases do not cover both", used, refused)
	}
}

func ExampleTopK() {
	parts := [][]byte{[]byte("record-000000001record-000000009"), []byte("record-000000005")}
	fmt.Println(string(TopK(parts, 2)))
	// Output: record-000000009record-000000005
}
