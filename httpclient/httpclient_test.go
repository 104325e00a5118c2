package httpclient

import (
	"bytes"
	"compress/gzip"
	"context"
	"io"
	"net/http"
	"net/http/httptest"
	"runtime"
	"strconv"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/galenaarch/galenaarch/platform/platformtest"
)

const (
	// callTimeout bounds each call of the tests.
	callTimeout = 5 * time.Second
	// concurrentCalls is the number of servers that a small site polls at the same time.
	concurrentCalls = 30
	// heapLimit is what all calls may allocate together at any moment: half of the
	// smallest memory limit of an instance, 189 MB, less what a process needs at rest.
	heapLimit = 64 << 20
)

// get reads a whole response.
func get(t testing.TB, client *http.Client, address string) (int, error) {
	ctx, cancel := context.WithTimeout(t.Context(), callTimeout)
	defer cancel()
	r, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address, nil)
	require.NoError(t, err)
	response, err := client.Do(r)
	if err != nil {
		return 0, err
	}
	defer response.Body.Close()
	content, err := io.ReadAll(response.Body)
	return len(content), err
}

// TestEndlessResponsesOfManyServersUseBoundedMemory guards against servers that answer the
// calls of a process with a header or a body without end, all at the same time: the process
// went over its memory limit and ended. Calls to other servers succeed meanwhile.
func TestEndlessResponsesOfManyServersUseBoundedMemory(t *testing.T) {
	for _, part := range platformtest.EndlessParts() {
		t.Run(part, func(t *testing.T) {
			sound := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { _, _ = io.WriteString(w, "sound") }))
			defer sound.Close()
			client := &http.Client{Transport: Bound(&http.Transport{DisableKeepAlives: true}, ServerLimits)}
			var servers []*platformtest.Server
			for n := range concurrentCalls {
				server := platformtest.New(t, "i-"+strconv.Itoa(n))
				server.SetHandler(func(*platformtest.Request) platformtest.Response { return platformtest.Response{EndlessPart: part} })
				servers = append(servers, server)
			}
			heap := func() uint64 {
				var m runtime.MemStats
				runtime.ReadMemStats(&m)
				return m.HeapAlloc
			}
			runtime.GC()
			baseline, peak := heap(), uint64(0)
			var calls sync.WaitGroup
			for _, server := range servers {
				calls.Go(func() {
					_, err := get(t, client, server.Address)
					if err == nil {
						t.Errorf("the endless %s was taken for complete", part)
					}
				})
			}
			done := make(chan struct{})
			go func() {
				calls.Wait()
				close(done)
			}()
			for running := true; running; {
				began := time.Now()
				n, err := get(t, client, sound.Listener.Addr().String())
				require.NoError(t, err)
				require.Equal(t, len("sound"), n)
				require.Less(t, time.Since(began), time.Second, "a small response waits for the large ones")
				peak = max(peak, heap())
				select {
				case <-done:
					running = false
				case <-time.After(time.Millisecond):
				}
			}
			require.Less(t, peak, baseline+heapLimit)
			for _, server := range servers {
				require.Eventually(t, func() bool { return server.AbortedRequests() == 1 }, callTimeout, time.Millisecond, "the connection is closed")
			}
		})
	}
}

// TestBodiesUpToTheLimitAreRead: the limit counts decompressed bytes.
func TestBodiesUpToTheLimitAreRead(t *testing.T) {
	limits := Limits{MaxBodyBytes: 3 * smallBodyBytes, OneLargeBody: true}
	for _, compressed := range []bool{false, true} {
		for size, fits := range map[int]bool{0: true, 1: true, smallBodyBytes: true, 3 * smallBodyBytes: true, 3*smallBodyBytes + 1: false, 1 << 20: false} {
			server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
				content := bytes.Repeat([]byte("x"), size)
				if !compressed {
					w.Header().Set("Content-Length", strconv.Itoa(size))
					_, _ = w.Write(content)
					return
				}
				w.Header().Set("Content-Encoding", "gzip")
				z := gzip.NewWriter(w)
				_, _ = z.Write(content)
				_ = z.Close()
			}))
			n, err := get(t, &http.Client{Transport: Bound(&http.Transport{}, limits)}, server.Listener.Addr().String())
			if fits {
				require.NoError(t, err)
				require.Equal(t, size, n)
			} else {
				require.ErrorIs(t, err, ErrBodyTooLarge)
			}
			server.Close()
		}
	}
	require.Empty(t, largeBody, "the turn among large bodies has ended")
}

// TestLargeBodiesWaitForEachOther: a call whose turn does not come ends with its context.
func TestLargeBodiesWaitForEachOther(t *testing.T) {
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		_, _ = w.Write(make([]byte, 2*smallBodyBytes))
	}))
	defer server.Close()
	client := &http.Client{Transport: Bound(&http.Transport{}, ServerLimits)}
	first, err := client.Get(server.URL)
	require.NoError(t, err)
	_, err = io.Copy(io.Discard, first.Body)
	require.NoError(t, err)
	ctx, cancel := context.WithTimeout(t.Context(), 50*time.Millisecond)
	defer cancel()
	r, err := http.NewRequestWithContext(ctx, http.MethodGet, server.URL, nil)
	require.NoError(t, err)
	second, err := client.Do(r)
	require.NoError(t, err)
	defer second.Body.Close()
	_, err = io.Copy(io.Discard, second.Body)
	require.ErrorIs(t, err, context.DeadlineExceeded)
	require.NoError(t, first.Body.Close())
	_, err = get(t, client, server.Listener.Addr().String())
	require.NoError(t, err)
}
