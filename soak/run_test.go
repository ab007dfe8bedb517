package soak

import (
	"log/slog"
	"os"
	"os/exec"
	"path/filepath"
	"testing"
	"time"

	"github.com/matryer/is"
)

// shortRuns are the runs of the tests. Seeds that failed in the past are kept, each with the cause of the failure.
var shortRuns = []Config{
	{Seed: 1, Nodes: 4, Callers: 6, FaultTime: 6 * time.Second},
	{Seed: 8202, Nodes: 4, Callers: 6, FaultTime: 6 * time.Second}, // overlapping faults started two processes of one node
	// Relays ended when a query named a shard that they did not know, and a planned stop cut off long requests.
	{Seed: 2},
}

// Guards against guarantees that are violated under external faults, in a short run with real processes. The
// command "arbutusthread soak" runs more seeds for longer.
func TestShortRun(t *testing.T) {
	is := is.New(t)
	binary := buildBinary(t)
	for _, c := range shortRuns {
		c.Binary, c.Dir, c.Log = binary, os.TempDir(), slog.New(slog.DiscardHandler)
		r, err := Run(t.Context(), c)
		is.NoErr(err)
		t.Logf("%+v", r)
		is.Equal(r.Broken, nil)
	}
}

// buildBinary builds the program under test.
func buildBinary(t *testing.T) string {
	t.Helper()
	binary := filepath.Join(t.TempDir(), "arbutusthread")
	build := exec.CommandContext(t.Context(), "go", "build", "-o", binary, "..")
	build.Stderr = os.Stderr
	is.New(t).NoErr(build.Run())
	return binary
}
