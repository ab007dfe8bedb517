package fake

import (
	"context"
	"time"
)

// incarnation is the state that a server loses in a crash. It is guarded by Server.mu.
type incarnation struct {
	name   string
	config ServerConfig
	ctx    context.Context
	cancel context.CancelFunc

	warm bool
	// warmupRequests counts the requests of the current cold phase that finished within the concurrency limit.
	warmupRequests int
	// excess counts the requests admitted above the concurrency limit of the cold server, minus those
	// that finished while it was within the limit.
	excess  int
	running int
	waiting []chan struct{}
	jobs    map[*job]struct{}
}

func newIncarnation(name string, c ServerConfig, warm bool) *incarnation {
	ctx, cancel := context.WithCancel(context.Background())
	return &incarnation{
		name: name, config: c, ctx: ctx, cancel: cancel,
		warm: warm || c.ColdSlots >= c.Slots, jobs: map[*job]struct{}{},
	}
}

func (in *incarnation) end(time.Time) {
	in.cancel()
}

func (in *incarnation) turnCold() {
	in.warm = in.config.ColdSlots >= in.config.Slots
	in.warmupRequests = 0
	in.excess = 0
}

// active returns the number of running and queued requests.
func (in *incarnation) active() int {
	return in.running + len(in.waiting)
}

// concurrencyLimit returns the number of concurrent requests that the server can handle now. It rises
// linearly from ColdSlots to Slots while the server warms up.
func (in *incarnation) concurrencyLimit() int {
	if in.warm {
		return in.config.Slots
	}
	return in.config.ColdSlots + (in.config.Slots-in.config.ColdSlots)*in.warmupRequests/in.config.WarmAfter
}

// overloaded reports whether the server is cold and has more active requests than its concurrency limit.
func (in *incarnation) overloaded() bool {
	return !in.warm && in.active() > in.concurrencyLimit()
}

// latencyFactor returns the ratio of the current latency to that of a warm server.
func (in *incarnation) latencyFactor() float64 {
	if in.warm {
		return 1
	}
	remaining := 1 - float64(in.warmupRequests)/float64(in.config.WarmAfter)
	f := 1 + (in.config.ColdFactor-1)*remaining
	return f * float64(1+in.excess)
}

// admit acquires a slot, or queues the request and returns a channel that is closed when a slot has
// been assigned to it. It returns false when the queue is full.
func (in *incarnation) admit() (wait chan struct{}, ok bool) {
	if in.running < in.config.Slots {
		in.running++
		return nil, true
	}
	if len(in.waiting) >= in.config.Queue {
		return nil, false
	}
	wait = make(chan struct{})
	in.waiting = append(in.waiting, wait)
	return wait, true
}

// abandonQueue removes a request from the queue. If a slot has been assigned in the meantime, it is
// released.
func (in *incarnation) abandonQueue(wait chan struct{}) {
	for i, w := range in.waiting {
		if w == wait {
			in.waiting = append(in.waiting[:i], in.waiting[i+1:]...)
			return
		}
	}
	in.release()
}

func (in *incarnation) release() {
	if len(in.waiting) > 0 {
		close(in.waiting[0])
		in.waiting = in.waiting[1:]
		return
	}
	in.running--
}

// finish records a completed request and reports whether the server has become warm. Only requests
// that finish while the server is within its concurrency limit count towards warming up.
func (in *incarnation) finish() (warmed bool) {
	if in.warm || in.overloaded() {
		return false
	}
	in.excess = max(0, in.excess-1)
	in.warmupRequests++
	in.warm = in.warmupRequests >= in.config.WarmAfter
	return in.warm
}
