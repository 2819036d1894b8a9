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

// settingsInterval is the time between two checks of the settings file, which may change without a signal.
const settingsInterval = 2 * time.Second

// reloadSignals catches SIGHUP from now until the process exits, so that the signal does not end the process while it
// starts or serves its last requests.
func reloadSignals() <-chan os.Signal {
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGHUP)
	return signals
}

// followSettings applies changed settings after a signal or a change of the file. If the settings can't be read or are
// invalid, the previous ones stay in effect.
func followSettings(ctx context.Context, signals <-chan os.Signal, path string, current *platform.Settings, n *node.Node, log logrus.FieldLogger) {
	ticker := time.NewTicker(settingsInterval)
	defer ticker.Stop()
	lastModified := modificationTime(path, log)
	for {
		reason := "file changed"
		select {
		case <-ctx.Done():
			return
		case <-signals:
			reason = "signal"
		case <-ticker.C:
			modified := modificationTime(path, log)
			if modified.Equal(lastModified) {
				continue
			}
			lastModified = modified
		}
		s, err := platform.LoadSettings(path)
		if err != nil {
			log.WithError(err).WithField("reason", reason).Error("new settings are invalid; the previous ones stay in effect")
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

// modificationTime returns the modification time of a file, or the zero time if it can't be read.
func modificationTime(path string, log logrus.FieldLogger) time.Time {
	info, err := os.Stat(path)
	if err != nil {
		log.WithError(err).Warn("could not read the modification time of the settings file")
		return time.Time{}
	}
	return info.ModTime()
}
