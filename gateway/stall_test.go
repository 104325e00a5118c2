package gateway

import (
	"context"
	"errors"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// A check that comes late, because the process stood still, must not take a stream from a server
// whose events have arrived meanwhile and are not read yet. The next check, in time, takes it from
// one that is silent.
func TestLateCheckDoesNotEndStream(t *testing.T) {
	h := newTestGateway(t, 2)
	h.retryLimits.ExtraRetries, h.retryLimits.RetryWindow = 1000, time.Millisecond
	h.started = h.started.Add(-h.retryLimits.RetryWindow) // the allowance grows for that long
	c, server := h.silentCall()
	c.startedAt = time.Now().Add(-time.Second)
	ctx, cancel := context.WithCancelCause(t.Context())
	w := &stallWatch{call: c, stream: &stream{call: c}, attempt: &attempt{gateway: h.Gateway, backend: server, cancel: cancel}, ctx: t.Context()}
	w.timer = time.AfterFunc(time.Hour, func() {})
	defer w.timer.Stop()
	now := time.Now()
	w.lastEventAt.Store(monotonic(now.Add(-w.fraction(failoverShare))))
	w.dueAt = now.Add(-w.fraction(failoverShare))
	h.routing.services["llm"][1].tracker.Responded(now) // it needs no connection to be taken for reachable
	w.check()
	require.NoError(t, ctx.Err())
	require.Greater(t, time.Until(w.dueAt), time.Duration(0), "another check follows")
	w.check()
	require.True(t, errors.Is(context.Cause(ctx), errStalled))
	require.ErrorIs(t, w.readError(nil), errStalled)
}
