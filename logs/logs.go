// Package logs writes structured logs without holding up the code that logs. It bounds the volume:
// lines above a rate are dropped and counted, and so are those that the output does not take in time.
package logs

import (
	"bytes"
	"context"
	"io"
	"log/slog"
	"sync"
	"time"
)

const (
	// DefaultRate is the number of lines a second of level INFO and below that are written.
	DefaultRate = 2000
	// flushEvery is the longest time for which a line stays in memory. Lines are written together,
	// because each write costs a system call.
	flushEvery = 50 * time.Millisecond
	// maxPending bounds the bytes that wait for the output.
	maxPending = 1 << 20
	// atomicWrite is PIPE_BUF of Linux: writes of up to so many bytes to a pipe are not mixed with those
	// of other processes.
	atomicWrite = 4096
	// closeTime bounds the wait for the output at the end.
	closeTime = time.Second
)

// Config describes an output.
type Config struct {
	Output io.Writer
	Level  slog.Level
	// Rate bounds the lines of level INFO and below in a second; 0 means DefaultRate.
	Rate int
}

// Output writes log lines in the background. It is safe for concurrent use.
type Output struct {
	config Config
	wake   chan struct{}
	closed chan struct{}
	done   chan struct{}

	mu      sync.Mutex
	pending bytes.Buffer
	second  int64
	lines   int
	// dropped counts the lines that were not written, and reported those of them that a line tells.
	dropped  uint64
	reported uint64
}

// New returns an output that is running. Close ends it.
func New(c Config) *Output {
	if c.Rate <= 0 {
		c.Rate = DefaultRate
	}
	o := &Output{config: c, wake: make(chan struct{}, 1), closed: make(chan struct{}), done: make(chan struct{})}
	go o.run()
	return o
}

// Logger returns a logger of JSON lines. Each has the attributes.
func (o *Output) Logger(attributes ...any) *slog.Logger {
	h := &handler{output: o, next: slog.NewJSONHandler(o, &slog.HandlerOptions{Level: o.config.Level})}
	return slog.New(h).With(attributes...)
}

// Dropped returns the number of lines that were not written.
func (o *Output) Dropped() uint64 {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.dropped
}

// Close writes what is pending and ends the output. It does not wait longer than a second.
func (o *Output) Close() {
	close(o.closed)
	select {
	case <-o.done:
	case <-time.After(closeTime):
	}
}

// Write takes one line. It never waits.
func (o *Output) Write(line []byte) (int, error) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.pending.Len()+len(line) > maxPending {
		o.dropped++
		return len(line), nil
	}
	o.pending.Write(line)
	select {
	case o.wake <- struct{}{}:
	default:
	}
	return len(line), nil
}

// admits reports whether a line of the level may be written now, and counts it.
func (o *Output) admits(level slog.Level, now time.Time) bool {
	if level > slog.LevelInfo {
		return true
	}
	o.mu.Lock()
	defer o.mu.Unlock()
	if s := now.Unix(); s != o.second {
		o.second, o.lines = s, 0
	}
	o.lines++
	if o.lines > o.config.Rate {
		o.dropped++
		return false
	}
	return true
}

func (o *Output) run() {
	defer close(o.done)
	var batch bytes.Buffer
	for {
		select {
		case <-o.closed:
			o.flush(&batch)
			return
		case <-o.wake:
		}
		o.flush(&batch)
		select {
		case <-o.closed:
			o.flush(&batch)
			return
		case <-time.After(flushEvery):
		}
	}
}

// flush writes what is pending. A failure of the output itself has nowhere to be reported.
func (o *Output) flush(batch *bytes.Buffer) {
	o.mu.Lock()
	batch.Reset()
	batch.Write(o.pending.Bytes())
	o.pending.Reset()
	lost := o.dropped - o.reported
	o.reported = o.dropped
	o.mu.Unlock()
	if lost > 0 {
		l := slog.New(slog.NewJSONHandler(batch, nil))
		l.Warn("log lines dropped", "Lines", lost)
	}
	for batch.Len() > 0 {
		_, _ = o.config.Output.Write(batch.Next(wholeLines(batch.Bytes())))
	}
}

// wholeLines returns the length of the longest run of lines that fits into one atomic write, or of the
// first line when that is longer.
func wholeLines(b []byte) int {
	if end := bytes.LastIndexByte(b[:min(len(b), atomicWrite)], '\n'); end >= 0 {
		return end + 1
	}
	if end := bytes.IndexByte(b, '\n'); end >= 0 {
		return end + 1
	}
	return len(b)
}

// handler drops lines above the rate before they are formatted.
type handler struct {
	output *Output
	next   slog.Handler
}

// Enabled reports whether lines of the level are written.
func (h *handler) Enabled(ctx context.Context, l slog.Level) bool { return h.next.Enabled(ctx, l) }

// Handle formats a line.
func (h *handler) Handle(ctx context.Context, r slog.Record) error {
	if !h.output.admits(r.Level, r.Time) {
		return nil
	}
	return h.next.Handle(ctx, r)
}

// WithAttrs returns a handler whose lines have the attributes.
func (h *handler) WithAttrs(a []slog.Attr) slog.Handler {
	return &handler{h.output, h.next.WithAttrs(a)}
}

// WithGroup returns a handler that puts attributes into a group.
func (h *handler) WithGroup(name string) slog.Handler {
	return &handler{h.output, h.next.WithGroup(name)}
}
