package drill

import (
	"fmt"
	"io"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/arbutusthread/arbutusthread/chart"
)

// Places of the panels in pixels.
const (
	firstPanel = 60
	panelStep  = chart.PanelHeight + 70
)

// panels are the figures of a window that a plot shows.
var panels = []struct {
	title string
	// most is the top of the scale, 0 for that of the figures.
	most  float64
	of    func(Window) float64
	label func(float64) string
}{
	{"share earned of the worth of all requests", 1, func(w Window) float64 { return w.Worth }, percent},
	{
		"p99 of the latency of answered requests, ms", 0,
		func(w Window) float64 { return float64(w.P99.Std()) / float64(time.Millisecond) },
		func(v float64) string { return fmt.Sprintf("%g", v) },
	},
	{"coverage of answered requests", 1, func(w Window) float64 { return w.Coverage }, percent},
	{"requests without an answer", 0, func(w Window) float64 { return w.Rejected }, percent},
	{"arrivals at servers beyond the first of each shard", 0, func(w Window) float64 { return w.Extra }, percent},
}

func percent(v float64) string { return fmt.Sprintf("%.3g%%", 100*v) }

// WriteSVG writes a plot of one case over time, with a line for each policy.
func WriteSVG(w io.Writer, results []*Result) error {
	if len(results) == 0 {
		return errors.New("drill: no results to plot")
	}
	title := fmt.Sprintf("%s, seeds 1 to %d, by time of arrival in windows of %v", results[0].Case, results[0].Seeds, windowTime)
	c := chart.NewCanvas(firstPanel+len(panels)*panelStep, title)
	for i, p := range panels {
		top := firstPanel + i*panelStep
		most := p.most
		for _, r := range results {
			for _, v := range r.Windows {
				most = max(most, p.of(v))
			}
		}
		most = chart.RoundUp(most)
		c.Panel(top, p.title)
		c.Scale(top, most, p.label)
		for k, r := range results {
			colour := chart.Palette[k%len(chart.Palette)]
			c.Line(colour, line(r.Windows, top, most, p.of))
			c.Legend(top, k, colour, r.Policy)
		}
		end := time.Duration(len(results[0].Windows)) * windowTime
		c.Text(chart.Left, float64(top+chart.PanelHeight+16), "middle", "0s")
		c.Text(chart.Right, float64(top+chart.PanelHeight+16), "middle", end.String())
	}
	_, err := c.WriteTo(w)
	return errors.Wrap(err, "drill: write plot")
}

// line places the figure of each window in its middle.
func line(windows []Window, top int, most float64, of func(Window) float64) []chart.Point {
	var points []chart.Point
	for i, v := range windows {
		points = append(points, chart.Point{
			X: chart.Left + chart.Across((float64(i)+0.5)/float64(len(windows))),
			Y: float64(top) + chart.PanelHeight*(1-of(v)/most),
		})
	}
	return points
}
