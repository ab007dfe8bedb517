package load

import (
	"bytes"
	"fmt"
	"html"
	"io"
	"math"
	"time"

	"github.com/cockroachdb/errors"
)

// Sizes of the plot in pixels.
const (
	plotWidth   = 860
	plotHeight  = 640
	panelLeft   = 80
	panelRight  = 680
	legendLeft  = 700
	panelHeight = 220
	topPanel    = 60
	lowPanel    = 360
	lineHeight  = 18
)

// palette has colours that people with colour blindness can tell apart.
var palette = []string{"#0072b2", "#d55e00", "#009e73", "#cc79a7", "#e69f00", "#56b4e9", "#000000"}

// outcomes are the parts of a bar of the timeline, from the bottom up.
var outcomes = []struct {
	name, colour string
	of           func(Counts) int
}{
	{"answered", "#009e73", func(c Counts) int { return c.Answered }},
	{"refused, not run", "#e69f00", func(c Counts) int { return c.RefusedNotRun }},
	{"refused", "#d55e00", func(c Counts) int { return c.Refused }},
	{"unknown", "#000000", func(c Counts) int { return c.Unknown }},
}

// WriteSVG writes a plot with the latency by percentile for each kind, and the outcomes over
// time.
func (r *Report) WriteSVG(w io.Writer) error {
	var b bytes.Buffer
	fmt.Fprintf(&b, "<svg xmlns=\"http://www.w3.org/2000/svg\" viewBox=\"0 0 %d %d\" font-family=\"sans-serif\" font-size=\"12\">\n", plotWidth, plotHeight)
	fmt.Fprintf(&b, "<rect width=\"%d\" height=\"%d\" fill=\"#ffffff\"/>\n", plotWidth, plotHeight)
	text(&b, panelLeft, 24, "start", fmt.Sprintf("%s: %s arrivals, %.1f requests/s, seed %d", r.Title, r.Arrivals, r.Rate, r.Seed))
	r.plotLatency(&b)
	r.plotTimeline(&b)
	fmt.Fprintln(&b, "</svg>")
	_, err := w.Write(b.Bytes())
	return errors.Wrap(err, "load: write SVG report")
}

func (r *Report) plotLatency(b *bytes.Buffer) {
	top := 0.0
	last := tail(99)
	for _, k := range r.Kinds {
		for _, p := range k.Percentiles {
			top = max(top, p.Latency.Std().Seconds())
			last = max(last, tail(p.Percent))
		}
	}
	top = roundUp(top)
	panel(b, topPanel, "latency by percentile")
	for i := range 5 {
		v := top * float64(i) / 4
		gridLine(b, topPanel, float64(i)/4, formatLatency(time.Duration(v*float64(time.Second))))
	}
	for _, p := range []float64{0, 50, 90, 99, 99.9, 99.99, 99.999} {
		if tail(p) <= last {
			text(b, panelLeft+across(tail(p)/last), topPanel+panelHeight+16, "middle", fmt.Sprintf("%gth", p))
		}
	}
	for i, k := range r.Kinds {
		colour := palette[i%len(palette)]
		fmt.Fprintf(b, "<polyline fill=\"none\" stroke=\"%s\" stroke-width=\"2\" points=\"", colour)
		for n, p := range k.Percentiles {
			if n > 0 {
				b.WriteByte(' ')
			}
			y := float64(topPanel+panelHeight) - panelHeight*p.Latency.Std().Seconds()/top
			fmt.Fprintf(b, "%.1f,%.1f", panelLeft+across(tail(p.Percent)/last), y)
		}
		fmt.Fprintln(b, "\"/>")
		legend(b, topPanel, i, colour, k.Kind)
	}
}

func (r *Report) plotTimeline(b *bytes.Buffer) {
	most := 0
	for _, v := range r.Timeline {
		most = max(most, v.Count)
	}
	top := roundUp(float64(most))
	panel(b, lowPanel, "outcomes over time, requests by intended start")
	for i := range 5 {
		gridLine(b, lowPanel, float64(i)/4, fmt.Sprintf("%g", top*float64(i)/4))
	}
	width := float64(panelRight-panelLeft) / float64(max(1, len(r.Timeline)))
	for i, v := range r.Timeline {
		x := panelLeft + width*float64(i)
		y := float64(lowPanel + panelHeight)
		for _, o := range outcomes {
			h := panelHeight * float64(o.of(v.Counts)) / top
			if h == 0 {
				continue
			}
			y -= h
			fmt.Fprintf(b, "<rect x=\"%.1f\" y=\"%.1f\" width=\"%.1f\" height=\"%.1f\" fill=\"%s\"/>\n", x, y, width, h, o.colour)
		}
	}
	text(b, panelLeft, lowPanel+panelHeight+16, "middle", "0s")
	text(b, panelRight, lowPanel+panelHeight+16, "middle", r.Sending.Std().Round(time.Millisecond).String())
	for i, o := range outcomes {
		legend(b, lowPanel, i, o.colour, o.name)
	}
}

// across returns the width of a share of a panel in pixels.
func across(share float64) float64 {
	return share * (panelRight - panelLeft)
}

// roundUp returns the next larger of 1, 2, 4, 6, 8 and 10 times a power of ten, and 1 for 0, so
// that the four parts of an axis have short labels.
func roundUp(v float64) float64 {
	if v <= 0 {
		return 1
	}
	power := math.Pow(10, math.Floor(math.Log10(v)))
	for _, m := range []float64{1, 2, 4, 6, 8} {
		if v <= m*power {
			return m * power
		}
	}
	return 10 * power
}

func panel(b *bytes.Buffer, y int, title string) {
	text(b, panelLeft, float64(y-8), "start", title)
	fmt.Fprintf(b, "<rect x=\"%d\" y=\"%d\" width=\"%d\" height=\"%d\" fill=\"none\" stroke=\"#888888\"/>\n",
		panelLeft, y, panelRight-panelLeft, panelHeight)
}

func gridLine(b *bytes.Buffer, panelTop int, share float64, label string) {
	y := float64(panelTop) + panelHeight*(1-share)
	fmt.Fprintf(b, "<line x1=\"%d\" y1=\"%.1f\" x2=\"%d\" y2=\"%.1f\" stroke=\"#dddddd\"/>\n", panelLeft, y, panelRight, y)
	text(b, panelLeft-6, y+4, "end", label)
}

func legend(b *bytes.Buffer, panelTop, line int, colour, label string) {
	y := panelTop + lineHeight*line
	fmt.Fprintf(b, "<rect x=\"%d\" y=\"%d\" width=\"12\" height=\"12\" fill=\"%s\"/>\n", legendLeft, y, colour)
	text(b, legendLeft+18, float64(y+10), "start", label)
}

func text(b *bytes.Buffer, x, y float64, anchor, s string) {
	fmt.Fprintf(b, "<text x=\"%.1f\" y=\"%.1f\" text-anchor=\"%s\">%s</text>\n", x, y, anchor, html.EscapeString(s))
}
