package trial

import (
	"fmt"
	"io"
	"slices"
	"text/tabwriter"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/arbutusthread/arbutusthread/wire"
)

// WriteText writes results as one table for each case.
func WriteText(w io.Writer, results []Result) error {
	t := tabwriter.NewWriter(w, 0, 4, 2, ' ', 0)
	last := ""
	for _, r := range results {
		if r.Case != last {
			last = r.Case
			fmt.Fprintf(t, "\n%s (%s)\n", r.Case, seeds(r))
			fmt.Fprintln(t, "policy\tp50\tp99\tp99.9\tideal p99\tcoverage\textra\tgoodput\tworth\tscores B, C\tcold over+unseen\tfull use\tcrashes\tsheds\tlast new work\tkinds answered")
		}
		fmt.Fprintf(t, "%s\t%s\t%s\t%s\t%s\t%.4f\t%.2f%%\t%.1f/s\t%.1f/s\t%.3f, %.3f\t%d+%d of %d\t%s\t%d\t%d\t%s\t%s\n",
			r.Policy, ms(r.P50), ms(r.P99), ms(r.P999), ms(r.IdealP99), r.Coverage, 100*r.Extra, r.Goodput, r.Worth, r.Bureau, r.Cooperative,
			r.ColdOver, r.ColdUnseen, r.ColdReceived, fullUse(r), r.Crashes, r.Sheds, ms(r.LastNewWork), kinds(r))
	}
	return errors.Wrap(t.Flush(), "trial: write report")
}

func seeds(r Result) string {
	if r.Seeds == 1 {
		return fmt.Sprintf("seed %d", r.Seed)
	}
	return fmt.Sprintf("%d seeds", r.Seeds)
}

func ms(d wire.Duration) string {
	return fmt.Sprintf("%.1fms", float64(d)/float64(time.Millisecond))
}

func fullUse(r Result) string {
	return fmt.Sprintf("%s (%d)", ms(r.FullUse), r.Ramps)
}

func kinds(r Result) string {
	names := make([]string, 0, len(r.Kinds))
	for n := range r.Kinds {
		names = append(names, n)
	}
	slices.Sort(names)
	text := ""
	for _, n := range names {
		k := r.Kinds[n]
		text += fmt.Sprintf("%s %d/%d ", n, k.Answered, k.Sent)
	}
	return text
}

// WriteComparison writes the outcomes of a replay beside those recorded.
func WriteComparison(w io.Writer, list []Comparison) error {
	t := tabwriter.NewWriter(w, 0, 4, 2, ' ', 0)
	fmt.Fprintln(t, "kind\trequests\toutcome differs\tanswered\treplayed\tp99\treplayed\tsends\treplayed")
	for _, v := range list {
		fmt.Fprintf(t, "%s\t%d\t%d\t%d\t%d\t%s\t%s\t%d\t%d\n", v.Kind, v.Requests, v.Differ,
			v.Recorded[wire.Answered], v.Replayed[wire.Answered], ms(v.RecordedP99), ms(v.ReplayedP99),
			v.RecordedSends, v.ReplayedSends)
	}
	return errors.Wrap(t.Flush(), "trial: write comparison")
}
