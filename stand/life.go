package stand

import (
	"context"
	"time"
)

// life is the state that a server loses in a crash. The lock of its Server guards it.
type life struct {
	incarnation string
	config      ServerConfig
	ctx         context.Context
	cancel      context.CancelFunc

	warm bool
	// served counts the requests that have warmed the server.
	served int
	// excess counts requests above what the cold server bears, less those that it finished
	// within it.
	excess  int
	running int
	waiting []chan struct{}
	inWork  map[*job]struct{}
}

func newLife(incarnation string, c ServerConfig, warm bool) *life {
	ctx, cancel := context.WithCancel(context.Background())
	return &life{
		incarnation: incarnation, config: c, ctx: ctx, cancel: cancel,
		warm: warm || c.ColdSlots >= c.Slots, inWork: map[*job]struct{}{},
	}
}

func (l *life) end(time.Time) {
	l.cancel()
}

func (l *life) turnCold() {
	l.warm = l.config.ColdSlots >= l.config.Slots
	l.served = 0
	l.excess = 0
}

// active is the number of requests that run or wait.
func (l *life) active() int {
	return l.running + len(l.waiting)
}

// bears is the number of requests at once that the server can bear now.
func (l *life) bears() int {
	if l.warm {
		return l.config.Slots
	}
	return l.config.ColdSlots + (l.config.Slots-l.config.ColdSlots)*l.served/l.config.WarmAfter
}

// overloaded reports whether a cold server has more requests than it bears.
func (l *life) overloaded() bool {
	return !l.warm && l.active() > l.bears()
}

// factor is the ratio of the latency to that of a warm server.
func (l *life) factor() float64 {
	if l.warm {
		return 1
	}
	left := 1 - float64(l.served)/float64(l.config.WarmAfter)
	f := 1 + (l.config.ColdFactor-1)*left
	return f * float64(1+l.excess)
}

// admit takes a slot, or a place in the queue with a channel that is closed when the slot is
// free. It returns false when the queue is full.
func (l *life) admit() (wait chan struct{}, ok bool) {
	if l.running < l.config.Slots {
		l.running++
		return nil, true
	}
	if len(l.waiting) >= l.config.Queue {
		return nil, false
	}
	wait = make(chan struct{})
	l.waiting = append(l.waiting, wait)
	return wait, true
}

// abandon leaves the queue. When the slot was given meanwhile, it is passed on.
func (l *life) abandon(wait chan struct{}) {
	for i, w := range l.waiting {
		if w == wait {
			l.waiting = append(l.waiting[:i], l.waiting[i+1:]...)
			return
		}
	}
	l.release()
}

func (l *life) release() {
	if len(l.waiting) > 0 {
		close(l.waiting[0])
		l.waiting = l.waiting[1:]
		return
	}
	l.running--
}

// finish counts a request that has run. Only requests within what the server bears warm it.
func (l *life) finish() (warmed bool) {
	if l.warm || l.overloaded() {
		return false
	}
	l.excess = max(0, l.excess-1)
	l.served++
	l.warm = l.served >= l.config.WarmAfter
	return l.warm
}
