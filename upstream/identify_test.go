package upstream

import (
	"context"
	"errors"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// Guards against requests that reach a server which has restarted, and against ones that ask each time:
// an identification is exchanged once on a new connection, before the request.
func TestRequestFollowsIdentification(t *testing.T) {
	tests := map[string]struct {
		identity func(w http.ResponseWriter)
		want     string
		err      string
	}{
		"same":      {func(w http.ResponseWriter) { _, _ = io.WriteString(w, "me") }, "plain who request request request", ""},
		"another":   {func(w http.ResponseWriter) { _, _ = io.WriteString(w, "other") }, "plain who who who", "not the one"},
		"no status": {func(w http.ResponseWriter) { w.WriteHeader(http.StatusServiceUnavailable) }, "plain who who who", "not the one"},
		"closes":    {func(w http.ResponseWriter) { w.Header().Set("Connection", "close"); _, _ = io.WriteString(w, "me") }, "plain who request who request who request", ""},
		"endless": {func(w http.ResponseWriter) {
			_, _ = io.WriteString(w, "me"+strings.Repeat(" ", 2*maxIdentityBytes))
		}, "plain who who who", "not the one"},
		"breaks off": {func(w http.ResponseWriter) { panic(http.ErrAbortHandler) }, "plain who who who", "EOF"},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			var mu sync.Mutex
			var got []string
			server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
				mu.Lock()
				got = append(got, strings.TrimPrefix(r.URL.Path, "/"))
				mu.Unlock()
				if r.URL.Path == "/who" {
					tt.identity(w)
				}
			}))
			t.Cleanup(server.Close)
			p := NewPool(server.Listener.Addr().String(), 2)
			send := func(target string, identify *Identification) error {
				ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
				defer cancel()
				x, err := p.Send(ctx, &Request{Method: http.MethodGet, Target: target, Host: "h", Identify: identify})
				if err != nil {
					return err
				}
				_, err = io.ReadAll(x)
				x.Finish(0)
				return err
			}
			require.NoError(t, send("/plain", nil)) // its connection is not identified
			for range 3 {
				err := send("/request", &Identification{Request: Request{Method: http.MethodGet, Target: "/who", Host: "h"}, Verify: func(status int, body []byte) error {
					if status != http.StatusOK || string(body) != "me" {
						return errors.New("not the one")
					}
					return nil
				}})
				if tt.err == "" {
					require.NoError(t, err)
					continue
				}
				var e *Error
				require.ErrorAs(t, err, &e)
				require.ErrorContains(t, err, tt.err)
				require.False(t, e.Reached(), "no byte of the request was sent")
			}
			mu.Lock()
			defer mu.Unlock()
			require.Equal(t, tt.want, strings.Join(got, " "))
		})
	}
}

// Guards against a server that is asked on each connection, and against one that is not asked again
// after it may have restarted.
func TestPoolIsIdentifiedUntilConnectionsBreak(t *testing.T) {
	var asked atomic.Int64
	var breakOff atomic.Bool
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		switch {
		case r.URL.Path == "/who":
			asked.Add(1)
		case breakOff.Load():
			panic(http.ErrAbortHandler)
		}
	}))
	t.Cleanup(server.Close)
	p := NewPool(server.Listener.Addr().String(), 0)
	identify := &Identification{Request: Request{Method: http.MethodGet, Target: "/who", Host: "h"}, Verify: func(int, []byte) error { return nil }, OncePerPool: true}
	open := func() (*Exchange, error) {
		return p.Send(t.Context(), &Request{Method: http.MethodGet, Target: "/", Host: "h", Identify: identify})
	}
	finish := func(x *Exchange) {
		_, err := io.ReadAll(x)
		require.NoError(t, err)
		x.Finish(0)
	}
	for range 3 {
		var list []*Exchange
		for range 4 {
			x, err := open()
			require.NoError(t, err)
			list = append(list, x)
		}
		for _, x := range list {
			finish(x)
		}
	}
	require.EqualValues(t, 1, asked.Load())

	breakOff.Store(true)
	_, err := open()
	require.Error(t, err)
	breakOff.Store(false)
	x, err := open() // may get the connection on which the server was asked
	require.NoError(t, err)
	y, err := open()
	require.NoError(t, err)
	finish(x)
	finish(y)
	require.EqualValues(t, 2, asked.Load(), "a connection broke")

	server.CloseClientConnections()
	time.Sleep(20 * time.Millisecond)
	x, err = open()
	require.NoError(t, err)
	finish(x)
	require.EqualValues(t, 3, asked.Load(), "all connections were closed")

	p.CloseIdle(time.Now().Add(time.Hour))
	x, err = open()
	require.NoError(t, err)
	finish(x)
	require.EqualValues(t, 4, asked.Load(), "no connection was open")
}
