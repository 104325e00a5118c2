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
	// stopGrace is the gateway's grace in this test, stopWork the time that a
	// server takes for a request: long enough that a request taken at the end of
	// the grace would be cut off.
	stopGrace   = 3 * time.Second
	stopWork    = 700 * time.Millisecond
	stopCallers = 24
)

// TestPlannedStopCutsNothingOff stops a gateway process under load. Callers keep
// their connections until they are told to close them, and some come anew until
// the process is gone. Whatever the process has read gets a whole answer: the
// server's, or that the request has not run, at once.
func TestPlannedStopCutsNothingOff(t *testing.T) {
	s := startSoak(t, 1, "-grace", stopGrace.String())
	for _, server := range s.servers {
		server.SetHandler(func(r *platformtest.Request) platformtest.Response {
			return platformtest.Response{Status: http.StatusOK, Body: "answer to " + r.ID, Delay: stopWork}
		})
	}
	ctx, stop := context.WithCancel(t.Context())
	defer stop()
	var operator, callers sync.WaitGroup
	operator.Go(func() { s.operate(ctx) })
	for _, g := range s.gateways {
		g.await()
	}
	var served, turnedAway, after atomic.Int64
	var stopped atomic.Bool
	for n := range stopCallers {
		client := &http.Client{Transport: &http.Transport{DisableKeepAlives: n%2 == 0}}
		callers.Go(func() {
			for i := 0; ; i++ {
				id := fmt.Sprintf("c-%d-%d", n, i)
				late := stopped.Load()
				began := time.Now()
				answer, err := platformtest.SendWith(t.Context(), client, s.callers[0], platformtest.AtMostOncePrefix+"x", id, soakPatience)
				switch {
				case errors.Is(err, syscall.ECONNREFUSED):
					return // the process is gone
				case err != nil:
					t.Errorf("%s was cut off after %v: %v", id, time.Since(began), err)
					return
				case answer.Status == http.StatusOK:
					if answer.Body != "answer to "+id {
						t.Errorf("%s got %q", id, answer.Body)
					}
					served.Add(1)
					if late {
						after.Add(1)
					}
				case answer.Status == http.StatusServiceUnavailable:
					turnedAway.Add(1)
					if took := time.Since(began); took > stopWork/2 {
						t.Errorf("%s was turned away only after %v", id, took)
					}
					time.Sleep(20 * time.Millisecond)
				default:
					t.Errorf("%s got status %d", id, answer.Status)
				}
			}
		})
	}
	// The routes' times are learned from what is served before.
	time.Sleep(3 * stopWork)
	stopped.Store(true)
	s.gateways[0].signal(syscall.SIGTERM)
	callers.Wait()
	stop()
	operator.Wait()
	require.Positive(t, after.Load(), "callers that do not yet know are served")
	require.Positive(t, turnedAway.Load(), "what would not end in time is turned away")
	t.Logf("%d served, %d of them after the order to stop, %d turned away", served.Load(), after.Load(), turnedAway.Load())
}
