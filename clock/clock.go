// Package clock reads a clock that also runs while the machine is suspended.
//
// The clock of time.Now does not count the time for which a machine is
// suspended, and the time of day may be set. The age of knowledge about other
// machines, which go on meanwhile, needs a clock with neither fault. The times
// of this package are for differences only; they are not times of day.
//
//	now, err := clock.New()
//	start := now()
//	age := now().Sub(start)
package clock

import (
	"time"

	"github.com/pkg/errors"
	"golang.org/x/sys/unix"
)

// New returns a function that reads the clock, or an error if the system has no
// such clock.
func New() (func() time.Time, error) {
	if _, err := read(); err != nil {
		return nil, errors.Wrap(err, "read the clock of the time since boot")
	}
	return func() time.Time {
		// The first call has succeeded with the same arguments.
		now, _ := read()
		return now
	}, nil
}

func read() (time.Time, error) {
	var ts unix.Timespec
	err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &ts)
	return time.Unix(ts.Unix()), err
}
