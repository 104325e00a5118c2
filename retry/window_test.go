package retry

import (
	"testing"
	"time"
	"unsafe"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

// grant grants a retry that is sent at once, and reports whether the bound allowed it.
func grant(w *Window, now time.Time) bool {
	if !w.TryRetry(now) {
		return false
	}
	w.Sent(now, now)
	return true
}

func TestWindowAllowsRatioPlusSlack(t *testing.T) {
	w, now := NewWindow(10*time.Second, 0.2, 2), time.Unix(1000, 0)
	for range 10 {
		w.RecordRequest(now)
	}
	allowed := 0
	for grant(w, now) {
		allowed++
	}
	require.Equal(t, 4, allowed)
	require.False(t, grant(w, now.Add(9*time.Second)))
	require.True(t, grant(w, now.Add(12*time.Second)), "only the slack remains once the retries have expired")
}

// Checks every span of the window's length under random traffic, over several
// instances that each hold a share: the total must stay within the global bound even
// if some instances are lost. The requests of the same or of the preceding span
// count. Retries wait before they are sent, arrive up to a span later, or are not sent at all.
func TestRetriesAreBoundedInEverySpan(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const span, ratio, slack = 10 * time.Second, 0.2, 40.0
		instances := rapid.IntRange(1, 5).Draw(t, "instances")
		windows := make([]*Window, instances)
		for i := range windows {
			windows[i] = NewWindow(span, ratio, slack/float64(instances))
		}
		delays := rapid.Bool().Draw(t, "delays")
		var requests, retries []time.Time
		waiting := make([]int, instances)
		now := time.Unix(1000, 0)
		for range rapid.IntRange(1, 300).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(0, 400).Draw(t, "ms")) * time.Millisecond)
			i := rapid.IntRange(0, instances-1).Draw(t, "instance")
			w := windows[i]
			switch rapid.IntRange(0, 4).Draw(t, "event") {
			case 0, 1:
				w.RecordRequest(now)
				requests = append(requests, now)
			case 2, 3:
				if !w.TryRetry(now) {
					continue
				}
				if waiting[i]++; delays {
					continue
				}
				fallthrough
			default:
				if waiting[i] == 0 {
					continue
				}
				waiting[i]--
				if delays && rapid.IntRange(0, 4).Draw(t, "returned") == 0 {
					w.Return(1)
					continue
				}
				arrivedBy := now
				if delays {
					arrivedBy = now.Add(time.Duration(rapid.IntRange(0, int(span/time.Millisecond)).Draw(t, "arrival")) * time.Millisecond)
				}
				w.Sent(now, arrivedBy)
				// It arrives at any time until then: now, or at the end.
				if rapid.Bool().Draw(t, "late") {
					retries = append(retries, arrivedBy)
				} else {
					retries = append(retries, now)
				}
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

// Retries are granted together or not at all, and one that was not sent is returned, however long
// it was held.
func TestRetriesAreReturned(t *testing.T) {
	w, now := NewWindow(10*time.Second, 0, 3), time.Unix(1000, 0)
	require.True(t, w.TryRetries(now, 2))
	require.False(t, w.TryRetries(now, 2))
	require.True(t, w.Allows(now, 1))
	later := now.Add(5 * time.Second)
	w.Return(1)
	require.True(t, w.TryRetries(later, 2))
	require.False(t, w.Allows(later, 1))
	expired := now.Add(25 * time.Second)
	require.False(t, w.Allows(expired, 1), "granted ones count until they are sent")
	w.Sent(expired, expired)
	w.Return(2)
	require.True(t, w.Allows(expired, 2))
	require.False(t, w.Allows(expired, 3), "the one sent counts")
}

// Retries that are granted in one window and sent in the next must not arrive together with as
// many that are granted there.
func TestRetriesSentLateCountWhenTheyArrive(t *testing.T) {
	const span, slack = 10 * time.Second, 20
	for name, arrives := range map[string]func(sent time.Time) time.Time{
		"sent late":                 func(sent time.Time) time.Time { return sent },
		"sent late and read later":  func(sent time.Time) time.Time { return sent.Add(span / 2) },
		"sent late, read after all": func(sent time.Time) time.Time { return sent.Add(span) },
	} {
		t.Run(name, func(t *testing.T) {
			w, now := NewWindow(span, 0, slack), time.Unix(1000, 0)
			require.True(t, w.TryRetries(now, slack))
			sentAt := now.Add(span - time.Second)
			for range slack {
				w.Sent(sentAt, arrives(sentAt))
			}
			for at := now; at.Before(arrives(sentAt).Add(span)); at = at.Add(span / windowBuckets) {
				require.False(t, w.Allows(at, 1), "%v after the grant", at.Sub(now))
			}
			require.True(t, w.Allows(arrives(sentAt).Add(span+2*span/windowBuckets), slack))
		})
	}
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
				require.True(t, grant(w, start))
			}
			for n := range 10 {
				at := stepped(start.Add(time.Duration(n)*time.Second), step)
				require.False(t, w.Allows(at, 1), "%d s after the retries", n)
			}
			require.Zero(t, w.Usage(stepped(start.Add(12*time.Second), step)).Requests)
		})
	}
}
