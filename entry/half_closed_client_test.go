package entry

import (
	"bufio"
	"fmt"
	"io"
	"log/slog"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/galenaarch/galenaarch/intake"
)

// A client that closes its sending side after a whole request must get its response.
func TestClientThatClosesItsSendingSideIsAnswered(t *testing.T) {
	e := startEntry(t)
	e.announce("engine-1", startEngine(t, "engine-1", func(w http.ResponseWriter, r *http.Request, next http.Handler) {
		time.Sleep(200 * time.Millisecond)
		next.ServeHTTP(w, r)
	}).URL)
	var err error
	e.kernel.Intake, err = intake.New(intake.Settings{}, 0, slog.New(slog.DiscardHandler))
	require.NoError(t, err)
	l, err := e.listen(&e.public, "clients", "127.0.0.1:0", e.publicTransport.Secure, e.publicRoutes())
	require.NoError(t, err)
	t.Cleanup(func() { _ = e.public.Close() })
	c, err := net.Dial("tcp", l.Addr().String())
	require.NoError(t, err)
	defer c.Close()
	require.NoError(t, c.SetDeadline(time.Now().Add(testWait)))
	body := fmt.Sprintf(`{"model":%q,"prompt":"x","max_tokens":2}`, testModel)
	_, err = fmt.Fprintf(c, "POST /v1/completions HTTP/1.1\r\nHost: a\r\nAuthorization: Bearer %s\r\nContent-Type: application/json\r\nContent-Length: %d\r\n\r\n%s", testKey, len(body), body)
	require.NoError(t, err)
	require.NoError(t, c.(*net.TCPConn).CloseWrite())
	reader := bufio.NewReader(c)
	response, err := http.ReadResponse(reader, nil)
	for err == nil && response.StatusCode < http.StatusOK {
		response, err = http.ReadResponse(reader, nil)
	}
	require.NoError(t, err)
	require.Equal(t, http.StatusOK, response.StatusCode)
	_, err = io.ReadAll(response.Body)
	require.NoError(t, err)
}
