package soak

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/netip"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/arbutusthread/arbutusthread/conf"
)

// process is one node process. Faults that end it restart it.
type process struct {
	name   string
	binary string
	// settings is the file with the current settings.
	settings string
	current  *conf.Settings
	log      *os.File
	domain   string
	caller   netip.AddrPort
	// directory is the address of the node's directory, which lists caller addresses.
	directory netip.AddrPort

	mu      sync.Mutex
	command *exec.Cmd
	done    chan struct{}
	// starts counts the starts, so that each exchange can be attributed to one of them.
	starts int
	// logStart is the size of the log when the current process was started.
	logStart int64
	// exitRequest is how the current process was requested to exit.
	exitRequest exitRequest
	// unexpectedExits lists exits that were not requested, and graceful exits with an exit code other than 0.
	unexpectedExits []string
	closed          bool
}

// exitRequest is how a process was requested to exit.
type exitRequest int

const (
	exitNotRequested exitRequest = iota
	// exitGraceful means that the process finishes its requests and exits with code 0.
	exitGraceful
	// exitForced means that the process exits immediately: after SIGKILL or a second SIGTERM.
	exitForced
)

// startFirst writes the settings and creates the log in a directory, and starts the process.
func (p *process) startFirst(dir string, s *conf.Settings) error {
	p.settings = filepath.Join(dir, p.name+".json")
	err := p.writeSettings(s)
	if err != nil {
		return err
	}
	if p.log, err = os.Create(filepath.Join(dir, p.name+".log")); err != nil {
		return errors.Wrap(err, "soak: log of a node")
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.start()
}

// reload writes changed settings and sends SIGHUP.
func (p *process) reload(change func(*conf.Settings)) error {
	p.mu.Lock()
	next := *p.current
	change(&next)
	err := p.writeSettings(&next)
	p.mu.Unlock()
	p.signal(syscall.SIGHUP)
	return err
}

// writeSettings replaces the settings file. The caller must hold p.mu once the process has been started.
func (p *process) writeSettings(s *conf.Settings) error {
	b, err := json.MarshalIndent(s, "", " ")
	if err != nil {
		return errors.Wrap(err, "soak: settings")
	}
	p.current = s
	return errors.Wrap(os.WriteFile(p.settings, b, 0o600), "soak: settings")
}

// start starts the process. The caller must hold p.mu.
func (p *process) start() error {
	c := exec.CommandContext(context.Background(), p.binary, "node", "--config", p.settings)
	c.Stdout, c.Stderr = p.log, p.log
	info, err := p.log.Stat()
	if err != nil {
		return errors.Wrapf(err, "soak: log of %s", p.name)
	}
	p.logStart = info.Size()
	if err := c.Start(); err != nil {
		return errors.Wrapf(err, "soak: start %s", p.name)
	}
	p.command, p.done, p.exitRequest = c, make(chan struct{}), exitNotRequested
	p.starts++
	go p.wait(c, p.done)
	return nil
}

func (p *process) wait(c *exec.Cmd, done chan struct{}) {
	err := c.Wait()
	p.mu.Lock()
	if p.exitRequest == exitNotRequested || p.exitRequest == exitGraceful && err != nil && !p.endedBeforeStart(err) {
		p.unexpectedExits = append(p.unexpectedExits, p.name+": "+describe(err))
	}
	p.mu.Unlock()
	close(done)
}

// startLine is in the first line that a node logs. It handles signals by then.
const startLine = `"node starting"`

// endedBeforeStart reports whether SIGTERM ended the process before its program began and could handle signals. The caller
// must hold p.mu.
func (p *process) endedBeforeStart(err error) bool {
	var exit *exec.ExitError
	if !errors.As(err, &exit) {
		return false
	}
	if status, ok := exit.Sys().(syscall.WaitStatus); !ok || !status.Signaled() || status.Signal() != syscall.SIGTERM {
		return false
	}
	log, err := os.ReadFile(p.log.Name())
	return err == nil && int64(len(log)) >= p.logStart && !bytes.Contains(log[p.logStart:], []byte(startLine))
}

func describe(err error) string {
	if err == nil {
		return "exit code 0"
	}
	return err.Error()
}

// signal sends a signal to the process and updates its exit request.
func (p *process) signal(s os.Signal) {
	p.mu.Lock()
	defer p.mu.Unlock()
	switch {
	case s == syscall.SIGKILL, s == syscall.SIGTERM && p.exitRequest == exitGraceful:
		p.exitRequest = exitForced
	case s == syscall.SIGTERM && p.exitRequest == exitNotRequested:
		p.exitRequest = exitGraceful
	}
	// Signal fails if the process has already exited, which is harmless.
	_ = p.command.Process.Signal(s)
}

// restart waits until the process exits, kills it if it has not exited after within, and starts it again.
func (p *process) restart(within time.Duration) error {
	p.mu.Lock()
	done := p.done
	p.mu.Unlock()
	return p.restartAfter(done, within)
}

// restartAfter is like restart, for the start of the process whose exit closes done.
func (p *process) restartAfter(done chan struct{}, within time.Duration) error {
	select {
	case <-done:
	case <-time.After(within):
		p.signal(syscall.SIGKILL)
		<-done
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	// Faults overlap, so another fault may already have restarted the process.
	if p.closed || p.done != done {
		return nil
	}
	return p.start()
}

// startCount returns how many times the process has been started.
func (p *process) startCount() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.starts
}

// close kills the process and prevents further restarts.
func (p *process) close() {
	p.mu.Lock()
	p.closed, p.exitRequest = true, exitForced
	command, done := p.command, p.done
	p.mu.Unlock()
	if command == nil {
		return
	}
	// SIGKILL also ends a paused process.
	_ = command.Process.Kill()
	<-done
	_ = p.log.Close()
}

func isEOF(err error) bool { return errors.Is(err, io.EOF) }
