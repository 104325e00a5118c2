// Package gateway is the path of a request on an entry instance that forwards
// whole HTTP requests: it finds the route, chooses a backend server, sends the
// request as often as its kind allows, and relays the answer unchanged.
//
// It knows no platform's names. A Dialect decodes what callers and servers say
// into the types of this file and encodes what the gateway wants to say.
package gateway

import (
	"net/http"
	"time"

	"github.com/galenaarch/galenaarch/config/site"
)

// Part is one declared part of a prompt. Two prompts share a context as far as
// their parts are the same from the first on.
type Part struct {
	ID     string
	Tokens int
}

// Prompt is what a caller declares of a prompt.
type Prompt struct {
	Model string
	// Tokens is the length of the prompt, MaxOutput the most that is generated.
	Tokens, MaxOutput int
	Parts             []Part
}

// Request is what the gateway needs to know of a caller's request.
type Request struct {
	// ID is the caller's own; every attempt of a caller has another.
	ID string
	// Key is the account's key, empty if the caller showed none.
	Key string
	// Patience is how long the caller will wait; 0 if it did not say.
	Patience time.Duration
	// Prompt is nil for plain requests.
	Prompt *Prompt
	// LastEvent is the last event that the caller has of a stream it resumes.
	LastEvent string
	// Ignored names the headers that could not be read; the request is served as
	// if they were not there.
	Ignored []string
}

// Dispatch is one sending of a request to a server.
type Dispatch struct {
	// Server is the only life of a server that may run the request.
	Server string
	// Account is empty on public routes.
	Account string
	// Left is the time that remains of the caller's patience.
	Left time.Duration
	// Priority is the rank at an engine, 0 to 9; 0 is the most urgent. It is
	// below 0 for plain services.
	Priority int
	// Salt separates contexts that must not be shared; empty for none.
	Salt string
	// WeightVersion is the only version that may run the request; 0 for any.
	WeightVersion uint64
	// Fetch and Save name, for each part of the prompt, the address it is read
	// from or kept at; empty strings for none.
	Fetch, Save []string
	// LastEvent is the event after which a stream goes on; empty for all.
	LastEvent string
}

// Load is what a server says of its queue.
type Load struct{ Running, Waiting, Slots int }

// Answer is what the head of a server's answer says.
type Answer struct {
	// RequestID is the request that it answers, Server the server that wrote it.
	RequestID, Server string
	// NotRun says that the server did not run the request and never will.
	NotRun bool
	// Load is nil if the server does not tell it.
	Load *Load
	// WeightVersion is 0 if the server does not tell it.
	WeightVersion uint64
	// Leaving says that the server gets no new requests any more. Pause is for how
	// long it wants none; nil if it does not say, 0 if what it says cannot be read.
	Leaving bool
	Pause   *time.Duration
	// Idle is how long the server keeps the connection; 0 if it does not tell.
	Idle time.Duration
	// Ignored names the headers that could not be read.
	Ignored []string
}

// Dialect is a platform's manner of speaking HTTP. It decides nothing.
type Dialect interface {
	// Document decodes the content of a published site document.
	Document(content []byte) (*site.Document, error)
	// Request decodes the head of a caller's request.
	Request(r *http.Request) (*Request, error)
	// Dispatch returns the head to send to a server for a caller's head.
	Dispatch(from http.Header, d *Dispatch) http.Header
	// Answer decodes the head of a server's answer.
	Answer(status int, h http.Header) Answer
	// Relay copies a server's head for the caller, but what concerns only the
	// server's connection.
	Relay(to, from http.Header)
	// Refusal sets the head of an answer of the gateway's own. after is when to
	// come back; 0 to say nothing.
	Refusal(h http.Header, requestID string, after time.Duration)
}
