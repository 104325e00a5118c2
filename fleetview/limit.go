package fleetview

import "time"

// maxLimitDoublings bounds the limit on the time of a response to four times its least value.
const maxLimitDoublings = 2

// responseLimit is the limit on the time of a control instance's responses. It doubles with each
// response that exceeds it: a request that is given up and sent again starts from the beginning,
// so responses that always take longer than a fixed limit would never be received.
type responseLimit struct{ doublings int }

// of returns the limit for responses that normally take at most least.
func (l responseLimit) of(least time.Duration) time.Duration { return least << l.doublings }

// exceeded records that the limit has passed.
func (l *responseLimit) exceeded() { l.doublings = min(l.doublings+1, maxLimitDoublings) }

// met records the time of a response. The limit falls once that was under a quarter of it.
func (l *responseLimit) met(took, least time.Duration) {
	if l.doublings > 0 && took < l.of(least)/4 {
		l.doublings--
	}
}
