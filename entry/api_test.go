package entry

import (
	"bytes"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/galenaarch/galenaarch/api/backend"
	"github.com/galenaarch/galenaarch/api/refusal"
	"github.com/galenaarch/galenaarch/standin/service"
)

func TestInvalidRequestsAreRefusedBeforeDispatch(t *testing.T) {
	e := startEntry(t)
	server := startEngine(t, "engine-1")
	e.announce("engine-1", server.URL)
	ok := func(extra string) []byte {
		return fmt.Appendf(nil, `{"model":%q,"prompt":"x"%s}`, testModel, extra)
	}
	header := func(name, value string) http.Header { return http.Header{name: {value}} }
	cases := []struct {
		name string
		call call
		code refusal.Code
	}{
		{"invalid JSON", call{path: pathCompletions, body: []byte("{")}, refusal.CodeInvalidRequest},
		{"empty", call{path: pathCompletions, body: []byte("")}, refusal.CodeInvalidRequest},
		{"an array", call{path: pathCompletions, body: []byte("[]")}, refusal.CodeInvalidRequest},
		{"null", call{path: pathCompletions, body: []byte("null")}, refusal.CodeInvalidRequest},
		{"two documents", call{path: pathCompletions, body: append(ok(""), ok("")...)}, refusal.CodeInvalidRequest},
		{"no model", call{path: pathCompletions, body: []byte(`{"prompt":"x"}`)}, refusal.CodeInvalidRequest},
		{"model of wrong type", call{path: pathCompletions, body: []byte(`{"model":1}`)}, refusal.CodeInvalidRequest},
		{"unknown model", call{path: pathCompletions, body: []byte(`{"model":"x","prompt":"x"}`)}, refusal.CodeNotFound},
		{"prompt of wrong type", call{path: pathCompletions, body: []byte(`{"model":"quote-model","prompt":{}}`)}, refusal.CodeInvalidRequest},
		{"token above 32 bits", call{path: pathCompletions, body: []byte(`{"model":"quote-model","prompt":[99999999999]}`)}, refusal.CodeInvalidRequest},
		{"stream of wrong type", call{path: pathCompletions, body: ok(`,"stream":"yes"`)}, refusal.CodeInvalidRequest},
		{"stream options of wrong type", call{path: pathCompletions, body: ok(`,"stream_options":1`)}, refusal.CodeInvalidRequest},
		{"max_tokens 0", call{path: pathCompletions, body: ok(`,"max_tokens":0`)}, refusal.CodeInvalidRequest},
		{"negative max_tokens", call{path: pathCompletions, body: ok(`,"max_tokens":-1`)}, refusal.CodeInvalidRequest},
		{"fractional max_tokens", call{path: pathCompletions, body: ok(`,"max_tokens":1.5`)}, refusal.CodeInvalidRequest},
		{"max_tokens huge", call{path: pathCompletions, body: ok(`,"max_tokens":1e99`)}, refusal.CodeInvalidRequest},
		{"several choices", call{path: pathCompletions, body: ok(`,"n":2`)}, refusal.CodeUnsupportedOption},
		{"logprobs without stream", call{path: pathCompletions, body: ok(`,"logprobs":3`)}, refusal.CodeUnsupportedOption},
		{"no messages", call{path: pathChat, body: []byte(`{"model":"quote-model","messages":[]}`)}, refusal.CodeInvalidRequest},
		{"messages of wrong type", call{path: pathChat, body: []byte(`{"model":"quote-model","messages":"x"}`)}, refusal.CodeInvalidRequest},
		{"unknown priority", call{path: pathCompletions, body: ok(""), header: header(headerPriority, "urgent")}, refusal.CodeInvalidRequest},
		{"non-numeric deadline", call{path: pathCompletions, body: ok(""), header: header(headerDeadline, "soon")}, refusal.CodeInvalidRequest},
		{"deadline 0", call{path: pathCompletions, body: ok(""), header: header(headerDeadline, "0")}, refusal.CodeInvalidRequest},
		{"deadline huge", call{path: pathCompletions, body: ok(""), header: header(headerDeadline, "99999999999999999999")}, refusal.CodeInvalidRequest},
		{"request ID too long", call{path: pathCompletions, body: ok(""), header: header(headerRequestID, strings.Repeat("x", maxIDBytes+1))}, refusal.CodeInvalidRequest},
		{"request ID with a space", call{path: pathCompletions, body: ok(""), header: header(headerRequestID, "a b")}, refusal.CodeInvalidRequest},
		{"idempotency key too long", call{path: pathCompletions, body: ok(""), header: header(headerIdempotencyKey, strings.Repeat("x", maxIDBytes+1))}, refusal.CodeInvalidRequest},
		{"body too large", call{path: pathCompletions, body: bytes.Repeat([]byte(" "), maxBodyBytes+1)}, refusal.CodeBodyTooLarge},
		{"unknown key", call{path: pathCompletions, body: ok(""), key: "x"}, refusal.CodeUnauthorized},
		{"no such path", call{path: "/v1/nothing"}, refusal.CodeNotFound},
		{"method not allowed", call{path: pathCompletions, method: http.MethodDelete}, refusal.CodeMethodNotAllowed},
		{"no such request", call{path: "/v1/requests/x", method: http.MethodGet}, refusal.CodeNotFound},
		{"no such service", call{path: "/v1/services/x/orders"}, refusal.CodeNotFound},
		{"dot segments", call{path: "/v1/services/order-desk/stock%2F..%2Forders"}, refusal.CodeInvalidRequest},
		{"control characters", call{path: "/v1/services/order-desk/orders%0Ax"}, refusal.CodeInvalidRequest},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			got := e.do(t, c.call)
			require.NotNil(t, got.fault, string(got.raw))
			require.Equal(t, c.code, got.fault.Code)
			require.Equal(t, refusal.NotExecuted, got.fault.Execution)
			require.Less(t, got.status, 500)
			require.Zero(t, server.runs.Load())
		})
	}
}

func TestOpenRequestsAreBounded(t *testing.T) {
	e := startEntry(t)
	e.openRequests.Add(maxOpenRequests)
	request, _ := completionRequest(pathCompletions, false)
	got := e.do(t, request)
	require.Equal(t, refusal.CodeOverloaded, got.fault.Code)
	require.Equal(t, refusal.NotExecuted, got.fault.Execution)
	require.EqualValues(t, maxOpenRequests, e.openRequests.Load())
}

// A deadline bounds the time to the first token, not the duration of the
// stream.
func TestDeadlineAppliesToFirstTokenOnly(t *testing.T) {
	e := startEntry(t)
	release := make(chan struct{})
	defer close(release)
	e.announce("engine-1", startEngine(t, "engine-1", func(http.ResponseWriter, *http.Request, http.Handler) { <-release }).URL)
	request, want := completionRequest(pathCompletions, true)
	request.header = http.Header{headerDeadline: {"50"}}
	got := e.do(t, request)
	require.Equal(t, refusal.CodeDeadlineExceeded, got.fault.Code)
	require.Equal(t, refusal.OutcomeUnknown, got.fault.Execution)

	slow := startEngine(t, "engine-2", func(w http.ResponseWriter, r *http.Request, next http.Handler) {
		pause := func() { time.Sleep(time.Second) }
		next.ServeHTTP(&pausedWriter{limitedWriter{ResponseWriter: w, left: 2, end: pause}}, r)
	})
	e.fleet.Announce(backend.Announcement{Server: "engine-1", Leaving: true, Incarnation: 1}, time.Now())
	e.announce("engine-2", slow.URL)
	request.header = http.Header{headerDeadline: {"500"}}
	got = e.do(t, request)
	require.Nil(t, got.fault)
	require.Equal(t, want, got.text)
}

// pausedWriter is a limitedWriter whose end function only pauses the stream.
type pausedWriter struct{ limitedWriter }

func TestServiceCallPathIsForwardedUnchanged(t *testing.T) {
	e := startEntry(t)
	seen := make(chan string, 1)
	orderService := httptest.NewServer(http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) { seen <- r.RequestURI }))
	defer orderService.Close()
	e.announceService(orderService.URL)
	got := e.do(t, call{method: http.MethodGet, path: "/v1/services/order-desk/stock/4%3Fx%20y?size=1&b=%2F"})
	require.Equal(t, http.StatusOK, got.status, string(got.raw))
	require.Equal(t, "/stock/4%3Fx%20y?size=1&b=%2F", <-seen)
	require.Equal(t, got.header.Get(headerRequestID), got.header.Get(headerIdempotencyKey))
}

// announceService adds a backend server of the service "order-desk".
func (e *testEntry) announceService(url string) {
	e.fleet.Announce(backend.Announcement{Server: "desk-1", Kind: "plain-service", URL: url, Service: "order-desk", Incarnation: 1}, time.Now())
}

// A retried service call without an idempotency key runs once if it carries
// the same request ID.
func TestRetriedServiceCallRunsOnce(t *testing.T) {
	e := startEntry(t)
	orderService := service.New(service.Settings{})
	server := httptest.NewServer(orderService.Handler())
	defer server.Close()
	e.announceService(server.URL)
	order := call{path: "/v1/services/order-desk/orders", body: []byte("{}")}
	first := e.do(t, order)
	require.Equal(t, http.StatusOK, first.status)
	key := first.header.Get(headerIdempotencyKey)
	for _, name := range []string{headerIdempotencyKey, headerRequestID} {
		order.header = http.Header{name: {key}}
		again := e.do(t, order)
		require.Equal(t, first.raw, again.raw)
		require.Equal(t, "true", again.header.Get(headerReplayed))
	}
	require.Equal(t, map[string]int{key: 1}, orderService.ExecutionCounts())
}

func TestAnnouncementValidation(t *testing.T) {
	e := startEntry(t)
	handler := e.backendRoutes()
	cases := []struct {
		name   string
		body   string
		status int
	}{
		{"valid", `{"server":"s","url":"http://127.0.0.1:1","deployment":"quotes"}`, http.StatusOK},
		{"invalid JSON", `{`, http.StatusBadRequest},
		{"no server", `{"url":"http://127.0.0.1:1"}`, http.StatusBadRequest},
		{"no address", `{"server":"s"}`, http.StatusBadRequest},
		{"host name instead of IP address", `{"server":"s","url":"http://example:1"}`, http.StatusBadRequest},
		{"unsupported scheme", `{"server":"s","url":"file:///etc"}`, http.StatusBadRequest},
		{"query in URL", `{"server":"s","url":"http://127.0.0.1:1/?a="}`, http.StatusBadRequest},
		{"negative slots", `{"server":"s","url":"http://127.0.0.1:1","slots":-1}`, http.StatusBadRequest},
		{"implausible slots", `{"server":"s","url":"http://127.0.0.1:1","slots":4611686018427387904}`, http.StatusBadRequest},
		{"port 0", `{"server":"s","url":"http://127.0.0.1:0"}`, http.StatusBadRequest},
		{"port out of range", `{"server":"s","url":"http://127.0.0.1:65536"}`, http.StatusBadRequest},
		{"implausible sequence", `{"server":"s","url":"http://127.0.0.1:1","incarnation":1,"sequence":18446744073709551615}`, http.StatusBadRequest},
		{"prefill rate near 0", `{"server":"s","url":"http://127.0.0.1:1","prefill_tokens_per_second":5e-324}`, http.StatusBadRequest},
		{"implausible prefill rate", `{"server":"s","url":"http://127.0.0.1:1","prefill_tokens_per_second":1e308}`, http.StatusBadRequest},
		{"deeply nested", `{"server":"s","url":"http://127.0.0.1:1","new":` + strings.Repeat("[", 30_000) + strings.Repeat("]", 30_000) + `}`, http.StatusBadRequest},
		{"name too long", `{"server":"s","url":"http://127.0.0.1:1","role":"` + strings.Repeat("x", 200) + `"}`, http.StatusBadRequest},
		{"body too long", `{"server":"` + strings.Repeat("x", maxAnnounceBytes) + `"}`, http.StatusBadRequest},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			w := httptest.NewRecorder()
			handler.ServeHTTP(w, httptest.NewRequest(http.MethodPost, "/backend/v1/announce", strings.NewReader(c.body)))
			require.Equal(t, c.status, w.Code)
		})
	}
}

// fuzzTarget is an entry whose public handler is fuzzed.
type fuzzTarget struct {
	entry        *testEntry
	handler      http.Handler
	engine       *testEngine
	orderService *service.Service
}

func newFuzzTarget(f *testing.F) *fuzzTarget {
	e := startEntry(f)
	s := &fuzzTarget{entry: e, handler: e.publicRoutes(), engine: startEngine(f, "engine-1"), orderService: service.New(service.Settings{})}
	server := httptest.NewServer(s.orderService.Handler())
	f.Cleanup(server.Close)
	e.announce("engine-1", s.engine.URL)
	e.announceService(server.URL)
	return s
}

func (s *fuzzTarget) orders() int {
	n := 0
	for _, runs := range s.orderService.ExecutionCounts() {
		n += runs
	}
	return n
}

// checkResponse calls the handler. A 4xx refusal must be typed and must not
// have been dispatched, and the entry must never return an internal server
// error.
func (s *fuzzTarget) checkResponse(t *testing.T, r *http.Request) {
	runs, orders := s.engine.runs.Load(), s.orders()
	w := httptest.NewRecorder()
	s.handler.ServeHTTP(w, r)
	require.NotEqual(t, http.StatusInternalServerError, w.Code)
	if w.Code < 400 || w.Header().Get("X-Galena-Ran") == "" {
		return // a success, or an error response of the service itself
	}
	var body refusal.Body
	require.NoError(t, json.Unmarshal(w.Body.Bytes(), &body))
	require.Contains(t, refusal.Codes(), body.Error.Code)
	if w.Code < 500 && body.Error.Execution == refusal.NotExecuted {
		require.Equal(t, runs, s.engine.runs.Load(), "a refused prompt was dispatched")
		require.Equal(t, orders, s.orders(), "a refused call was dispatched")
	}
}

// setHeader sets a header only if its value could be received over a
// connection.
func setHeader(r *http.Request, name, value string) {
	if value != "" && !strings.ContainsAny(value, "\r\n\x00") {
		r.Header.Set(name, value)
	}
}

func FuzzPrompt(f *testing.F) {
	s := newFuzzTarget(f)
	f.Add(true, `{"model":"quote-model","prompt":"x","stream":true,"max_tokens":2}`, "r-1", "k-1", "batch", "1000")
	f.Add(false, `{"model":"quote-model","messages":[{"role":"user","content":"x"}],"max_tokens":2}`, "", "", "", "")
	f.Add(true, `{"model":"quote-model","prompt":[1,2,3],"max_tokens":1}`, "~2", "", "interactive", "-1")
	f.Add(false, `{"model":"quote-model","messages":null,"n":0}`, "", "", "", "")
	f.Fuzz(func(t *testing.T, completion bool, body, id, key, priority, deadline string) {
		path := pathChat
		if completion {
			path = pathCompletions
		}
		if strings.Contains(body, "tokens") && len(body) > 200 {
			return // limits the response length
		}
		r := httptest.NewRequest(http.MethodPost, path, strings.NewReader(body))
		r.Header.Set("Authorization", "Bearer "+testKey)
		setHeader(r, headerRequestID, id)
		setHeader(r, headerIdempotencyKey, key)
		setHeader(r, headerPriority, priority)
		setHeader(r, headerDeadline, deadline)
		if !json.Valid([]byte(body)) {
			w := httptest.NewRecorder()
			s.handler.ServeHTTP(w, r)
			require.GreaterOrEqual(t, w.Code, 400)
			require.Less(t, w.Code, 500)
			return
		}
		var limits struct {
			MaxTokens           float64 `json:"max_tokens"`
			MaxCompletionTokens float64 `json:"max_completion_tokens"`
		}
		if json.Unmarshal([]byte(body), &limits) == nil && max(limits.MaxTokens, limits.MaxCompletionTokens) > 100 {
			return // limits the response length
		}
		s.checkResponse(t, r)
	})
}

func FuzzServiceCall(f *testing.F) {
	s := newFuzzTarget(f)
	f.Add("POST", "order-desk/orders", "k-1", `{"liner":"4x6"}`)
	f.Add("GET", "order-desk/stock/4%2f..%2fx?a=b", "", "")
	f.Add("DELETE", "x/%00", "", "")
	f.Add("PATCH", "order-desk/", "k", "")
	f.Fuzz(func(t *testing.T, method, path, key, body string) {
		r, err := http.NewRequest(method, "http://127.0.0.1/v1/services/"+path, strings.NewReader(body))
		if err != nil {
			return // not a valid HTTP request
		}
		r.Header.Set("Authorization", "Bearer "+testKey)
		setHeader(r, headerIdempotencyKey, key)
		s.checkResponse(t, r)
	})
}

func FuzzAnnounce(f *testing.F) {
	e := startEntry(f)
	handler := e.backendRoutes()
	f.Add(`{"server":"s","url":"http://127.0.0.1:1","deployment":"quotes","weight_version":"v1"}`)
	f.Add(`{"server":"s","url":"http://[::1]:1","leaving":true,"incarnation":18446744073709551615}`)
	f.Fuzz(func(t *testing.T, body string) {
		w := httptest.NewRecorder()
		handler.ServeHTTP(w, httptest.NewRequest(http.MethodPost, "/backend/v1/announce", strings.NewReader(body)))
		require.Contains(t, []int{http.StatusOK, http.StatusBadRequest, http.StatusConflict}, w.Code)
		for _, s := range e.fleet.All() {
			_, _, err := net.SplitHostPort(strings.TrimPrefix(strings.TrimPrefix(s.URL, "http://"), "https://"))
			require.NoError(t, err)
		}
	})
}
