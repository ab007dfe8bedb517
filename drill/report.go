package drill

import (
	"fmt"
	"io"
	"maps"
	"slices"
	"text/tabwriter"
	"time"

	"github.com/cockroachdb/errors"
)

// WriteText writes the results as a text table per case.
func WriteText(w io.Writer, results []*Result) error {
	t := tabwriter.NewWriter(w, 0, 4, 2, ' ', 0)
	last := ""
	for _, r := range results {
		if r.Case != last {
			last = r.Case
			fmt.Fprintf(t, "\n%s (seeds 1 to %d)\n", r.Case, r.Seeds)
			fmt.Fprintln(t, "policy\tworth\tworst 2 s\textra\tbudget\tcrashes\tkinds: worth, in time + late + refused + failed, coverage, p50, p99")
		}
		fmt.Fprintf(t, "%s\t%.3f\t%.3f\t%.1f%%\t%.2f\t%d", r.Policy, r.Worth, r.WorstWindow, 100*r.ExtraShare, r.BudgetUse, r.Crashes)
		for _, name := range slices.Sorted(maps.Keys(r.Kinds)) {
			k := r.Kinds[name]
			fmt.Fprintf(t, "\t%s %.3f, %d+%d+%d+%d, %.3f, %s, %s", name, k.Worth, k.InTime, k.Late, k.Refused, k.Failed, k.Coverage,
				k.P50.Std().Round(time.Millisecond), k.P99.Std().Round(time.Millisecond))
		}
		fmt.Fprintln(t)
	}
	return errors.Wrap(t.Flush(), "drill: write report")
}
