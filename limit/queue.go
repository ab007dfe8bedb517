package limit

import (
	"container/heap"
	"time"
)

// Queue is a bounded priority queue of requests waiting for admission. It orders requests by
// descending worth, then by earliest deadline.
type Queue[T any] struct {
	limit int
	items itemHeap[T]
	index map[uint64]*item[T]
}

type item[T any] struct {
	id        uint64
	value     T
	worth     float64
	deadline  time.Time
	heapIndex int
}

// NewQueue returns an empty queue that holds at most limit requests.
func NewQueue[T any](limit int) *Queue[T] {
	return &Queue[T]{limit: limit, index: make(map[uint64]*item[T])}
}

// SetLimit changes the limit. Requests above a lowered limit stay queued until they are popped,
// removed or evicted.
func (q *Queue[T]) SetLimit(limit int) {
	q.limit = limit
}

// Len returns the number of waiting requests.
func (q *Queue[T]) Len() int {
	return len(q.items)
}

// Push adds a request. If that exceeds the limit, Push evicts the lowest-ranked request, which may
// be the new one, and returns it with true.
func (q *Queue[T]) Push(id uint64, worth float64, deadline time.Time, v T) (T, bool) {
	it := &item[T]{id: id, value: v, worth: worth, deadline: deadline}
	heap.Push(&q.items, it)
	q.index[id] = it
	if len(q.items) <= q.limit {
		var none T
		return none, false
	}
	return q.remove(q.lowestRanked()), true
}

// Ahead returns the number of queued requests that would be served before a request with the given
// worth and deadline.
func (q *Queue[T]) Ahead(worth float64, deadline time.Time) int {
	n := 0
	for _, it := range q.items {
		if it.worth > worth || (it.worth == worth && it.deadline.Before(deadline)) {
			n++
		}
	}
	return n
}

// Peek returns the first request without removing it. It returns false if the queue is empty.
func (q *Queue[T]) Peek() (T, bool) {
	if len(q.items) == 0 {
		var none T
		return none, false
	}
	return q.items[0].value, true
}

// Pop removes and returns the first request. It returns false if the queue is empty.
func (q *Queue[T]) Pop() (T, bool) {
	if len(q.items) == 0 {
		var none T
		return none, false
	}
	return q.remove(q.items[0]), true
}

// Remove removes the request with the given ID and reports whether it was queued.
func (q *Queue[T]) Remove(id uint64) bool {
	it := q.index[id]
	if it == nil {
		return false
	}
	q.remove(it)
	return true
}

// Expire removes and returns all requests whose deadline is at or before now.
func (q *Queue[T]) Expire(now time.Time) []T {
	var expired []T
	for i := 0; i < len(q.items); {
		if q.items[i].deadline.After(now) {
			i++
			continue
		}
		expired = append(expired, q.remove(q.items[i]))
		i = 0
	}
	return expired
}

// lowestRanked returns the request that would be served last. The linear scan is acceptable because
// the queue is bounded and is scanned only when it is full.
func (q *Queue[T]) lowestRanked() *item[T] {
	last := q.items[0]
	for _, it := range q.items {
		if ranksBefore(last, it) {
			last = it
		}
	}
	return last
}

func (q *Queue[T]) remove(it *item[T]) T {
	heap.Remove(&q.items, it.heapIndex)
	delete(q.index, it.id)
	return it.value
}

func ranksBefore[T any](a, b *item[T]) bool {
	if a.worth != b.worth {
		return a.worth > b.worth
	}
	if !a.deadline.Equal(b.deadline) {
		return a.deadline.Before(b.deadline)
	}
	return a.id < b.id
}

type itemHeap[T any] []*item[T]

func (s itemHeap[T]) Len() int           { return len(s) }
func (s itemHeap[T]) Less(i, j int) bool { return ranksBefore(s[i], s[j]) }
func (s itemHeap[T]) Swap(i, j int) {
	s[i], s[j] = s[j], s[i]
	s[i].heapIndex, s[j].heapIndex = i, j
}

func (s *itemHeap[T]) Push(x any) {
	it := x.(*item[T])
	it.heapIndex = len(*s)
	*s = append(*s, it)
}

func (s *itemHeap[T]) Pop() any {
	old := *s
	n := len(old) - 1
	it := old[n]
	old[n] = nil
	*s = old[:n]
	return it
}
