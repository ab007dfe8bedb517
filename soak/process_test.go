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

// Guards against two processes of one node after faults that overlap: the second one cannot listen and counts
// as a node that ended by itself, and the first one is never ended (seed 8202).
func TestOverlappingFaultsStartOneProcess(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	binary := filepath.Join(t.TempDir(), "node")
	is.NoErr(os.WriteFile(binary, []byte("#!/bin/sh\nexec sleep 60\n"), 0o755))
	log, err := os.Create(filepath.Join(t.TempDir(), "log"))
	is.NoErr(err)
	p := &process{name: "node-0", binary: binary, log: log}
	p.mu.Lock()
	err = p.start()
	p.mu.Unlock()
	is.NoErr(err)
	p.signal(syscall.SIGKILL)
	var work sync.WaitGroup
	for range 4 {
		work.Go(func() {
			if err := p.restart(time.Second); err != nil {
				t.Error(err)
			}
		})
	}
	work.Wait()
	is.Equal(p.run(), 2)
	p.close()
	is.Equal(p.exits, nil)
}

// Guards against a planned stop that ends before its time without notice, as by a SIGHUP that is not caught.
func TestPlannedStopMustExitWithZero(t *testing.T) {
	t.Parallel()
	for name, c := range map[string]struct {
		script  string
		signals []syscall.Signal
		broken  bool
	}{
		"finished":      {"trap 'exit 0' TERM; sleep 5 & wait", []syscall.Signal{syscall.SIGTERM}, false},
		"cut off":       {"trap 'kill -9 $$' TERM; sleep 5 & wait", []syscall.Signal{syscall.SIGTERM}, true},
		"killed":        {"exec sleep 60", []syscall.Signal{syscall.SIGKILL}, false},
		"stopped twice": {"trap 'trap - TERM; sleep 5 & wait' TERM; sleep 5 & wait", []syscall.Signal{syscall.SIGTERM, syscall.SIGTERM}, false},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			binary := filepath.Join(t.TempDir(), "node")
			is.NoErr(os.WriteFile(binary, []byte("#!/bin/sh\n"+c.script+"\n"), 0o755))
			log, err := os.Create(filepath.Join(t.TempDir(), "log"))
			is.NoErr(err)
			p := &process{name: "node-0", binary: binary, log: log}
			p.mu.Lock()
			err = p.start()
			p.mu.Unlock()
			is.NoErr(err)
			for _, s := range c.signals {
				time.Sleep(300 * time.Millisecond) // until the shell has set its trap
				p.signal(s)
			}
			<-p.done
			p.close()
			is.Equal(len(p.exits) > 0, c.broken)
		})
	}
}
