// Package clock provides clocks that include the time during which the machine is suspended.
package clock

import (
	"time"

	"golang.org/x/sys/unix"
)

// Boot returns the time since the machine booted, including suspended time. The monotonic clock of package time
// excludes suspended time, so a lease holder that was suspended could not detect with it that its lease has expired.
func Boot() time.Duration {
	var ts unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &ts); err != nil {
		// The call fails only on kernels without CLOCK_BOOTTIME, which Go does not support.
		panic("clock: " + err.Error())
	}
	return time.Duration(ts.Nano())
}

// bootEpoch is the Unix time that Now returns for the boot, so that the times of Now differ from Unix time zero.
const bootEpoch = int64(time.Hour)

// Now returns Boot as a time.Time without a monotonic reading, for code that compares times. It is not wall-clock time.
func Now() time.Time { return time.Unix(0, bootEpoch+int64(Boot())) }

// Wall is a wall clock that is read once and then advanced by the boot clock, so that later steps of the system's wall
// clock don't affect it.
type Wall struct{ offset time.Duration }

// NewWall returns a Wall that starts at the current wall-clock time.
func NewWall() *Wall { return &Wall{offset: time.Duration(time.Now().UnixNano()) - Boot()} }

// Now returns the wall-clock time.
func (w *Wall) Now() time.Time { return time.Unix(0, int64(w.offset+Boot())) }
