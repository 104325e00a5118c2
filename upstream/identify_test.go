package upstream

import (
	"context"
	"errors"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
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
		"closes":    {func(w http.ResponseWriter) { w.Header().Set("Connection", "close"); _, _ = io.WriteString(w, "me") }, "plain who who who", errNotIdentified.Error()},
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
