package steward

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/galenaarch/galenaarch/api/backend"
)

// A faulty server that once more writes its response to an earlier call must not have it
// taken for that to a later one: nothing in it would reveal that.
func TestRepeatedResponseIsNotThatOfALaterCall(t *testing.T) {
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	require.NoError(t, err)
	defer listener.Close()
	go func() {
		for {
			connection, err := listener.Accept()
			if err != nil {
				return
			}
			go func() {
				defer connection.Close()
				reader := bufio.NewReader(connection)
				earlier := ""
				for {
					r, err := http.ReadRequest(reader)
					if err != nil {
						return
					}
					_, _ = io.Copy(io.Discard, r.Body) // the next read fails if this one does
					status, body := "200 OK", `{"deployment":"second"}`
					if r.URL.Path == "/admin/load" {
						status, body = "409 Conflict", ""
					}
					response := fmt.Sprintf("HTTP/1.1 %s\r\nContent-Length: %d\r\n\r\n%s", status, len(body), body)
					_, _ = io.WriteString(connection, earlier)
					time.Sleep(10 * time.Millisecond)
					if _, err := io.WriteString(connection, response); err != nil {
						return
					}
					earlier = response
				}
			}()
		}
	}()
	url := "http://" + listener.Addr().String()
	backends := NewHTTPBackends(nil, http.DefaultClient)
	status, err := backends.Load(t.Context(), url, &backend.LoadOrder{})
	require.NoError(t, err)
	require.Equal(t, http.StatusConflict, status)
	_, err = backends.ReadState(t.Context(), url)
	require.NoError(t, err)
	status, err = backends.Load(t.Context(), url, &backend.LoadOrder{})
	require.NoError(t, err)
	require.Equal(t, http.StatusConflict, status)
}
