package faults

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/galenaarch/galenaarch/platform/platformtest"
)

const (
	// shutdownGrace is the grace period of the gateway. serverDelay is the processing
	// time of a request. It is long enough that a request accepted near the end of the
	// grace period would be aborted.
	shutdownGrace   = 3 * time.Second
	serverDelay     = 700 * time.Millisecond
	shutdownClients = 24
)

// TestGracefulShutdownCompletesRequests stops a gateway process under load. Some clients
// reuse their connections until they are told to close them, others open new ones until
// the process exits. Every request that the process has read must get a complete
// response: that of the server, or an immediate refusal as not executed.
func TestGracefulShutdownCompletesRequests(t *testing.T) {
	s := startSoak(t, 1, "-grace", shutdownGrace.String())
	for _, server := range s.servers {
		server.SetHandler(func(r *platformtest.Request) platformtest.Response {
			return platformtest.Response{Status: http.StatusOK, Body: "answer to " + r.ID, Delay: serverDelay}
		})
	}
	ctx, stop := context.WithCancel(t.Context())
	defer stop()
	var operator, clients sync.WaitGroup
	operator.Go(func() { s.runOperator(ctx) })
	for _, g := range s.gateways {
		g.waitReady()
	}
	var served, refused, servedAfterStop atomic.Int64
	var stopped atomic.Bool
	for n := range shutdownClients {
		client := &http.Client{Transport: &http.Transport{DisableKeepAlives: n%2 == 0}}
		clients.Go(func() {
			for i := 0; ; i++ {
				id := fmt.Sprintf("c-%d-%d", n, i)
				sentAfterStop := stopped.Load()
				startedAt := time.Now()
				response, err := platformtest.SendWith(t.Context(), client, s.gatewayAddresses[0], platformtest.AtMostOncePrefix+"x", id, requestMaxWait)
				switch {
				case errors.Is(err, syscall.ECONNREFUSED):
					return // the process has exited
				case err != nil:
					t.Errorf("%s was aborted after %v: %v", id, time.Since(startedAt), err)
					return
				case response.Status == http.StatusOK:
					if response.Body != "answer to "+id {
						t.Errorf("%s got %q", id, response.Body)
					}
					served.Add(1)
					if sentAfterStop {
						servedAfterStop.Add(1)
					}
				case response.Status == http.StatusServiceUnavailable:
					refused.Add(1)
					if elapsed := time.Since(startedAt); elapsed > serverDelay/2 {
						t.Errorf("%s was refused only after %v", id, elapsed)
					}
					time.Sleep(20 * time.Millisecond)
				default:
					t.Errorf("%s got status %d", id, response.Status)
				}
			}
		})
	}
	// The gateway needs the latencies of the requests served so far to decide which
	// requests would not finish within the grace period.
	time.Sleep(3 * serverDelay)
	stopped.Store(true)
	s.gateways[0].signal(syscall.SIGTERM)
	clients.Wait()
	stop()
	operator.Wait()
	require.Positive(t, servedAfterStop.Load(), "requests sent early in the grace period must be served")
	require.Positive(t, refused.Load(), "requests that would not finish in time must be refused")
	t.Logf("%d served, %d of them sent after SIGTERM, %d refused", served.Load(), servedAfterStop.Load(), refused.Load())
}
