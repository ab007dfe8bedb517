package main

import (
	"context"
	"log/slog"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/arbutusthread/arbutusthread/conf"
)

// Guards against invalid settings that are applied, against a reload without a change, and against a change
// that is not detected.
func TestSettingsAreReloaded(t *testing.T) {
	is := is.New(t)
	text, err := os.ReadFile("sample/node.json")
	is.NoErr(err)
	file := filepath.Join(t.TempDir(), "node.json")
	write := func(s string) { is.NoErr(os.WriteFile(file, []byte(s), 0o600)) }
	write(string(text))
	var applied []*conf.Settings
	w := newSettingsWatcher(settingsWatcher{
		read: func() ([]byte, error) { return os.ReadFile(file) }, lastRead: text, log: slog.New(slog.DiscardHandler),
		apply: func(s *conf.Settings) { applied = append(applied, s) },
	})
	w.reloadIfChanged()
	is.Equal(len(applied), 0)
	changed := strings.Replace(string(text), "{", `{"Bounds": {"RetryRatio": 0.3},`, 1)
	write(changed)
	w.reloadIfChanged()
	w.reloadIfChanged()
	is.Equal(len(applied), 1)
	is.Equal(applied[0].Bounds.RetryRatio, 0.3)
	write("{")
	w.reloadIfChanged()
	is.NoErr(os.Remove(file))
	w.reloadIfChanged()
	is.Equal(len(applied), 1)
	write(string(text))
	w.reloadIfChanged()
	is.Equal(len(applied), 2)
}

// Guards against SIGHUP terminating a node that is shutting down before its requests are finished. Found on
// the users' bench: day rolling-stops of souches-mu with seed 469330088439. The test runs in a separate
// process so that no other test handles SIGHUP.
func TestHangupWhileStopping(t *testing.T) {
	is := is.New(t)
	const child = "ARBUTUSTHREAD_TEST_HANGUP"
	if os.Getenv(child) == "" {
		c := exec.CommandContext(t.Context(), os.Args[0], "-test.run=^TestHangupWhileStopping$")
		c.Env = append(os.Environ(), child+"=1")
		out, err := c.CombinedOutput()
		t.Logf("%s", out)
		is.NoErr(err)
		return
	}
	w := newSettingsWatcher(settingsWatcher{log: slog.New(slog.DiscardHandler)})
	ctx, stop := context.WithCancel(t.Context())
	stop()
	w.run(ctx)
	is.NoErr(syscall.Kill(os.Getpid(), syscall.SIGHUP))
	time.Sleep(100 * time.Millisecond) // an unhandled signal terminates the process within this time
}
