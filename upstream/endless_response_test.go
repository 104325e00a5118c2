package upstream

import (
	"context"
	"io"
	"net/http"
	"runtime"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/galenaarch/galenaarch/platform/platformtest"
)

// endlessMemoryLimit is how much one endless response may allocate: twenty of them
// must cost an entry instance less than 32 MB. endlessTimeLimit is how long one may
// hold its request if nothing of it can be used.
const (
	endlessMemoryLimit = 32 << 20 / 20
	endlessTimeLimit   = time.Second
)

// If a server sends an endless header, chunk extension or trailer, little of it is
// read and the connection is closed.
func TestEndlessResponsesAreAborted(t *testing.T) {
	for _, part := range platformtest.EndlessParts() {
		if part == "event" || part == "body" || part == "JSON" {
			continue // valid responses for this package
		}
		t.Run(part, func(t *testing.T) {
			server := platformtest.New(t, "i-1")
			server.SetHandler(func(*platformtest.Request) platformtest.Response { return platformtest.Response{EndlessPart: part} })
			pool := NewPool(server.Address, 0)
			ctx, cancel := context.WithTimeout(t.Context(), 10*time.Second)
			defer cancel()
			var before, after runtime.MemStats
			runtime.ReadMemStats(&before)
			start := time.Now()
			x, err := pool.Send(ctx, &Request{Method: http.MethodPost, Target: "/", Host: "a", Header: make(http.Header)})
			if err == nil {
				_, err = io.Copy(io.Discard, x)
				x.Abandon()
			}
			took := time.Since(start)
			runtime.ReadMemStats(&after)
			require.Error(t, err)
			require.Less(t, took, endlessTimeLimit)
			require.Less(t, after.TotalAlloc-before.TotalAlloc, uint64(endlessMemoryLimit))
			require.Eventually(t, func() bool { return server.AbortedRequests() == 1 }, endlessTimeLimit, time.Millisecond, "the connection is closed")
		})
	}
}
