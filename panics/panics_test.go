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
		parts := strings.Split("a", ",")
		return errors.New(parts[len(parts)])
	})
	is.True(errors.Is(err, panics.ErrPanic))
	is.True(strings.Contains(err.Error(), "index out of range"))
	is.True(strings.Contains(err.Error(), "panics_test.go"))
	other := errors.New("other")
	is.Equal(panics.Catch(func() error { return other }), other)
	is.NoErr(panics.Catch(func() error { return nil }))
}
