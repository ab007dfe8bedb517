package demo

import (
	"bytes"
	"log/slog"
	"strings"
	"testing"

	"github.com/matryer/is"

	"github.com/arbutusthread/arbutusthread/wire"
)

// Guards against a demonstration that fails, or that violates a guarantee while a failure domain is out.
func TestRun(t *testing.T) {
	is := is.New(t)
	var out bytes.Buffer
	err := Run(t.Context(), Config{Out: &out, Log: slog.New(slog.DiscardHandler)})
	is.NoErr(err)                                          // out
	is.Equal(strings.Count(out.String(), "kept  "), 3)     // the checks after the run
	is.True(!strings.Contains(out.String(), "BROKEN"))     // none failed
	is.True(strings.Contains(out.String(), "0 doubled, ")) // orders were placed
}

// Guards against checks that cannot fail: each invalid answer must be reported as a violation.
func TestChecksDetectInvalidAnswers(t *testing.T) {
	validAnswer := func() *wire.Answer {
		return &wire.Answer{
			RequestID: "r", IndexVersion: "v1", Hits: []wire.Hit{{ID: "s0/v1/0"}},
			Coverage: wire.Coverage{Shards: 2, Covered: []string{"s0"}, Missing: []wire.MissingShard{{Shard: "s1"}}},
		}
	}
	for name, corrupt := range map[string]func(*wire.Answer){
		"another request": func(a *wire.Answer) { a.RequestID = "x" },
		"another version": func(a *wire.Answer) { a.Hits[0].ID = "s0/v2/0" },
		"false coverage":  func(a *wire.Answer) { a.Hits[0].ID = "s1/v1/0" },
		"shards missing":  func(a *wire.Answer) { a.Coverage.Missing = nil },
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			h := newHistory()
			h.recordAnswer("r", validAnswer())
			is.Equal(len(h.violations), 0)
			a := validAnswer()
			corrupt(a)
			h.recordAnswer("r", a)
			is.Equal(len(h.violations), 1)
			is.Equal(printChecks(&bytes.Buffer{}, []Check{{Name: name, Passed: len(h.violations) == 0}}), ErrCheckFailed)
		})
	}
}
