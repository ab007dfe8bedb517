package load

import (
	"context"
	"sync"
	"time"

	"github.com/arbutusthread/arbutusthread/wire"
)

// Result is what a caller was told about a request.
type Result struct {
	// Outcome is Unknown when it is empty.
	Outcome wire.Outcome
	// NotRun is that of a refusal.
	NotRun bool
	// Coverage is the share of the shards in an answer, between 0 and 1; 1 for an order.
	Coverage float64
}

// Func performs one request. It is called from many goroutines at once and must return when ctx
// ends.
type Func func(ctx context.Context, q Request) Result

// Run sends the requests of the schedule and waits for all of them. When ctx ends, no further
// request is sent, and the report covers those sent.
func Run(ctx context.Context, c Config, perform Func) (*Report, error) {
	if err := c.Check(); err != nil {
		return nil, err
	}
	c = c.withDefaults()
	collector := NewCollector(c)
	places := make(chan struct{}, c.MaxInFlight)
	var all sync.WaitGroup
	start := time.Now()
	for q := range Schedule(c) {
		if !waitUntil(ctx, start.Add(q.At)) || !enter(ctx, places) {
			break
		}
		all.Go(func() {
			defer func() { <-places }()
			result := perform(ctx, q)
			collector.Add(q, time.Since(start)-q.At, result)
		})
	}
	_ = waitUntil(ctx, start.Add(c.Duration))
	sending := time.Since(start)
	all.Wait()
	return collector.Report(sending), nil
}

func waitUntil(ctx context.Context, t time.Time) bool {
	d := time.Until(t)
	if d <= 0 {
		return ctx.Err() == nil
	}
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}

func enter(ctx context.Context, places chan struct{}) bool {
	select {
	case places <- struct{}{}:
		return true
	case <-ctx.Done():
		return false
	}
}
