package load

import (
	"fmt"
	"io"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/arbutusthread/arbutusthread/chart"
)

// Height of the plot and top edges of its panels, in pixels.
const (
	plotHeight       = 640
	latencyPanelTop  = 60
	timelinePanelTop = 360
)

// outcomes are the segments of a timeline bar, from the bottom up.
var outcomes = []struct {
	name, colour string
	of           func(Counts) int
}{
	{"answered", "#009e73", func(c Counts) int { return c.Answered }},
	{"refused, not run", "#e69f00", func(c Counts) int { return c.RefusedNotRun }},
	{"refused", "#d55e00", func(c Counts) int { return c.Refused }},
	{"unknown", "#000000", func(c Counts) int { return c.Unknown }},
}

// WriteSVG writes the report as an SVG plot of the latency by percentile for each kind and of the outcomes
// over time.
func (r *Report) WriteSVG(w io.Writer) error {
	c := chart.NewCanvas(plotHeight, fmt.Sprintf("%s: %s arrivals, %.1f requests/s, seed %d", r.Title, r.Arrivals, r.Rate, r.Seed))
	r.plotLatency(c)
	r.plotTimeline(c)
	_, err := c.WriteTo(w)
	return errors.Wrap(err, "load: write SVG report")
}

func (r *Report) plotLatency(c *chart.Canvas) {
	top := 0.0
	last := percentilePosition(99)
	for _, k := range r.Kinds {
		for _, p := range k.Percentiles {
			top = max(top, p.Latency.Std().Seconds())
			last = max(last, percentilePosition(p.Percent))
		}
	}
	top = chart.RoundUp(top)
	c.Panel(latencyPanelTop, "latency by percentile")
	c.YAxis(latencyPanelTop, top, func(v float64) string { return formatLatency(time.Duration(v * float64(time.Second))) })
	for _, p := range []float64{0, 50, 90, 99, 99.9, 99.99, 99.999} {
		if percentilePosition(p) <= last {
			c.Text(chart.Left+chart.XOffset(percentilePosition(p)/last), latencyPanelTop+chart.PanelHeight+16, "middle", fmt.Sprintf("%gth", p))
		}
	}
	for i, k := range r.Kinds {
		colour := chart.Palette[i%len(chart.Palette)]
		var points []chart.Point
		for _, p := range k.Percentiles {
			points = append(points, chart.Point{
				X: chart.Left + chart.XOffset(percentilePosition(p.Percent)/last),
				Y: float64(latencyPanelTop+chart.PanelHeight) - chart.PanelHeight*p.Latency.Std().Seconds()/top,
			})
		}
		c.Line(colour, points)
		c.Legend(latencyPanelTop, i, colour, k.Kind)
	}
}

func (r *Report) plotTimeline(c *chart.Canvas) {
	most := 0
	for _, v := range r.Timeline {
		most = max(most, v.Count)
	}
	top := chart.RoundUp(float64(most))
	c.Panel(timelinePanelTop, "outcomes over time, requests by intended start")
	c.YAxis(timelinePanelTop, top, func(v float64) string { return fmt.Sprintf("%g", v) })
	width := float64(chart.Right-chart.Left) / float64(max(1, len(r.Timeline)))
	for i, v := range r.Timeline {
		x := chart.Left + width*float64(i)
		y := float64(timelinePanelTop + chart.PanelHeight)
		for _, o := range outcomes {
			h := chart.PanelHeight * float64(o.of(v.Counts)) / top
			if h == 0 {
				continue
			}
			y -= h
			c.Bar(x, y, width, h, o.colour)
		}
	}
	c.Text(chart.Left, timelinePanelTop+chart.PanelHeight+16, "middle", "0s")
	c.Text(chart.Right, timelinePanelTop+chart.PanelHeight+16, "middle", r.Sending.Std().Round(time.Millisecond).String())
	for i, o := range outcomes {
		c.Legend(timelinePanelTop, i, o.colour, o.name)
	}
}
