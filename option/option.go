// Package option fills in the defaults of options that were left out.
package option

import "time"

// Positive returns v, or the default where v is not above zero.
func Positive[T int | time.Duration](v, otherwise T) T {
	if v <= 0 {
		return otherwise
	}
	return v
}

// Default sets v to the default where it has the zero value of its type.
func Default[T comparable](v *T, otherwise T) {
	var zero T
	if *v == zero {
		*v = otherwise
	}
}
