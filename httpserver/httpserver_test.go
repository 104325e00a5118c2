package httpserver

import (
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

func serve(t *testing.T, handler http.HandlerFunc, limits Limits) string {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	server := New(handler, limits)
	go func() { _ = server.Serve(listener) }()
	t.Cleanup(func() { _ = server.Close() })
	return listener.Addr().String()
}

func TestConcurrentRequestsAreLimited(t *testing.T) {
	entered, release := make(chan struct{}), make(chan struct{})
	address := serve(t, func(http.ResponseWriter, *http.Request) {
		entered <- struct{}{}
		<-release
	}, Limits{MaxBodyBytes: 1, MaxConcurrentRequests: 1})
	firstStatus := make(chan int)
	go func() {
		resp, err := http.Get("http://" + address)
		if err != nil {
			firstStatus <- 0
			return
		}
		resp.Body.Close()
		firstStatus <- resp.StatusCode
	}()
	<-entered
	resp, err := http.Get("http://" + address)
	require.NoError(t, err)
	resp.Body.Close()
	require.Equal(t, http.StatusServiceUnavailable, resp.StatusCode)
	close(release)
	require.Equal(t, http.StatusOK, <-firstStatus)
}

func TestRequestBodiesAreLimitedInSizeAndTime(t *testing.T) {
	readErr := make(chan error, 1)
	address := serve(t, func(_ http.ResponseWriter, r *http.Request) {
		_, err := io.ReadAll(r.Body)
		readErr <- err
	}, Limits{MaxBodyBytes: 4, MaxConcurrentRequests: 1, ReadTimeout: 50 * time.Millisecond})
	resp, err := http.Post("http://"+address, "text/plain", strings.NewReader("12345"))
	require.NoError(t, err)
	resp.Body.Close()
	var tooLarge *http.MaxBytesError
	require.ErrorAs(t, <-readErr, &tooLarge)

	conn, err := net.Dial("tcp", address)
	require.NoError(t, err)
	defer conn.Close()
	_, err = io.WriteString(conn, "POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 4\r\n\r\n1")
	require.NoError(t, err)
	require.ErrorContains(t, <-readErr, "timeout")
}

// The read timeout applies to reading the request only: a response may take
// longer.
func TestResponseMayExceedReadTimeout(t *testing.T) {
	const readTimeout = 20 * time.Millisecond
	address := serve(t, func(w http.ResponseWriter, r *http.Request) {
		_, _ = io.ReadAll(r.Body)
		select {
		case <-r.Context().Done():
		case <-time.After(5 * readTimeout):
			_, _ = io.WriteString(w, "whole")
		}
	}, Limits{MaxBodyBytes: 4, MaxConcurrentRequests: 1, ReadTimeout: readTimeout})
	resp, err := http.Post("http://"+address, "text/plain", strings.NewReader("1"))
	require.NoError(t, err)
	defer resp.Body.Close()
	body, err := io.ReadAll(resp.Body)
	require.NoError(t, err)
	require.Equal(t, "whole", string(body))
}

// A step of the time of day does not count as time without a request.
func TestTimeOfLastRequestIsMonotonic(t *testing.T) {
	var requests Requests
	startedAt := time.Now()
	requests.Track(http.NotFoundHandler()).ServeHTTP(httptest.NewRecorder(), httptest.NewRequest(http.MethodGet, "/", nil))
	require.Contains(t, requests.lastActive().String(), " m=+")
	require.False(t, requests.lastActive().Before(startedAt))
}
