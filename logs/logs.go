// Package logs writes structured logs without blocking the code that logs on a slow output. Lines of level
// INFO and below are written in batches. Lines above reach the output before the log call returns, so that
// they survive if the process is killed. The volume is limited: lines above a rate limit are dropped and
// counted, and so are lines for which the buffer has no room because the output is too slow.
package logs

import (
	"bytes"
	"context"
	"io"
	"log/slog"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// DefaultRate is the default rate limit for lines of level INFO and below, in lines per second.
	DefaultRate = 2000
	// flushInterval is the maximum time that a line is buffered. Lines are written in batches because
	// each write costs a system call.
	flushInterval = 50 * time.Millisecond
	// maxPendingBytes is the capacity of the buffer for lines not yet written.
	maxPendingBytes = 1 << 20
	// atomicWriteBytes is PIPE_BUF of Linux: writes to a pipe up to this size are atomic, so they are not
	// interleaved with those of other processes.
	atomicWriteBytes = 4096
	// closeTimeout is the maximum time that Close waits for a write to return. It is short because a process that stops
	// has little time left, and nobody may be reading its output.
	closeTimeout = 100 * time.Millisecond
	// syncTimeout is the maximum time that a log call waits for a write to return. After a wait of this length no log
	// call waits until the output accepts data again.
	syncTimeout = 50 * time.Millisecond
	// maxWait is the maximum time that Close or a log call waits, also for a writer that gets no processor time.
	maxWait            = time.Second
	stuckCheckInterval = 5 * time.Millisecond
)

// Config configures an Output.
type Config struct {
	Output io.Writer
	Level  slog.Level
	// Rate is the limit for lines of level INFO and below, in lines per second; 0 or less means DefaultRate.
	Rate int
}

// Output writes log lines in the background. It is safe for concurrent use.
type Output struct {
	config Config
	wake   chan struct{}
	// syncs passes the writer goroutine channels that it closes once all lines buffered before are written.
	syncs  chan chan struct{}
	closed chan struct{}
	done   chan struct{}
	// stuck is set while the output accepts no data.
	stuck atomic.Bool
	// writingSince is the time at which the present write to the output began, in Unix nanoseconds; 0 if there is none.
	writingSince atomic.Int64

	mu            sync.Mutex
	pending       bytes.Buffer
	currentSecond int64
	linesInSecond int
	// dropped is the number of dropped lines; reported is the part of it already reported in the log.
	dropped  uint64
	reported uint64
}

// New returns an Output and starts its writer goroutine, which Close stops.
func New(c Config) *Output {
	if c.Rate <= 0 {
		c.Rate = DefaultRate
	}
	o := &Output{
		config: c, wake: make(chan struct{}, 1), syncs: make(chan chan struct{}),
		closed: make(chan struct{}), done: make(chan struct{}),
	}
	go o.run()
	return o
}

// Logger returns a logger that writes JSON lines with the given attributes.
func (o *Output) Logger(attributes ...any) *slog.Logger {
	h := &handler{output: o, next: slog.NewJSONHandler(o, &slog.HandlerOptions{Level: o.config.Level})}
	return slog.New(h).With(attributes...)
}

// Dropped returns the number of dropped lines.
func (o *Output) Dropped() uint64 {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.dropped
}

// Close flushes the buffer and stops the writer. It waits at most maxWait, and closeTimeout for an output that accepts
// nothing.
func (o *Output) Close() {
	close(o.closed)
	o.wait(o.done, closeTimeout)
}

// wait waits until the channel is closed or receives, and reports false if it gives up: when a write has not returned for
// stuckTime, or after maxWait. A writer that only gets no processor time is waited for.
func (o *Output) wait(done <-chan struct{}, stuckTime time.Duration) bool {
	t := time.NewTicker(stuckCheckInterval)
	defer t.Stop()
	limit := time.After(maxWait)
	for {
		select {
		case <-done:
			return true
		case <-limit:
			return false
		case now := <-t.C:
			if since := o.writingSince.Load(); since != 0 && now.UnixNano()-since >= int64(stuckTime) {
				return false
			}
		}
	}
}

// Write buffers one line, or drops it if the buffer is full. It does not wait for the output and returns
// no error.
func (o *Output) Write(line []byte) (int, error) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.pending.Len()+len(line) > maxPendingBytes {
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

// sync waits until the buffered lines are written, and not at all while the output is stuck.
func (o *Output) sync() {
	if o.stuck.Load() {
		return
	}
	written := make(chan struct{})
	go o.requestSync(written)
	if !o.wait(written, syncTimeout) {
		o.stuck.Store(true)
	}
}

// requestSync passes a request for a sync to the writer as soon as it is free.
func (o *Output) requestSync(written chan struct{}) {
	select {
	case o.syncs <- written:
	case <-o.done:
		close(written)
	}
}

// allow counts a line of the given level against the rate limit and reports whether it may be written.
func (o *Output) allow(level slog.Level, now time.Time) bool {
	if level > slog.LevelInfo {
		return true
	}
	o.mu.Lock()
	defer o.mu.Unlock()
	if s := now.Unix(); s != o.currentSecond {
		o.currentSecond, o.linesInSecond = s, 0
	}
	o.linesInSecond++
	if o.linesInSecond > o.config.Rate {
		o.dropped++
		return false
	}
	return true
}

func (o *Output) run() {
	defer close(o.done)
	var batch bytes.Buffer
	wake := o.wake
	var pause <-chan time.Time
	for {
		var written chan struct{}
		select {
		case <-o.closed:
			o.flush(&batch)
			return
		case written = <-o.syncs:
		case <-wake:
			wake, pause = nil, time.After(flushInterval)
		case <-pause:
			wake, pause = o.wake, nil
			continue
		}
		o.flush(&batch)
		o.stuck.Store(false)
		if written != nil {
			close(written)
		}
	}
}

// flush writes the buffered lines. Write errors are ignored because there is no other output to report
// them to.
func (o *Output) flush(batch *bytes.Buffer) {
	o.mu.Lock()
	batch.Reset()
	batch.Write(o.pending.Bytes())
	o.pending.Reset()
	unreported := o.dropped - o.reported
	o.reported = o.dropped
	o.mu.Unlock()
	if unreported > 0 {
		l := slog.New(slog.NewJSONHandler(batch, nil))
		l.Warn("log lines dropped", "Lines", unreported)
	}
	for batch.Len() > 0 {
		o.writingSince.Store(time.Now().UnixNano())
		_, _ = o.config.Output.Write(batch.Next(wholeLines(batch.Bytes())))
		o.writingSince.Store(0)
	}
}

// wholeLines returns the length in bytes of the longest sequence of complete lines that fits into one
// atomic write, or the length of the first line if that line alone is longer.
func wholeLines(b []byte) int {
	if end := bytes.LastIndexByte(b[:min(len(b), atomicWriteBytes)], '\n'); end >= 0 {
		return end + 1
	}
	if end := bytes.IndexByte(b, '\n'); end >= 0 {
		return end + 1
	}
	return len(b)
}

// handler drops lines above the rate limit before they are formatted, and waits for lines above level INFO.
type handler struct {
	output *Output
	next   slog.Handler
}

// Enabled reports whether the level is enabled.
func (h *handler) Enabled(ctx context.Context, l slog.Level) bool { return h.next.Enabled(ctx, l) }

// Handle formats a record and writes it to the output, unless the rate limit is exceeded.
func (h *handler) Handle(ctx context.Context, r slog.Record) error {
	if !h.output.allow(r.Level, r.Time) {
		return nil
	}
	err := h.next.Handle(ctx, r)
	if r.Level > slog.LevelInfo {
		h.output.sync()
	}
	return err
}

// WithAttrs returns a handler that adds the attributes to each line.
func (h *handler) WithAttrs(a []slog.Attr) slog.Handler {
	return &handler{h.output, h.next.WithAttrs(a)}
}

// WithGroup returns a handler that nests subsequent attributes in the group.
func (h *handler) WithGroup(name string) slog.Handler {
	return &handler{h.output, h.next.WithGroup(name)}
}
