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

// endlessMemory bounds what one answer without end may allocate: twenty of them
// are to cost an entry instance less than 32 MB. endlessTime is how long one may
// hold its request where nothing of it can be used.
const (
	endlessMemory = 32 << 20 / 20
	endlessTime   = time.Second
)

// TestAnswersWithoutEndAreCutOff: whatever a server sends without end in a head,
// a chunk's extension or a trailer, little is read of it and its connection is
// closed.
func TestAnswersWithoutEndAreCutOff(t *testing.T) {
	for _, what := range platformtest.Endings() {
		if what == "event" || what == "body" {
			continue // those are an answer as far as this package knows
		}
		t.Run(what, func(t *testing.T) {
			server := platformtest.New(t, "i-1")
			server.Reply(func(*platformtest.Request) platformtest.Reply { return platformtest.Reply{Endless: what} })
			pool := NewPool(server.Address, 0)
			ctx, cancel := context.WithTimeout(t.Context(), 10*time.Second)
			defer cancel()
			var before, after runtime.MemStats
			runtime.ReadMemStats(&before)
			began := time.Now()
			x, err := pool.Send(ctx, &Request{Method: http.MethodPost, Target: "/", Host: "a", Header: make(http.Header)})
			if err == nil {
				_, err = io.Copy(io.Discard, x)
				x.Abandon()
			}
			took := time.Since(began)
			runtime.ReadMemStats(&after)
			require.Error(t, err)
			require.Less(t, took, endlessTime)
			require.Less(t, after.TotalAlloc-before.TotalAlloc, uint64(endlessMemory))
			require.Eventually(t, func() bool { return server.Abandoned() == 1 }, endlessTime, time.Millisecond, "the connection is closed")
		})
	}
}
