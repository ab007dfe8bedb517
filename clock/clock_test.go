package clock_test

import (
	"context"
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/arbutusthread/arbutusthread/clock"
)

func ExampleSleep() {
	ctx, cancel := context.WithTimeout(context.Background(), time.Millisecond)
	defer cancel()
	fmt.Println(clock.Sleep(ctx, time.Hour))
	// Output: false
}

// Guards against a sleep that continues after its context has ended, and against one that never returns.
func TestSleep(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	is.True(clock.Sleep(t.Context(), time.Millisecond))
	is.True(clock.Sleep(t.Context(), -time.Second))
	ctx, cancel := context.WithCancel(t.Context())
	cancel()
	is.True(!clock.Sleep(ctx, 0))
	is.True(!clock.Sleep(ctx, time.Hour))
}
