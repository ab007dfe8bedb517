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

// failedSeeds are seeds that failed in the past, kept as regression tests, each with the cause of the failure.
var failedSeeds = []uint64{
	8202, // overlapping faults started two processes of one node
}

// Guards against guarantees that are violated under external faults, in a short run with real processes. The
// command "arbutusthread soak" runs more seeds for longer.
func TestShortRun(t *testing.T) {
	is := is.New(t)
	binary := filepath.Join(t.TempDir(), "arbutusthread")
	build := exec.CommandContext(t.Context(), "go", "build", "-o", binary, "..")
	build.Stderr = os.Stderr
	is.NoErr(build.Run())
	for _, seed := range append([]uint64{1}, failedSeeds...) {
		r, err := Run(t.Context(), Config{
			Binary: binary, Dir: os.TempDir(), Seed: seed, Nodes: 4, Callers: 6, FaultTime: 6 * time.Second,
			Log: slog.New(slog.DiscardHandler),
		})
		is.NoErr(err)
		t.Logf("%+v", r)
		is.Equal(r.Broken, nil)
	}
}
