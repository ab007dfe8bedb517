package soak

import (
	"os"
	"path/filepath"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/matryer/is"
)

// The tests in this file are not parallel: a script cannot be executed if another process was started while the
// script file was being written.

// Guards against overlapping faults that start two processes of one node: the second process cannot listen and
// is reported as an unexpected exit, and the first is never ended (seed 8202).
func TestOverlappingFaultsStartOneProcess(t *testing.T) {
	is := is.New(t)
	binary := filepath.Join(t.TempDir(), "node")
	is.NoErr(os.WriteFile(binary, []byte("#!/bin/sh\nexec sleep 60\n"), 0o755))
	log, err := os.Create(filepath.Join(t.TempDir(), "log"))
	is.NoErr(err)
	p := &process{name: "node-0", binary: binary, log: log}
	p.mu.Lock()
	err = p.start()
	done := p.done
	p.mu.Unlock()
	is.NoErr(err)
	p.signal(syscall.SIGKILL)
	var work sync.WaitGroup
	for range 4 {
		work.Go(func() {
			if err := p.restartAfter(done, time.Minute); err != nil {
				t.Error(err)
			}
		})
	}
	work.Wait()
	is.Equal(p.startCount(), 2)
	p.close()
	is.Equal(p.unexpectedExits, nil)
}

// Guards against a planned stop that is cut short without being reported, for example by an unhandled SIGHUP.
func TestPlannedStopMustExitWithZero(t *testing.T) {
	for name, c := range map[string]struct {
		script  string
		signals []syscall.Signal
		broken  bool
	}{
		"finished":                {"trap 'exit 0' TERM; mark; sleep 5 & wait", []syscall.Signal{syscall.SIGTERM}, false},
		"cut off":                 {"trap 'kill -9 $$' TERM; mark; sleep 5 & wait", []syscall.Signal{syscall.SIGTERM}, true},
		"ended before it started": {"mark; exec sleep 5", []syscall.Signal{syscall.SIGTERM}, false},
		"ended after it started":  {"echo '\"node starting\"'; mark; exec sleep 5", []syscall.Signal{syscall.SIGTERM}, true},
		"killed":                  {"mark; exec sleep 5", []syscall.Signal{syscall.SIGKILL}, false},
		"stopped twice": {
			"trap 'trap - TERM; mark; sleep 5 & wait' TERM; mark; sleep 5 & wait",
			[]syscall.Signal{syscall.SIGTERM, syscall.SIGTERM},
			false,
		},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			dir := t.TempDir()
			binary, marks := filepath.Join(dir, "node"), filepath.Join(dir, "marks")
			script := "#!/bin/sh\nmark() { echo >> " + marks + "; }\n" + c.script + "\n"
			is.NoErr(os.WriteFile(binary, []byte(script), 0o755))
			log, err := os.Create(filepath.Join(dir, "log"))
			is.NoErr(err)
			p := &process{name: "node-0", binary: binary, log: log}
			p.mu.Lock()
			err = p.start()
			p.mu.Unlock()
			is.NoErr(err)
			for i, s := range c.signals {
				for b, _ := os.ReadFile(marks); len(b) <= i; b, _ = os.ReadFile(marks) {
					time.Sleep(time.Millisecond) // wait until the shell has set its trap
				}
				p.signal(s)
			}
			<-p.done
			p.close()
			is.Equal(len(p.unexpectedExits) > 0, c.broken)
		})
	}
}
