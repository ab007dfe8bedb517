// Package chart draws panels with lines, bars, scales and a legend as SVG.
package chart

import (
	"bytes"
	"fmt"
	"html"
	"io"
	"math"

	"github.com/cockroachdb/errors"
)

// Sizes in pixels.
const (
	Width       = 860
	Left        = 80
	Right       = 680
	PanelHeight = 220

	legendLeft    = 700
	lineHeight    = 18
	titleBaseline = 24
)

// Palette holds colours that are distinguishable with colour blindness.
var Palette = []string{"#0072b2", "#d55e00", "#009e73", "#cc79a7", "#e69f00", "#56b4e9", "#000000"}

// Canvas is an SVG drawing with the fixed width Width.
type Canvas struct {
	b bytes.Buffer
}

// NewCanvas returns a white canvas with a title. The height is in pixels.
func NewCanvas(height int, title string) *Canvas {
	c := &Canvas{}
	fmt.Fprintf(&c.b, "<svg xmlns=\"http://www.w3.org/2000/svg\" viewBox=\"0 0 %d %d\" font-family=\"sans-serif\" font-size=\"12\">\n", Width, height)
	fmt.Fprintf(&c.b, "<rect width=\"%d\" height=\"%d\" fill=\"#ffffff\"/>\n", Width, height)
	c.Text(Left, titleBaseline, "start", title)
	return c
}

// WriteTo completes the drawing and writes it to w. The canvas must not be used afterwards.
func (c *Canvas) WriteTo(w io.Writer) (int64, error) {
	fmt.Fprintln(&c.b, "</svg>")
	n, err := c.b.WriteTo(w)
	return n, errors.Wrap(err, "chart: write SVG")
}

// XOffset returns the distance in pixels from the left edge of a panel for a fraction of its width.
func XOffset(share float64) float64 { return share * (Right - Left) }

// RoundUp rounds v up to 1, 2, 4, 6, 8 or 10 times a power of ten, so that the four sections of an axis have short
// labels. It returns 1 if v is not above 0.
func RoundUp(v float64) float64 {
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

// Panel draws the frame of a panel, with its title above. The top edge is in pixels.
func (c *Canvas) Panel(top int, title string) {
	c.Text(Left, float64(top-8), "start", title)
	fmt.Fprintf(&c.b, "<rect x=\"%d\" y=\"%d\" width=\"%d\" height=\"%d\" fill=\"none\" stroke=\"#888888\"/>\n",
		Left, top, Right-Left, PanelHeight)
}

// YAxis draws the grid lines and labels of a vertical axis from 0 to maximum, in four sections.
func (c *Canvas) YAxis(panelTop int, maximum float64, label func(float64) string) {
	for i := range 5 {
		y := float64(panelTop) + PanelHeight*(1-float64(i)/4)
		fmt.Fprintf(&c.b, "<line x1=\"%d\" y1=\"%.1f\" x2=\"%d\" y2=\"%.1f\" stroke=\"#dddddd\"/>\n", Left, y, Right, y)
		c.Text(Left-6, y+4, "end", label(maximum*float64(i)/4))
	}
}

// Point is a position in pixels.
type Point struct{ X, Y float64 }

// Line draws a line through the points.
func (c *Canvas) Line(colour string, points []Point) {
	fmt.Fprintf(&c.b, "<polyline fill=\"none\" stroke=\"%s\" stroke-width=\"2\" points=\"", colour)
	for i, p := range points {
		if i > 0 {
			c.b.WriteByte(' ')
		}
		fmt.Fprintf(&c.b, "%.1f,%.1f", p.X, p.Y)
	}
	fmt.Fprintln(&c.b, "\"/>")
}

// Bar draws a filled rectangle.
func (c *Canvas) Bar(x, y, width, height float64, colour string) {
	fmt.Fprintf(&c.b, "<rect x=\"%.1f\" y=\"%.1f\" width=\"%.1f\" height=\"%.1f\" fill=\"%s\"/>\n", x, y, width, height, colour)
}

// Legend draws one line of the legend next to a panel, counted from 0.
func (c *Canvas) Legend(panelTop, line int, colour, label string) {
	y := panelTop + lineHeight*line
	fmt.Fprintf(&c.b, "<rect x=\"%d\" y=\"%d\" width=\"12\" height=\"12\" fill=\"%s\"/>\n", legendLeft, y, colour)
	c.Text(legendLeft+18, float64(y+10), "start", label)
}

// Text draws s at a position in pixels; the anchor is start, middle or end.
func (c *Canvas) Text(x, y float64, anchor, s string) {
	fmt.Fprintf(&c.b, "<text x=\"%.1f\" y=\"%.1f\" text-anchor=\"%s\">%s</text>\n", x, y, anchor, html.EscapeString(s))
}
