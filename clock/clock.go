// Package clock reads clocks that go on while the machine is suspended.
package clock

import (
	"time"

	"golang.org/x/sys/unix"
)

// Boot returns the time since the machine started, suspended time included. The steady clock of package time leaves
// suspended time out, so a holder of a lease can't tell by it that the lease ran out meanwhile.
func Boot() time.Duration {
	var ts unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &ts); err != nil {
		// The call fails only on kernels without this clock, which Go does not support.
		panic("clock: " + err.Error())
	}
	return time.Duration(ts.Nano())
}

// bootEpoch keeps times of Now apart from the zero time.
const bootEpoch = int64(time.Hour)

// Now returns Boot as a time without a monotonic reading, for code that compares times. It is not the time of day.
func Now() time.Time { return time.Unix(0, bootEpoch+int64(Boot())) }

// Wall is the time of day as it was at the start of the process, carried on by the boot clock, so that later steps of
// the time of day don't move it.
type Wall struct{ offset time.Duration }

// NewWall takes the time of day now.
func NewWall() *Wall { return &Wall{offset: time.Duration(time.Now().UnixNano()) - Boot()} }

// Now returns the time of day.
func (w *Wall) Now() time.Time { return time.Unix(0, int64(w.offset+Boot())) }
