package kernel

import (
	"time"

	"golang.org/x/sys/unix"
)

// SinceBoot returns the time since the machine booted. Unlike the monotonic
// clock it includes time spent suspended, so that information from before a
// suspension does not look fresh afterwards.
func SinceBoot() time.Duration {
	var t unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &t); err != nil {
		return time.Duration(time.Now().UnixNano()) // the wall clock also includes suspension
	}
	return time.Duration(t.Nano())
}
