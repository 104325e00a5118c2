package dispatch

import (
	"fmt"
	"time"
)

// PausedError says that a server turned a call away and wants nothing for a time.
type PausedError struct {
	Peer string
	// For is how long; 0 if what the server said cannot be read.
	For time.Duration
}

// Error implements error.
func (e *PausedError) Error() string { return fmt.Sprintf("%s wants nothing for %v", e.Peer, e.For) }

// Wait is how long the server is left alone.
func (e *PausedError) Wait() time.Duration {
	if e.For <= 0 {
		return unreadPause
	}
	return min(e.For, longestPause)
}
