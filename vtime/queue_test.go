package vtime

import (
	"context"
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"
)

// Guards against events that run out of order, twice or after the end, including events added by other events.
func TestEventsRunInOrder(t *testing.T) {
	t.Parallel()
	rapid.Check(t, func(t *rapid.T) {
		var q Queue
		var now time.Duration
		var ran []time.Duration
		want := 0
		const end = 100
		add := func(at time.Duration) {
			q.Add(at, func() {
				if now != at {
					t.Fatalf("event of %d runs at %d", at, now)
				}
				ran = append(ran, at)
			})
			if at <= end {
				want++
			}
		}
		for _, at := range rapid.SliceOf(rapid.IntRange(0, 150)).Draw(t, "events") {
			add(time.Duration(at))
			q.Add(time.Duration(at/2), func() {
				if now+10 <= end {
					add(now + 10)
				}
			})
		}
		q.Run(&now, end)
		if len(ran) != want || !slices.IsSorted(ran) {
			t.Fatalf("%d of %d events ran: %v", len(ran), want, ran)
		}
	})
}

// Guards against results that are assigned to the wrong policy or seed.
func TestRunSeeds(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	all, err := RunSeeds(t.Context(), 2, 3, func(policy int, seed uint64) int { return 10*policy + int(seed) })
	is.NoErr(err)
	is.Equal(all, [][]int{{1, 2, 3}, {11, 12, 13}})
	_, err = RunSeeds(t.Context(), 2, 0, func(int, uint64) int { return 0 })
	is.True(err != nil)
	ctx, cancel := context.WithCancel(t.Context())
	cancel()
	_, err = RunSeeds(ctx, 1, 1, func(int, uint64) int { return 0 })
	is.True(err != nil)
}
