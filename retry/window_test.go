package retry

import (
	"testing"
	"time"
	"unsafe"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

func TestWindowAllowsRatioPlusSlack(t *testing.T) {
	w, now := NewWindow(10*time.Second, 0.2, 2), time.Unix(1000, 0)
	for range 10 {
		w.RecordRequest(now)
	}
	allowed := 0
	for w.TryRetry(now) {
		allowed++
	}
	require.Equal(t, 4, allowed)
	require.False(t, w.TryRetry(now.Add(9*time.Second)))
	require.True(t, w.TryRetry(now.Add(12*time.Second)), "only the slack remains once the retries have expired")
}

// Checks every span of the window's length under random traffic, over several
// instances that each hold a share: the total must stay within the global bound even
// if some instances are lost. The requests of the same or of the preceding span
// count.
func TestRetriesAreBoundedInEverySpan(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const span, ratio, slack = 10 * time.Second, 0.2, 40.0
		instances := rapid.IntRange(1, 5).Draw(t, "instances")
		windows := make([]*Window, instances)
		for i := range windows {
			windows[i] = NewWindow(span, ratio, slack/float64(instances))
		}
		var requests, retries []time.Time
		now := time.Unix(1000, 0)
		for range rapid.IntRange(1, 300).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(0, 400).Draw(t, "ms")) * time.Millisecond)
			w := windows[rapid.IntRange(0, instances-1).Draw(t, "instance")]
			if rapid.IntRange(0, 2).Draw(t, "event") > 0 {
				w.RecordRequest(now)
				requests = append(requests, now)
			} else if w.TryRetry(now) {
				retries = append(retries, now)
			}
		}
		for _, end := range retries {
			inSpan := func(times []time.Time, from, to time.Time) (n int) {
				for _, eventTime := range times {
					if eventTime.After(from) && !eventTime.After(to) {
						n++
					}
				}
				return n
			}
			maxRequests := max(inSpan(requests, end.Add(-span), end), inSpan(requests, end.Add(-2*span), end.Add(-span)), inSpan(requests, end.Add(-3*span/2), end.Add(-span/2)))
			if n := inSpan(retries, end.Add(-span), end); float64(n) > ratio*float64(maxRequests)+slack {
				t.Fatalf("%d retries in the span ending at %v, %d requests", n, end, maxRequests)
			}
		}
	})
}

// Retries are recorded together or not at all, and one that was not used is returned once, while
// it counts.
func TestRetriesAreReturned(t *testing.T) {
	w, now := NewWindow(10*time.Second, 0, 3), time.Unix(1000, 0)
	require.True(t, w.TryRetries(now, 2))
	require.False(t, w.TryRetries(now, 2))
	require.True(t, w.Allows(now, 1))
	later := now.Add(5 * time.Second)
	w.Refund(later, now)
	require.True(t, w.TryRetries(later, 2))
	expired := now.Add(12 * time.Second)
	require.True(t, w.Allows(expired, 1))
	w.Refund(expired, now)
	require.False(t, w.Allows(expired, 2), "the retries at 5 s count still")
}

// stepped returns a time after the time of day has been set forward, or back if d is negative:
// only the part of it that is not monotonic changes.
func stepped(t time.Time, d time.Duration) time.Time {
	// The first word holds the seconds of the time of day above 30 bits of nanoseconds.
	*(*uint64)(unsafe.Pointer(&t)) += uint64(d/time.Second) << 30
	return t
}

// A step of the time of day must neither return retries to the budget nor make requests count
// for longer.
func TestClockStepChangesNoRetryBudget(t *testing.T) {
	const span, requests, slack = 10 * time.Second, 100, 5
	start := time.Now()
	for _, step := range []time.Duration{2 * time.Second, 10 * time.Second, time.Hour, -2 * time.Second, -10 * time.Second, -time.Hour} {
		t.Run(step.String(), func(t *testing.T) {
			require.Equal(t, step, stepped(start, step).Round(0).Sub(start.Round(0)))
			require.Zero(t, stepped(start, step).Sub(start))
			w := NewWindow(span, 0.2, slack)
			for range requests {
				w.RecordRequest(start)
			}
			for range requests/5 + slack {
				require.True(t, w.TryRetry(start))
			}
			for n := range 10 {
				at := stepped(start.Add(time.Duration(n)*time.Second), step)
				require.False(t, w.Allows(at, 1), "%d s after the retries", n)
			}
			require.Zero(t, w.Usage(stepped(start.Add(12*time.Second), step)).Requests)
		})
	}
}
