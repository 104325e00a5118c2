package kernel

import (
	"time"

	"golang.org/x/sys/unix"
)

// BootTime is the time since the machine started. It counts also while the
// machine is suspended, which the monotonic clock does not: what was known
// before a suspension must not look new after it.
func BootTime() time.Duration {
	var t unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &t); err != nil {
		return time.Duration(time.Now().UnixNano()) // the wall clock counts it too
	}
	return time.Duration(t.Nano())
}
