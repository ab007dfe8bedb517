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

// Guards against a plot that cannot be read, lacks a policy, or has a line outside its panel.
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

// Guards against figures of a window that are those of others, or of none.
func TestWindows(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	a := windowLoad{asked: 4, rejected: 1, owed: 4, earned: 2, covered: 1.5, firsts: 10, extras: 2}
	for i := range 3 {
		a.latencies = append(a.latencies, time.Duration(3-i)*time.Second)
	}
	a.add(&windowLoad{asked: 4, rejected: 4, owed: 4})
	is.Equal(a.figures(2*time.Second), Window{
		From: wire.Duration(2 * time.Second), Worth: 0.25, Coverage: 0.5, P99: wire.Duration(3 * time.Second), Rejected: 5.0 / 8, Extra: 0.2,
	})
	is.Equal((&windowLoad{}).figures(0).Worth, 1.0)
}
