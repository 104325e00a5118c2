package entry

import (
	"bufio"
	"context"
	"fmt"
	"net/http"
	"slices"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/galenaarch/galenaarch/api/backend"
	"github.com/galenaarch/galenaarch/api/refusal"
	"github.com/galenaarch/galenaarch/standin/engine"
)

const outputTokens = 12

// completionRequest returns a request for outputTokens tokens and the expected
// text.
func completionRequest(path string, stream bool) (call, string) {
	body := map[string]any{
		"model": testModel, "stream": stream, "max_tokens": outputTokens,
		"stream_options": map[string]bool{"include_usage": true},
	}
	text := "what liner for 4 by 6?"
	if path == pathChat {
		body["messages"] = []backend.Message{{Role: "user", Content: text}}
		text = "user: " + text + "\nassistant: "
	} else {
		body["prompt"] = text
	}
	return call{path: path, body: body}, strings.Join(engine.GenerateTokens(text, outputTokens), "")
}

// forEachAPIShape runs a test for both API paths, streamed and not.
func forEachAPIShape(t *testing.T, test func(t *testing.T, path string, stream bool)) {
	for _, path := range []string{pathCompletions, pathChat} {
		for _, stream := range []bool{true, false} {
			t.Run(fmt.Sprintf("%s/stream=%t", path[len("/v1/"):], stream), func(t *testing.T) { test(t, path, stream) })
		}
	}
}

const foreignEvent = `data: {"id":"other-request","choices":[{"text":"x"}]}` + "\n\n"

func TestResponseCompletesDespiteServerFaults(t *testing.T) {
	const last = outputTokens - 1
	cases := []struct {
		name   string
		faults []fault
		// id is the response ID sent by the faulty servers. Empty means the
		// request ID, which the healthy server uses.
		id string
	}{
		{"no fault", nil, ""},
		{"fails before the first token", []fault{failAfter(0)}, ""},
		{"fails after one token", []fault{failAfter(1)}, ""},
		{"fails mid-stream", []fault{failAfter(outputTokens / 2)}, ""},
		{"fails before the last token", []fault{failAfter(last)}, ""},
		{"fails after the last token", []fault{failAfter(outputTokens)}, ""},
		{"fails after usage, before the end-of-stream event", []fault{failAfter(outputTokens + 1)}, ""},
		{"fails mid-stream twice", []fault{failAfter(3), failAfter(4)}, ""},
		{"loading weights", []fault{respondStatus(http.StatusServiceUnavailable, "weights are loading")}, ""},
		{"too many requests", []fault{respondStatus(http.StatusTooManyRequests, "")}, ""},
		{"internal error", []fault{respondStatus(http.StatusInternalServerError, "")}, ""},
		{"ends cleanly without a token", []fault{respondRaw("")}, ""},
		{"end of stream without a token", []fault{respondRaw("data: [DONE]\n\n")}, ""},
		{"invalid JSON", []fault{respondRaw("data: {\n\n")}, ""},
		{"error event", []fault{respondRaw(`data: {"error":{"message":"out of memory"}}` + "\n\n")}, ""},
		{"oversized line", []fault{respondRaw("data: " + strings.Repeat("x", 2<<20))}, ""},
		{"page instead of the continuation", []fault{failAfter(3), respondRaw("<html>\n\n<h1>failed</h1>\n\n</html>\n\n")}, ""},
		{"JSON instead of the continuation", []fault{failAfter(3), respondRaw(`{"choices":[{"text":"x","finish_reason":"stop"}]}` + "\n\n")}, ""},
		{"continuation without an event", []fault{failAfter(3), respondRaw("data: [DONE]\n\n")}, ""},
		{"empty continuation", []fault{failAfter(3), respondRaw("")}, ""},
		{"part of an event instead of the continuation", []fault{failAfter(3), respondRaw(`data: {"choices":[{"te`)}, ""},
		{"error event instead of the continuation", []fault{failAfter(3), respondRaw(`data: {"error":{"message":"out of memory"}}` + "\n\n")}, ""},
		{"bad request to the continuation", []fault{failAfter(3), respondStatus(http.StatusBadRequest, "<html>\n\n")}, ""},
		{"internal error to the continuation", []fault{failAfter(3), respondStatus(http.StatusInternalServerError, "data: x\n\n")}, ""},
		{"no content to the continuation", []fault{failAfter(3), respondStatus(http.StatusNoContent, "")}, ""},
		{"partial content to the continuation", []fault{failAfter(3), respondStatus(http.StatusPartialContent, "data: [DONE]\n\n")}, ""},
		{"redirect of the continuation", []fault{failAfter(3), respondStatus(http.StatusFound, "data: [DONE]\n\n")}, ""},
		{"event of another request after the first event", []fault{
			respondRaw(`data: {"id":"cmpl-7","choices":[]}` + "\n\n" + foreignEvent)}, "cmpl-7"},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			forEachAPIShape(t, func(t *testing.T, path string, stream bool) {
				e := startEntry(t)
				one := startEngine(t, "engine-1", c.faults...)
				two := startEngine(t, "engine-2", c.faults...)
				three := startEngine(t, "engine-3")
				for i, s := range []*testEngine{one, two, three} {
					e.announce(fmt.Sprintf("engine-%d", i+1), s.URL)
				}
				request, want := completionRequest(path, stream)
				got := e.do(t, request)
				require.Nil(t, got.fault)
				require.Equal(t, want, got.text)
				require.Equal(t, finishLength, got.finish)
				require.True(t, got.done)
				require.NotNil(t, got.usage)
				require.Equal(t, outputTokens, got.usage.CompletionTokens)
				require.Equal(t, got.usage.PromptTokens+outputTokens, got.usage.TotalTokens)
				require.Len(t, slices.Compact(got.ids), 1, "all events must carry the same ID")
				if got.ids[0] != c.id || c.id == "" {
					require.Equal(t, got.header.Get(headerRequestID), got.ids[0])
				}
			})
		})
	}
}

// Events of the first attempt that arrive after the second has started are
// dropped.
func TestEventsOfEarlierAttemptAreDropped(t *testing.T) {
	forEachAPIShape(t, func(t *testing.T, path string, stream bool) {
		e := startEntry(t)
		request, want := completionRequest(path, stream)
		request.header = http.Header{headerRequestID: {"request-7"}}
		late := `data: {"id":"request-7","choices":[{"text":"LATE","delta":{"content":"LATE"},"finish_reason":"stop"}]}` + "\n\n"
		faults := []fault{failAfter(2), prependRaw(late), prependRaw(late)}
		e.announce("engine-1", startEngine(t, "engine-1", faults...).URL)
		second := startEngine(t, "engine-2", faults...)
		e.announce("engine-2", second.URL)
		got := e.do(t, request)
		require.Nil(t, got.fault)
		require.Equal(t, want, got.text)
		require.True(t, got.done)
	})
}

// An engine's own event ID and fields unknown to the entry are forwarded
// unchanged. A continued response keeps the ID.
func TestEventsAreForwardedUnchanged(t *testing.T) {
	e := startEntry(t)
	const first = `{"choices":[{"text":" a","finish_reason":null,"more":[1]}],"id":"cmpl-7","odd":{"x":null}}`
	whole := "data: " + first + "\n\ndata: " + `{"id":"cmpl-7","choices":[{"text":" b","finish_reason":"stop"}]}` + "\n\ndata: [DONE]\n\n"
	broken := "data: " + first + "\n\n"
	server := startEngine(t, "engine-1", respondRaw(whole), respondRaw(broken))
	e.announce("engine-1", server.URL)
	request, _ := completionRequest(pathCompletions, true)
	got := e.do(t, request)
	require.Contains(t, string(got.raw), "data: "+first+"\n\n")
	require.Equal(t, " a b", got.text)
	require.Equal(t, "stop", got.finish)
	e.announce("engine-2", startEngine(t, "engine-2").URL)
	for range 2 {
		got = e.do(t, request)
		require.Nil(t, got.fault)
		require.Len(t, slices.Compact(got.ids), 1)
	}
}

func TestRunRefusals(t *testing.T) {
	tokens := call{path: pathCompletions, body: map[string]any{
		"model": testModel, "prompt": []int{1, 2, 3}, "max_tokens": outputTokens, "stream": true}}
	plain, _ := completionRequest(pathCompletions, true)
	formatted, _ := completionRequest(pathChat, true)
	formatted.body.(map[string]any)["response_format"] = map[string]string{"type": "json_object"}
	cases := []struct {
		name   string
		call   call
		faults []fault
		code   refusal.Code
		ran    refusal.ExecutionStatus
	}{
		{"engine refuses the request", plain, []fault{respondStatus(http.StatusBadRequest, `{"error":{"message":"too long"}}`)},
			refusal.CodeInvalidRequest, refusal.NotExecuted},
		{"every engine is full", plain, []fault{respondStatus(http.StatusTooManyRequests, "")}, refusal.CodeOverloaded, refusal.NotExecuted},
		{"every engine breaks the connection", plain, []fault{failAfter(0)}, refusal.CodeBackendServerFailed, refusal.OutcomeUnknown},
		{"token IDs cannot be continued from text", tokens, []fault{failAfter(3)}, refusal.CodeStreamBroken, refusal.Executed},
		{"a response format cannot be continued from text", formatted, []fault{failAfter(3)}, refusal.CodeStreamBroken, refusal.Executed},
		{"every attempt yields one token", plain, slices.Repeat([]fault{failAfter(1)}, maxResumes+1),
			refusal.CodeStreamBroken, refusal.Executed},
		{"repeated failures after the first token", plain, append([]fault{failAfter(1)}, slices.Repeat([]fault{failAfter(0)}, 100)...),
			refusal.CodeStreamBroken, refusal.Executed},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			e := startEntry(t)
			e.announce("engine-1", startEngine(t, "engine-1", c.faults...).URL)
			e.announce("engine-2", startEngine(t, "engine-2", c.faults...).URL)
			if c.code == refusal.CodeStreamBroken {
				e.fleet.Announce(backend.Announcement{Server: "engine-2", Leaving: true, Incarnation: 1}, time.Now())
			}
			got := e.do(t, c.call)
			require.NotNil(t, got.fault, string(got.raw))
			require.Equal(t, c.code, got.fault.Code)
			require.Equal(t, c.ran, got.fault.Execution)
			require.False(t, got.done, "a refused response must not have an end-of-stream event")
		})
	}
}

// A stream whose only server comes back is resumed there.
func TestStreamWaitsForServerToReturn(t *testing.T) {
	e := startEntry(t)
	e.announce("engine-1", startEngine(t, "engine-1", failAfter(3), failAfter(0), respondStatus(http.StatusServiceUnavailable, "")).URL)
	request, want := completionRequest(pathCompletions, true)
	got := e.do(t, request)
	require.Nil(t, got.fault)
	require.Equal(t, want, got.text)
	require.True(t, got.done)
}

func TestNoServerIsNotRun(t *testing.T) {
	e := startEntry(t)
	request, _ := completionRequest(pathCompletions, false)
	got := e.do(t, request)
	require.Equal(t, refusal.CodeNoBackendServer, got.fault.Code)
	require.Equal(t, refusal.NotExecuted, got.fault.Execution)
	// Nothing listens on this address.
	e.announce("engine-1", "http://127.0.0.1:1")
	got = e.do(t, request)
	require.Equal(t, refusal.CodeNoBackendServer, got.fault.Code)
	require.Equal(t, refusal.NotExecuted, got.fault.Execution)
}

// A client that disconnects cancels its run at the engine.
func TestClientDisconnectCancelsEngineRun(t *testing.T) {
	for _, stream := range []bool{true, false} {
		t.Run(fmt.Sprintf("stream=%t", stream), func(t *testing.T) {
			e := startEntry(t)
			backendServer := startEngine(t, "engine-1")
			e.announce("engine-1", backendServer.URL)
			ctx, cancel := context.WithCancel(t.Context())
			defer cancel()
			body := fmt.Sprintf(`{"model":%q,"prompt":"x","stream":%t,"max_tokens":200000}`, testModel, stream)
			req, err := http.NewRequestWithContext(ctx, http.MethodPost, e.URL+pathCompletions, strings.NewReader(body))
			require.NoError(t, err)
			req.Header.Set("Authorization", "Bearer "+testKey)
			ended := make(chan struct{})
			go func() {
				defer close(ended)
				resp, err := http.DefaultClient.Do(req)
				if err != nil {
					return
				}
				defer resp.Body.Close()
				_, _ = bufio.NewReader(resp.Body).ReadString('\n')
				<-ctx.Done()
			}()
			require.Eventually(t, func() bool { return backendServer.State().Running == 1 }, testWait, testPoll)
			cancel()
			<-ended
			require.Eventually(t, func() bool { return backendServer.State().Running == 0 }, testWait, testPoll)
		})
	}
}

// A run moves off a server that was lost well before the token gap timeout.
func TestRunMovesOffSilentServer(t *testing.T) {
	e := startEntry(t)
	hang := make(chan struct{})
	defer close(hang)
	stuck := func(w http.ResponseWriter, r *http.Request, next http.Handler) {
		next.ServeHTTP(&limitedWriter{ResponseWriter: w, left: 3, end: func() { <-hang }}, r)
	}
	one := startEngine(t, "engine-1", stuck)
	e.announce("engine-1", one.URL)
	request, want := completionRequest(pathCompletions, true)
	result := make(chan *testResponse, 1)
	go func() { result <- e.do(t, request) }()
	require.Eventually(t, func() bool { return one.runs.Load() == 1 }, testWait, testPoll)
	e.announce("engine-2", startEngine(t, "engine-2").URL)
	e.fleet.Announce(backend.Announcement{
		Server: "engine-1", URL: "http://127.0.0.1:1", Deployment: "quotes", WeightVersion: "v1", Incarnation: 2}, time.Now())
	got := <-result
	require.Nil(t, got.fault)
	require.Equal(t, want, got.text)
}

// A stream that no other server can continue must not be given up because its server is
// silent and no longer announces itself: it may go on.
func TestStreamThatCannotBeContinuedWaitsForSilentServer(t *testing.T) {
	const silence = 2*lostServerGrace + 500*time.Millisecond
	e := startEntry(t)
	pause := func(w http.ResponseWriter, r *http.Request, next http.Handler) {
		limited := &limitedWriter{ResponseWriter: w, left: 3}
		limited.end = func() { time.Sleep(silence) }
		next.ServeHTTP(limited, r)
	}
	one := startEngine(t, "engine-1", pause)
	e.announce("engine-1", one.URL)
	e.announce("engine-2", startEngine(t, "engine-2").URL)
	e.fleet.Announce(backend.Announcement{Server: "engine-2", Leaving: true, Incarnation: 1}, time.Now())
	request, want := completionRequest(pathChat, true)
	request.body.(map[string]any)["response_format"] = map[string]string{"type": "json_object"}
	result := make(chan *testResponse, 1)
	go func() { result <- e.do(t, request) }()
	require.Eventually(t, func() bool { return one.runs.Load() == 1 }, testWait, testPoll)
	time.Sleep(50 * time.Millisecond) // the first events arrive
	require.Equal(t, []string{"engine-1"}, e.fleet.Expire(time.Now().Add(2*time.Hour)))
	got := <-result
	require.Nil(t, got.fault, string(got.raw))
	require.Equal(t, want, got.text)
	require.True(t, got.done)
}

// A client that does not read must stop the engine and keep memory bounded:
// unread data must fit into the socket and relay buffers.
func TestSlowClientAppliesBackpressure(t *testing.T) {
	const maxUnread, writeLimit = 64 << 20, 256 << 20
	e := startEntry(t)
	var written atomic.Int64
	ended := make(chan struct{})
	event := []byte(`data: {"id":"own","choices":[{"text":"` + strings.Repeat("x", 1000) + `"}]}` + "\n\n")
	endless := startEngine(t, "engine-1", func(w http.ResponseWriter, _ *http.Request, _ http.Handler) {
		defer close(ended)
		for written.Load() < writeLimit {
			n, err := w.Write(event)
			written.Add(int64(n))
			if err != nil {
				return
			}
		}
	})
	e.announce("engine-1", endless.URL)
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	body := fmt.Sprintf(`{"model":%q,"prompt":"x","stream":true,"max_tokens":1000000}`, testModel)
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, e.URL+pathCompletions, strings.NewReader(body))
	require.NoError(t, err)
	req.Header.Set("Authorization", "Bearer "+testKey)
	resp, err := http.DefaultClient.Do(req)
	require.NoError(t, err)
	defer resp.Body.Close()
	const stablePolls = 50
	last, same := int64(0), 0
	require.Eventually(t, func() bool {
		now := written.Load()
		if same++; now != last {
			same = 0
		}
		last = now
		return same > stablePolls
	}, testWait, testPoll)
	require.Less(t, last, int64(maxUnread))
	cancel()
	<-ended
}
