// Package vtime runs events in virtual time, so that a run with the same seed always gives the same
// figures.
package vtime

import "time"

// event is a step of a run. Events at the same time keep the order in which they were added.
type event struct {
	at    time.Duration
	order uint64
	do    func()
}

func (e *event) before(o *event) bool {
	if e.at != o.at {
		return e.at < o.at
	}
	return e.order < o.order
}

// Queue is a heap with the next event in front. It does not use container/heap, which allocates for
// each event. Its zero value is empty. It is not safe for concurrent use.
type Queue struct {
	list []event
	last uint64
}

// Add adds an event.
func (q *Queue) Add(at time.Duration, do func()) {
	q.last++
	e := event{at: at, order: q.last, do: do}
	q.list = append(q.list, e)
	i := len(q.list) - 1
	for i > 0 {
		p := (i - 1) / 2
		if !e.before(&q.list[p]) {
			break
		}
		q.list[i] = q.list[p]
		i = p
	}
	q.list[i] = e
}

func (q *Queue) next() (event, bool) {
	if len(q.list) == 0 {
		return event{}, false
	}
	first, n := q.list[0], len(q.list)-1
	last := q.list[n]
	q.list[n] = event{}
	q.list = q.list[:n]
	if n > 0 {
		q.sink(last)
	}
	return first, true
}

// sink puts an event in the place of the first one and moves it down.
func (q *Queue) sink(e event) {
	i := 0
	for {
		c := 2*i + 1
		if c >= len(q.list) {
			break
		}
		if c+1 < len(q.list) && q.list[c+1].before(&q.list[c]) {
			c++
		}
		if !q.list[c].before(&e) {
			break
		}
		q.list[i] = q.list[c]
		i = c
	}
	q.list[i] = e
}

// Run carries out the events until the time end, and sets now to the time of each. Events may add
// others.
func (q *Queue) Run(now *time.Duration, end time.Duration) {
	for {
		e, ok := q.next()
		if !ok || e.at > end {
			return
		}
		*now = e.at
		e.do()
	}
}
