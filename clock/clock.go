// Package clock provides a sleep that ends early when its context ends.
package clock

import (
	"context"
	"time"
)

// Sleep waits for d and returns true, or returns false if ctx ends first.
func Sleep(ctx context.Context, d time.Duration) bool {
	if d <= 0 {
		return ctx.Err() == nil
	}
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
		return true
	case <-ctx.Done():
		return false
	}
}
