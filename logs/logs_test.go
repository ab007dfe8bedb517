package logs

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"log/slog"
	"os"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"
)

// buffer is a bytes.Buffer that is safe for concurrent use.
type buffer struct {
	mu sync.Mutex
	bytes.Buffer
}

func (b *buffer) Write(p []byte) (int, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.Buffer.Write(p)
}

func (b *buffer) lines() []string {
	b.mu.Lock()
	defer b.mu.Unlock()
	return strings.Split(strings.TrimSpace(b.String()), "\n")
}

// Guards against lines lost on Close and against lines that are not valid JSON.
func TestLinesAreWritten(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	var b buffer
	o := New(Config{Output: &b})
	l := o.Logger("Node", "n1")
	for i := range 100 {
		l.Info("answered", "RequestId", i)
	}
	l.Debug("not written")
	o.Close()
	lines := b.lines()
	is.Equal(len(lines), 100)
	var v struct {
		Node      string
		RequestID int `json:"RequestId"`
	}
	is.NoErr(json.Unmarshal([]byte(lines[99]), &v))
	is.Equal(v.Node, "n1")
	is.Equal(v.RequestID, 99)
}

// Guards against unbounded log volume under load and against dropped lines that are not reported.
func TestVolumeIsBounded(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	var b buffer
	o := New(Config{Output: &b, Rate: 10})
	l := o.Logger()
	for range 10_000 {
		l.Info("answered")
	}
	l.Warn("store unreachable")
	o.Close()
	all := strings.Join(b.lines(), "\n")
	is.True(strings.Count(all, "answered") <= 20) // the loop may span two seconds
	is.True(strings.Contains(all, "store unreachable"))
	is.True(strings.Contains(all, "log lines dropped"))
	is.True(o.Dropped() >= 9_980)
}

// Guards against log calls and Close that block when the output accepts no data.
func TestLoggingNeverBlocks(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	r, w := io.Pipe()
	defer r.Close()
	o := New(Config{Output: w, Rate: 1 << 30})
	l := o.Logger()
	begin := time.Now()
	line := strings.Repeat("x", 1000)
	for range 5000 {
		l.Info(line)
	}
	is.True(time.Since(begin) < time.Second)
	is.True(o.Dropped() > 0)
	o.Close()
	is.True(time.Since(begin) < 3*time.Second)
}

// Guards against interleaved lines when several processes write to the same pipe.
func TestWritesAreWholeLines(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	long := strings.Repeat("x", 2*atomicWriteBytes) + "\n"
	short := strings.Repeat("y", 100) + "\n"
	is.Equal(wholeLines([]byte(strings.Repeat(short, 50))), 40*len(short))
	is.Equal(wholeLines([]byte(short+long)), len(short))
	is.Equal(wholeLines([]byte(long+short)), len(long))
	is.Equal(wholeLines([]byte("z")), 1)
}

func Example() {
	o := New(Config{Output: os.Stdout, Level: slog.LevelInfo})
	defer o.Close()
	log := o.Logger()
	log.Debug("not shown")
	fmt.Println(o.Dropped())
	// Output: 0
}

func BenchmarkLog(b *testing.B) {
	o := New(Config{Output: io.Discard, Rate: 1 << 30})
	defer o.Close()
	l := o.Logger("Node", "n1")
	b.ReportAllocs()
	for i := range b.N {
		l.Info("answered", "RequestId", "9c41d07be2a35f68", "Route", "r-1", "Status", 200, "Answered", 20, "Total", 20, "Sends", i)
	}
}
