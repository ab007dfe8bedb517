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

// Line is a parsed log line of a node.
type Line struct {
	Time      time.Time
	Node      string
	Message   string
	RequestID string
	// Server is the value of the attribute Server, a backend server or node, if any.
	Server string
	// Fields are the other attributes, including Server, in the order of the line.
	Fields []Field
}

// Field is a log attribute with its value as text.
type Field struct {
	Name, Value string
}

// maxLineBytes is the maximum length of a line. Read returns an error for longer lines.
const maxLineBytes = 1 << 20

// Read parses a log and returns its lines in input order, and the number of skipped lines that are not log
// lines. Text before the first brace of a line is ignored, because log collectors prepend their own fields.
// It returns an error if reading fails or a line is longer than 1 MiB.
func Read(r io.Reader) (lines []Line, skipped int, err error) {
	s := bufio.NewScanner(r)
	s.Buffer(make([]byte, 0, 64<<10), maxLineBytes)
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
		// On a parse error the time stays zero, and parseLine rejects the line.
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

// serverEventWindow is the time before the first line of a request from which lines about its servers are
// included in the timeline. It is longer than the ejection time of a server.
const serverEventWindow = 5 * time.Second

// Timeline returns the lines of a request from the logs of all nodes, sorted by time. It includes lines
// without a request ID about servers that the lines of the request name, from 5 s before its first line to
// its last line. It returns nil if no line has the request ID.
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
	first := slices.MinFunc(list, byTime).Time.Add(-serverEventWindow)
	last := slices.MaxFunc(list, byTime).Time
	for _, l := range lines {
		if l.RequestID == "" && servers[l.Server] && !l.Time.Before(first) && !l.Time.After(last) {
			list = append(list, l)
		}
	}
	slices.SortStableFunc(list, byTime)
	return list
}

// WriteTimeline writes lines as a table with their times in milliseconds relative to the first line that has
// a request ID. It returns the errors of w.
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
