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

// WriteText writes the results as a text table per case.
func WriteText(w io.Writer, results []Result) error {
	t := tabwriter.NewWriter(w, 0, 4, 2, ' ', 0)
	last := ""
	for _, r := range results {
		if r.Case != last {
			last = r.Case
			fmt.Fprintf(t, "\n%s (%s)\n", r.Case, formatSeeds(r))
			fmt.Fprintln(t, "policy\tp50\tp99\tp99.9\tideal p99\tcoverage\textra\tgoodput\tworth\tscores B, C\tcold excess+undetected\tramp time\tcrashes\tsheds\tlast send\tkinds answered")
		}
		fmt.Fprintf(t, "%s\t%s\t%s\t%s\t%s\t%.4f\t%.2f%%\t%.1f/s\t%.1f/s\t%.3f, %.3f\t%d+%d of %d\t%s\t%d\t%d\t%s\t%s\n",
			r.Policy, formatMillis(r.P50), formatMillis(r.P99), formatMillis(r.P999), formatMillis(r.IdealP99), r.Coverage, 100*r.ExtraShare, r.Goodput, r.Worth, r.Bureau, r.Cooperative,
			r.ColdExcess, r.ColdExcessUndetected, r.ColdReceived, formatRampTime(r), r.Crashes, r.Sheds, formatMillis(r.LastSendAfterWithdrawal), formatKinds(r))
	}
	return errors.Wrap(t.Flush(), "trial: write report")
}

func formatSeeds(r Result) string {
	if r.Seeds == 1 {
		return fmt.Sprintf("seed %d", r.Seed)
	}
	return fmt.Sprintf("%d seeds", r.Seeds)
}

func formatMillis(d wire.Duration) string {
	return fmt.Sprintf("%.1fms", float64(d)/float64(time.Millisecond))
}

func formatRampTime(r Result) string {
	return fmt.Sprintf("%s (%d)", formatMillis(r.RampTime), r.Ramps)
}

func formatKinds(r Result) string {
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

// WriteComparison writes a table of recorded and replayed outcomes by kind.
func WriteComparison(w io.Writer, list []Comparison) error {
	t := tabwriter.NewWriter(w, 0, 4, 2, ' ', 0)
	fmt.Fprintln(t, "kind\trequests\toutcome differs\tanswered\treplayed\tp99\treplayed\tsends\treplayed")
	for _, v := range list {
		fmt.Fprintf(t, "%s\t%d\t%d\t%d\t%d\t%s\t%s\t%d\t%d\n", v.Kind, v.Requests, v.Differ,
			v.Recorded[wire.Answered], v.Replayed[wire.Answered], formatMillis(v.RecordedP99), formatMillis(v.ReplayedP99),
			v.RecordedSends, v.ReplayedSends)
	}
	return errors.Wrap(t.Flush(), "trial: write comparison")
}
