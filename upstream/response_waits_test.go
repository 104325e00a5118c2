package upstream

import (
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// Bytes of a response wait from their arrival until they are read or the exchange ends.
func TestResponseWaits(t *testing.T) {
	body := make(chan string)
	address := serveOnce(t, func(connection *net.TCPConn, _ *http.Request) {
		send(connection, "HTTP/1.1 200 OK\r\nContent-Length: 8\r\n\r\n")
		for part := range body {
			send(connection, part)
		}
	})
	defer close(body)
	var waits func() bool
	x, err := NewPool(address, 1).Send(t.Context(), &Request{Method: "GET", Target: "/", Host: "x", Sent: func(f func() bool) {
		require.False(t, f())
		waits = f
	}})
	require.NoError(t, err)
	require.False(t, waits())
	awaitPart := func(part string) {
		body <- part
		require.Eventually(t, waits, 5*time.Second, time.Millisecond)
	}
	awaitPart("made")
	buffer := make([]byte, 8)
	n, err := x.Read(buffer)
	require.NoError(t, err)
	require.Equal(t, "made", string(buffer[:n]))
	require.False(t, waits())
	awaitPart("last")
	x.Abandon()
	require.False(t, waits())
}
