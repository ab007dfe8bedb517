package query

import (
	"slices"
	"strings"

	"github.com/arbutusthread/arbutusthread/wire"
)

// Top retains the best k hits of a stream, by descending score and then by ascending ID. The order of
// arrival does not change the result.
type Top struct {
	limit int
	// heap is a binary heap with the worst retained hit at the root.
	heap []wire.Hit
}

// NewTop returns an empty Top for at most k hits.
func NewTop(k int) *Top {
	return &Top{limit: k, heap: make([]wire.Hit, 0, min(k, DefaultTopK))}
}

// Add adds hits and evicts those that are not among the best k.
func (t *Top) Add(hits []wire.Hit) {
	for i := range hits {
		t.add(&hits[i])
	}
}

func (t *Top) add(h *wire.Hit) {
	if len(t.heap) < t.limit {
		t.heap = append(t.heap, *h)
		t.up(len(t.heap) - 1)
		return
	}
	// Most hits of a query to many shards score below the worst retained one, so this is checked first.
	if t.limit == 0 || h.Score < t.heap[0].Score || compareHits(*h, t.heap[0]) >= 0 {
		return
	}
	t.heap[0] = *h
	t.down()
}

// Hits returns the retained hits, best first. The Top must not be used afterwards.
func (t *Top) Hits() []wire.Hit {
	slices.SortFunc(t.heap, compareHits)
	return t.heap
}

// compareHits returns a negative number if a comes before b in an answer.
func compareHits(a, b wire.Hit) int {
	if a.Score > b.Score {
		return -1
	}
	if a.Score < b.Score {
		return 1
	}
	return strings.Compare(a.ID, b.ID)
}

func (t *Top) up(i int) {
	for i > 0 {
		p := (i - 1) / 2
		if compareHits(t.heap[i], t.heap[p]) <= 0 {
			return
		}
		t.heap[i], t.heap[p] = t.heap[p], t.heap[i]
		i = p
	}
}

func (t *Top) down() {
	i := 0
	for {
		c := 2*i + 1
		if c >= len(t.heap) {
			return
		}
		if c+1 < len(t.heap) && compareHits(t.heap[c+1], t.heap[c]) > 0 {
			c++
		}
		if compareHits(t.heap[c], t.heap[i]) <= 0 {
			return
		}
		t.heap[i], t.heap[c] = t.heap[c], t.heap[i]
		i = c
	}
}
