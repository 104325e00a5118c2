package upstream

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// uploadBytes is more than the socket buffers of both ends hold.
const uploadBytes = 24 << 20

// serveOnce lets a function handle one connection, whose request's headers it has read.
func serveOnce(t *testing.T, handle func(connection *net.TCPConn, r *http.Request)) string {
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	require.NoError(t, err)
	t.Cleanup(func() { listener.Close() })
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
	return listener.Addr().String()
}

// upload sends a request with a body and reads the response.
func upload(t *testing.T, address string, size int) (string, error) {
	pool := NewPool(address, 0)
	defer pool.Close()
	ctx, cancel := context.WithTimeout(t.Context(), 10*time.Second)
	defer cancel()
	x, err := pool.Send(ctx, &Request{Method: http.MethodPost, Target: "/", Host: "a", Header: make(http.Header), Body: make([]byte, size)})
	if err != nil {
		return "", err
	}
	defer x.Abandon()
	body, err := io.ReadAll(x)
	return string(body), err
}

// send writes a response or a part of one.
func send(connection net.Conn, text string) {
	_, _ = io.WriteString(connection, text) // the client sees a failed exchange otherwise
}

func resetConnection(connection *net.TCPConn) {
	_ = connection.SetLinger(0) // the connection is closed in any case
	connection.Close()
}

// A response without a length that is reset during the upload must not count as whole: the
// failed write has consumed the socket's error.
func TestResponseCutDuringUploadIsNotWhole(t *testing.T) {
	for _, head := range []string{"HTTP/1.1 200 OK\r\n\r\n", "HTTP/1.0 200 OK\r\n\r\n", "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nConnection: close\r\n\r\n"} {
		for _, delay := range []time.Duration{0, time.Millisecond, 30 * time.Millisecond, 78 * time.Millisecond} {
			t.Run(fmt.Sprintf("%.8s after %v", head, delay), func(t *testing.T) {
				address := serveOnce(t, func(connection *net.TCPConn, _ *http.Request) {
					send(connection, head+"0123456789")
					time.Sleep(delay)
					resetConnection(connection)
				})
				body, err := upload(t, address, uploadBytes)
				require.Error(t, err, "body %q", body)
				var failed *Error
				require.ErrorAs(t, err, &failed)
				require.True(t, failed.Reached())
			})
		}
	}
}

// A server that closes in order without having taken the whole request has not answered it.
func TestResponseClosedDuringUploadIsNotWhole(t *testing.T) {
	address := serveOnce(t, func(connection *net.TCPConn, r *http.Request) {
		send(connection, "HTTP/1.1 200 OK\r\n\r\n0123456789")
		_ = connection.CloseWrite()
		time.Sleep(100 * time.Millisecond)
		resetConnection(connection)
	})
	_, err := upload(t, address, uploadBytes)
	require.Error(t, err)
	// The request fits the socket buffers, but the server has not received all of it.
	address = serveOnce(t, func(connection *net.TCPConn, r *http.Request) {
		_ = connection.SetReadBuffer(4 << 10)
		send(connection, "HTTP/1.1 200 OK\r\n\r\n0123456789")
		_ = connection.CloseWrite()
		time.Sleep(200 * time.Millisecond)
	})
	_, err = upload(t, address, 2<<20)
	require.Error(t, err)
}

// Responses that servers end as HTTP allows stay whole, also if the server did not read the upload.
func TestWholeResponsesOfUploadsStayWhole(t *testing.T) {
	tests := map[string]func(connection *net.TCPConn, r *http.Request){
		"length, then reset": func(connection *net.TCPConn, _ *http.Request) {
			send(connection, "HTTP/1.1 413 Too Large\r\nContent-Length: 10\r\n\r\n0123456789")
			time.Sleep(30 * time.Millisecond)
			resetConnection(connection)
		},
		"chunks, then reset": func(connection *net.TCPConn, _ *http.Request) {
			send(connection, "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\na\r\n0123456789\r\n0\r\n\r\n")
			time.Sleep(30 * time.Millisecond)
			resetConnection(connection)
		},
		"length, read on later": func(connection *net.TCPConn, r *http.Request) {
			send(connection, "HTTP/1.1 200 OK\r\nContent-Length: 10\r\n\r\n0123456789")
			time.Sleep(30 * time.Millisecond)
			_, _ = io.Copy(io.Discard, r.Body) // the client sees a failed exchange otherwise
		},
		"no length, read on later": func(connection *net.TCPConn, r *http.Request) {
			send(connection, "HTTP/1.1 200 OK\r\n\r\n01234")
			_, _ = io.Copy(io.Discard, r.Body) // the client sees a failed exchange otherwise
			send(connection, "56789")
		},
		"HTTP/1.0": func(connection *net.TCPConn, r *http.Request) {
			_, _ = io.Copy(io.Discard, r.Body) // the client sees a failed exchange otherwise
			send(connection, "HTTP/1.0 200 OK\r\n\r\n0123456789")
		},
	}
	for name, handle := range tests {
		t.Run(name, func(t *testing.T) {
			body, err := upload(t, serveOnce(t, handle), uploadBytes)
			require.NoError(t, err)
			require.Equal(t, "0123456789", body)
		})
	}
}
