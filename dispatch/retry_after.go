package dispatch

import (
	"fmt"
	"time"
)

// RetryAfterError reports that a server rejected a call and asked for a pause.
type RetryAfterError struct {
	// Address is the server's address.
	Address string
	// RetryAfter is the requested pause; 0 if it could not be parsed.
	RetryAfter time.Duration
}

// Error implements error.
func (e *RetryAfterError) Error() string {
	return fmt.Sprintf("%s requested a pause of %v", e.Address, e.RetryAfter)
}

// Pause returns how long no requests are sent to the server: the requested pause up to
// maxPause, or defaultPause if it could not be parsed.
func (e *RetryAfterError) Pause() time.Duration {
	if e.RetryAfter <= 0 {
		return defaultPause
	}
	return min(e.RetryAfter, maxPause)
}
