package demo

import (
	"bytes"
	"log/slog"
	"strings"
	"testing"

	"github.com/matryer/is"

	"github.com/arbutusthread/arbutusthread/wire"
)

// Guards against a first use that fails, or that breaks a promise while a failure domain moves.
func TestRun(t *testing.T) {
	is := is.New(t)
	var out bytes.Buffer
	err := Run(t.Context(), Config{Out: &out, Log: slog.New(slog.DiscardHandler)})
	is.NoErr(err)                                          // out
	is.Equal(strings.Count(out.String(), "kept  "), 3)     // the checks after the run
	is.True(!strings.Contains(out.String(), "BROKEN"))     // none failed
	is.True(strings.Contains(out.String(), "0 doubled, ")) // orders were placed
}

// Guards against checks that cannot fail.
func TestChecksNoticeFaults(t *testing.T) {
	whole := func() *wire.Answer {
		return &wire.Answer{
			RequestID: "r", IndexVersion: "v1", Hits: []wire.Hit{{ID: "s0/v1/0"}},
			Coverage: wire.Coverage{Shards: 2, Covered: []string{"s0"}, Missing: []wire.MissingShard{{Shard: "s1"}}},
		}
	}
	for name, change := range map[string]func(*wire.Answer){
		"another request": func(a *wire.Answer) { a.RequestID = "x" },
		"another version": func(a *wire.Answer) { a.Hits[0].ID = "s0/v2/0" },
		"false coverage":  func(a *wire.Answer) { a.Hits[0].ID = "s1/v1/0" },
		"shards missing":  func(a *wire.Answer) { a.Coverage.Missing = nil },
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			h := newHistory()
			h.answer("r", whole())
			is.Equal(len(h.faults), 0)
			a := whole()
			change(a)
			h.answer("r", a)
			is.Equal(len(h.faults), 1)
			is.Equal(printChecks(&bytes.Buffer{}, []Check{{Name: name, Kept: len(h.faults) == 0}}), ErrBroken)
		})
	}
}
