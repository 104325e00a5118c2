package entry

import (
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/galenaarch/galenaarch/api/refusal"
)

func fetch(id, key string) call {
	return call{method: http.MethodGet, path: "/v1/requests/" + id, key: key}
}

func TestStoredAnswerIsVisibleToItsAccountOnly(t *testing.T) {
	forEachAPIShape(t, func(t *testing.T, path string, stream bool) {
		e := startEntry(t)
		other := startEntry(t)
		peer := httptest.NewServer(e.peerRoutes())
		defer peer.Close()
		other.settings.Instance, other.settings.Peers = "entry-2", peer.URL
		e.announce("engine-1", startEngine(t, "engine-1").URL)
		request, want := completionRequest(path, stream)
		original := e.do(t, request)
		id := original.header.Get(headerRequestID)
		for _, entry := range []*testEntry{e, other} {
			got := entry.do(t, fetch(id, ""))
			require.Equal(t, http.StatusOK, got.status)
			require.Equal(t, want, got.text)
			require.Equal(t, original.usage, got.usage)
			require.Equal(t, finishLength, got.finish)
			got = entry.do(t, fetch(id, testOtherKey))
			require.Equal(t, refusal.CodeNotFound, got.fault.Code)
			require.NotContains(t, string(got.raw), want)
		}
	})
}

func TestIdempotencyKeyRunsPromptOnce(t *testing.T) {
	forEachAPIShape(t, func(t *testing.T, path string, stream bool) {
		e := startEntry(t)
		other := startEntry(t)
		peer := httptest.NewServer(e.peerRoutes())
		defer peer.Close()
		other.settings.Instance, other.settings.Peers = "entry-2", peer.URL
		server := startEngine(t, "engine-1")
		e.announce("engine-1", server.URL)
		other.announce("engine-1", server.URL)
		request, want := completionRequest(path, stream)
		request.header = http.Header{headerIdempotencyKey: {"k-1"}}
		first := e.do(t, request)
		require.Equal(t, want, first.text)
		for _, entry := range []*testEntry{e, other} {
			again := entry.do(t, request)
			require.Equal(t, want, again.text)
			require.Equal(t, first.usage, again.usage)
			require.Equal(t, finishLength, again.finish)
			require.True(t, again.done)
			require.Equal(t, "true", again.header.Get(headerReplayed))
		}
		require.EqualValues(t, 1, server.runs.Load())
		changed, _ := completionRequest(path, stream)
		changed.header = request.header
		changed.body.(map[string]any)["max_tokens"] = 3
		require.Equal(t, refusal.CodeIdempotencyKeyReused, e.do(t, changed).fault.Code)
	})
}

func TestRunningRequestIsRefusedAsInProgress(t *testing.T) {
	e := startEntry(t)
	other := startEntry(t)
	peer := httptest.NewServer(e.peerRoutes())
	defer peer.Close()
	other.settings.Instance, other.settings.Peers = "entry-2", peer.URL
	release := make(chan struct{})
	server := startEngine(t, "engine-1", func(w http.ResponseWriter, r *http.Request, next http.Handler) {
		<-release
		next.ServeHTTP(w, r)
	})
	e.announce("engine-1", server.URL)
	other.announce("engine-1", server.URL)
	request, want := completionRequest(pathCompletions, false)
	request.header = http.Header{headerIdempotencyKey: {"k-1"}}
	result := make(chan *testResponse, 1)
	go func() { result <- e.do(t, request) }()
	require.Eventually(t, func() bool { return server.runs.Load() == 1 }, testWait, testPoll)
	for _, entry := range []*testEntry{e, other} {
		got := entry.do(t, request)
		require.Equal(t, refusal.CodeInProgress, got.fault.Code)
		require.Equal(t, "true", got.header.Get("X-Should-Retry"))
		require.Equal(t, http.StatusAccepted, entry.do(t, fetch("k-1", "")).status)
	}
	close(release)
	require.Equal(t, want, (<-result).text)
	require.Equal(t, want, other.do(t, fetch("k-1", "")).text)
	require.EqualValues(t, 1, server.runs.Load())
}

func TestRefusalIsReportedAndRequestMayRunAgain(t *testing.T) {
	e := startEntry(t)
	request, want := completionRequest(pathCompletions, true)
	request.header = http.Header{headerIdempotencyKey: {"k-1"}}
	require.Equal(t, refusal.CodeNoBackendServer, e.do(t, request).fault.Code)
	report := e.do(t, fetch("k-1", ""))
	require.Equal(t, refusal.CodeNoBackendServer, report.fault.Code)
	require.Equal(t, refusal.NotExecuted, report.fault.Execution)
	e.announce("engine-1", startEngine(t, "engine-1").URL)
	require.Equal(t, want, e.do(t, request).text)
	e.answers.Sweep(time.Now().Add(answerTTL))
	require.Equal(t, refusal.CodeNotFound, e.do(t, fetch("k-1", "")).fault.Code)
}

// Refused requests without an idempotency key must not use space in the answer
// store.
func TestRefusalWithoutKeyIsNotStored(t *testing.T) {
	e := startEntry(t)
	request, _ := completionRequest(pathCompletions, true)
	request.header = http.Header{headerRequestID: {"r-1"}}
	require.Equal(t, refusal.CodeNoBackendServer, e.do(t, request).fault.Code)
	require.Zero(t, e.answers.UsedBytes())
	require.Equal(t, refusal.CodeNotFound, e.do(t, fetch("r-1", "")).fault.Code)
}
