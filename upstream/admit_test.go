package upstream

import (
	"errors"
	"io"
	"net/http"
	"net/http/httptest"
	"sync/atomic"
	"testing"

	"github.com/stretchr/testify/require"
)

// A request that is no longer admitted when its connection is open must not reach the server. Its
// connection serves the next one.
func TestRequestThatIsNotAdmittedIsNotSent(t *testing.T) {
	var received atomic.Int64
	server := httptest.NewServer(http.HandlerFunc(func(http.ResponseWriter, *http.Request) { received.Add(1) }))
	defer server.Close()
	p := NewPool(server.Listener.Addr().String(), 1)
	errStopped := errors.New("stopped")
	request := &Request{Method: http.MethodGet, Target: "/", Host: "h", Admit: func() error { return errStopped }}
	for range 2 {
		_, err := p.Send(t.Context(), request)
		require.ErrorIs(t, err, errStopped)
		var e *Error
		require.ErrorAs(t, err, &e)
		require.False(t, e.Reached())
	}
	request.Admit = func() error { return nil }
	x, err := p.Send(t.Context(), request)
	require.NoError(t, err)
	_, err = io.ReadAll(x)
	require.NoError(t, err)
	require.Equal(t, int64(1), received.Load())
	require.Equal(t, uint64(1), p.DialCount())
}
