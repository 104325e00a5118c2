package intake

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// A connection is reset under a client that goes on sending its body after its request was rejected.
func TestRejectionReachesClientThatStillSends(t *testing.T) {
	const pieces, piece = 12, 16 << 10
	for name, framing := range map[string]string{"length": fmt.Sprintf("Content-Length: %d", pieces*piece), "chunks": "Transfer-Encoding: chunked"} {
		for why, status := range map[string]int{"no room": http.StatusServiceUnavailable, "gave way": http.StatusServiceUnavailable, "deadline": http.StatusRequestTimeout} {
			t.Run(name+", "+why, func(t *testing.T) {
				b := fullBudget(t)
				if why != "no room" {
					b = testBudget(limits{bytes: 8 << 20, total: 1000, listener: 1000, address: 1000})
				}
				began := make(chan struct{})
				address := startServer(t, b, func(rw http.ResponseWriter, r *http.Request) {
					switch why {
					case "no room":
						exhaust(t, b)
					case "deadline":
						_ = http.NewResponseController(rw).SetReadDeadline(time.Now().Add(50 * time.Millisecond))
						rw.Header().Set("Connection", "close")
					}
					close(began)
					echo(rw, r)
				})
				c, err := net.Dial("tcp4", address)
				require.NoError(t, err)
				defer c.Close()
				require.NoError(t, c.SetDeadline(time.Now().Add(5*time.Second)))
				_, err = fmt.Fprintf(c, "POST / HTTP/1.1\r\nHost: a\r\n%s\r\n\r\n", framing)
				require.NoError(t, err)
				<-began
				if why != "no room" {
					time.Sleep(100 * time.Millisecond)
				}
				if why == "gave way" {
					b.mu.Lock()
					require.True(t, b.replace("clients", "127.0.0.1", time.Now().Add(time.Minute)))
					b.mu.Unlock()
				}
				for n := range pieces {
					time.Sleep(10 * time.Millisecond)
					sent := strings.Repeat("x", piece)
					if name == "chunks" {
						sent = fmt.Sprintf("%x\r\n%s\r\n", piece, sent)
					}
					_, err = io.WriteString(c, sent)
					require.NoError(t, err, "piece %d", n)
				}
				r, err := http.ReadResponse(bufio.NewReader(c), nil)
				require.NoError(t, err)
				require.Equal(t, status, r.StatusCode)
				require.True(t, r.Close)
			})
		}
	}
}

// A connection that lingers must not take the place of another.
func TestConnectionAtBoundDoesNotLinger(t *testing.T) {
	for name, bound := range map[string]limits{"in all": {total: 1, listener: 9, address: 9}, "listener": {total: 9, listener: 1, address: 9}, "address": {total: 9, listener: 9, address: 1}} {
		t.Run(name, func(t *testing.T) {
			b := testBudget(bound)
			c, why := newConn(t, b, "10.0.0.1", phaseGaveWay, 0)
			require.Empty(t, why)
			c.lingers.Store(true)
			require.NoError(t, c.Close())
			require.True(t, c.closed.Load())
		})
	}
}

// A client that holds its body back until 100 Continue gets a response that needs no body at once, and whole if it
// sends the body all the same.
func TestEarlyResponseDoesNotWaitForBodyThatIsHeldBack(t *testing.T) {
	const size = 100 << 10
	for name, sends := range map[string]bool{"waits": false, "sends": true} {
		t.Run(name, func(t *testing.T) {
			b := testBudget(limits{total: 100, listener: 100, address: 100})
			address := startServer(t, b, func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusTooManyRequests) })
			c, err := net.Dial("tcp4", address)
			require.NoError(t, err)
			defer c.Close()
			require.NoError(t, c.SetDeadline(time.Now().Add(5*time.Second)))
			begun := time.Now()
			_, err = fmt.Fprintf(c, "POST / HTTP/1.1\r\nHost: a\r\nExpect: 100-continue\r\nContent-Length: %d\r\n\r\n", size)
			require.NoError(t, err)
			for n := 0; sends && n < size; n += size / 10 {
				_, err = io.WriteString(c, strings.Repeat("x", size/10))
				require.NoError(t, err)
				time.Sleep(5 * time.Millisecond)
			}
			r, err := http.ReadResponse(bufio.NewReader(c), nil)
			require.NoError(t, err)
			require.Equal(t, http.StatusTooManyRequests, r.StatusCode)
			require.True(t, r.Close)
			require.Less(t, time.Since(begun), unreadTimeout/2)
			_, err = io.ReadAll(c)
			require.NoError(t, err, "no reset")
			require.NoError(t, c.Close())
			require.Eventually(t, func() bool { return b.held.Load() == 0 }, 5*time.Second, time.Millisecond)
		})
	}
}
