package vtime

import (
	"context"
	"runtime"

	"github.com/cockroachdb/errors"
	"golang.org/x/sync/errgroup"
)

// RunSeeds runs each policy with the seeds 1 to n, in parallel on half of the cores. The results are indexed by
// policy and seed-1. It returns an error if n is below 1 or ctx ends.
func RunSeeds[R any](ctx context.Context, policies, n int, run func(policy int, seed uint64) R) ([][]R, error) {
	if n < 1 {
		return nil, errors.Newf("vtime: number of seeds must be at least 1, not %d", n)
	}
	results := make([][]R, policies)
	group, ctx := errgroup.WithContext(ctx)
	group.SetLimit(max(1, runtime.GOMAXPROCS(0)/2))
	for i := range policies {
		results[i] = make([]R, n)
		for k := range n {
			group.Go(func() error {
				if err := ctx.Err(); err != nil {
					return err
				}
				results[i][k] = run(i, uint64(k+1))
				return nil
			})
		}
	}
	return results, errors.Wrap(group.Wait(), "vtime: run seeds")
}
