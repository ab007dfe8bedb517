package drill

import (
	"fmt"
	"io"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/arbutusthread/arbutusthread/chart"
)

// Vertical layout of the panels in pixels.
const (
	firstPanelTop = 60
	panelStep     = chart.PanelHeight + 70
)

// panels are the plotted values of a window.
var panels = []struct {
	title string
	// minScale is the smallest upper end of the scale, which is raised to the highest value.
	minScale float64
	value    func(Window) float64
	label    func(float64) string
}{
	{"credit earned, share of the worth of all requests", 1, func(w Window) float64 { return w.Worth }, percent},
	{
		"p99 of the latency of answered requests, ms", 0,
		func(w Window) float64 { return float64(w.P99.Std()) / float64(time.Millisecond) },
		func(v float64) string { return fmt.Sprintf("%g", v) },
	},
	{"coverage of answered requests", 1, func(w Window) float64 { return w.Coverage }, percent},
	{"unanswered requests", 0, func(w Window) float64 { return w.Unanswered }, percent},
	{"extra arrivals at servers, share of first arrivals", 0, func(w Window) float64 { return w.ExtraShare }, percent},
}

func percent(v float64) string { return fmt.Sprintf("%.3g%%", 100*v) }

// WriteSVG writes a plot of one case over time, with one line per policy in each panel. It returns an error
// if results is empty or a write fails.
func WriteSVG(w io.Writer, results []*Result) error {
	if len(results) == 0 {
		return errors.New("drill: no results to plot")
	}
	title := fmt.Sprintf("%s, seeds 1 to %d, by time of arrival in windows of %v", results[0].Case, results[0].Seeds, windowTime)
	c := chart.NewCanvas(firstPanelTop+len(panels)*panelStep, title)
	for i, p := range panels {
		top := firstPanelTop + i*panelStep
		most := p.minScale
		for _, r := range results {
			for _, v := range r.Windows {
				most = max(most, p.value(v))
			}
		}
		most = chart.RoundUp(most)
		c.Panel(top, p.title)
		c.YAxis(top, most, p.label)
		for k, r := range results {
			colour := chart.Palette[k%len(chart.Palette)]
			c.Line(colour, linePoints(r.Windows, top, most, p.value))
			c.Legend(top, k, colour, r.Policy)
		}
		end := time.Duration(len(results[0].Windows)) * windowTime
		c.Text(chart.Left, float64(top+chart.PanelHeight+16), "middle", "0s")
		c.Text(chart.Right, float64(top+chart.PanelHeight+16), "middle", end.String())
	}
	_, err := c.WriteTo(w)
	return errors.Wrap(err, "drill: write plot")
}

// linePoints returns one point per window, at the middle of the window.
func linePoints(windows []Window, top int, most float64, value func(Window) float64) []chart.Point {
	var points []chart.Point
	for i, v := range windows {
		points = append(points, chart.Point{
			X: chart.Left + chart.XOffset((float64(i)+0.5)/float64(len(windows))),
			Y: float64(top) + chart.PanelHeight*(1-value(v)/most),
		})
	}
	return points
}
