package trial

import (
	"bytes"
	"fmt"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/matryer/is"

	"github.com/arbutusthread/arbutusthread/wire"
)

func testTrace(id string) Trace {
	return Trace{
		At: epoch, RequestID: id, Service: "desk", Kind: "stock", Query: "sabots \"21\"\n",
		Timeout: wire.Duration(time.Second), Outcome: wire.Answered, Latency: wire.Duration(time.Millisecond), Sends: 3,
	}
}

// Guards against interleaved or truncated records when requests finish concurrently.
func TestRecorderIsSafeForConcurrentUse(t *testing.T) {
	is := is.New(t)
	var b bytes.Buffer
	r := NewRecorder(&b)
	var group sync.WaitGroup
	for i := range 8 {
		group.Go(func() {
			for n := range 50 {
				r.Record(testTrace(fmt.Sprintf("q%d-%d", i, n)))
			}
		})
	}
	group.Wait()
	list, err := ReadTraces(&b)
	is.NoErr(err)
	is.NoErr(r.Err())
	is.Equal(len(list), 400)
	is.Equal(list[0].Query, testTrace("").Query)
}

type fullDisk struct{ calls int }

func (f *fullDisk) Write([]byte) (int, error) {
	f.calls++
	return 0, errors.New("no space left")
}

// Guards against further writes for each request after a write has failed, and against a panic of the nil
// recorder, which means that recording is disabled.
func TestRecorderStopsAtTheFirstError(t *testing.T) {
	is := is.New(t)
	var f fullDisk
	r := NewRecorder(&f)
	r.Record(testTrace("a"))
	r.Record(testTrace("b"))
	is.Equal(f.calls, 1)
	is.True(r.Err() != nil)
	var none *Recorder
	none.Record(testTrace("c"))
	is.NoErr(none.Err())
}

// Guards against invalid records that are accepted and replayed as a different request.
func TestReadTracesNamesTheFaultyLine(t *testing.T) {
	good := `{"At":"2026-01-01T00:00:00Z","RequestId":"a","Service":"s","Kind":"k","Timeout":"1s","Outcome":"Refused","Latency":"0s","Sends":0}`
	for _, bad := range []string{
		strings.Replace(good, `"a"`, `""`, 1), strings.Replace(good, `"1s"`, `"0s"`, 1),
		strings.Replace(good, "Refused", "refused", 1), strings.Replace(good, `"Sends"`, `"Sent"`, 1),
		good + good, good[:40], strings.Replace(good, `:0}`, `:-1}`, 1),
	} {
		is := is.New(t)
		_, err := ReadTraces(strings.NewReader(good + "\n\n" + bad + "\n"))
		is.True(err != nil) // an invalid record must be rejected
		is.True(strings.Contains(err.Error(), "line 3"))
	}
}

// Guards against a replay that differs from the recorded run: the same arrivals against the same models
// must have the same outcomes.
func TestReplayRepeatsARun(t *testing.T) {
	is := is.New(t)
	var b bytes.Buffer
	c := Overload(2)
	c.Duration = 4 * time.Second
	rec := NewRecorder(&b)
	RunRecorded(c, Production(), 3, rec)
	is.NoErr(rec.Err())
	traces, err := ReadTraces(&b)
	is.NoErr(err)
	_, list, err := Replay(c, Production(), 3, traces)
	is.NoErr(err)
	is.Equal(len(list), 3)
	for _, v := range list {
		is.True(v.Requests > 0)
		is.Equal(v.Recorded, v.Replayed)
		is.Equal(v.RecordedSends, v.ReplayedSends)
	}
}

// Guards against a decoder that panics, and against records that change when they are written and read
// again.
func FuzzParseTrace(f *testing.F) {
	var b bytes.Buffer
	NewRecorder(&b).Record(testTrace("a"))
	f.Add(b.Bytes())
	f.Add([]byte(`{"At":"2026-01-01T00:00:00.5+02:00","RequestId":"a","Service":"s","Kind":"k","QueryHash":"ff","Timeout":"1h","Outcome":"Unknown","Latency":"1ns","Sends":9}`))
	f.Fuzz(func(t *testing.T, line []byte) {
		v, err := ParseTrace(line)
		if err != nil {
			return
		}
		var b bytes.Buffer
		r := NewRecorder(&b)
		r.Record(v)
		if r.Err() != nil {
			t.Fatal(r.Err())
		}
		again, err := ParseTrace(b.Bytes())
		if err != nil {
			t.Fatalf("%s: %v", b.Bytes(), err)
		}
		if !again.At.Equal(v.At) || again.Fingerprint() != v.Fingerprint() || again.Outcome != v.Outcome {
			t.Fatalf("record %+v became %+v after a round trip", v, again)
		}
	})
}
