package entry

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"log/slog"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/stretchr/testify/require"
	"go.opentelemetry.io/otel/trace/noop"

	"github.com/galenaarch/galenaarch/api/backend"
	"github.com/galenaarch/galenaarch/api/controlv1"
	"github.com/galenaarch/galenaarch/api/refusal"
	"github.com/galenaarch/galenaarch/config"
	"github.com/galenaarch/galenaarch/control"
	"github.com/galenaarch/galenaarch/examples"
	"github.com/galenaarch/galenaarch/kernel"
	"github.com/galenaarch/galenaarch/standin/engine"
)

const (
	testKey      = "trial-key-garden-centre-1"
	testOtherKey = "trial-key-landscaper-1"
	testModel    = "quote-model"
	testWait     = 10 * time.Second
	testPoll     = 5 * time.Millisecond
)

// testEntry is an entry on loopback with a control replica and the example
// configuration. The announcement and report loops are not running.
type testEntry struct {
	*Entry
	URL string
}

func startEntry(t testing.TB) *testEntry {
	t.Helper()
	log, err := control.OpenSingleReplicaLog("control-1", t.TempDir())
	require.NoError(t, err)
	t.Cleanup(func() { _ = log.Close() })
	replica := httptest.NewServer(controlv1.NewControlServer(control.NewServer(log)))
	t.Cleanup(replica.Close)
	doc, err := config.Decode(examples.HaddonPryce)
	require.NoError(t, err)
	doc.Stores = nil
	for i := range doc.Deployments {
		doc.Deployments[i].Stores = nil
	}
	items, err := config.Items(doc)
	require.NoError(t, err)
	response, err := control.NewServer(log).ApplyConfig(t.Context(), &controlv1.ApplyConfigRequest{
		Environment: doc.Environment, ChangeId: "test-1", Upserts: items, Author: "test",
	})
	require.NoError(t, err)
	require.True(t, response.Accepted, response.Reason)
	e := New(Settings{
		Instance: "entry-1", FailureDomain: "midlands-1", Environment: doc.Environment,
		Control: replica.URL, ServerTTL: time.Hour,
	})
	require.NoError(t, e.Provision(&kernel.Context{
		Logger:   slog.New(slog.DiscardHandler),
		Registry: prometheus.NewRegistry(),
		Tracer:   noop.NewTracerProvider().Tracer("test"),
	}))
	ctx, cancel := context.WithCancel(context.Background())
	t.Cleanup(cancel)
	go e.config.Run(ctx)
	require.Eventually(t, func() bool { return e.Ready() == nil }, testWait, testPoll)
	public := httptest.NewServer(e.publicRoutes())
	t.Cleanup(public.Close)
	return &testEntry{Entry: e, URL: public.URL}
}

// announce adds a backend server of the deployment "quotes".
func (e *testEntry) announce(name, url string) {
	e.fleet.Announce(backend.Announcement{
		Server: name, Kind: "prometheus-engine", URL: url, Deployment: "quotes", WeightVersion: "v1", Incarnation: 1, Slots: 8,
	}, time.Now())
}

// fault handles a run on a faulty backend server.
type fault func(w http.ResponseWriter, r *http.Request, next http.Handler)

// testEngine is a fake engine with a list of faults. Each run uses up one
// fault; later runs succeed.
type testEngine struct {
	*engine.Engine
	URL        string
	runs       atomic.Int64
	mu         sync.Mutex
	faults     []fault
	requestIDs []string
}

func startEngine(t testing.TB, name string, faults ...fault) *testEngine {
	t.Helper()
	e := &testEngine{faults: faults, Engine: engine.New(engine.Settings{
		ServerName: name, Deployment: "quotes", WeightVersion: "v1", DecodeSlots: 64, CacheBlocks: 16,
		BlockBytes: 1024, PrefillTokensPerSecond: 1e9, TokenInterval: 100 * time.Microsecond,
	})}
	handler := e.Handler()
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if !strings.HasPrefix(r.URL.Path, "/v1/") {
			handler.ServeHTTP(w, r)
			return
		}
		e.runs.Add(1)
		if f := e.nextFault(r); f != nil {
			f(w, r, handler)
			return
		}
		handler.ServeHTTP(w, r)
	}))
	t.Cleanup(server.Close)
	e.URL = server.URL
	return e
}

func (e *testEngine) nextFault(r *http.Request) fault {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.requestIDs = append(e.requestIDs, r.Header.Get(headerRequestID))
	if len(e.faults) == 0 {
		return nil
	}
	f := e.faults[0]
	e.faults = e.faults[1:]
	return f
}

// limitedWriter passes a number of events through, then calls end.
type limitedWriter struct {
	http.ResponseWriter
	left int
	end  func()
}

// Write implements io.Writer. The fake engine writes one event per call.
func (w *limitedWriter) Write(p []byte) (int, error) {
	if w.left == 0 {
		w.Flush()
		w.end()
	}
	w.left--
	return w.ResponseWriter.Write(p)
}

// Flush implements http.Flusher.
func (w *limitedWriter) Flush() { w.ResponseWriter.(http.Flusher).Flush() }

func abort() { panic(http.ErrAbortHandler) }

// failAfter breaks the connection after a number of events.
func failAfter(events int) fault {
	return func(w http.ResponseWriter, r *http.Request, next http.Handler) {
		next.ServeHTTP(&limitedWriter{ResponseWriter: w, left: events, end: abort}, r)
	}
}

// respondStatus responds with a status and a body.
func respondStatus(status int, body string) fault {
	return func(w http.ResponseWriter, _ *http.Request, _ http.Handler) {
		w.WriteHeader(status)
		_, _ = io.WriteString(w, body)
	}
}

// respondRaw responds with raw text instead of the engine's response and ends the
// body normally.
func respondRaw(text string) fault {
	return func(w http.ResponseWriter, _ *http.Request, _ http.Handler) { _, _ = io.WriteString(w, text) }
}

// prependRaw sends raw text before the engine's response.
func prependRaw(text string) fault {
	return func(w http.ResponseWriter, r *http.Request, next http.Handler) {
		_, _ = io.WriteString(w, text)
		next.ServeHTTP(w, r)
	}
}

// testResponse is a decoded response.
type testResponse struct {
	status int
	header http.Header
	text   string
	finish string
	usage  *backend.Usage
	ids    []string
	done   bool
	fault  *refusal.BodyError
	raw    []byte
}

// call is a test request.
type call struct {
	method string
	path   string
	key    string
	body   any
	header http.Header
}

func (e *testEntry) do(t testing.TB, c call) *testResponse {
	t.Helper()
	return sendRequest(t, e.URL, c)
}

func sendRequest(t testing.TB, url string, c call) *testResponse {
	t.Helper()
	raw, ok := c.body.([]byte)
	if !ok && c.body != nil {
		var err error
		raw, err = json.Marshal(c.body)
		require.NoError(t, err)
	}
	if c.method == "" {
		c.method = http.MethodPost
	}
	req, err := http.NewRequestWithContext(t.Context(), c.method, url+c.path, bytes.NewReader(raw))
	require.NoError(t, err)
	req.Header.Set("Authorization", "Bearer "+testKey)
	if c.key != "" {
		req.Header.Set("Authorization", "Bearer "+c.key)
	}
	for k, v := range c.header {
		req.Header[k] = v
	}
	resp, err := http.DefaultClient.Do(req)
	require.NoError(t, err)
	defer resp.Body.Close()
	body, err := io.ReadAll(resp.Body)
	require.NoError(t, err)
	out := &testResponse{status: resp.StatusCode, header: resp.Header, raw: body}
	out.decode(t, strings.HasPrefix(resp.Header.Get("Content-Type"), "text/event-stream"))
	return out
}

func (r *testResponse) decode(t testing.TB, stream bool) {
	t.Helper()
	if !stream {
		r.addEvent(t, r.raw)
		r.done = r.status == http.StatusOK
		return
	}
	for line := range strings.SplitSeq(string(r.raw), "\n") {
		data, ok := strings.CutPrefix(line, "data: ")
		switch {
		case !ok:
		case data == "[DONE]":
			r.done = true
		default:
			require.False(t, r.done, "event after the end of the stream")
			r.addEvent(t, []byte(data))
		}
	}
}

func (r *testResponse) addEvent(t testing.TB, raw []byte) {
	var event struct {
		backend.Chunk
		Error *refusal.BodyError `json:"error"`
	}
	if json.Unmarshal(raw, &event) != nil {
		return // response of a plain service
	}
	if event.Error != nil {
		r.fault = event.Error
		return
	}
	r.ids = append(r.ids, event.ID)
	for _, c := range event.Choices {
		r.text += c.Text
		if c.Delta != nil {
			r.text += c.Delta.Content
		}
		if c.Message != nil {
			r.text += c.Message.Content
		}
		if c.FinishReason != nil {
			r.finish = *c.FinishReason
		}
	}
	if event.Usage != nil {
		r.usage = event.Usage
	}
}
