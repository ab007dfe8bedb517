package logs

import (
	"bytes"
	"slices"
	"strings"
	"testing"

	"github.com/matryer/is"
	"github.com/sebdah/goldie/v2"
)

const nodeA = `  12.5 node-a {"time":"2026-03-25T09:17:30Z","level":"INFO","msg":"eject","Node":"node-a","RequestId":"","Server":"i-1","Detail":"unsent"}
{"time":"2026-03-25T09:17:20Z","level":"INFO","msg":"eject","Node":"node-a","Server":"i-1","Detail":"long before"}
{"time":"2026-03-25T09:17:34.2Z","level":"INFO","msg":"retry","Node":"node-a","RequestId":"r1","Service":"s","Server":"i-1","Detail":"i-2 ended: broken"}
{"time":"2026-03-25T09:17:34.25Z","level":"INFO","msg":"answered","Node":"node-a","RequestId":"r1","Status":200,"Missing":["s waiting"]}
{"time":"2026-03-25T09:17:34.26Z","level":"INFO","msg":"answered","Node":"node-a","RequestId":"r2","Status":200}
panic: not a log line {
{"time":"2026-03-25T09:17:34.26Z"}
`

const nodeB = `{"time":"2026-03-25T09:17:34.1Z","level":"INFO","msg":"relay","Node":"node-b","RequestId":"r1","Server":""}
`

// Guards against a timeline that omits lines of other nodes or events of the request's servers, or that
// includes lines of other requests.
func TestTimeline(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	a, skipped, err := Read(strings.NewReader(nodeA))
	is.NoErr(err)
	is.Equal(skipped, 2)
	b, _, err := Read(strings.NewReader(nodeB))
	is.NoErr(err)
	var text bytes.Buffer
	is.NoErr(WriteTimeline(&text, Timeline(slices.Concat(a, b), "r1")))
	goldie.New(t).Assert(t, "timeline", text.Bytes())
	is.Equal(len(Timeline(a, "r3")), 0)
}

// Guards against malformed log lines that make Read fail or Timeline panic.
func FuzzRead(f *testing.F) {
	f.Add(nodeA)
	f.Add(`{"time":`)
	f.Fuzz(func(t *testing.T, text string) {
		lines, _, err := Read(strings.NewReader(text))
		if err != nil && len(text) < maxLineBytes {
			t.Fatal(err)
		}
		for _, l := range lines {
			Timeline(lines, l.RequestID)
		}
	})
}
