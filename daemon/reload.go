package daemon

import (
	"context"
	"os"
	"reflect"
	"time"

	"github.com/sirupsen/logrus"

	"sycamorespread.dev/config"
)

// reloadInterval is the time between two checks of the settings file for changes.
const reloadInterval = time.Second

// ReloadLoop reloads the settings file at each signal and whenever the file
// changes, until ctx ends. The log level and the shutdown delay and timeout take
// effect at once; any other change is logged and needs a restart.
func (d *Daemon) ReloadLoop(ctx context.Context, file string, signals <-chan os.Signal) error {
	lastModTime := modTime(file)
	t := time.NewTicker(reloadInterval)
	defer t.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-signals:
		case <-t.C:
			if modTime(file).Equal(lastModTime) {
				continue
			}
		}
		lastModTime = modTime(file)
		d.reload(file)
	}
}

// modTime returns the modification time of a file, or the zero time if it cannot
// be determined.
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
		d.log.WithField("err", err).Error("reload settings failed; keeping the current ones")
		return
	}
	d.log.Logger.SetLevel(next.LogLevel)
	d.stopConfig.Store(&next.Front)
	old := *d.cfg
	old.LogLevel = next.LogLevel
	old.Front.StopDelay, old.Front.StopTimeout = next.Front.StopDelay, next.Front.StopTimeout
	d.log.WithFields(logrus.Fields{"level": next.LogLevel, "needs_restart": !reflect.DeepEqual(old, *next)}).Info("settings reloaded")
}
