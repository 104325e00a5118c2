package relay

import (
	"strconv"
	"strings"
)

// attemptSeparator separates a request ID from an attempt number above 1.
const attemptSeparator = "~"

// Attempt identifies one attempt of a request. Attempts are numbered from 1.
type Attempt struct {
	RequestID string
	Number    int
}

// ID is the request ID sent to the engine. The first attempt uses the request's
// own ID, so that events of an engine that echoes it need no rewriting.
func (a Attempt) ID() string {
	if a.Number <= 1 {
		return a.RequestID
	}
	return a.RequestID + attemptSeparator + strconv.Itoa(a.Number)
}

// EventOwner tells to which attempt of a request an event belongs.
type EventOwner int

// Owners of an event.
const (
	// OwnerUnknown: the engine assigns its own event IDs.
	OwnerUnknown EventOwner = iota
	// OwnerThis: the event carries this attempt's ID.
	OwnerThis
	// OwnerOther: the event carries the ID of another attempt of the request.
	OwnerOther
)

// EventOwner classifies an event by its ID. Engines may add a prefix that ends in
// "-" to the ID they were sent.
func (a Attempt) EventOwner(eventID string) EventOwner {
	ownID := a.ID()
	if eventID == ownID || strings.HasSuffix(eventID, "-"+ownID) {
		return OwnerThis
	}
	if a.isRequestID(eventID) {
		return OwnerOther
	}
	if base, number := splitAttemptID(eventID); number > 1 && a.isRequestID(base) {
		return OwnerOther
	}
	return OwnerUnknown
}

// isRequestID reports whether an ID is the request's own.
func (a Attempt) isRequestID(id string) bool {
	return id == a.RequestID || strings.HasSuffix(id, "-"+a.RequestID)
}

// splitAttemptID splits an attempt ID at the separator. The number is 0 if there
// is none.
func splitAttemptID(id string) (base string, number int) {
	i := strings.LastIndex(id, attemptSeparator)
	if i < 0 {
		return id, 0
	}
	n, err := strconv.Atoi(id[i+len(attemptSeparator):])
	if err != nil {
		return id, 0
	}
	return id[:i], n
}
