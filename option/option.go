// Package option fills in default values for unset options.
package option

import "time"

// Positive returns v if it is above zero, and fallback otherwise.
func Positive[T int | time.Duration](v, fallback T) T {
	if v <= 0 {
		return fallback
	}
	return v
}

// Default sets *v to fallback if *v is the zero value of its type.
func Default[T comparable](v *T, fallback T) {
	var zero T
	if *v == zero {
		*v = fallback
	}
}
