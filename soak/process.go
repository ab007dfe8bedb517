package soak

import (
	"context"
	"io"
	"net/netip"
	"os"
	"os/exec"
	"sync"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"
)

// process is one node. It is started again when it ends.
type process struct {
	name     string
	binary   string
	settings string
	log      *os.File
	domain   string
	caller   netip.AddrPort
	// directory is asked for addresses.
	directory netip.AddrPort

	mu      sync.Mutex
	command *exec.Cmd
	done    chan struct{}
	// starts counts the starts, so that what a caller saw can be tied to one of them.
	starts int
	// ending is how the end of the process was asked for.
	ending ending
	// exits are ends that nobody asked for, and planned stops with another exit code than 0.
	exits  []string
	closed bool
}

// ending is how a process is asked to end.
type ending int

const (
	notAsked ending = iota
	// stopping processes finish their requests and exit with code 0.
	stopping
	// ended processes end at once: by SIGKILL, or by a second SIGTERM.
	ended
)

// start starts the process. The lock must be held.
func (p *process) start() error {
	c := exec.CommandContext(context.Background(), p.binary, "node", "--config", p.settings)
	c.Stdout, c.Stderr = p.log, p.log
	if err := c.Start(); err != nil {
		return errors.Wrapf(err, "soak: start %s", p.name)
	}
	p.command, p.done, p.ending = c, make(chan struct{}), notAsked
	p.starts++
	go p.wait(c, p.done)
	return nil
}

func (p *process) wait(c *exec.Cmd, done chan struct{}) {
	err := c.Wait()
	p.mu.Lock()
	if p.ending == notAsked || p.ending == stopping && err != nil {
		p.exits = append(p.exits, p.name+": "+describe(err))
	}
	p.mu.Unlock()
	close(done)
}

func describe(err error) string {
	if err == nil {
		return "exit code 0"
	}
	return err.Error()
}

// signal sends a signal to the running process.
func (p *process) signal(s os.Signal) {
	p.mu.Lock()
	defer p.mu.Unlock()
	switch {
	case s == syscall.SIGKILL, s == syscall.SIGTERM && p.ending == stopping:
		p.ending = ended
	case s == syscall.SIGTERM && p.ending == notAsked:
		p.ending = stopping
	}
	// A process that has ended takes no signal, and needs none.
	_ = p.command.Process.Signal(s)
}

// restart starts the process again when it has ended, at the latest after the time, when it is killed.
func (p *process) restart(within time.Duration) error {
	p.mu.Lock()
	done := p.done
	p.mu.Unlock()
	return p.restartAfter(done, within)
}

// restartAfter is restart for the process that ends with done.
func (p *process) restartAfter(done chan struct{}, within time.Duration) error {
	select {
	case <-done:
	case <-time.After(within):
		p.signal(syscall.SIGKILL)
		<-done
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	// Faults overlap, and another one may have started it again meanwhile.
	if p.closed || p.done != done {
		return nil
	}
	return p.start()
}

// run returns the number of the running start.
func (p *process) run() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.starts
}

// close ends the process for good.
func (p *process) close() {
	p.mu.Lock()
	p.closed, p.ending = true, ended
	command, done := p.command, p.done
	p.mu.Unlock()
	if command == nil {
		return
	}
	// A paused process takes SIGKILL too.
	_ = command.Process.Kill()
	<-done
	_ = p.log.Close()
}

func isEOF(err error) bool { return errors.Is(err, io.EOF) }
