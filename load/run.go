package load

import (
	"context"
	"sync"
	"time"

	"github.com/arbutusthread/arbutusthread/wire"
)

// Result is the result of a request as the caller received it.
type Result struct {
	// Outcome is treated as Unknown if it is empty.
	Outcome wire.Outcome
	// NotRun says whether a refusal guarantees that the request was not executed.
	NotRun bool
	// Coverage is the fraction of the shards in an answer, between 0 and 1; it is 1 for an order.
	Coverage float64
}

// Func performs one request. It is called concurrently and must return when ctx ends.
type Func func(ctx context.Context, q Request) Result

// Run sends the requests of the schedule and waits for all of them. When ctx ends, it sends no further
// requests and reports those already sent. It returns an error only if the settings are invalid.
func Run(ctx context.Context, c Config, perform Func) (*Report, error) {
	if err := c.Check(); err != nil {
		return nil, err
	}
	c = c.withDefaults()
	collector := NewCollector(c)
	permits := make(chan struct{}, c.MaxInFlight)
	var all sync.WaitGroup
	start := time.Now()
	for q := range Schedule(c) {
		if !waitUntil(ctx, start.Add(q.At)) || !acquire(ctx, permits) {
			break
		}
		all.Go(func() {
			defer func() { <-permits }()
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

func acquire(ctx context.Context, permits chan struct{}) bool {
	select {
	case permits <- struct{}{}:
		return true
	case <-ctx.Done():
		return false
	}
}
