package query

import (
	"slices"
	"strings"

	"github.com/arbutusthread/arbutusthread/wire"
)

// Top keeps the best k hits of a stream: highest score first, equal scores by identifier. The
// order of arrival does not change the result.
type Top struct {
	limit int
	// heap has the worst kept hit first.
	heap []wire.Hit
}

// NewTop returns an empty collection of at most k hits.
func NewTop(k int) *Top {
	return &Top{limit: k, heap: make([]wire.Hit, 0, min(k, DefaultTopK))}
}

// Add offers hits.
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
	// Most hits of a query to many shards are below the worst kept one, so that is looked at first.
	if t.limit == 0 || h.Score < t.heap[0].Score || compare(*h, t.heap[0]) >= 0 {
		return
	}
	t.heap[0] = *h
	t.down()
}

// Hits returns the kept hits, best first. The collection must not be used afterwards.
func (t *Top) Hits() []wire.Hit {
	slices.SortFunc(t.heap, compare)
	return t.heap
}

// compare is negative when a comes before b in an answer.
func compare(a, b wire.Hit) int {
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
		if compare(t.heap[i], t.heap[p]) <= 0 {
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
		if c+1 < len(t.heap) && compare(t.heap[c+1], t.heap[c]) > 0 {
			c++
		}
		if compare(t.heap[c], t.heap[i]) <= 0 {
			return
		}
		t.heap[i], t.heap[c] = t.heap[c], t.heap[i]
		i = c
	}
}
