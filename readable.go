package main

import (
	"bytes"
	"encoding/json"
	"fmt"
	"strings"
	"text/tabwriter"

	"github.com/cockroachdb/errors"
)

// member is a name/value pair of a JSON object.
type member struct {
	name  string
	value any
}

// object is a JSON object whose members are in document order.
type object []member

// list is a JSON array.
type list []any

// formatJSON formats a JSON value as indented text. An array of objects without nested values is formatted
// as a table.
func formatJSON(b json.RawMessage) (string, error) {
	d := json.NewDecoder(bytes.NewReader(b))
	d.UseNumber()
	v, err := readValue(d)
	if err != nil {
		return "", errors.Wrap(err, "read JSON")
	}
	var s strings.Builder
	writeValue(&s, v, "")
	return s.String(), nil
}

func readValue(d *json.Decoder) (any, error) {
	token, err := d.Token()
	if err != nil {
		return nil, err
	}
	switch token {
	case json.Delim('{'):
		return readObject(d)
	case json.Delim('['):
		return readList(d)
	default:
		return token, nil
	}
}

func readObject(d *json.Decoder) (any, error) {
	var o object
	for d.More() {
		name, err := d.Token()
		if err != nil {
			return nil, err
		}
		v, err := readValue(d)
		if err != nil {
			return nil, err
		}
		o = append(o, member{name: fmt.Sprint(name), value: v})
	}
	_, err := d.Token()
	return o, err
}

func readList(d *json.Decoder) (any, error) {
	var l list
	for d.More() {
		v, err := readValue(d)
		if err != nil {
			return nil, err
		}
		l = append(l, v)
	}
	_, err := d.Token()
	return l, err
}

func writeValue(s *strings.Builder, v any, indent string) {
	switch v := v.(type) {
	case object:
		for _, m := range v {
			writeMember(s, m, indent)
		}
	case list:
		writeList(s, v, indent)
	default:
		fmt.Fprintf(s, "%s%s\n", indent, scalar(v))
	}
}

func writeMember(s *strings.Builder, m member, indent string) {
	if text, ok := inline(m.value); ok {
		fmt.Fprintf(s, "%s%s: %s\n", indent, m.name, text)
		return
	}
	fmt.Fprintf(s, "%s%s:\n", indent, m.name)
	writeValue(s, m.value, indent+"  ")
}

func writeList(s *strings.Builder, l list, indent string) {
	if isTable(l) {
		writeTable(s, l, indent)
		return
	}
	for i, v := range l {
		if text, ok := inline(v); ok {
			fmt.Fprintf(s, "%s%s\n", indent, text)
			continue
		}
		fmt.Fprintf(s, "%s- %d\n", indent, i+1)
		writeValue(s, v, indent+"  ")
	}
}

// inline returns the text of a value that is printed on the same line as its name, and false if the value
// needs lines of its own.
func inline(v any) (string, bool) {
	switch v := v.(type) {
	case object:
		return "none", len(v) == 0
	case list:
		var words []string
		for _, x := range v {
			switch x.(type) {
			case object, list:
				return "", false
			}
			words = append(words, scalar(x))
		}
		if len(words) == 0 {
			return "none", true
		}
		return strings.Join(words, ", "), true
	default:
		return scalar(v), true
	}
}

func scalar(v any) string {
	if v == nil {
		return "-"
	}
	return fmt.Sprint(v)
}

func isTable(l list) bool {
	for _, v := range l {
		o, ok := v.(object)
		if !ok {
			return false
		}
		for _, m := range o {
			if _, ok := inline(m.value); !ok {
				return false
			}
		}
	}
	return len(l) > 0
}

// writeTable writes a table with a column for each name, in order of first occurrence.
func writeTable(s *strings.Builder, l list, indent string) {
	var names []string
	column := map[string]int{}
	for _, v := range l {
		for _, m := range v.(object) {
			if _, ok := column[m.name]; !ok {
				column[m.name] = len(names)
				names = append(names, m.name)
			}
		}
	}
	t := tabwriter.NewWriter(s, 0, 0, 2, ' ', 0)
	fmt.Fprintf(t, "%s%s\n", indent, strings.Join(names, "\t"))
	for _, v := range l {
		cells := make([]string, len(names))
		for i := range cells {
			cells[i] = "-"
		}
		for _, m := range v.(object) {
			cells[column[m.name]], _ = inline(m.value)
		}
		fmt.Fprintf(t, "%s%s\n", indent, strings.Join(cells, "\t"))
	}
	_ = t.Flush()
}
