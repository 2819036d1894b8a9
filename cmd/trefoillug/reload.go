package main

import (
	"context"
	"os"
	"os/signal"
	"reflect"
	"syscall"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/trefoillug/trefoillug/node"
	"github.com/trefoillug/trefoillug/platform"
)

// settingsInterval is how often the settings file is looked at, since it may change without a signal.
const settingsInterval = 2 * time.Second

// reloadSignals catches SIGHUP from now to the end of the process, which must not end by it while it starts or serves its
// last requests.
func reloadSignals() <-chan os.Signal {
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGHUP)
	return signals
}

// followSettings takes over changed settings at a signal, or when the file has changed. Settings that can't be read or
// are wrong leave those before in effect.
func followSettings(ctx context.Context, signals <-chan os.Signal, path string, current *platform.Settings, n *node.Node, log logrus.FieldLogger) {
	ticker := time.NewTicker(settingsInterval)
	defer ticker.Stop()
	changed := modified(path, log)
	for {
		reason := "file changed"
		select {
		case <-ctx.Done():
			return
		case <-signals:
			reason = "signal"
		case <-ticker.C:
			at := modified(path, log)
			if at.Equal(changed) {
				continue
			}
			changed = at
		}
		s, err := platform.LoadSettings(path)
		if err != nil {
			log.WithError(err).WithField("reason", reason).Error("changed settings are wrong; the earlier ones stay in effect")
			continue
		}
		if reflect.DeepEqual(s, current) {
			log.WithField("reason", reason).Info("settings read again; nothing has changed")
			continue
		}
		current = s
		n.Reconfigure(s.Node)
		log.WithField("reason", reason).Info("settings reloaded")
	}
}

// modified returns when a file was last changed, and the zero time when that can't be told.
func modified(path string, log logrus.FieldLogger) time.Time {
	info, err := os.Stat(path)
	if err != nil {
		log.WithError(err).Warn("settings file not found")
		return time.Time{}
	}
	return info.ModTime()
}
