package guard

import (
	"flag"
	"os"
	"testing"
)

// TestMain sets a fixed seed for the property tests, so that their results are reproducible. A flag on the
// command line overrides it.
func TestMain(m *testing.M) {
	_ = flag.Set("rapid.seed", "1")
	flag.Parse()
	os.Exit(m.Run())
}
