package intake

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// A client that uses the times granted to it finds its connection closed by the shorter ones of the server.
func TestGrantedTimesOutlastThoseOfTheServer(t *testing.T) {
	const short, long, wait = 100 * time.Millisecond, 2 * time.Second, 400 * time.Millisecond
	for name, tt := range map[string]struct {
		head, idle time.Duration
		pause      time.Duration // within the first head
		rest       time.Duration // between the requests
		fails      bool
	}{
		"slow head":                      {head: long, pause: wait},
		"idle":                           {idle: long, rest: wait},
		"slow head beyond the idle time": {idle: long, pause: wait, fails: true},
		"idle beyond the head's time":    {head: long, rest: wait, fails: true},
	} {
		t.Run(name, func(t *testing.T) {
			b := testBudget(limits{bytes: 8 << 20, total: 100, listener: 100, address: 100})
			l, err := net.Listen("tcp4", "127.0.0.1:0")
			require.NoError(t, err)
			s := &http.Server{Handler: http.HandlerFunc(echo), ReadHeaderTimeout: short, IdleTimeout: short}
			counted := b.Protect(s, l, "clients")
			counted.(*Listener).SetTimeouts(func() (time.Duration, time.Duration) { return tt.head, tt.idle })
			go func() { _ = s.Serve(counted) }()
			defer s.Close()
			c, err := net.Dial("tcp4", l.Addr().String())
			require.NoError(t, err)
			defer c.Close()
			require.NoError(t, c.SetDeadline(time.Now().Add(5*time.Second)))
			reader := bufio.NewReader(c)
			for _, pause := range []time.Duration{tt.pause, 0} {
				_, _ = io.WriteString(c, "GET / HTTP/1.1\r\nHo")
				time.Sleep(pause)
				_, _ = io.WriteString(c, "st: a\r\n\r\n")
				var r *http.Response
				if r, err = http.ReadResponse(reader, nil); err != nil {
					break
				}
				r.Body.Close()
				time.Sleep(tt.rest)
			}
			require.Equal(t, tt.fails, err != nil, "%v", err)
		})
	}
}
