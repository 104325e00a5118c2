package gateway

import (
	"io"
	"net"
	"net/http"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/galenaarch/galenaarch/dispatch"
	"github.com/galenaarch/galenaarch/registry"
	"github.com/galenaarch/galenaarch/upstream"
)

const suspectPart = "part-1"

// suspectCall returns a request with suspectPart.
func (h *testGateway) suspectCall(tokens int) *call {
	c := h.call(tokens)
	c.prompt.Parts = []Part{{ID: suspectPart, Tokens: 1}, {ID: "own", Tokens: tokens - 1}}
	return c
}

// quarantineSuspectPart makes the gateway learn of a quarantine from another instance.
func (h *testGateway) quarantineSuspectPart(remaining time.Duration) {
	h.evidence.merge(registry.EncodeCrashEvidence(dispatch.EvidenceReport{Quarantined: []dispatch.QuarantineReport{
		{Cause: dispatch.CrashCause{Service: "llm", Part: suspectPart}, Round: 1, Age: 10 * time.Minute, Remaining: remaining},
	}}), "other")
}

// TestQueuedRequestWithQuarantinedPartIsRejected guards against a part that is quarantined
// while a request with it waits for a server, and is then sent.
func TestQueuedRequestWithQuarantinedPartIsRejected(t *testing.T) {
	h := newTestGateway(t, 1)
	b := h.routing.services["llm"][0]
	b.update(func(tracker *dispatch.BackendState) {
		tracker.Sent(dispatch.Work{MemoryTokens: testMemory}, time.Now())
	})
	c := h.suspectCall(1000)
	results := make(chan placementResult, 1)
	go func() { results <- h.place(t.Context(), c) }()
	s := h.states.get("llm")
	require.Eventually(t, func() bool { s.mu.Lock(); defer s.mu.Unlock(); return s.queue.Len() == 1 }, 5*time.Second, time.Millisecond)
	h.quarantineSuspectPart(time.Minute)
	select {
	case result := <-results:
		require.Equal(t, placementResult{reason: reasonPartQuarantined}, result)
	case <-time.After(5 * time.Second):
		t.Fatal("still queued")
	}
	require.Equal(t, suspectPart, c.quarantined.Part)
	require.InDelta(t, time.Minute, c.retryAfter(), float64(time.Second))
	require.Equal(t, 1, b.tracker.OwnLoad().Requests, "only the first request")
}

// TestInterruptedRequestIsNotTheNextCrash guards against the repeat of a request under whose
// part another server has ended.
func TestInterruptedRequestIsNotTheNextCrash(t *testing.T) {
	h := newTestGateway(t, 2)
	cut := &upstream.Error{Phase: upstream.PhaseReadBody, Err: io.ErrUnexpectedEOF}
	interrupt := func(b *backend) *call {
		c := h.suspectCall(1000)
		h.evidence.dialed[b.incarnation] = time.Now() // no connection
		c.recordInterruption(&attempt{gateway: h.Gateway, backend: b, result: responseReceived, status: http.StatusOK, headersAt: time.Now()}, cut)
		return c
	}
	first, second := h.routing.services["llm"][0], h.routing.services["llm"][1]
	require.Empty(t, interrupt(first).repeatBlocked(time.Now()))
	require.Empty(t, interrupt(second).repeatBlocked(time.Now()), "the first server is not known to have ended")
	h.serverEnded(first.incarnation, endRefused)
	require.Equal(t, reasonRepeatUnsafe, interrupt(second).repeatBlocked(time.Now()))
	require.Empty(t, interrupt(first).repeatBlocked(time.Now()), "no other server has ended")
	require.True(t, h.evidence.evidence.AwaitsEnd(second.run()))
	(&attempt{gateway: h.Gateway, backend: second, status: http.StatusMisdirectedRequest, startedAt: time.Now()}).recordAlive()
	require.True(t, h.evidence.evidence.AwaitsEnd(second.run()), "another incarnation responded")
	(&attempt{gateway: h.Gateway, backend: second, status: http.StatusOK, startedAt: time.Now().Add(-time.Minute)}).recordAlive()
	require.True(t, h.evidence.evidence.AwaitsEnd(second.run()), "sent before the interruption")
	(&attempt{gateway: h.Gateway, backend: second, status: http.StatusOK, startedAt: time.Now()}).recordAlive()
	require.False(t, h.evidence.evidence.AwaitsEnd(second.run()))
}

// TestEmptyBodyIsNoAnswer guards against a server that ends after the headers of a response
// without a length or chunks, which then looks complete and acquits the parts.
func TestEmptyBodyIsNoAnswer(t *testing.T) {
	h := newTestGateway(t, 1)
	b := h.routing.services["llm"][0]
	tests := []struct {
		name                  string
		status                int
		contentLength         int64
		body                  int
		answered, interrupted bool
	}{
		{"empty until the close", http.StatusOK, -1, 0, false, true},
		{"empty with a length", http.StatusOK, 0, 0, true, false},
		{"body until the close", http.StatusOK, -1, 5, false, false},
		{"server error", http.StatusInternalServerError, 5, 5, false, false},
	}
	for n, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			id := incarnation{"i", int64(n)}
			h.evidence.dialed[id] = time.Now() // no connection
			at := &backend{incarnation: id, address: b.address, service: h.service}
			a := &attempt{gateway: h.Gateway, backend: at, result: responseReceived, status: test.status, exchange: &upstream.Exchange{Response: &http.Response{ContentLength: test.contentLength}}}
			h.suspectCall(1000).markWhole(a, test.body)
			require.Equal(t, test.answered, a.answered)
			require.Equal(t, test.interrupted, h.evidence.evidence.AwaitsEnd(id.run()))
		})
	}
}

// TestPartsAreRecordedAtServicesWithoutEngines guards against a route that is split between
// engines and other servers, where the latter crash under the part unnoticed.
func TestPartsAreRecordedAtServicesWithoutEngines(t *testing.T) {
	h := newTestGateway(t, 1)
	c := h.suspectCall(1000)
	want := c.recordableParts()
	require.Len(t, want, 1)
	other := h.call(1000)
	other.request, other.prompt = &Request{Prompt: c.prompt}, nil
	require.Empty(t, other.recordableParts(), "the route declares no prompts")
	other.route.DeclaresPrompt = true
	other.parts.Store(nil)
	require.Equal(t, want, other.recordableParts())
}

// TestOnlyOneTrialOfQuarantinedPart guards against several requests that try a part whose
// quarantine is over, here or at several instances.
func TestOnlyOneTrialOfQuarantinedPart(t *testing.T) {
	h := newTestGateway(t, 1)
	setCandidates := func(version uint64, since time.Time, names ...string) {
		h.permits.entries = entryList{at: time.Now().Add(time.Hour), candidates: names, version: version, eligible: true}
		h.evidence.candidates, h.evidence.candidatesSince = version, since
	}
	blocked := func() bool { return !h.suspectCall(1000).admitCauses(time.Now()) }
	require.False(t, blocked())
	h.quarantineSuspectPart(-time.Second)
	long := time.Now().Add(-time.Hour)
	setCandidates(1, time.Now(), "e")
	require.True(t, blocked(), "another instance may not know yet that this one ranks first")
	other := "other"
	for n := 0; dispatch.FirstIssuer("llm/"+suspectPart, []string{"e", other}) == "e"; n++ {
		other += "x"
	}
	setCandidates(2, long, "e", other)
	require.True(t, blocked(), "the other instance ranks first")
	setCandidates(3, long, "e")
	trial := h.suspectCall(1000)
	require.True(t, trial.admitCauses(time.Now()))
	require.True(t, trial.trial.Load())
	require.True(t, blocked(), "one trial at a time")
	require.True(t, trial.admitCauses(time.Now()), "it may go to another server as long as it has not run")
	trial.mayHaveRun = true
	require.False(t, trial.admitCauses(time.Now()))
	trial.markWhole(&attempt{gateway: h.Gateway, status: http.StatusOK, exchange: &upstream.Exchange{Response: &http.Response{}}}, 0)
	require.False(t, blocked(), "an answer ends the quarantine")
}

// wholeResponse returns an attempt with a whole response of success.
func wholeResponse(h *testGateway) *attempt {
	return &attempt{gateway: h.Gateway, backend: h.routing.services["llm"][0], result: responseReceived, status: http.StatusOK, headersAt: time.Now(), exchange: &upstream.Exchange{Response: &http.Response{ContentLength: 5}}}
}

// quarantineRequest makes the gateway learn of a request's quarantine from another instance.
func (h *testGateway) quarantineRequest(c *call) {
	h.evidence.merge(registry.EncodeCrashEvidence(dispatch.EvidenceReport{Quarantined: []dispatch.QuarantineReport{
		{Cause: dispatch.RequestCause(c.digest()), Round: 1, Age: time.Minute, Remaining: time.Minute},
	}}), "other")
}

// TestQuarantinedRequestIsRejected guards against a quarantined request that is sent: for the
// first time, from the queue, repeated, or to a server that replaces a silent one.
func TestQuarantinedRequestIsRejected(t *testing.T) {
	quarantined := placementResult{reason: reasonRequestQuarantined}
	t.Run("first", func(t *testing.T) {
		h := newTestGateway(t, 1)
		c := h.call(1000)
		h.quarantineRequest(h.call(1000))
		a, reason := c.nextResponse(t.Context(), nil, &stream{call: c})
		require.Nil(t, a)
		require.Equal(t, reasonRequestQuarantined, reason)
		require.True(t, reason.isQuarantine())
		require.InDelta(t, time.Minute, c.retryAfter(), float64(time.Second))
		sound := h.call(1000)
		sound.body = []byte("other")
		sound.prepareCauses()
		require.NotNil(t, h.place(t.Context(), sound).backend)
	})
	t.Run("queued", func(t *testing.T) {
		h := newTestGateway(t, 1)
		h.routing.services["llm"][0].update(func(tracker *dispatch.BackendState) {
			tracker.Sent(dispatch.Work{MemoryTokens: testMemory}, time.Now())
		})
		c := h.call(1000)
		results := make(chan placementResult, 1)
		go func() { results <- h.place(t.Context(), c) }()
		s := h.states.get("llm")
		require.Eventually(t, func() bool { s.mu.Lock(); defer s.mu.Unlock(); return s.queue.Len() == 1 }, 5*time.Second, time.Millisecond)
		h.quarantineRequest(h.call(1000))
		select {
		case result := <-results:
			require.Equal(t, quarantined, result)
		case <-time.After(5 * time.Second):
			t.Fatal("still queued")
		}
	})
	t.Run("repeated", func(t *testing.T) {
		h := newTestGateway(t, 2)
		c := h.call(1000)
		c.attemptsSent, c.mayHaveRun, c.triedServers["i-0"], c.ranServers = 1, true, true, map[string]bool{"i-0": true}
		h.quarantineRequest(h.call(1000))
		_, reason := c.nextResponse(t.Context(), nil, &stream{call: c})
		require.Equal(t, reasonRequestQuarantined, reason)
	})
	t.Run("replacing a silent server", func(t *testing.T) {
		h := newTestGateway(t, 2)
		c := h.call(1000)
		h.quarantineRequest(h.call(1000))
		c.prepareCauses()
		require.Nil(t, c.tryReserve(time.Now()))
		c.reserved = h.routing.services["llm"][0]
		_, reason := c.nextResponse(t.Context(), nil, &stream{call: c})
		require.Equal(t, reasonRequestQuarantined, reason, "quarantined after the reservation")
	})
}

// TestInterruptionsOfEachStageAreRecorded guards against a crash that blames nothing because
// the response had not begun, or had sent events.
func TestInterruptionsOfEachStageAreRecorded(t *testing.T) {
	broken := &upstream.Error{Phase: upstream.PhaseReadBody, Err: io.ErrUnexpectedEOF}
	for n, test := range []struct {
		name    string
		attempt attempt
		err     error
		begun   bool
	}{
		{"request body being sent", attempt{result: maybeRun}, &upstream.Error{Phase: upstream.PhaseWrite, Err: syscall.EPIPE}, false},
		{"waiting", attempt{result: maybeRun}, broken, false},
		{"begun", attempt{result: responseReceived, headersAt: time.Now()}, broken, true},
		{"after events", attempt{result: responseReceived, headersAt: time.Now(), eventReceived: true}, broken, true},
		{"after events for long", attempt{result: responseReceived, headersAt: time.Now().Add(-2 * dispatch.BegunWindow), eventReceived: true}, broken, false},
	} {
		t.Run(test.name, func(t *testing.T) {
			h := newTestGateway(t, 1)
			id := incarnation{"i", int64(n)}
			h.evidence.dialed[id] = time.Now() // no connection
			test.attempt.gateway, test.attempt.backend = h.Gateway, &backend{incarnation: id, service: h.service}
			c := h.suspectCall(1000)
			c.recordInterruption(&test.attempt, test.err)
			require.Positive(t, c.suspects[0].Ran)
			require.Equal(t, []dispatch.Suspect{{Cause: c.crashCauses()[0], Begun: test.begun, Ran: c.suspects[0].Ran}, {Cause: dispatch.PartCause("llm", suspectPart), Begun: test.begun}}, c.suspects)
			require.True(t, h.evidence.evidence.AwaitsEnd(id.run()))
		})
	}
}

// TestManyPartsLeaveTheRequestRecorded guards against a bound on parts that cuts off the
// request itself.
func TestManyPartsLeaveTheRequestRecorded(t *testing.T) {
	h := newTestGateway(t, 1)
	c := h.call(1000)
	c.prompt.Parts = make([]Part, 2*maxRecordedParts)
	recorded := c.recordedCauses()
	require.Len(t, recorded, 1+maxRecordedParts)
	require.True(t, recorded[0].IsRequest())
}

// TestEventAcquitsNothingAtOnce guards against an event, or an answer that did not run, that
// acquits a request or its parts, under which the server then ends.
func TestEventAcquitsNothingAtOnce(t *testing.T) {
	h := newTestGateway(t, 1)
	lifted := func(cause dispatch.CrashCause) bool {
		_, _, blocked := h.evidence.evidence.Blocked([]dispatch.CrashCause{cause}, nil, time.Now())
		return !blocked
	}
	c := h.suspectCall(1000)
	c.trial.Store(true)
	h.quarantineRequest(c)
	h.quarantineSuspectPart(time.Minute)
	request, part := c.crashCauses()[0], c.crashCauses()[1]
	a := wholeResponse(h)
	c.markEvent(a)
	require.True(t, a.eventReceived)
	require.False(t, lifted(part), "events have not come for answeringTime")
	a.headersAt = time.Now().Add(-answeringTime)
	c.markEvent(a)
	require.True(t, lifted(part))
	require.False(t, lifted(request), "only the whole response acquits it")
	refused := wholeResponse(h)
	refused.status = http.StatusServiceUnavailable
	c.markWhole(refused, 5)
	require.False(t, lifted(request), "not run")
	failed := wholeResponse(h)
	failed.status = http.StatusNotFound
	c.markWhole(failed, 5)
	require.True(t, lifted(request))
}

// TestServerThatEndsWithCloseDelimitedResponseIsRecorded guards against a crash that looks
// like the end of a close-delimited response.
func TestServerThatEndsWithCloseDelimitedResponseIsRecorded(t *testing.T) {
	h := newTestGateway(t, 3)
	closed := func(b *backend) *call {
		c, a := h.suspectCall(1000), wholeResponse(h)
		a.backend, a.exchange.Response.ContentLength = b, -1
		h.evidence.dialed[b.incarnation] = time.Now() // no connection
		c.markWhole(a, 5)
		return c
	}
	ended, alive, late := h.routing.services["llm"][0], h.routing.services["llm"][1], h.routing.services["llm"][2]
	suspects := func(b *backend) (n int) {
		for _, r := range h.evidence.evidence.Report(time.Now()).Crashes {
			if r.Run == b.run() {
				n += len(r.Suspects)
			}
		}
		return n
	}
	for _, b := range []*backend{ended, alive, late} {
		closed(b)
	}
	require.False(t, h.evidence.relevant.Load(), "the end of a response is no interruption")
	(&attempt{gateway: h.Gateway, backend: alive, status: http.StatusOK, startedAt: time.Now()}).recordAlive()
	h.evidence.closed[late.incarnation][0].at = time.Now().Add(-closedEndTime)
	for _, b := range []*backend{ended, alive, late} {
		h.serverEnded(b.incarnation, endRefused)
	}
	require.Equal(t, []int{2, 0, 0}, []int{suspects(ended), suspects(alive), suspects(late)})
	require.NotZero(t, h.interruptions.runs[ended.incarnation].endedAt)
	require.False(t, h.evidence.hasClosed.Load())
}

// TestEndIsConfirmedSoonAfterCloseDelimitedResponse guards against a crash that is known only when
// the server is back: the connection after a close-delimited response counted as its confirmation.
func TestEndIsConfirmedSoonAfterCloseDelimitedResponse(t *testing.T) {
	h := newTestGateway(t, 1)
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	require.NoError(t, err)
	defer listener.Close()
	b := &backend{incarnation: incarnation{"i", 1}, service: h.service, address: listener.Addr().String(), pool: upstream.NewPool(listener.Addr().String(), 0)}
	a := wholeResponse(h)
	a.backend, a.exchange.Response.ContentLength = b, -1
	h.suspectCall(1000).markWhole(a, 5)
	dialed, err := listener.Accept()
	require.NoError(t, err)
	require.NoError(t, dialed.Close())
	require.NoError(t, listener.Close())
	h.suspectCall(1000).recordInterruption(&attempt{gateway: h.Gateway, backend: b, result: maybeRun}, io.ErrUnexpectedEOF)
	require.Eventually(t, func() bool {
		h.evidence.mu.Lock()
		defer h.evidence.mu.Unlock()
		return !h.evidence.evidence.AwaitsEnd(b.run())
	}, 2*time.Second, 5*time.Millisecond, "not confirmed")
}

// TestSignOfLifeCompletesCloseDelimitedResponse guards against sound requests that stay quarantined,
// or become so, because their responses end with the connection.
func TestSignOfLifeCompletesCloseDelimitedResponse(t *testing.T) {
	for status, acquitsPart := range map[int]bool{http.StatusOK: true, http.StatusNotFound: false} {
		h := newTestGateway(t, 1)
		c, a := h.suspectCall(1000), wholeResponse(h)
		h.quarantineRequest(c)
		h.quarantineSuspectPart(time.Minute)
		blocked := func(cause dispatch.CrashCause) bool {
			_, _, blocked := h.evidence.evidence.Blocked([]dispatch.CrashCause{cause}, nil, time.Now())
			return blocked
		}
		a.status, a.exchange.Response.ContentLength = status, -1
		h.evidence.dialed[a.backend.incarnation] = time.Now() // no connection
		c.markWhole(a, 5)
		alive := &attempt{gateway: h.Gateway, backend: a.backend, status: http.StatusOK, startedAt: time.Now().Add(-time.Second)}
		alive.recordAlive()
		require.True(t, blocked(c.crashCauses()[0]), "sent before the end of the response")
		alive.startedAt = time.Now()
		alive.recordAlive()
		require.False(t, blocked(c.crashCauses()[0]))
		require.Equal(t, !acquitsPart, blocked(c.crashCauses()[1]))
	}
}
