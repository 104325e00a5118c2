package crowd

import (
	"bufio"
	"fmt"
	"io"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/galenaarch/galenaarch/platform/platformtest"
)

// A single request inside the limits is served in calm: with the largest body, announced or in
// chunks, and slowly, as long as its deadline allows.
func TestSingleRequestIsServedInCalm(t *testing.T) {
	s := startSystem(t)
	block := strings.Repeat("x", maxBodyBytes/16)
	for _, tc := range []struct {
		name, framing, before, after, end string
		pause                             time.Duration
	}{
		{name: "announced", framing: announced(maxBodyBytes)},
		{name: "chunked", framing: chunked, before: fmt.Sprintf("%x\r\n", len(block)), after: "\r\n", end: "0\r\n\r\n"},
		{name: "slow", framing: announced(maxBodyBytes), pause: 150 * time.Millisecond},
	} {
		t.Run(tc.name, func(t *testing.T) {
			c, err := dial(s.clients)
			require.NoError(t, err)
			defer c.Close()
			require.NoError(t, c.SetDeadline(time.Now().Add(answerTimeout)))
			_, err = io.WriteString(c, s.listeners()[0].target.head("1.1", tc.framing)+"\r\n")
			require.NoError(t, err)
			for range maxBodyBytes / len(block) {
				time.Sleep(tc.pause)
				_, err = io.WriteString(c, tc.before+block+tc.after)
				require.NoError(t, err)
			}
			_, err = io.WriteString(c, tc.end)
			require.NoError(t, err)
			response, err := http.ReadResponse(bufio.NewReader(c), nil)
			require.NoError(t, err, s.logs())
			require.Equal(t, http.StatusOK, response.StatusCode)
			requests := s.server.Requests()
			require.Len(t, requests[len(requests)-1].Body, maxBodyBytes)
		})
	}
}

// A body that stops short gets 503 at the deadline of its request, which has not run.
func TestLateBodyIsRefusedAtItsDeadline(t *testing.T) {
	s := startSystem(t)
	before := len(s.server.Requests())
	c, err := dial(s.clients)
	require.NoError(t, err)
	defer c.Close()
	require.NoError(t, c.SetDeadline(time.Now().Add(answerTimeout)))
	_, err = fmt.Fprintf(c, "POST %sx HTTP/1.1\r\nHost: %s\r\nX-Request-Id: r-1\r\nX-Deadline-Ms: 500\r\nContent-Length: 2\r\n\r\nx", platformtest.AtMostOncePrefix, platformtest.Host)
	require.NoError(t, err)
	response, err := http.ReadResponse(bufio.NewReader(c), nil)
	require.NoError(t, err)
	require.Equal(t, http.StatusServiceUnavailable, response.StatusCode)
	require.True(t, response.Close)
	require.Len(t, s.server.Requests(), before)
}
