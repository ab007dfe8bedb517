package main

import (
	"bytes"
	"context"
	"log/slog"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/arbutusthread/arbutusthread/conf"
)

// settingsPollInterval is the interval at which the settings file is checked for changes made without a
// signal.
const settingsPollInterval = 2 * time.Second

// settingsWatcher applies changes of a settings file.
type settingsWatcher struct {
	read     func() ([]byte, error)
	apply    func(*conf.Settings)
	log      *slog.Logger
	lastRead []byte
	hup      chan os.Signal
}

// newSettingsWatcher returns a watcher and installs a handler for SIGHUP, which would otherwise terminate the
// process. The handler stays installed until the process exits, because a node that shuts down must still
// finish its requests.
func newSettingsWatcher(w settingsWatcher) *settingsWatcher {
	w.hup = make(chan os.Signal, 1)
	signal.Notify(w.hup, syscall.SIGHUP)
	return &w
}

// run checks the file on each SIGHUP and at settingsPollInterval until ctx ends.
func (w *settingsWatcher) run(ctx context.Context) {
	t := time.NewTicker(settingsPollInterval)
	defer t.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-w.hup:
			w.log.Info("checking settings file for changes", "Cause", "SIGHUP")
		case <-t.C:
		}
		w.reloadIfChanged()
	}
}

// reloadIfChanged applies the settings if the file has changed. Invalid settings are not applied and are
// logged once.
func (w *settingsWatcher) reloadIfChanged() {
	b, err := w.read()
	if err != nil {
		w.log.Warn("failed to read settings", "Error", err)
		return
	}
	if bytes.Equal(b, w.lastRead) {
		return
	}
	w.lastRead = b
	s, err := conf.ParseSettings(b)
	if err == nil {
		err = s.Check().Err()
	}
	if err != nil {
		w.log.Error("invalid settings not applied", "Error", err)
		return
	}
	w.apply(s)
	w.log.Info("settings reloaded")
}
