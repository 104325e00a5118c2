package intake

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"os"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// finalResponses sends bytes, ends the sending side, and returns the statuses of the final responses until the
// connection ends.
func finalResponses(t *testing.T, address, sent string) (statuses []int) {
	t.Helper()
	c, err := net.Dial("tcp4", address)
	require.NoError(t, err)
	defer c.Close()
	require.NoError(t, c.SetDeadline(time.Now().Add(3*time.Second)))
	_, err = io.WriteString(c, sent)
	require.NoError(t, err)
	require.NoError(t, c.(*net.TCPConn).CloseWrite())
	for reader := bufio.NewReader(c); ; {
		response, err := http.ReadResponse(reader, nil)
		if err != nil {
			require.NotErrorIs(t, err, os.ErrDeadlineExceeded, "the connection must end")
			return statuses
		}
		_, err = io.ReadAll(response.Body)
		require.NoError(t, err)
		if response.StatusCode >= http.StatusOK {
			statuses = append(statuses, response.StatusCode)
		}
	}
}

// Each whole request before the end of the sending side is answered, and the connection ends.
func TestHalfClosedConnectionIsAnsweredAndEnds(t *testing.T) {
	const body = "POST /x HTTP/1.1\r\nHost: a\r\nContent-Length: 4\r\n\r\nbody"
	for _, test := range []struct {
		name, sent string
		want       []int
	}{
		{"one request", body, []int{200}},
		{"pipelined", body + body + body, []int{200, 200, 200}},
		{"no handler is called", "OPTIONS * HTTP/1.1\r\nHost: a\r\n\r\n", []int{200}},
		{"after 100 Continue", "POST /x HTTP/1.1\r\nHost: a\r\nExpect: 100-continue\r\nContent-Length: 4\r\n\r\nbody", []int{200}},
		{"body not whole", "POST /x HTTP/1.1\r\nHost: a\r\nContent-Length: 9\r\n\r\nbody", []int{400}},
		{"HTTP/1.0", "POST /x HTTP/1.0\r\nContent-Length: 4\r\n\r\nbody", []int{200}},
	} {
		t.Run(test.name, func(t *testing.T) {
			t.Parallel()
			address := startServer(t, testBudget(limits{total: 100, listener: 100, address: 100}), func(w http.ResponseWriter, r *http.Request) {
				if _, err := io.ReadAll(r.Body); err != nil {
					w.WriteHeader(http.StatusBadRequest)
					return
				}
				select {
				case <-r.Context().Done():
					w.WriteHeader(http.StatusServiceUnavailable)
				case <-time.After(50 * time.Millisecond):
				}
			})
			for range 20 {
				require.Equal(t, test.want, finalResponses(t, address, test.sent))
			}
		})
	}
}

// A connection that is closed frees the watch for its reset, and what it holds.
func TestClosedConnectionEndsItsHalfCloseWatch(t *testing.T) {
	ended := make(chan struct{}, 1)
	budget := testBudget(limits{total: 100, listener: 100, address: 100})
	address := startServer(t, budget, func(_ http.ResponseWriter, r *http.Request) {
		<-r.Context().Done()
		ended <- struct{}{}
	})
	c, err := net.Dial("tcp4", address)
	require.NoError(t, err)
	_, err = io.WriteString(c, "GET /x HTTP/1.1\r\nHost: a\r\n\r\n")
	require.NoError(t, err)
	require.NoError(t, c.(*net.TCPConn).CloseWrite())
	require.Eventually(t, func() bool { return budget.halfCloses.asked.Load() == 1 }, time.Second, time.Millisecond)
	require.Zero(t, budget.halfCloses.left.Load())
	require.NoError(t, c.Close())
	select {
	case <-ended:
	case <-time.After(500 * time.Millisecond):
		t.Fatal("the request goes on")
	}
	require.Eventually(t, func() bool { return budget.halfCloses.left.Load() == 1 && budget.held.Load() == 0 }, time.Second, time.Millisecond)
}

// A peer that ends its sending side inside a head must not keep its connection, also when one byte
// is left in the buffer that the head is read into.
func TestHalfClosedConnectionEndsInsideHead(t *testing.T) {
	const bufferSize = 4 << 10 // of net/http
	for _, missing := range []int{0, 1, 2} {
		t.Run(strconv.Itoa(missing), func(t *testing.T) {
			t.Parallel()
			address := startServer(t, testBudget(limits{total: 100, listener: 100, address: 100}), func(http.ResponseWriter, *http.Request) {})
			c, err := net.Dial("tcp4", address)
			require.NoError(t, err)
			defer c.Close()
			require.NoError(t, c.SetDeadline(time.Now().Add(3*time.Second)))
			const start = "GET /"
			_, err = io.WriteString(c, start+strings.Repeat("a", bufferSize-missing-len(start)))
			require.NoError(t, err)
			require.NoError(t, c.(*net.TCPConn).CloseWrite())
			_, err = io.ReadAll(c)
			require.NotErrorIs(t, err, os.ErrDeadlineExceeded, "the connection must end")
		})
	}
}

// The read that awaits a client's leaving must not race with the handler's start.
func TestBytesOfNextRequestArriveAsHandlerStarts(t *testing.T) {
	const get = "GET /x HTTP/1.1\r\nHost: a\r\n\r\n"
	address := startServer(t, testBudget(limits{total: 100, listener: 100, address: 100}), func(http.ResponseWriter, *http.Request) {
		time.Sleep(time.Millisecond)
	})
	for range 50 {
		c, err := net.Dial("tcp4", address)
		require.NoError(t, err)
		require.NoError(t, c.SetDeadline(time.Now().Add(3*time.Second)))
		reader := bufio.NewReader(c)
		_, err = io.WriteString(c, get)
		require.NoError(t, err)
		_, err = io.WriteString(c, get)
		require.NoError(t, err)
		for range 2 {
			response, err := http.ReadResponse(reader, nil)
			require.NoError(t, err)
			require.Equal(t, http.StatusOK, response.StatusCode)
		}
		require.NoError(t, c.Close())
	}
}

// A peer that ends its sending side must not be asked by an interim response that simple clients take for
// the final one: they skip 100 Continue only.
func TestHalfClosedPeerIsAskedByContinue(t *testing.T) {
	address := startServer(t, testBudget(limits{total: 100, listener: 100, address: 100}), func(http.ResponseWriter, *http.Request) {
		time.Sleep(50 * time.Millisecond)
	})
	c, err := net.Dial("tcp4", address)
	require.NoError(t, err)
	defer c.Close()
	require.NoError(t, c.SetDeadline(time.Now().Add(3*time.Second)))
	_, err = io.WriteString(c, "GET /x HTTP/1.1\r\nHost: a\r\n\r\n")
	require.NoError(t, err)
	require.NoError(t, c.(*net.TCPConn).CloseWrite())
	reader := bufio.NewReader(c)
	for _, want := range []int{http.StatusContinue, http.StatusOK} {
		response, err := http.ReadResponse(reader, nil)
		require.NoError(t, err)
		require.Equal(t, want, response.StatusCode)
	}
}
