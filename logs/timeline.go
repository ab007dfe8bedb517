package logs

import (
	"bufio"
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"slices"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/cockroachdb/errors"
)

// Line is one line of a node's log.
type Line struct {
	Time      time.Time
	Node      string
	Message   string
	RequestID string
	// Server is the backend server or node that the line is about, if any.
	Server string
	// Fields are the other names with their values, in the order of the line.
	Fields []Field
}

// Field is a name with its value as text.
type Field struct {
	Name, Value string
}

// maxLine bounds a line in bytes. Longer ones end the reading with an error.
const maxLine = 1 << 20

// Read returns the lines of a log in the order in which they were written, and the number of those that
// are not log lines. Text before the first brace of a line is passed over, as collectors of logs add some.
func Read(r io.Reader) (lines []Line, skipped int, err error) {
	s := bufio.NewScanner(r)
	s.Buffer(make([]byte, 0, 64<<10), maxLine)
	for s.Scan() {
		text := s.Bytes()
		start := bytes.IndexByte(text, '{')
		if start < 0 {
			skipped++
			continue
		}
		l, err := parseLine(text[start:])
		if err != nil {
			skipped++
			continue
		}
		lines = append(lines, l)
	}
	return lines, skipped, errors.Wrap(s.Err(), "logs: read")
}

func parseLine(text []byte) (Line, error) {
	var l Line
	d := json.NewDecoder(bytes.NewReader(text))
	if _, err := d.Token(); err != nil {
		return l, errors.Wrap(err, "logs: parse line")
	}
	for d.More() {
		name, err := d.Token()
		if err != nil {
			return l, errors.Wrap(err, "logs: parse line")
		}
		var raw json.RawMessage
		if err := d.Decode(&raw); err != nil {
			return l, errors.Wrap(err, "logs: parse line")
		}
		l.set(fmt.Sprint(name), raw)
	}
	if _, err := d.Token(); err != nil {
		return l, errors.Wrap(err, "logs: parse line")
	}
	if l.Time.IsZero() || l.Message == "" {
		return l, errors.New("logs: line has no time or no message")
	}
	return l, nil
}

func (l *Line) set(name string, raw json.RawMessage) {
	value := string(raw)
	var text string
	if json.Unmarshal(raw, &text) == nil {
		value = text
	}
	switch name {
	case "time":
		// A line whose time cannot be read keeps the zero time and is passed over.
		l.Time, _ = time.Parse(time.RFC3339Nano, value)
	case "msg":
		l.Message = value
	case "Node":
		l.Node = value
	case "RequestId":
		l.RequestID = value
	case "level":
	default:
		if name == "Server" {
			l.Server = value
		}
		l.Fields = append(l.Fields, Field{name, value})
	}
}

// contextTime is how long before a request lines about its servers are part of its timeline. It is above
// the time for which a server is ejected.
const contextTime = 5 * time.Second

// Timeline returns the lines of a request from the logs of all nodes in the order of their times. Lines
// without a request are among them when they are about a server that the request was sent to.
func Timeline(lines []Line, id string) []Line {
	var list []Line
	servers := make(map[string]bool)
	for _, l := range lines {
		if l.RequestID == id {
			list = append(list, l)
			servers[l.Server] = true
		}
	}
	delete(servers, "")
	if len(list) == 0 {
		return nil
	}
	byTime := func(a, b Line) int { return a.Time.Compare(b.Time) }
	first := slices.MinFunc(list, byTime).Time.Add(-contextTime)
	last := slices.MaxFunc(list, byTime).Time
	for _, l := range lines {
		if l.RequestID == "" && servers[l.Server] && !l.Time.Before(first) && !l.Time.After(last) {
			list = append(list, l)
		}
	}
	slices.SortStableFunc(list, byTime)
	return list
}

// WriteTimeline writes lines with their times relative to the first line of the request.
func WriteTimeline(w io.Writer, list []Line) error {
	var start time.Time
	for _, l := range list {
		if l.RequestID != "" {
			start = l.Time
			break
		}
	}
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	for _, l := range list {
		var fields []string
		for _, f := range l.Fields {
			if f.Value != "" {
				fields = append(fields, f.Name+"="+f.Value)
			}
		}
		offset := float64(l.Time.Sub(start)) / float64(time.Millisecond)
		fmt.Fprintf(t, "%+.1fms\t%s\t%s\t%s\n", offset, l.Node, l.Message, strings.Join(fields, " "))
	}
	return errors.Wrap(t.Flush(), "logs: write timeline")
}
