package logs

import (
	"os"
	"os/exec"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/matryer/is"
)

// endVariable selects how a child process of TestLinesSurviveTheProcess ends.
const endVariable = "ARBUTUSTHREAD_TEST_END"

// logAndEnd is the child process: it logs and ends at once.
func logAndEnd(end string) {
	o := New(Config{Output: os.Stdout})
	l := o.Logger()
	l.Info("early")
	time.Sleep(4 * flushInterval)
	l.Info("first of a batch")
	time.Sleep(flushInterval / 10)
	l.Info("node shutting down")
	if end == "exit" {
		o.Close()
		os.Exit(0)
	}
	l.Warn("request aborted")
	_ = syscall.Kill(os.Getpid(), syscall.SIGKILL)
	select {}
}

// Guards against lines that are lost when the process ends: all lines at an exit after Close, and at a kill the lines
// above INFO and those before them.
func TestLinesSurviveTheProcess(t *testing.T) {
	if end := os.Getenv(endVariable); end != "" {
		logAndEnd(end)
	}
	t.Parallel()
	for end, last := range map[string]string{"exit": "node shutting down", "kill": "request aborted"} {
		t.Run(end, func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			c := exec.CommandContext(t.Context(), os.Args[0], "-test.run=^TestLinesSurviveTheProcess$")
			c.Env = append(os.Environ(), endVariable+"="+end)
			out, err := c.Output()
			is.Equal(err == nil, end == "exit")
			is.True(strings.Contains(string(out), "early"))
			is.True(strings.Contains(string(out), "node shutting down"))
			is.True(strings.Contains(string(out), last))
		})
	}
}

// Guards against a line above INFO that waits for the next batch.
func TestWarningsAreWrittenAtOnce(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	var b buffer
	o := New(Config{Output: &b})
	defer o.Close()
	l := o.Logger()
	l.Info("answered")
	for i := range 100 {
		l.Warn("request aborted", "Request", i)
		is.Equal(strings.Count(strings.Join(b.lines(), "\n"), "request aborted"), i+1)
	}
}

// Guards against warnings that wait for a stuck output one after the other, and against warnings that are no longer
// written at once after the output has recovered.
func TestStuckOutputDelaysOneWarning(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	g := &gate{open: make(chan struct{})}
	o := New(Config{Output: g})
	defer o.Close()
	l := o.Logger()
	begin := time.Now()
	for range 100 {
		l.Warn("store unreachable")
	}
	is.True(time.Since(begin) < 20*syncTimeout)
	close(g.open)
	for end := time.Now().Add(10 * time.Second); o.stuck.Load() && time.Now().Before(end); {
		time.Sleep(time.Millisecond)
	}
	l.Warn("store reachable")
	is.True(strings.Contains(strings.Join(g.lines(), "\n"), "store reachable"))
}

// gate is an output that blocks until it is opened.
type gate struct {
	open chan struct{}
	buffer
}

func (g *gate) Write(p []byte) (int, error) {
	<-g.open
	return g.buffer.Write(p)
}
