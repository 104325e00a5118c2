package httpclient

import (
	"bufio"
	"bytes"
	"context"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/galenaarch/galenaarch/framing"
)

// uploadBytes is more than the socket buffers of both ends hold.
const uploadBytes = 24 << 20

// post sends a request with a body to a server that handles one connection, and reads the
// response.
func post(t *testing.T, transport *http.Transport, size int, handle func(connection *net.TCPConn, r *http.Request)) (string, error) {
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	require.NoError(t, err)
	defer listener.Close()
	go func() {
		connection, err := listener.Accept()
		if err != nil {
			return
		}
		defer connection.Close()
		r, err := http.ReadRequest(bufio.NewReader(connection))
		if err != nil {
			return
		}
		handle(connection.(*net.TCPConn), r)
	}()
	ctx, cancel := context.WithTimeout(t.Context(), callTimeout)
	defer cancel()
	r, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+listener.Addr().String(), bytes.NewReader(make([]byte, size)))
	require.NoError(t, err)
	r.GetBody = nil
	client := &http.Client{Transport: Bound(transport, PeerLimits)}
	defer client.CloseIdleConnections()
	response, err := client.Do(r)
	if err != nil {
		return "", err
	}
	defer response.Body.Close()
	body, err := io.ReadAll(response.Body)
	return string(body), err
}

// A response without a length whose server resets or closes the connection during the upload
// must not count as whole.
func TestCallCutDuringUploadIsNotWhole(t *testing.T) {
	for name, end := range map[string]func(*net.TCPConn) error{
		"reset": func(c *net.TCPConn) error { return c.SetLinger(0) },
		"close": func(c *net.TCPConn) error { return c.CloseWrite() },
	} {
		for _, keepAlive := range []bool{false, true} {
			for _, delay := range []time.Duration{0, time.Millisecond, 30 * time.Millisecond} {
				t.Run(name+" after "+delay.String(), func(t *testing.T) {
					body, err := post(t, &http.Transport{DisableKeepAlives: !keepAlive}, uploadBytes, func(connection *net.TCPConn, _ *http.Request) {
						_, _ = io.WriteString(connection, "HTTP/1.1 200 OK\r\n\r\n0123456789") // the client sees a failed exchange otherwise
						time.Sleep(delay)
						_ = end(connection)
					})
					require.Error(t, err, "body %q", body)
				})
			}
		}
	}
}

// Calls that servers answer as HTTP allows succeed.
func TestWholeCallsSucceed(t *testing.T) {
	for _, size := range []int{0, 1, 1 << 20, uploadBytes} {
		for _, response := range []string{"HTTP/1.1 200 OK\r\n\r\n0123456789", "HTTP/1.0 200 OK\r\n\r\n0123456789", "HTTP/1.1 200 OK\r\nContent-Length: 10\r\n\r\n0123456789"} {
			body, err := post(t, &http.Transport{}, size, func(connection *net.TCPConn, r *http.Request) {
				_, _ = io.Copy(io.Discard, r.Body)          // the client sees a failed exchange otherwise
				_, _ = io.WriteString(connection, response) // the client sees a failed exchange otherwise
			})
			require.NoError(t, err)
			require.Equal(t, "0123456789", body)
		}
	}
}

// Calls must not take a response with an invalid status, or what follows it, for the answer.
func TestCallWithInvalidStatusFails(t *testing.T) {
	const inner = "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\ninner"
	for _, invalid := range []string{
		"HTTP/1.1 000 \r\nContent-Length: 43\r\n\r\n", "HTTP/1.1 099 x\r\n\r\n", "HTTP/1.1 600 x\r\n\r\n", "HTTP/1.1 999 x\r\nContent-Length: 43\r\n\r\n",
		"HTTP/1.1 101 x\r\nUpgrade: x\r\nConnection: upgrade\r\n\r\n", "HTTP/1.1 103 x\r\nContent-Length: 43\r\n\r\n",
		strings.Repeat("HTTP/1.1 103 x\r\n\r\n", framing.MaxInterimResponses+1),
	} {
		body, err := post(t, &http.Transport{}, 1, func(connection *net.TCPConn, r *http.Request) {
			_, _ = io.Copy(io.Discard, r.Body)               // the client sees a failed exchange otherwise
			_, _ = io.WriteString(connection, invalid+inner) // as above
		})
		require.Error(t, err, "%q: body %q", invalid, body)
	}
}
