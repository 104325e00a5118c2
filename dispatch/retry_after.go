package dispatch

import (
	"fmt"
	"time"
)

// RetryAfterError reports that a server rejected a call and asked for no requests for a
// time.
type RetryAfterError struct {
	Peer string
	// RetryAfter is the requested pause; 0 if it could not be read.
	RetryAfter time.Duration
}

// Error implements error.
func (e *RetryAfterError) Error() string {
	return fmt.Sprintf("%s requested a pause of %v", e.Peer, e.RetryAfter)
}

// Pause returns how long no requests are sent to the server.
func (e *RetryAfterError) Pause() time.Duration {
	if e.RetryAfter <= 0 {
		return defaultPause
	}
	return min(e.RetryAfter, maxPause)
}
