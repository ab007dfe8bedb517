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
