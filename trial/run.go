package trial

import (
	"context"

	"github.com/cockroachdb/errors"

	"github.com/arbutusthread/arbutusthread/vtime"
)

// FindCase returns the case with the given name, or an error that lists the known names.
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

// RunSeeds runs each policy of the case with the seeds 1 to n, using half of the cores, and pools the
// results by policy. All policies get the same seeds.
func RunSeeds(ctx context.Context, c Case, n int) ([]Result, error) {
	all, err := vtime.RunSeeds(ctx, len(c.Policies), n, func(policy int, seed uint64) Result { return Run(c, c.Policies[policy], seed) })
	if err != nil {
		return nil, errors.Wrapf(err, "trial: run case %s", c.Name)
	}
	pooled := make([]Result, len(all))
	for i, list := range all {
		pooled[i] = Pool(list)
	}
	return pooled, nil
}
