// Package panics contains panics at the borders where a process handles messages and answers of others, so that one
// malformed message costs that message only.
package panics

import (
	"runtime/debug"

	"github.com/cockroachdb/errors"
)

// ErrPanic is in the chain of every error that Catch returns for a panic.
var ErrPanic = errors.New("panic")

// Catch runs f and returns its error. A panic of f is returned as an error with the stack of the panic. Locks that f
// holds must be released by deferred calls.
func Catch(f func() error) (err error) {
	defer func() {
		if v := recover(); v != nil {
			err = errors.Wrapf(ErrPanic, "%v\n%s", v, debug.Stack())
		}
	}()
	return f()
}
