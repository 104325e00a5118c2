package gateway

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"
)

// A response that has begun must have the client's whole time, and no more: what comes later
// reaches no one, and the client must learn that the response is not whole.
func TestBegunResponseEndsAtClientsDeadline(t *testing.T) {
	for _, begun := range []bool{false, true} {
		synctest.Test(t, func(t *testing.T) {
			const timeout = time.Second
			c := &call{startedAt: time.Now()}
			c.setDeadline(timeout)
			s := &stream{call: c}
			s.begun.Store(begun)
			ctx, cancel := context.WithCancelCause(t.Context())
			defer s.startDeadline(cancel)()
			<-ctx.Done()
			require.ErrorIs(t, context.Cause(ctx), errDeadline)
			want := timeout
			if !begun {
				want -= maxResponseMargin
			}
			require.Equal(t, want, time.Since(c.startedAt))
		})
	}
}
