package gateway

import (
	"bytes"
	"log/slog"
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/galenaarch/galenaarch/api/fleetv1"
)

// headerDialect calls a function as the headers of a request to a server are made.
type headerDialect struct {
	Dialect
	called func()
}

func (d headerDialect) OutboundHeader(http.Header, *OutboundRequest) http.Header {
	d.called()
	return http.Header{}
}

// The timer of an attempt may hold a connection elsewhere, which must not replace the one that is held
// for the attempt: the request is complete before the timer starts.
func TestAttemptTimerStartsAfterHeldConnectionIsTaken(t *testing.T) {
	h := newTestGateway(t, 0)
	var log bytes.Buffer
	h.logger = slog.New(slog.NewTextHandler(&log, nil))
	c := h.call(1)
	c.prompt, c.ranServers = nil, make(map[string]bool)
	b := newBackend(&fleetv1.Announcement{Server: "i-1", Address: "127.0.0.1:1"}, h.service, c.state, 1, time.Now())
	require.True(t, b.pool.Hold())
	c.held = b.pool
	h.dialect = headerDialect{called: func() {
		route := c.route
		c.route = nil // the timer panics if it runs
		time.Sleep(20 * time.Millisecond)
		c.route = route
	}}
	r, err := http.NewRequestWithContext(t.Context(), http.MethodPost, "/", nil)
	require.NoError(t, err)
	a := c.send(t.Context(), r, b, "", 0)
	require.Error(t, a.err)
	require.NotContains(t, log.String(), "panic in a timer")
	require.Nil(t, c.held)
	require.True(t, b.pool.Hold(), "the hold has ended")
}
