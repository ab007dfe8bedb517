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

// settingsCheck is the time between two looks at the settings file, which may change without a signal.
const settingsPollInterval = 2 * time.Second

// settingsWatch takes changes of a settings file over.
type settingsWatcher struct {
	read     func() ([]byte, error)
	apply    func(*conf.Settings)
	log      *slog.Logger
	lastRead []byte
	hup      chan os.Signal
}

// newSettingsWatch returns a watch that has begun to catch SIGHUP, which would end the process. It is caught
// until the process ends, because a node that stops must still finish its requests.
func newSettingsWatcher(w settingsWatcher) *settingsWatcher {
	w.hup = make(chan os.Signal, 1)
	signal.Notify(w.hup, syscall.SIGHUP)
	return &w
}

// run looks at the file at each SIGHUP and now and then until ctx ends.
func (w *settingsWatcher) run(ctx context.Context) {
	t := time.NewTicker(settingsPollInterval)
	defer t.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-w.hup:
			w.log.Info("settings are read again", "Cause", "SIGHUP")
		case <-t.C:
		}
		w.reloadIfChanged()
	}
}

// check takes the settings over if they have changed. Settings with faults change nothing and are
// reported once.
func (w *settingsWatcher) reloadIfChanged() {
	b, err := w.read()
	if err != nil {
		w.log.Warn("settings cannot be read", "Error", err)
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
		w.log.Error("settings are not taken over", "Error", err)
		return
	}
	w.apply(s)
	w.log.Info("settings reloaded")
}
