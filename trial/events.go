package trial

import (
	"container/heap"
	"time"
)

// event is a step of a run. Events at the same time keep the order in which they were added.
type event struct {
	at    time.Duration
	order uint64
	do    func()
}

type events struct {
	list []event
	last uint64
}

func (q *events) add(at time.Duration, do func()) {
	q.last++
	heap.Push(q, event{at: at, order: q.last, do: do})
}

func (q *events) next() (event, bool) {
	if len(q.list) == 0 {
		return event{}, false
	}
	return heap.Pop(q).(event), true
}

func (q *events) Len() int { return len(q.list) }
func (q *events) Less(i, j int) bool {
	if q.list[i].at != q.list[j].at {
		return q.list[i].at < q.list[j].at
	}
	return q.list[i].order < q.list[j].order
}
func (q *events) Swap(i, j int) { q.list[i], q.list[j] = q.list[j], q.list[i] }
func (q *events) Push(x any)    { q.list = append(q.list, x.(event)) }
func (q *events) Pop() any {
	n := len(q.list) - 1
	e := q.list[n]
	q.list[n] = event{}
	q.list = q.list[:n]
	return e
}
