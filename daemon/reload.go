package daemon

import (
	"context"
	"os"
	"reflect"
	"time"

	"github.com/sirupsen/logrus"

	"sycamorespread.dev/config"
)

// reloadInterval is the time between two looks at the settings file for a change without a signal.
const reloadInterval = time.Second

// ReloadLoop reads the settings file again at each signal, and when it
// changed, until ctx ends. The log level and the times of a stop take effect at
// once; any other change is reported and waits for the next start.
func (d *Daemon) ReloadLoop(ctx context.Context, file string, signals <-chan os.Signal) error {
	seen := modTime(file)
	t := time.NewTicker(reloadInterval)
	defer t.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-signals:
		case <-t.C:
			if modTime(file).Equal(seen) {
				continue
			}
		}
		seen = modTime(file)
		d.reload(file)
	}
}

// modTime returns the time of the last change of a file, zero when it cannot
// be read.
func modTime(file string) time.Time {
	info, err := os.Stat(file)
	if err != nil {
		return time.Time{}
	}
	return info.ModTime()
}

func (d *Daemon) reload(file string) {
	next, err := config.Load(file)
	if err != nil {
		d.log.WithField("err", err).Error("settings not reloaded, the old ones stay")
		return
	}
	d.log.Logger.SetLevel(next.LogLevel)
	d.stopConfig.Store(&next.Front)
	old := *d.cfg
	old.LogLevel = next.LogLevel
	old.Front.StopDelay, old.Front.StopTimeout = next.Front.StopDelay, next.Front.StopTimeout
	d.log.WithFields(logrus.Fields{"level": next.LogLevel, "needs_restart": !reflect.DeepEqual(old, *next)}).Info("settings reloaded")
}
