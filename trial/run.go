package trial

import (
	"context"
	"runtime"

	"github.com/cockroachdb/errors"
	"golang.org/x/sync/errgroup"
)

// FindCase returns the case of that name.
func FindCase(name string) (Case, error) {
	for _, c := range Cases() {
		if c.Name == name {
			return c, nil
		}
	}
	return Case{}, errors.Newf("trial: unknown case %q, known are %v", name, CaseNames())
}

// CaseNames returns the names of all cases in the order of the report.
func CaseNames() []string {
	var names []string
	for _, c := range Cases() {
		names = append(names, c.Name)
	}
	return names
}

// RunSeeds runs each policy of the case with the seeds 1 to n on half of the cores, and pools the results
// of each policy. All policies get the same seeds.
func RunSeeds(ctx context.Context, c Case, n int) ([]Result, error) {
	if n < 1 {
		return nil, errors.Newf("trial: run case %s: number of seeds must be at least 1, not %d", c.Name, n)
	}
	all := make([][]Result, len(c.Policies))
	group, ctx := errgroup.WithContext(ctx)
	group.SetLimit(max(1, runtime.GOMAXPROCS(0)/2))
	for i, p := range c.Policies {
		all[i] = make([]Result, n)
		for k := range n {
			group.Go(func() error {
				if err := ctx.Err(); err != nil {
					return err
				}
				all[i][k] = Run(c, p, uint64(k+1))
				return nil
			})
		}
	}
	if err := group.Wait(); err != nil {
		return nil, errors.Wrapf(err, "trial: run case %s", c.Name)
	}
	pooled := make([]Result, len(all))
	for i, list := range all {
		pooled[i] = Pool(list)
	}
	return pooled, nil
}
