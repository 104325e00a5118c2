package gateway

import (
	"context"
	"errors"
	"fmt"
	"io"
	"syscall"
	"time"

	"github.com/galenaarch/galenaarch/dispatch"
	"github.com/galenaarch/galenaarch/fleetview"
	"github.com/galenaarch/galenaarch/framing"
)

const (
	// answeringTime is how long after the response headers events must still come until
	// the parts of a prompt count as answered: servers may also crash after the first
	// events.
	answeringTime = time.Second
	// closedEndTime is how long after a close-delimited response the server may be found
	// to have ended for the response to count as interrupted.
	closedEndTime = 2 * time.Second
	// maxClosedRuns bounds the incarnations whose close-delimited responses are
	// remembered for closedEndTime, maxClosedEnds those of each, the last ones.
	maxClosedRuns = 64
	maxClosedEnds = 16
)

// markEvent records that complete events of a response were received.
func (c *call) markEvent(a *attempt) {
	a.eventReceived = true
	if a.forward == nil && !a.answered && time.Since(a.headersAt) >= answeringTime {
		a.answered = true
		c.recordAnswered(c.recordableParts())
	}
}

// markWhole records a whole response with a body of at least the given length. Its server
// did not crash under the request if the status shows that it has run. Only a success shows
// that it has processed the prompt.
//
// The end of a close-delimited body may be that of the server, and acquits nothing until the
// server has responded to a later request. Without a body, a success is taken for interrupted.
func (c *call) markWhole(a *attempt, length int) {
	success := a.status/100 == 2
	switch {
	case a.forward != nil: // the instance that sent it to the server records it
	case impliesNotRun(a.status):
	case a.closeDelimited() && success && length == 0:
		c.recordInterruption(a, io.ErrUnexpectedEOF)
	case a.closeDelimited():
		c.gateway.evidence.closedEnd(c, a)
	case success && !a.answered:
		a.answered = true
		c.recordAnswered(c.answeredCauses())
	default:
		c.recordAnswered(c.answeredRequest())
	}
}

// answeredRequest returns the request itself if there is any crash evidence, or else nothing.
func (c *call) answeredRequest() []dispatch.CrashCause {
	if !c.gateway.evidence.relevant.Load() {
		return nil
	}
	return c.crashCauses()[:min(1, len(c.crashCauses()))]
}

// answeredCauses returns the parts, and the request itself if there is any crash evidence.
func (c *call) answeredCauses() []dispatch.CrashCause {
	if c.gateway.evidence.relevant.Load() {
		return c.recordedCauses()
	}
	return c.recordableParts()
}

// recordAnswered records that a server has answered a request with the causes.
func (c *call) recordAnswered(causes []dispatch.CrashCause) {
	if len(causes) == 0 {
		return
	}
	e := c.gateway.evidence
	e.mu.Lock()
	changed := e.evidence.Answered(causes[:min(len(causes), 1+maxRecordedParts)], time.Now())
	e.mu.Unlock()
	if changed {
		e.notify(c.trial.Load())
	}
}

// closeDelimited reports whether the body of a response has neither a length nor chunks. Its
// end is that of the connection, which a server that crashes may also close in order.
func (a *attempt) closeDelimited() bool {
	return framing.CloseDelimited(a.exchange.Response)
}

// errEndedWithServer reports a response that ends with its connection and whose server has ended
// too: the kernel closes the connections of a process that is killed as if they were complete.
var errEndedWithServer = fmt.Errorf("server ended with its response: %w", io.ErrUnexpectedEOF)

// checkEnd returns errEndedWithServer if a response whose end is that of its connection may be
// cut. The connection that it opens replaces the one that has ended. A server that restarts within
// a round trip is not noticed, and one that accepts no further connection and has no other open
// counts as ended, unless it is leaving: it then finishes its responses behind a closed listener.
func (a *attempt) checkEnd(ctx context.Context) error {
	if !a.closeDelimited() || a.response.Leaving || a.backend.leaving() {
		return nil
	}
	a.exchange.Abandon()
	if err := a.backend.pool.Prepare(ctx); !errors.Is(err, syscall.ECONNREFUSED) || !a.backend.endedByRefusal() {
		return nil
	}
	a.gateway.serverEnded(a.backend.incarnation, endRefused)
	return errEndedWithServer
}

// framing names what marks the end of a response, for logs.
func (a *attempt) framing() string {
	switch {
	case a.closeDelimited():
		return "close"
	case a.exchange.Response.ContentLength >= 0:
		return "length"
	}
	return "chunks"
}

// closedResponse is a close-delimited response that was received to its end.
type closedResponse struct {
	backend  *backend
	request  interruptedRequest
	suspects []dispatch.Suspect
	// acquits are the causes that it answered if its server did not end with it.
	acquits []dispatch.CrashCause
	at      time.Time
}

// closedEnd remembers a close-delimited response that has just ended, in case its server is
// found to have ended with it.
func (e *crashEvidence) closedEnd(c *call, a *attempt) {
	suspects := c.suspectCauses(a, time.Since(a.headersAt) <= dispatch.BegunWindow)
	if len(suspects) == 0 {
		return
	}
	id, now := a.backend.incarnation, time.Now()
	acquits := c.recordedCauses()
	if a.status/100 != 2 {
		acquits = acquits[:1] // the request itself
	}
	response := closedResponse{backend: a.backend, request: c.interruptedRequest(a.stage()), suspects: suspects, acquits: acquits, at: now}
	e.mu.Lock()
	list := e.closed[id]
	if len(list) == 0 && len(e.closed) >= maxClosedRuns {
		e.dropClosed(now)
	}
	if len(list) >= maxClosedEnds {
		list = list[1:]
	}
	if len(list) > 0 || len(e.closed) < maxClosedRuns {
		e.closed[id] = append(list, response)
	}
	e.hasClosed.Store(len(e.closed) > 0)
	confirm := now.Sub(e.dialed[id]) >= confirmInterval && now.Sub(e.checked[id]) >= confirmInterval && remember(e.checked, id, now)
	e.mu.Unlock()
	if confirm {
		go e.confirmEnd(a.backend)
	}
}

// dropClosed forgets the close-delimited responses that are too old to matter. The caller
// holds e.mu.
func (e *crashEvidence) dropClosed(now time.Time) {
	for id, list := range e.closed {
		if now.Sub(list[len(list)-1].at) >= closedEndTime {
			delete(e.closed, id)
		}
	}
	e.hasClosed.Store(len(e.closed) > 0)
}

// aliveAfter records as answers the close-delimited responses of an incarnation that ended
// before it was sent a request to which it has responded. The caller holds e.mu.
func (e *crashEvidence) aliveAfter(id incarnation, sent time.Time) {
	list, changed := e.closed[id], false
	for len(list) > 0 && list[0].at.Before(sent) {
		changed = e.evidence.Answered(list[0].acquits, list[0].at) || changed
		list = list[1:]
	}
	if changed {
		e.notify(true)
	}
	if len(list) == 0 {
		delete(e.closed, id)
	} else {
		e.closed[id] = list
	}
	e.hasClosed.Store(len(e.closed) > 0)
}

// takeClosed removes and returns the close-delimited responses that an incarnation ended
// with. The caller holds e.mu.
func (e *crashEvidence) takeClosed(id incarnation, now time.Time) (ended []closedResponse) {
	for _, r := range e.closed[id] {
		if now.Sub(r.at) < closedEndTime {
			ended = append(ended, r)
		}
	}
	delete(e.closed, id)
	e.hasClosed.Store(len(e.closed) > 0)
	return ended
}

// closedAndEnded returns the incarnations with close-delimited responses that have ended by
// the announcements in a fleet snapshot.
func (e *crashEvidence) closedAndEnded(s *fleetview.Snapshot) (ended []incarnation) {
	if !e.hasClosed.Load() {
		return nil
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	for id, list := range e.closed {
		if hasEnded(s, id, list[0].backend.address) {
			ended = append(ended, id)
		}
	}
	return ended
}
