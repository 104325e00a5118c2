package entry

import (
	"net/http"
	"strconv"
	"time"

	"github.com/google/uuid"

	"github.com/galenaarch/galenaarch/api/refusal"
)

// headerDeadline is how long the client will wait for the first token of a
// prompt or for the response of a service call; milliseconds.
const headerDeadline = "X-Galena-Deadline-Ms"

// Limits of header values.
const (
	maxIDBytes  = 128
	maxDeadline = time.Hour
)

// validID reports whether a client-supplied ID is short and consists of
// printable ASCII without spaces, so that it can be logged and forwarded.
func validID(id string) bool {
	if id == "" || len(id) > maxIDBytes {
		return false
	}
	for i := range len(id) {
		if id[i] <= ' ' || id[i] >= 0x7f {
			return false
		}
	}
	return true
}

// requestID returns the client's request ID, or a new one. It returns false if
// the client's ID is invalid.
func requestID(r *http.Request) (string, bool) {
	id := r.Header.Get(headerRequestID)
	if id == "" {
		return uuid.NewString(), true
	}
	if !validID(id) {
		return uuid.NewString(), false
	}
	return id, true
}

// readDeadline returns how long the client will wait, or fallback if it does
// not say.
func readDeadline(r *http.Request, fallback time.Duration) (time.Duration, *refusal.Error) {
	text := r.Header.Get(headerDeadline)
	if text == "" {
		return fallback, nil
	}
	ms, err := strconv.ParseInt(text, 10, 64)
	if err != nil || ms < 1 || ms > maxDeadline.Milliseconds() {
		return 0, invalidRequest("header " + headerDeadline + ": expected milliseconds from 1 to 3600000")
	}
	return time.Duration(ms) * time.Millisecond, nil
}

// idempotencyKey returns the client's idempotency key, or "".
func idempotencyKey(r *http.Request) (string, *refusal.Error) {
	key := r.Header.Get(headerIdempotencyKey)
	if key != "" && !validID(key) {
		return "", invalidRequest("header " + headerIdempotencyKey + ": expected at most 128 printable characters")
	}
	return key, nil
}
