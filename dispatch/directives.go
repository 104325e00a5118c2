package dispatch

import "time"

// Directives are what a response says about its server, whichever call it responds to.
type Directives struct {
	// Server is the incarnation that responded; empty if the response does not name it.
	Server string
	// Leaving is set if the server has announced that it wants no new requests.
	Leaving bool
	// RateLimit is what the server states about its request rate; nil if the response
	// says nothing about it.
	RateLimit *RateLimit
	// Brittleness is what the server states about the rejections that it survives; nil if
	// the response says nothing about it.
	Brittleness *Brittleness
	// PauseFor is how long a server that rejects a call asks for no requests; nil if it does
	// not, 0 if the value cannot be parsed.
	PauseFor *time.Duration
}
