package option

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"
)

// Guards against a default that replaces an option that was set.
func TestDefaults(t *testing.T) {
	is := is.New(t)
	is.Equal(Positive(3, 5), 3)
	is.Equal(Positive(0, 5), 5)
	is.Equal(Positive(-time.Second, time.Minute), time.Minute)
	zero, set := "", "set"
	Default(&zero, "default")
	Default(&set, "default")
	is.Equal(zero, "default")
	is.Equal(set, "set")
}

func ExamplePositive() {
	fmt.Println(Positive(0, 3), Positive(7, 3))
	// Output: 3 7
}
