package fleetview

import (
	"context"
	"fmt"
	"log/slog"
	"net/http"
	"sync"
	"syscall"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/galenaarch/galenaarch/api/fleetv1"
	"github.com/galenaarch/galenaarch/registry"
)

// resettingTransport fails the requests in progress when it is reset, as a process sees it whose connections are reset.
type resettingTransport struct {
	group *groupTransport

	mu    sync.Mutex
	reset chan struct{}
}

// RoundTrip implements http.RoundTripper.
func (r *resettingTransport) RoundTrip(request *http.Request) (*http.Response, error) {
	r.mu.Lock()
	reset := r.reset
	r.mu.Unlock()
	type result struct {
		response *http.Response
		err      error
	}
	done := make(chan result, 1)
	go func() {
		response, err := r.group.RoundTrip(request)
		done <- result{response, err}
	}()
	select {
	case got := <-done:
		return got.response, got.err
	case <-reset:
		return nil, syscall.ECONNRESET
	}
}

func (r *resettingTransport) resetAll() {
	r.mu.Lock()
	defer r.mu.Unlock()
	close(r.reset)
	r.reset = make(chan struct{})
}

// Guards against resumed streams that are rejected because connections were reset: all control instances respond to the next poll.
func TestConfirmWaitsAfterConnectionsAreReset(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		logger := slog.New(slog.DiscardHandler)
		group := &groupTransport{hosts: make(map[string]*directTransport)}
		var urls []string
		for n := range 5 {
			host := fmt.Sprintf("10.0.0.%d:1", n+1)
			hub := registry.NewHub(time.Second, &groupState{changed: make(chan struct{})}, logger)
			group.hosts[host] = &directTransport{handler: fleetv1.NewFleetServer(hub)}
			urls = append(urls, "http://"+host)
		}
		transport := &resettingTransport{group: group, reset: make(chan struct{})}
		ctx, cancel := context.WithCancel(t.Context())
		v := New(urls, nil, &http.Client{Transport: transport}, logger)
		v.Start(ctx)
		time.Sleep(2 * time.Second)
		for range 10 {
			transport.resetAll()
			synctest.Wait()
			require.Zero(t, v.Current().ReachableControls, "the polls have failed")
			began := time.Now()
			ctx, cancel := context.WithTimeout(t.Context(), 400*time.Millisecond)
			require.True(t, v.Confirm(ctx, began), "all respond to the next poll")
			cancel()
			require.True(t, v.Current().Software.IsComplete())
			time.Sleep(time.Second)
		}
		cancel()
		time.Sleep(2 * time.Second)
	})
}
