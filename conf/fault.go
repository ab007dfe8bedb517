package conf

import (
	"fmt"
	"strconv"
	"strings"
)

// Fault is one validation error of settings or of a document. Path is the path of the field, for example
// Services[3].Servers[0].Slots. Details never contain keys.
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

// maxFaultsInError bounds the length of an error text, because a wrong domain name may affect every server.
const maxFaultsInError = 8

// Error lists the first maxFaultsInError faults and the number of the others.
func (f Faults) Error() string {
	var s strings.Builder
	s.WriteString("conf: ")
	for i, x := range f {
		if i > 0 {
			s.WriteString("; ")
		}
		if i == maxFaultsInError {
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

// Lines lists all faults, one a line.
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

// checkRange adds a fault if v is below low, above high or not a number.
func checkRange[T int | float64](f *Faults, path string, v, low, high T) {
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

// distinct detects duplicates. It maps each value to the path of its first use.
type distinct[K comparable] map[K]string

func (d distinct[K]) check(f *Faults, path string, k K) {
	if first, ok := d[k]; ok {
		f.add(path, "is the same as %s", first)
		return
	}
	d[k] = path
}

// fieldPath appends a field name to a path.
func fieldPath(path, name string) string {
	if path == "" {
		return name
	}
	return path + "." + name
}

// indexPath appends a list index to a path.
func indexPath(path string, i int) string {
	return path + "[" + strconv.Itoa(i) + "]"
}
