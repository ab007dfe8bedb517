package drill

import (
	"bytes"
	"encoding/xml"
	"errors"
	"io"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/arbutusthread/arbutusthread/wire"
)

// Guards against a plot that is invalid XML or lacks the line or the legend of a policy in a panel.
func TestPlot(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	c, err := FindCase("burst")
	is.NoErr(err)
	results, err := RunSeeds(t.Context(), c, 1)
	is.NoErr(err)
	var b bytes.Buffer
	is.NoErr(WriteSVG(&b, results))
	lines, texts := 0, ""
	for d := xml.NewDecoder(&b); ; {
		token, err := d.Token()
		if errors.Is(err, io.EOF) {
			break
		}
		is.NoErr(err)
		switch x := token.(type) {
		case xml.StartElement:
			if x.Name.Local == "polyline" {
				lines++
			}
		case xml.CharData:
			texts += string(x)
		}
	}
	is.Equal(lines, len(panels)*len(results))
	for _, p := range Policies() {
		is.Equal(strings.Count(texts, p.Name), len(panels))
	}
	is.True(WriteSVG(&b, nil) != nil)
}

// Guards against wrong sums when windows are merged, and against divisions by zero in an empty window.
func TestWindows(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	a := windowCounts{requests: 4, unanswered: 1, offered: 4, earned: 2, covered: 1.5, firsts: 10, extras: 2}
	for i := range 3 {
		a.latencies = append(a.latencies, time.Duration(3-i)*time.Second)
	}
	a.merge(&windowCounts{requests: 4, unanswered: 4, offered: 4})
	is.Equal(a.summarize(2*time.Second), Window{
		From: wire.Duration(2 * time.Second), Worth: 0.25, Coverage: 0.5, P99: wire.Duration(3 * time.Second), Unanswered: 5.0 / 8, ExtraShare: 0.2,
	})
	is.Equal((&windowCounts{}).summarize(0).Worth, 1.0)
}
