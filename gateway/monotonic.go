package gateway

import "time"

// clockBase is where monotonic counts from.
var clockBase = time.Now()

// monotonic returns a time as it is kept in atomic values: in nanoseconds, without the wall clock. A step of
// the wall clock is no passing of time.
func monotonic(t time.Time) int64 { return int64(t.Sub(clockBase)) }

// fromMonotonic returns the time of a value of monotonic, and the zero time for 0.
func fromMonotonic(ns int64) time.Time {
	if ns == 0 {
		return time.Time{}
	}
	return clockBase.Add(time.Duration(ns))
}
