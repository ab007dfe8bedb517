package vtime

import (
	"context"
	"runtime"

	"github.com/cockroachdb/errors"
	"golang.org/x/sync/errgroup"
)

// RunSeeds runs each of a number of policies with the seeds 1 to n on half of the cores. The results are
// in the order of the policies and of the seeds.
func RunSeeds[R any](ctx context.Context, policies, n int, run func(policy int, seed uint64) R) ([][]R, error) {
	if n < 1 {
		return nil, errors.Newf("vtime: number of seeds must be at least 1, not %d", n)
	}
	all := make([][]R, policies)
	group, ctx := errgroup.WithContext(ctx)
	group.SetLimit(max(1, runtime.GOMAXPROCS(0)/2))
	for i := range policies {
		all[i] = make([]R, n)
		for k := range n {
			group.Go(func() error {
				if err := ctx.Err(); err != nil {
					return err
				}
				all[i][k] = run(i, uint64(k+1))
				return nil
			})
		}
	}
	return all, errors.Wrap(group.Wait(), "vtime: run seeds")
}
