package conf

import (
	"fmt"
	"strconv"
	"strings"
)

// Fault is one reason why settings or a document are not accepted. Path names the field, for
// example Services[3].Servers[0].Slots. Details never contain keys.
type Fault struct {
	Path   string `json:"Path"`
	Detail string `json:"Detail"`
}

// String returns the path and the detail on one line.
func (f Fault) String() string {
	if f.Path == "" {
		return f.Detail
	}
	return f.Path + ": " + f.Detail
}

// Faults are all faults of settings or of a document, in the order of its fields.
type Faults []Fault

// faultsInError bounds an error text, because a wrong domain name may affect every server.
const faultsInError = 8

// Error lists the first faults and counts the rest.
func (f Faults) Error() string {
	var s strings.Builder
	s.WriteString("conf: ")
	for i, x := range f {
		if i > 0 {
			s.WriteString("; ")
		}
		if i == faultsInError {
			fmt.Fprintf(&s, "and %d more", len(f)-i)
			break
		}
		s.WriteString(x.String())
	}
	return s.String()
}

// Err returns the faults as an error, or nil if there are none.
func (f Faults) Err() error {
	if len(f) == 0 {
		return nil
	}
	return f
}

// Lines lists every fault on a line of its own.
func (f Faults) Lines() string {
	var s strings.Builder
	for _, x := range f {
		s.WriteString(x.String())
		s.WriteByte('\n')
	}
	return s.String()
}

func (f *Faults) add(path, format string, args ...any) {
	*f = append(*f, Fault{Path: path, Detail: fmt.Sprintf(format, args...)})
}

// between reports a value outside its limits.
func between[T int | float64](f *Faults, path string, v, low, high T) {
	if v >= low && v <= high {
		return
	}
	switch {
	case v < low:
		f.add(path, "must be at least %v", low)
	case v > high:
		f.add(path, "must be at most %v", high)
	default:
		f.add(path, "must be a number")
	}
}

// distinct reports the second and later uses of a value.
type distinct[K comparable] map[K]string

func (d distinct[K]) check(f *Faults, path string, k K) {
	if first, ok := d[k]; ok {
		f.add(path, "is the same as %s", first)
		return
	}
	d[k] = path
}

// field joins a path and the name of a field.
func field(path, name string) string {
	if path == "" {
		return name
	}
	return path + "." + name
}

// element joins a path and the position in a list.
func element(path string, i int) string {
	return path + "[" + strconv.Itoa(i) + "]"
}
