package gateway

import (
	"context"
	"errors"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// A check that comes late, because the process stood still, must not end a stream whose events
// have arrived meanwhile and are not read yet. The next check, in time, ends one that is silent.
func TestLateCheckDoesNotEndStream(t *testing.T) {
	h := newTestGateway(t, 1)
	c, server := h.silentCall()
	ctx, cancel := context.WithCancelCause(t.Context())
	w := &stallWatch{call: c, stream: &stream{call: c}, attempt: &attempt{gateway: h.Gateway, backend: server, cancel: cancel}, ctx: t.Context()}
	w.timer = time.AfterFunc(time.Hour, func() {})
	defer w.timer.Stop()
	now := time.Now()
	w.lastEventAt.Store(now.Add(-2 * w.fraction(abortShare)).UnixNano())
	w.dueAt = now.Add(-w.fraction(abortShare))
	w.check()
	require.NoError(t, ctx.Err())
	require.Greater(t, time.Until(w.dueAt), time.Duration(0), "another check follows")
	w.check()
	require.True(t, errors.Is(context.Cause(ctx), errStalled))
	require.ErrorIs(t, w.readError(nil), errStalled)
}
