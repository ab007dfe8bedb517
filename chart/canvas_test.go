package chart

import (
	"bytes"
	"fmt"
	"strings"
	"testing"

	"github.com/matryer/is"
)

// Guards against scales that have long labels or end below the largest value.
func TestRoundUp(t *testing.T) {
	is := is.New(t)
	for v, want := range map[float64]float64{0: 1, -1: 1, 0.011: 0.02, 1: 1, 3: 4, 8.5: 10, 99: 100, 100: 100} {
		is.Equal(RoundUp(v), want)
	}
}

// Guards against text that breaks the markup.
func TestTextIsEscaped(t *testing.T) {
	is := is.New(t)
	c := NewCanvas(10, "a < b & c")
	var b bytes.Buffer
	_, err := c.WriteTo(&b)
	is.NoErr(err)
	is.True(strings.Contains(b.String(), "a &lt; b &amp; c"))
	is.True(strings.HasSuffix(b.String(), "</svg>\n"))
}

func ExampleCanvas() {
	c := NewCanvas(400, "requests over time")
	const top = 60
	c.Panel(top, "requests a second")
	c.YAxis(top, RoundUp(37), func(v float64) string { return fmt.Sprint(v) })
	c.Line(Palette[0], []Point{{Left, top + PanelHeight}, {Right, top}})
	c.Legend(top, 0, Palette[0], "all")
	var b bytes.Buffer
	if _, err := c.WriteTo(&b); err != nil {
		fmt.Println(err)
	}
	fmt.Println(strings.Count(b.String(), "<line"), "grid lines,", strings.Count(b.String(), "<polyline"), "curve")
	// Output: 5 grid lines, 1 curve
}
