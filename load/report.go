package load

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"text/tabwriter"
	"time"

	"github.com/arbutusthread/arbutusthread/wire"
	"github.com/cockroachdb/errors"
)

// Report is the result of a run.
type Report struct {
	Title    string   `json:"Title"`
	Arrivals Arrivals `json:"Arrivals"`
	// Rate is in requests per second.
	Rate float64 `json:"Rate"`
	Seed uint64  `json:"Seed"`
	// Sending is the time during which requests were sent.
	Sending wire.Duration `json:"Sending"`
	Kinds   []KindReport  `json:"Kinds"`
	All     KindReport    `json:"All"`
	// Timeline counts the outcomes by intended start.
	Timeline []Interval `json:"Timeline"`
}

// KindReport is the result for one kind of request, or for all kinds combined.
type KindReport struct {
	Kind  string  `json:"Kind"`
	Worth float64 `json:"Worth"`
	Counts
	// P50, P99 and P999 are the 50th, 99th and 99.9th percentiles of the latency of answered requests.
	P50  wire.Duration `json:"P50"`
	P99  wire.Duration `json:"P99"`
	P999 wire.Duration `json:"P999"`
	// MeanCoverage is the mean coverage of answered requests, between 0 and 1.
	MeanCoverage float64 `json:"MeanCoverage"`
	// Goodput is in answered requests per second; WorthGoodput is Goodput weighted by the worth.
	Goodput      float64      `json:"Goodput"`
	WorthGoodput float64      `json:"WorthGoodput"`
	Percentiles  []Percentile `json:"Percentiles"`
}

// Counts counts requests by outcome.
type Counts struct {
	Count         int `json:"Count"`
	Answered      int `json:"Answered"`
	RefusedNotRun int `json:"RefusedNotRun"`
	Refused       int `json:"Refused"`
	Unknown       int `json:"Unknown"`
}

func (c *Counts) add(r Result) {
	c.Count++
	switch {
	case r.Outcome == wire.Answered:
		c.Answered++
	case r.Outcome == wire.Refused && r.NotRun:
		c.RefusedNotRun++
	case r.Outcome == wire.Refused:
		c.Refused++
	default:
		c.Unknown++
	}
}

func (c *Counts) merge(o Counts) {
	c.Count += o.Count
	c.Answered += o.Answered
	c.RefusedNotRun += o.RefusedNotRun
	c.Refused += o.Refused
	c.Unknown += o.Unknown
}

// Interval counts the requests whose intended start falls into one interval of the timeline.
type Interval struct {
	From wire.Duration `json:"From"`
	Counts
}

// Percentile is a point of the latency curve.
type Percentile struct {
	Percent float64       `json:"Percent"`
	Latency wire.Duration `json:"Latency"`
}

// WriteText writes the report as a table.
func (r *Report) WriteText(w io.Writer) error {
	var b bytes.Buffer
	if r.Title != "" {
		fmt.Fprintln(&b, r.Title)
	}
	fmt.Fprintf(&b, "%s arrivals, %.1f requests/s for %s, seed %d\n\n",
		r.Arrivals, r.Rate, r.Sending.Std().Round(time.Millisecond), r.Seed)
	t := tabwriter.NewWriter(&b, 0, 0, 2, ' ', tabwriter.AlignRight)
	fmt.Fprintln(t, "kind\tcount\tanswered\tnot run\trefused\tunknown\tp50\tp99\tp99.9\tcoverage\tgoodput/s\tworth/s\t")
	for _, k := range append(append([]KindReport{}, r.Kinds...), r.All) {
		fmt.Fprintf(t, "%s\t%d\t%d\t%d\t%d\t%d\t%s\t%s\t%s\t%s\t%.1f\t%.1f\t\n",
			k.Kind, k.Count, k.Answered, k.RefusedNotRun, k.Refused, k.Unknown,
			k.latencyText(k.P50), k.latencyText(k.P99), k.latencyText(k.P999), k.coverageText(), k.Goodput, k.WorthGoodput)
	}
	if err := t.Flush(); err != nil {
		return errors.Wrap(err, "load: write text report")
	}
	fmt.Fprintln(&b, "\nLatency is that of answered requests, from the intended start.")
	_, err := w.Write(b.Bytes())
	return errors.Wrap(err, "load: write text report")
}

// latencyText formats a latency, or returns "-" if no request was answered.
func (k KindReport) latencyText(d wire.Duration) string {
	if k.Answered == 0 {
		return "-"
	}
	return formatLatency(d.Std())
}

func (k KindReport) coverageText() string {
	if k.Answered == 0 {
		return "-"
	}
	return fmt.Sprintf("%.4f", k.MeanCoverage)
}

func formatLatency(d time.Duration) string {
	if d >= time.Second {
		return fmt.Sprintf("%.2fs", d.Seconds())
	}
	return fmt.Sprintf("%.2fms", float64(d)/float64(time.Millisecond))
}

// WriteJSON writes the report as one JSON object.
func (r *Report) WriteJSON(w io.Writer) error {
	e := json.NewEncoder(w)
	e.SetIndent("", "  ")
	return errors.Wrap(e.Encode(r), "load: write JSON report")
}
