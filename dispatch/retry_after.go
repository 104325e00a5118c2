package dispatch

import (
	"fmt"
	"time"
)

// PausedError reports that a server rejected a call and asked for no requests for a
// time.
type PausedError struct {
	Peer string
	// For is the requested pause; 0 if it could not be read.
	For time.Duration
}

// Error implements error.
func (e *PausedError) Error() string { return fmt.Sprintf("%s requested a pause of %v", e.Peer, e.For) }

// Wait returns how long no requests are sent to the server.
func (e *PausedError) Wait() time.Duration {
	if e.For <= 0 {
		return defaultPause
	}
	return min(e.For, maxPause)
}
