package conf

import (
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/cockroachdb/errors"
	"github.com/matryer/is"
	"github.com/sebdah/goldie/v2"
)

// Guards against faults that are not reported, lose their field path or change their wording unnoticed.
// Each file has the faults of one stage, because a later stage needs a decoded value.
func TestFaults(t *testing.T) {
	files, err := filepath.Glob("testdata/check/*.json")
	is.New(t).NoErr(err)
	is.New(t).True(len(files) > 0)
	for _, name := range files {
		base := strings.TrimSuffix(filepath.Base(name), ".json")
		t.Run(base, func(t *testing.T) {
			b, err := os.ReadFile(name)
			is.New(t).NoErr(err)
			golden := goldie.New(t, goldie.WithFixtureDir("testdata/check"))
			golden.Assert(t, base, []byte(faultsOf(base, b)))
		})
	}
}

func faultsOf(base string, b []byte) string {
	var checked interface{ Check() Faults }
	var err error
	if strings.HasPrefix(base, "settings") {
		checked, err = ParseSettings(b)
	} else {
		checked, err = ParseDocument(b)
	}
	var faults Faults
	if errors.As(err, &faults) {
		return faults.Lines()
	}
	if err != nil {
		return "not faults: " + err.Error()
	}
	return checked.Check().Lines()
}
