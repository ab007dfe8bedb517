package limit

import (
	"container/heap"
	"time"
)

// Queue holds requests that wait for admission, the most worthy first and among equals the one
// whose deadline comes first.
type Queue[T any] struct {
	limit int
	items items[T]
	index map[uint64]*item[T]
}

type item[T any] struct {
	id       uint64
	value    T
	worth    float64
	deadline time.Time
	place    int
}

// NewQueue returns an empty queue for at most limit requests.
func NewQueue[T any](limit int) *Queue[T] {
	return &Queue[T]{limit: limit, index: make(map[uint64]*item[T])}
}

// SetLimit changes the limit. Requests above it stay until they are taken or evicted.
func (q *Queue[T]) SetLimit(limit int) {
	q.limit = limit
}

// Len returns the number of waiting requests.
func (q *Queue[T]) Len() int {
	return len(q.items)
}

// Push adds a request. When the queue is full the least worthy request leaves: it returns that
// request and true, which may be the new one.
func (q *Queue[T]) Push(id uint64, worth float64, deadline time.Time, v T) (T, bool) {
	it := &item[T]{id: id, value: v, worth: worth, deadline: deadline}
	heap.Push(&q.items, it)
	q.index[id] = it
	if len(q.items) <= q.limit {
		var none T
		return none, false
	}
	return q.remove(q.least()), true
}

// Ahead returns the number of waiting requests that would be served before one with this worth and
// deadline.
func (q *Queue[T]) Ahead(worth float64, deadline time.Time) int {
	n := 0
	for _, it := range q.items {
		if it.worth > worth || (it.worth == worth && it.deadline.Before(deadline)) {
			n++
		}
	}
	return n
}

// Peek returns the first request without taking it.
func (q *Queue[T]) Peek() (T, bool) {
	if len(q.items) == 0 {
		var none T
		return none, false
	}
	return q.items[0].value, true
}

// Pop takes the first request.
func (q *Queue[T]) Pop() (T, bool) {
	if len(q.items) == 0 {
		var none T
		return none, false
	}
	return q.remove(q.items[0]), true
}

// Remove takes out the request with that id, if it waits.
func (q *Queue[T]) Remove(id uint64) bool {
	it := q.index[id]
	if it == nil {
		return false
	}
	q.remove(it)
	return true
}

// Expire takes out all requests whose deadline is at or before the time and returns them.
func (q *Queue[T]) Expire(by time.Time) []T {
	var late []T
	for i := 0; i < len(q.items); {
		if q.items[i].deadline.After(by) {
			i++
			continue
		}
		late = append(late, q.remove(q.items[i]))
		i = 0
	}
	return late
}

// least scans for the request that would be served last. The queue is bounded and only a full
// one is scanned.
func (q *Queue[T]) least() *item[T] {
	last := q.items[0]
	for _, it := range q.items {
		if before(last, it) {
			last = it
		}
	}
	return last
}

func (q *Queue[T]) remove(it *item[T]) T {
	heap.Remove(&q.items, it.place)
	delete(q.index, it.id)
	return it.value
}

func before[T any](a, b *item[T]) bool {
	if a.worth != b.worth {
		return a.worth > b.worth
	}
	if !a.deadline.Equal(b.deadline) {
		return a.deadline.Before(b.deadline)
	}
	return a.id < b.id
}

type items[T any] []*item[T]

func (s items[T]) Len() int           { return len(s) }
func (s items[T]) Less(i, j int) bool { return before(s[i], s[j]) }
func (s items[T]) Swap(i, j int) {
	s[i], s[j] = s[j], s[i]
	s[i].place, s[j].place = i, j
}

func (s *items[T]) Push(x any) {
	it := x.(*item[T])
	it.place = len(*s)
	*s = append(*s, it)
}

func (s *items[T]) Pop() any {
	old := *s
	n := len(old) - 1
	it := old[n]
	old[n] = nil
	*s = old[:n]
	return it
}
