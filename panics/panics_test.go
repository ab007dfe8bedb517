package panics_test

import (
	"strings"
	"testing"

	"github.com/cockroachdb/errors"
	"github.com/matryer/is"

	"github.com/arbutusthread/arbutusthread/panics"
)

// Guards against a panic that passes, against one without its place, and against a changed error.
func TestCatch(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	err := panics.Catch(func() error {
		var m map[string]int
		m["a"] = 1
		return nil
	})
	is.True(errors.Is(err, panics.ErrPanic))
	is.True(strings.Contains(err.Error(), "assignment to entry in nil map"))
	is.True(strings.Contains(err.Error(), "panics_test.go"))
	other := errors.New("other")
	is.Equal(panics.Catch(func() error { return other }), other)
	is.NoErr(panics.Catch(func() error { return nil }))
}
