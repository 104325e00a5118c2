package adapters_test

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/galenaarch/galenaarch/adapters"
	_ "github.com/galenaarch/galenaarch/adapters/jsonstatus"
	_ "github.com/galenaarch/galenaarch/adapters/prometheustext"
	"github.com/galenaarch/galenaarch/kernel"
)

// Names of the adapter kinds.
const (
	kindPrometheus = "prometheus_text"
	kindJSON       = "json_status"
)

// Limits of the adapters, as in their packages.
const (
	maxReportBytes = 4 << 20
	maxCount       = 1 << 30
)

// response is the response or transport error of a backend server.
type response struct {
	status int
	body   string
	err    error
}

// fakeServer is an HTTP round tripper that returns one response without a
// network and keeps the requested path.
type fakeServer struct {
	response response
	path     string
}

func (s *fakeServer) RoundTrip(r *http.Request) (*http.Response, error) {
	s.path = r.URL.RequestURI()
	if s.response.err != nil {
		return nil, s.response.err
	}
	status := s.response.status
	if status == 0 {
		status = http.StatusOK
	}
	return &http.Response{StatusCode: status, Header: http.Header{"Location": {"/elsewhere"}}, Body: io.NopCloser(strings.NewReader(s.response.body)), Request: r}, nil
}

func (s *fakeServer) client() *http.Client { return &http.Client{Transport: s} }

// loadReport returns the body of a load report in the format of a kind.
func loadReport(kind, running, waiting, tokens string) string {
	if kind == kindPrometheus {
		return fmt.Sprintf("# TYPE engine_requests_running gauge\nengine_requests_running %s\n"+
			"engine_requests_waiting %s\nengine_waiting_prompt_tokens %s\n", running, waiting, tokens)
	}
	return fmt.Sprintf(`{"running":%s,"waiting":%s,"waiting_tokens":%s}`, running, waiting, tokens)
}

func TestContractCoversAllRegisteredKinds(t *testing.T) {
	require.Equal(t, []string{kindJSON, kindPrometheus}, kernel.ModuleNames(adapters.Namespace))
}

// TestLoadContract requires that all kinds accept and reject the same load
// reports.
func TestLoadContract(t *testing.T) {
	cases := []struct {
		name string
		// response builds the server's response for a kind of adapter.
		response func(kind string) response
		wantOK   bool
	}{
		{"valid", func(k string) response { return response{body: loadReport(k, "3", "2", "4096")} }, true},
		{"all counts zero", func(k string) response { return response{body: loadReport(k, "0", "0", "0")} }, true},
		{"gauges reset after a restart", func(k string) response { return response{body: loadReport(k, "0", "0", "1")} }, true},
		{"negative count", func(k string) response { return response{body: loadReport(k, "-1", "2", "0")} }, false},
		{"wrong unit: fractional count", func(k string) response { return response{body: loadReport(k, "0.5", "2", "0")} }, false},
		{"wrong unit: fractional token count", func(k string) response { return response{body: loadReport(k, "1", "2", "0.25")} }, false},
		{"count above the limit", func(k string) response { return response{body: loadReport(k, fmt.Sprint(maxCount+1), "2", "0")} }, false},
		{"count far above the limit", func(k string) response { return response{body: loadReport(k, "1e300", "2", "0")} }, false},
		{"not a number", func(k string) response { return response{body: loadReport(k, "NaN", "2", "0")} }, false},
		{"infinity", func(k string) response { return response{body: loadReport(k, "+Inf", "2", "0")} }, false},
		{"string instead of a number", func(k string) response { return response{body: loadReport(k, `"3"`, "2", "0")} }, false},
		{"missing required field", func(k string) response {
			return response{body: map[string]string{kindPrometheus: "engine_requests_running 3\n", kindJSON: `{"running":3}`}[k]}
		}, false},
		{"missing optional field", func(k string) response {
			return response{body: map[string]string{
				kindPrometheus: "engine_requests_running 3\nengine_requests_waiting 2\n", kindJSON: `{"running":3,"waiting":2}`}[k]}
		}, true},
		{"counter instead of a gauge", func(k string) response {
			return response{body: map[string]string{
				kindPrometheus: "# TYPE engine_requests_running counter\nengine_requests_running 3\nengine_requests_waiting 2\n",
				kindJSON:       `{"running":{"total":3},"waiting":2}`}[k]}
		}, false},
		{"format of the other kind", func(k string) response {
			return response{body: loadReport(map[string]string{kindPrometheus: kindJSON, kindJSON: kindPrometheus}[k], "3", "2", "0")}
		}, false},
		{"truncated report", func(k string) response { b := loadReport(k, "3", "2", "4096"); return response{body: b[:len(b)/3]} }, false},
		{"empty report", func(string) response { return response{} }, false},
		{"report above the size limit", func(k string) response {
			return response{body: loadReport(k, "3", "2", "0") + strings.Repeat("\n", maxReportBytes)}
		}, false},
		{"error status", func(k string) response {
			return response{status: http.StatusInternalServerError, body: loadReport(k, "3", "2", "0")}
		}, false},
		{"redirect", func(string) response { return response{status: http.StatusFound} }, false},
		{"connection reset", func(string) response { return response{err: errors.New("reset")} }, false},
		{"deadline exceeded", func(string) response { return response{err: context.DeadlineExceeded} }, false},
	}
	for _, kind := range []string{kindPrometheus, kindJSON} {
		for _, c := range cases {
			t.Run(kind+"/"+c.name, func(t *testing.T) {
				adapter, err := adapters.New(kind)
				require.NoError(t, err)
				s := &fakeServer{response: c.response(kind)}
				got, err := adapter.FetchLoad(t.Context(), s.client(), "http://127.0.0.1:1")
				if !c.wantOK {
					require.Error(t, err)
					require.Zero(t, got)
					return
				}
				require.NoError(t, err)
				require.False(t, got.ReceivedAt.IsZero())
				if c.name == "valid" {
					require.Equal(t, []int{3, 2, 4096}, []int{got.Running, got.Waiting, got.WaitingTokens})
				}
			})
		}
	}
}

// TestEventsContract requires that all kinds accept and reject the same pages of
// cache events.
func TestEventsContract(t *testing.T) {
	cases := []struct {
		name     string
		response response
		wantOK   bool
	}{
		{"no events", response{body: `{"incarnation":7,"events":[],"last":3}`}, true},
		{"one event", response{body: `{"incarnation":7,"events":[{"sequence":4,"type":"stored","keys":["k"]}],"last":4}`}, true},
		{"gap in sequence numbers", response{body: `{"events":[{"sequence":4,"type":"stored"},{"sequence":9,"type":"removed"}],"last":9}`}, true},
		{"last sequence number far ahead of the events", response{body: `{"events":[{"sequence":4,"type":"stored"}],"last":90}`}, true},
		{"full listing", response{body: `{"full":true,"keys":["k"],"last":90}`}, true},
		{"events out of order", response{body: `{"events":[{"sequence":5,"type":"stored"},{"sequence":4,"type":"stored"}],"last":5}`}, false},
		{"duplicate sequence number", response{body: `{"events":[{"sequence":5,"type":"stored"},{"sequence":5,"type":"removed"}],"last":5}`}, false},
		{"sequence numbers restart within a page", response{body: `{"events":[{"sequence":5,"type":"stored"},{"sequence":1,"type":"stored"}],"last":1}`}, false},
		{"event beyond the last sequence number", response{body: `{"events":[{"sequence":5,"type":"stored"}],"last":4}`}, false},
		{"unknown event type", response{body: `{"events":[{"sequence":4,"type":"moved"}],"last":4}`}, false},
		{"missing event type", response{body: `{"events":[{"sequence":4}],"last":4}`}, false},
		{"missing sequence number", response{body: `{"events":[{"type":"stored"}],"last":4}`}, false},
		{"negative sequence number", response{body: `{"events":[{"sequence":-4,"type":"stored"}],"last":4}`}, false},
		{"fractional sequence number", response{body: `{"events":[{"sequence":4.5,"type":"stored"}],"last":5}`}, false},
		{"sequence number above 64 bits", response{body: `{"last":99999999999999999999}`}, false},
		{"keys that are not strings", response{body: `{"events":[{"sequence":4,"type":"stored","keys":[1]}],"last":4}`}, false},
		{"truncated page", response{body: `{"events":[{"sequence":4`}, false},
		{"empty body", response{}, false},
		{"page above the size limit", response{body: strings.Repeat(" ", maxReportBytes+1)}, false},
		{"error status", response{status: http.StatusServiceUnavailable, body: `{}`}, false},
		{"deadline exceeded", response{err: context.DeadlineExceeded}, false},
	}
	for _, kind := range []string{kindPrometheus, kindJSON} {
		for _, c := range cases {
			t.Run(kind+"/"+c.name, func(t *testing.T) {
				adapter, err := adapters.New(kind)
				require.NoError(t, err)
				s := &fakeServer{response: c.response}
				page, err := adapter.FetchCacheEvents(t.Context(), s.client(), "http://127.0.0.1:1", 3, false)
				if !c.wantOK {
					require.Error(t, err)
					require.Nil(t, page)
					return
				}
				require.NoError(t, err)
				require.Equal(t, "/kv/events?after=3&full=false", s.path)
			})
		}
	}
}

// A report whose body never ends is abandoned when its context is cancelled.
func TestLoadStopsWhenContextIsCancelled(t *testing.T) {
	release := make(chan struct{})
	slowServer := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		_, _ = io.WriteString(w, " ")
		w.(http.Flusher).Flush()
		<-release
	}))
	defer slowServer.Close()
	defer close(release)
	for _, kind := range []string{kindPrometheus, kindJSON} {
		adapter, err := adapters.New(kind)
		require.NoError(t, err)
		ctx, cancel := context.WithCancel(t.Context())
		loadErr := make(chan error, 1)
		go func() {
			_, err := adapter.FetchLoad(ctx, slowServer.Client(), slowServer.URL)
			loadErr <- err
		}()
		cancel()
		require.Error(t, <-loadErr)
	}
}

func fuzzLoad(f *testing.F, kind string) {
	f.Add(loadReport(kind, "3", "2", "4096"))
	f.Add(loadReport(kind, "1e9", "-0", "NaN"))
	f.Add("")
	adapter, err := adapters.New(kind)
	require.NoError(f, err)
	f.Fuzz(func(t *testing.T, body string) {
		s := &fakeServer{response: response{body: body}}
		got, err := adapter.FetchLoad(t.Context(), s.client(), "http://127.0.0.1:1")
		if err != nil {
			require.Zero(t, got)
			return
		}
		for _, n := range []int{got.Running, got.Waiting, got.WaitingTokens} {
			require.GreaterOrEqual(t, n, 0)
			require.LessOrEqual(t, n, maxCount)
		}
	})
}

func FuzzPrometheusLoad(f *testing.F) { fuzzLoad(f, kindPrometheus) }

func FuzzJSONLoad(f *testing.F) { fuzzLoad(f, kindJSON) }

func FuzzEvents(f *testing.F) {
	f.Add(`{"incarnation":7,"events":[{"sequence":4,"type":"stored","keys":["k"]}],"last":4}`)
	f.Add(`{"full":true,"keys":["k"],"last":90}`)
	f.Fuzz(func(t *testing.T, body string) {
		s := &fakeServer{response: response{body: body}}
		page, err := adapters.FetchCacheEvents(t.Context(), s.client(), "http://127.0.0.1:1", 0, true)
		if err != nil {
			require.Nil(t, page)
			return
		}
		for i, e := range page.Events {
			require.LessOrEqual(t, e.Sequence, page.LastSequence)
			require.True(t, i == 0 || e.Sequence > page.Events[i-1].Sequence)
		}
	})
}
