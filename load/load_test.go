package load

import (
	"bytes"
	"context"
	"encoding/xml"
	"errors"
	"io"
	"math/rand/v2"
	"testing"
	"testing/synctest"
	"time"

	"github.com/arbutusthread/arbutusthread/wire"
	"github.com/matryer/is"
	"github.com/sebdah/goldie/v2"
)

var mix = []Kind{{Name: "lookup", Worth: 1, Share: 3}, {Name: "order <pairs>", Worth: 10, Share: 1}}

// Guards against coordinated omission: a generator that waits for a slow response before it sends the next
// request would report one slow request here instead of the whole backlog.
func TestLatencyCountsFromIntendedStart(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		c := Config{Rate: 100, Duration: time.Second, Arrivals: Constant, Kinds: mix[:1], MaxInFlight: 1}
		r, err := Run(t.Context(), c, func(_ context.Context, q Request) Result {
			if q.Number == 0 {
				time.Sleep(500 * time.Millisecond)
			}
			return Result{Outcome: wire.Answered, Coverage: 1}
		})
		is.NoErr(err)
		is.Equal(r.All.Count, 100)
		// 50 requests were due during the pause; request k waited for 500 ms minus k times 10 ms.
		is.True(r.All.P50.Std() <= 10*time.Millisecond)
		p := r.All.Percentiles
		is.Equal(p[4].Percent, 75.0)
		is.True(p[4].Latency.Std() >= 240*time.Millisecond)
		is.Equal(r.All.Goodput, 100.0)
	})
}

// Guards against a run that, when canceled early, does not count the requests in flight or sends more.
func TestRunEndsWithContext(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		ctx, cancel := context.WithTimeout(t.Context(), 255*time.Millisecond)
		defer cancel()
		c := Config{Rate: 100, Duration: time.Minute, Arrivals: Constant, Kinds: mix[:1]}
		r, err := Run(ctx, c, func(ctx context.Context, _ Request) Result {
			<-ctx.Done()
			return Result{}
		})
		is.NoErr(err)
		is.Equal(r.All.Count, 26)
		is.Equal(r.All.Unknown, 26)
	})
}

// Guards against schedules that differ between runs with the same seed or deviate from the configured rate or mix.
func TestScheduleIsSeeded(t *testing.T) {
	is := is.New(t)
	c := Config{Rate: 1000, Duration: 20 * time.Second, Kinds: mix, Seed: 7}
	var first []Request
	orders := 0
	for q := range Schedule(c) {
		first = append(first, q)
		if q.Kind.Name == mix[1].Name {
			orders++
		}
	}
	n := 0
	for q := range Schedule(c) {
		is.Equal(q, first[n])
		n++
	}
	is.Equal(n, len(first))
	// The bounds are four standard deviations around 20,000 requests, of which a quarter are orders.
	is.True(n > 19_434 && n < 20_566)
	is.True(orders > n/4-250 && orders < n/4+250)
	c.Seed = 8
	for q := range Schedule(c) {
		is.True(q != first[0])
		break
	}
}

func sample() *Report {
	c := Config{Title: "Lukang & Yilan", Rate: 100, Duration: 10 * time.Second, Kinds: mix, Seed: 7, Bucket: time.Second}
	v := NewCollector(c)
	r := rand.New(rand.NewPCG(1, 1))
	for q := range Schedule(c) {
		latency := time.Duration(float64(5*time.Millisecond) * (1 + r.ExpFloat64()))
		result := Result{Outcome: wire.Answered, Coverage: 1}
		switch u := r.IntN(50); {
		case u == 0:
			result = Result{Outcome: wire.Unknown}
		case u == 1:
			result = Result{Outcome: wire.Refused}
		case u < 2+int(q.At/time.Second):
			result = Result{Outcome: wire.Refused, NotRun: true}
		case u == 49:
			result.Coverage = 0.95
		}
		v.Add(q, latency, result)
	}
	return v.Report(c.Duration)
}

// Guards against unintended changes of the report formats, which are read by people and by programs.
func TestReportFormats(t *testing.T) {
	is := is.New(t)
	r := sample()
	var text, json, svg bytes.Buffer
	is.NoErr(r.WriteText(&text))
	is.NoErr(r.WriteJSON(&json))
	is.NoErr(r.WriteSVG(&svg))
	g := goldie.New(t, goldie.WithNameSuffix(""))
	g.Assert(t, "report.txt", text.Bytes())
	g.Assert(t, "report.json", json.Bytes())
	g.Assert(t, "report.svg", svg.Bytes())

	d := xml.NewDecoder(&svg)
	for {
		_, err := d.Token()
		if errors.Is(err, io.EOF) {
			break
		}
		is.NoErr(err) // an unescaped title or kind makes the SVG malformed
	}
	is.Equal(r.All.Count, r.All.Answered+r.All.RefusedNotRun+r.All.Refused+r.All.Unknown)
}

// Guards against a division by zero or a malformed plot in a report without successful requests.
func TestReportWithoutAnswers(t *testing.T) {
	is := is.New(t)
	r := NewCollector(Config{Rate: 1, Duration: time.Second, Kinds: mix}).Report(0)
	var b bytes.Buffer
	is.NoErr(r.WriteText(&b))
	is.NoErr(r.WriteJSON(&b))
	is.NoErr(r.WriteSVG(&b))
	is.True(!bytes.Contains(b.Bytes(), []byte("NaN")))
}
