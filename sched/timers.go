package sched

import "time"

type timerKind int

const (
	deadlineTimer timerKind = iota
	hedgeTimer
	retryTimer
)

// timer is an entry in the timer heap. Timers are not removed before they are due; a stale timer finds
// its task or job closed and has no effect.
type timer struct {
	at   time.Time
	kind timerKind
	job  *job
	task *task
}

// timers is a min-heap ordered by time. It does not use container/heap, which allocates for each timer.
type timers []timer

func (s *timers) push(t timer) {
	list := append(*s, t)
	*s = list
	i := len(list) - 1
	for i > 0 {
		p := (i - 1) / 2
		if !t.at.Before(list[p].at) {
			break
		}
		list[i] = list[p]
		i = p
	}
	list[i] = t
}

// popDue removes and returns the earliest timer if it is due at or before now.
func (s *timers) popDue(now time.Time) (timer, bool) {
	list := *s
	if len(list) == 0 || list[0].at.After(now) {
		return timer{}, false
	}
	first, n := list[0], len(list)-1
	last := list[n]
	list[n] = timer{}
	*s = list[:n]
	if n > 0 {
		s.siftDown(last)
	}
	return first, true
}

// siftDown replaces the root of the heap by t and restores the heap order.
func (s *timers) siftDown(t timer) {
	list := *s
	i := 0
	for {
		c := 2*i + 1
		if c >= len(list) {
			break
		}
		if c+1 < len(list) && list[c+1].at.Before(list[c].at) {
			c++
		}
		if !list[c].at.Before(t.at) {
			break
		}
		list[i] = list[c]
		i = c
	}
	list[i] = t
}
