// Package framing decides whether a response that was received is whole, for all HTTP clients
// of the system.
package framing

import (
	"errors"
	"fmt"
	"net/http"
)

// Errors of a response that cannot be used.
var (
	// ErrInvalidStatus reports a status that is none of HTTP.
	ErrInvalidStatus = errors.New("invalid status")
	// ErrProtocolSwitch reports a server that switches to another protocol, which no request
	// asks for.
	ErrProtocolSwitch = errors.New("server switches to another protocol")
	// ErrInterimBody reports an interim response that states a body, which it cannot have.
	ErrInterimBody = errors.New("interim response with a body")
	// ErrTooManyInterim reports more than MaxInterimResponses interim responses.
	ErrTooManyInterim = errors.New("too many interim responses")
)

// ErrRequestNotTaken reports a response without a length whose connection ended before the
// server had taken the whole request. Its end cannot be told from a break: a connection
// reports an error once, to a write as well, and reads like a closed one afterwards.
var ErrRequestNotTaken = errors.New("connection ended before the whole request was sent")

// MaxInterimResponses limits the interim responses before a final one.
const MaxInterimResponses = 8

// ResponseReader tells the final response to a request from those before it. The zero value
// is for one request.
//
// Invariant: only valid interim responses without a body are skipped. What follows any other
// response may be its body.
type ResponseReader struct{ interim int }

// IsFinal reports whether the next response that was received is the final one; an error if
// it cannot be used.
func (r *ResponseReader) IsFinal(status int, h http.Header, transferEncoding []string) (bool, error) {
	switch {
	case status < 100 || status > 599:
		return false, fmt.Errorf("%w %03d", ErrInvalidStatus, status)
	case status >= http.StatusOK:
		return true, nil
	case status == http.StatusSwitchingProtocols:
		return false, ErrProtocolSwitch
	case len(transferEncoding) > 0 || (h.Get("Content-Length") != "" && h.Get("Content-Length") != "0"):
		return false, ErrInterimBody
	}
	if r.interim++; r.interim > MaxInterimResponses {
		return false, ErrTooManyInterim
	}
	return false, nil
}

// CloseDelimited reports whether the body of a response has neither a length nor chunks, so
// that its end is that of the connection.
func CloseDelimited(r *http.Response) bool {
	return r.Body != http.NoBody && r.ContentLength < 0 && len(r.TransferEncoding) == 0
}

// CheckClose returns why a close-delimited body whose connection has been closed is not
// whole; nil if it is. requestErr is the first error of the connection while the request was
// sent, unsent is how many bytes of the request the server's system has not acknowledged.
func CheckClose(requestErr error, unsent int) error {
	if requestErr != nil {
		return errors.Join(ErrRequestNotTaken, requestErr)
	}
	if unsent > 0 {
		return ErrRequestNotTaken
	}
	return nil
}
