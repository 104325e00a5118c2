// Package framing decides whether a response that was received is whole, for all HTTP clients
// of the system.
package framing

import (
	"errors"
	"net/http"
)

// ErrRequestNotTaken reports a response without a length whose connection ended before the
// server had taken the whole request. Its end cannot be told from a break: a connection
// reports an error once, to a write as well, and reads like a closed one afterwards.
var ErrRequestNotTaken = errors.New("connection ended before the whole request was sent")

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
