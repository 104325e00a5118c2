package intake

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// A request that net/http has in its buffer, behind a response that has begun without "Connection: close", is
// answered or rejected as the server stops.
func TestPipelinedRequestInBufferIsAnsweredAsServerStops(t *testing.T) {
	const get = "GET / HTTP/1.1\r\nHost: a\r\n\r\n"
	b := testBudget(limits{total: 100, listener: 100, address: 100})
	begun, leave := make(chan struct{}, 1), make(chan struct{})
	s := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		_ = http.NewResponseController(w).Flush()
		begun <- struct{}{}
		<-leave
	})}
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	require.NoError(t, err)
	counted := b.Protect(s, l, "clients")
	go func() { _ = s.Serve(counted) }()
	client, err := net.Dial("tcp4", l.Addr().String())
	require.NoError(t, err)
	defer client.Close()
	require.NoError(t, client.SetDeadline(time.Now().Add(5*time.Second)))
	_, err = io.WriteString(client, get+get)
	require.NoError(t, err)
	<-begun
	ctx, cancel := context.WithTimeout(context.Background(), 10*time.Millisecond)
	defer cancel()
	require.ErrorIs(t, b.CloseIdle(ctx, "clients"), context.DeadlineExceeded)
	stopped := make(chan error, 1)
	go func() { stopped <- s.Shutdown(context.Background()) }()
	time.Sleep(20 * time.Millisecond) // Shutdown has begun
	close(leave)
	reader := bufio.NewReader(client)
	for range 2 {
		response, err := http.ReadResponse(reader, nil)
		require.NoError(t, err)
		_, err = io.ReadAll(response.Body)
		require.NoError(t, err)
	}
	require.NoError(t, <-stopped)
}

// A request in the socket is rejected although Shutdown closes its connection before net/http has called the hook that
// tells of the end of the last response.
func TestRequestIsAnsweredIfShutdownClosesBeforeHook(t *testing.T) {
	const get = "GET / HTTP/1.1\r\nHost: a\r\n\r\n"
	b := testBudget(limits{total: 100, listener: 100, address: 100})
	idle, release := make(chan struct{}, 1), make(chan struct{})
	s := &http.Server{Handler: http.HandlerFunc(func(http.ResponseWriter, *http.Request) {}), ConnState: func(_ net.Conn, state http.ConnState) {
		if state == http.StateIdle {
			idle <- struct{}{}
			<-release
		}
	}}
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	require.NoError(t, err)
	counted := b.Protect(s, l, "clients")
	go func() { _ = s.Serve(counted) }()
	client, err := net.Dial("tcp4", l.Addr().String())
	require.NoError(t, err)
	defer client.Close()
	require.NoError(t, client.SetDeadline(time.Now().Add(5*time.Second)))
	_, err = io.WriteString(client, get)
	require.NoError(t, err)
	<-idle
	_, err = io.WriteString(client, get)
	require.NoError(t, err)
	conn := b.connsOf([]string{"clients"})[0]
	require.Eventually(t, func() bool { return conn.unreadBytes() == len(get) }, 5*time.Second, time.Millisecond)
	require.NoError(t, s.Shutdown(context.Background()))
	close(release)
	reader := bufio.NewReader(client)
	for _, status := range []int{http.StatusOK, http.StatusServiceUnavailable} {
		response, err := http.ReadResponse(reader, nil)
		require.NoError(t, err)
		require.Equal(t, status, response.StatusCode)
	}
}
