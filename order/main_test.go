package order

import (
	"flag"
	"os"
	"testing"
)

// TestMain fixes the seed of the property tests, so that their verdict never varies. A flag on the
// command line overrides it.
func TestMain(m *testing.M) {
	_ = flag.Set("rapid.seed", "1")
	flag.Parse()
	os.Exit(m.Run())
}
