package sched

import (
	"container/heap"
	"time"
)

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

type timers []timer

func (s timers) Len() int           { return len(s) }
func (s timers) Less(i, j int) bool { return s[i].at.Before(s[j].at) }
func (s timers) Swap(i, j int)      { s[i], s[j] = s[j], s[i] }
func (s *timers) Push(x any)        { *s = append(*s, x.(timer)) }
func (s *timers) Pop() any {
	old := *s
	n := len(old) - 1
	t := old[n]
	old[n] = timer{}
	*s = old[:n]
	return t
}

func (s *timers) add(t timer) {
	heap.Push(s, t)
}

// due takes the first timer at or before now.
func (s *timers) due(now time.Time) (timer, bool) {
	if len(*s) == 0 || (*s)[0].at.After(now) {
		return timer{}, false
	}
	return heap.Pop(s).(timer), true
}
