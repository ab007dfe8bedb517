package sched

import "time"

type timerKind int

const (
	deadlineTimer timerKind = iota
	hedgeTimer
	retryTimer
)

// timer is never removed early; a stale one finds its task or job settled and does nothing.
type timer struct {
	at   time.Time
	kind timerKind
	job  *job
	task *task
}

// timers is a heap with the first timer in front. It does not use container/heap, which allocates for
// each timer.
type timers []timer

func (s *timers) add(t timer) {
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

// due takes the first timer at or before now.
func (s *timers) due(now time.Time) (timer, bool) {
	list := *s
	if len(list) == 0 || list[0].at.After(now) {
		return timer{}, false
	}
	first, n := list[0], len(list)-1
	last := list[n]
	list[n] = timer{}
	*s = list[:n]
	if n > 0 {
		s.sink(last)
	}
	return first, true
}

// sink puts a timer in the place of the first one and moves it down.
func (s *timers) sink(t timer) {
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
