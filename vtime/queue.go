// Package vtime runs discrete events in virtual time, so that runs with the same seed produce the same results.
package vtime

import "time"

// event is a function to run at a virtual time. Events at the same time run in the order in which they were added.
type event struct {
	at       time.Duration
	sequence uint64
	run      func()
}

func (e *event) before(o *event) bool {
	if e.at != o.at {
		return e.at < o.at
	}
	return e.sequence < o.sequence
}

// Queue is a priority queue of events, implemented as a binary min-heap. It does not use container/heap, which
// allocates for each event. The zero value is an empty queue. It is not safe for concurrent use.
type Queue struct {
	heap         []event
	lastSequence uint64
}

// Add schedules do to run at the virtual time at.
func (q *Queue) Add(at time.Duration, do func()) {
	q.lastSequence++
	e := event{at: at, sequence: q.lastSequence, run: do}
	q.heap = append(q.heap, e)
	i := len(q.heap) - 1
	for i > 0 {
		p := (i - 1) / 2
		if !e.before(&q.heap[p]) {
			break
		}
		q.heap[i] = q.heap[p]
		i = p
	}
	q.heap[i] = e
}

func (q *Queue) next() (event, bool) {
	if len(q.heap) == 0 {
		return event{}, false
	}
	first, n := q.heap[0], len(q.heap)-1
	last := q.heap[n]
	q.heap[n] = event{}
	q.heap = q.heap[:n]
	if n > 0 {
		q.siftDown(last)
	}
	return first, true
}

// siftDown replaces the root of the heap by e and restores the heap order.
func (q *Queue) siftDown(e event) {
	i := 0
	for {
		c := 2*i + 1
		if c >= len(q.heap) {
			break
		}
		if c+1 < len(q.heap) && q.heap[c+1].before(&q.heap[c]) {
			c++
		}
		if !q.heap[c].before(&e) {
			break
		}
		q.heap[i] = q.heap[c]
		i = c
	}
	q.heap[i] = e
}

// Run runs the events up to and including the virtual time end in order, and sets *now to the time of each
// event before it runs. Events may add further events.
func (q *Queue) Run(now *time.Duration, end time.Duration) {
	for {
		e, ok := q.next()
		if !ok || e.at > end {
			return
		}
		*now = e.at
		e.run()
	}
}
