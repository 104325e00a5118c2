// Package gateway implements request forwarding on an entry instance that proxies
// whole HTTP requests: it finds the route, chooses a backend server, retries as far
// as the route allows, and relays the response unchanged.
//
// It is independent of any platform's header names. A Dialect decodes messages from
// clients and servers into the types of this file, and encodes the gateway's own.
package gateway

import (
	"net/http"
	"time"

	"github.com/galenaarch/galenaarch/config/site"
	"github.com/galenaarch/galenaarch/dispatch"
)

// Terms are the terms of a deployment that change how its requests are scheduled.
type Terms struct {
	// CallersCompete is set if clients compete for too little room at times: calls without a
	// prompt then wait for it in order, in fleets that are divided into cells.
	CallersCompete bool
}

// Part is one declared part of a prompt. Two prompts share a cached context up to the
// first part in which they differ.
type Part struct {
	ID     string
	Tokens int
}

// Prompt describes a prompt as declared by the client.
type Prompt struct {
	Model string
	// Tokens is the length of the prompt, MaxOutput the limit on generated tokens.
	Tokens, MaxOutput int
	Parts             []Part
}

// Request holds the decoded headers of a client request.
type Request struct {
	// ID is set by the client and differs between its attempts.
	ID string
	// AccountKey is the account's key, empty if the client sent none.
	AccountKey string
	// Timeout is how long the client waits; 0 if not stated.
	Timeout time.Duration
	// Prompt is nil for plain requests.
	Prompt *Prompt
	// LastEventID is the ID of the last event that the client has received of the
	// stream to resume; empty for a new stream.
	LastEventID string
	// BeganAs is the ID of the client's attempt that brought the first event of the stream
	// to resume; empty if not stated.
	BeganAs string
	// IgnoredHeaders names the headers that could not be parsed; the request is served
	// as if they were absent.
	IgnoredHeaders []string
}

// OutboundRequest is one request to a backend server.
type OutboundRequest struct {
	// Server is the only incarnation of a server that may run the request.
	Server string
	// Account is empty on public routes.
	Account string
	// TimeLeft is the remaining time until the client's deadline.
	TimeLeft time.Duration
	// Priority is the engine priority, 0 to 9; 0 is the most urgent. It is negative
	// for plain services.
	Priority int
	// Salt separates contexts that must not be shared; empty for none.
	Salt string
	// WeightVersion is the only version that may run the request; 0 for any.
	WeightVersion uint64
	// FetchFrom and SaveTo hold, for each part of the prompt, the address that it is
	// fetched from and the one that it is saved to; empty strings for none.
	FetchFrom, SaveTo []string
	// LastEventID is the ID of the event after which a stream resumes; empty to start
	// at the first.
	LastEventID string
}

// ServerLoad is the queue state that a server reports.
type ServerLoad struct{ Running, Waiting, Slots int }

// Response holds the decoded status and headers of a server's response.
type Response struct {
	// RequestID is the request that the response belongs to, Server the server that
	// sent it.
	RequestID, Server string
	// NotRun is set if the server did not run the request and never will.
	NotRun bool
	// Load is nil if the server does not report it.
	Load *ServerLoad
	// Slowness is how long work takes at the server now, as a multiple of the usual time; 0
	// if the server does not state it.
	Slowness float64
	// WeightVersion is 0 if the server does not report it.
	WeightVersion uint64
	// Leaving is set if the server has announced that it wants no new requests.
	Leaving bool
	// PauseFor is how long the server asks for no requests; nil if not stated, 0 if
	// the value cannot be parsed.
	PauseFor *time.Duration
	// RateLimit is what the server states about its request rate; nil if the value
	// cannot be parsed.
	RateLimit *dispatch.RateLimit
	// Brittleness is what the server states about the rejections that it survives; nil if
	// the value cannot be parsed.
	Brittleness *dispatch.Brittleness
	// UnknownDirectives names the headers by which the server asks for something that
	// this version does not support.
	UnknownDirectives []string
	// IdleTimeout is how long the server keeps an idle connection open; 0 if not
	// stated.
	IdleTimeout time.Duration
	// IgnoredHeaders names the headers that could not be parsed.
	IgnoredHeaders []string
}

// Dialect encodes and decodes a platform's HTTP headers and documents. It makes no
// decisions.
type Dialect interface {
	// DecodeTerms decodes the names of the terms that are in force at a deployment. It ignores
	// names that it does not know.
	DecodeTerms(names []string) Terms
	// DecodeDocument decodes the content of a published site document.
	DecodeDocument(content []byte) (*site.Document, error)
	// DecodeRequest decodes the headers of a client request.
	DecodeRequest(r *http.Request) (*Request, error)
	// RequestIDHeader returns the name of the header by which clients name their requests, and responses
	// the requests they belong to.
	RequestIDHeader() string
	// OutboundHeader returns the headers to send to a server for a client's headers.
	OutboundHeader(from http.Header, d *OutboundRequest) http.Header
	// IdentifyServer returns the target and headers of a GET request by which an engine states
	// when it started.
	IdentifyServer(server string) (target string, h http.Header)
	// DecodeStart decodes the start of an engine in Unix milliseconds from the response, 0 if it
	// is not stated.
	DecodeStart(body []byte) (startedMs int64, err error)
	// StripHopByHop returns a copy of headers without those for a single connection only.
	StripHopByHop(from http.Header) http.Header
	// DecodeResponse decodes the status and headers of a server's response.
	DecodeResponse(status int, h http.Header) Response
	// CopyResponseHeader copies a server's response headers for the client, except
	// hop-by-hop headers.
	CopyResponseHeader(to, from http.Header)
	// SetErrorHeader sets the headers of a response that the gateway generates itself.
	// after is the time after which to retry; 0 to omit it.
	SetErrorHeader(h http.Header, requestID string, after time.Duration)
}
