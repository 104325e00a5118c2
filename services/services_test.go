package services

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"runtime"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/galenaarch/galenaarch/api/backend"
	"github.com/galenaarch/galenaarch/api/controlv1"
	"github.com/galenaarch/galenaarch/api/refusal"
	"github.com/galenaarch/galenaarch/config"
	"github.com/galenaarch/galenaarch/control/state"
	"github.com/galenaarch/galenaarch/fleet"
	"github.com/galenaarch/galenaarch/retry"
	"github.com/galenaarch/galenaarch/standin/service"
)

const (
	testTimeout = 5 * time.Second
	testWait    = 10 * time.Second
	testPoll    = 2 * time.Millisecond
)

// fakeControl applies commands directly to the control state under one lock,
// without a replicated log.
type fakeControl struct {
	controlv1.Control
	mu    sync.Mutex
	state *state.State
	now   atomic.Int64
}

func newFakeControl() *fakeControl {
	c := &fakeControl{state: state.New()}
	c.now.Store(time.Now().UnixMilli())
	return c
}

// expireBegunCalls marks the calls begun so far as having an unknown outcome, as
// the leader does after a timeout.
func (c *fakeControl) expireBegunCalls() {
	c.apply(&controlv1.Command{Body: &controlv1.Command_ExpireCalls{
		ExpireCalls: &controlv1.ExpireCallsCommand{BegunBeforeUnixMs: c.now.Add(1)}}})
}

func (c *fakeControl) apply(cmd *controlv1.Command) *controlv1.Result {
	c.mu.Lock()
	defer c.mu.Unlock()
	cmd.TimeUnixMs = c.now.Load()
	return c.state.Apply(cmd)
}

func (c *fakeControl) BeginCall(_ context.Context, r *controlv1.BeginCallRequest) (*controlv1.BeginCallResponse, error) {
	return c.apply(&controlv1.Command{Body: &controlv1.Command_BeginCall{BeginCall: r}}).GetBeginCall(), nil
}

func (c *fakeControl) FinishCall(_ context.Context, r *controlv1.FinishCallRequest) (*controlv1.FinishCallResponse, error) {
	return c.apply(&controlv1.Command{Body: &controlv1.Command_FinishCall{FinishCall: r}}).GetFinishCall(), nil
}

// crashPoint ends the goroutine of an entry's call at one point, as if the process
// were killed there.
type crashPoint struct {
	controlv1.Control
	http.RoundTripper
	crashAt string
}

// reach ends the calling goroutine if point is the crash point.
func (c *crashPoint) reach(point string) {
	if c.crashAt == point {
		runtime.Goexit()
	}
}

func (c *crashPoint) BeginCall(ctx context.Context, r *controlv1.BeginCallRequest) (*controlv1.BeginCallResponse, error) {
	c.reach("before the record is committed")
	response, err := c.Control.BeginCall(ctx, r)
	c.reach("after the record is committed, before dispatch")
	return response, err
}

func (c *crashPoint) FinishCall(ctx context.Context, r *controlv1.FinishCallRequest) (*controlv1.FinishCallResponse, error) {
	c.reach("after the response, before it is recorded")
	response, err := c.Control.FinishCall(ctx, r)
	c.reach("after the response is recorded, before the client receives it")
	return response, err
}

func (c *crashPoint) RoundTrip(r *http.Request) (*http.Response, error) {
	if c.crashAt == "after dispatch, before the response" {
		// The request is sent, but the process ends before it reads the response.
		resp, err := c.RoundTripper.RoundTrip(r)
		if err == nil {
			resp.Body.Close()
		}
		runtime.Goexit()
	}
	return c.RoundTripper.RoundTrip(r)
}

// orderRequest returns a call that is not idempotent.
func orderRequest(key string) *Request {
	return &Request{
		ClientAccount: "garden-centres", Service: "order-desk", IdempotencyKey: key, Method: http.MethodPost, Path: "/orders",
		ContentType: "application/json", Body: []byte(`{"liner":"4x6"}`),
		Call: config.Call{Path: "/orders", Method: http.MethodPost, Timeout: config.Duration(testTimeout)},
	}
}

func newTestDispatcher(entry string, control controlv1.Control, retries int) *Dispatcher {
	return NewDispatcher(entry, control, retry.NewBudget(0, retries), func(string) {})
}

// startService starts a service that counts its runs by key, and returns its URL.
func startService(t *testing.T) (*service.Service, string) {
	t.Helper()
	s := service.New(service.Settings{})
	server := httptest.NewServer(s.Handler())
	t.Cleanup(server.Close)
	return s, server.URL
}

// servers returns the servers of the service order-desk, one for each URL.
func servers(urls ...string) []*fleet.Server {
	table := fleet.NewTable(time.Hour)
	for i, url := range urls {
		table.Announce(backend.Announcement{Server: fmt.Sprintf("desk-%d", i+1), Service: "order-desk", URL: url}, time.Now())
	}
	return table.Service("order-desk")
}

// TestAtMostOnceAtEveryCrashPoint kills the entry at each point of a call that is
// not idempotent. The client retries with the same key at another entry: the order
// must run at most once, and must not be reported as done unless it is known to
// have run.
func TestAtMostOnceAtEveryCrashPoint(t *testing.T) {
	cases := []struct {
		crashAt string
		// runsAfterCrash and runsAfterRetry count how often the service ran the
		// order by then.
		runsAfterCrash int
		runsAfterRetry int
		code           refusal.Code
		replayed       bool
	}{
		{"before the record is committed", 0, 1, "", false},
		{"after the record is committed, before dispatch", 0, 0, refusal.CodeOutcomeUnknown, false},
		{"after dispatch, before the response", 1, 1, refusal.CodeOutcomeUnknown, false},
		{"after the response, before it is recorded", 1, 1, refusal.CodeOutcomeUnknown, false},
		{"after the response is recorded, before the client receives it", 1, 1, "", true},
		{"no crash", 1, 1, "", true},
	}
	for _, c := range cases {
		t.Run(c.crashAt, func(t *testing.T) {
			orderDesk, url := startService(t)
			control := newFakeControl()
			crash := &crashPoint{Control: control, crashAt: c.crashAt}
			first := newTestDispatcher("entry-1", crash, 0)
			crash.RoundTripper = first.client.Transport
			first.client = newClient(crash)
			ended := make(chan struct{})
			go func() {
				defer close(ended)
				_, _ = first.Do(context.Background(), orderRequest("k-1"), servers(url))
			}()
			<-ended
			require.Equal(t, c.runsAfterCrash, orderDesk.ExecutionCounts()["k-1"])

			second := newTestDispatcher("entry-2", control, 0)
			if c.code == refusal.CodeOutcomeUnknown {
				_, apiErr := second.Do(t.Context(), orderRequest("k-1"), servers(url))
				require.Equal(t, refusal.CodeInProgress, apiErr.Code)
				require.Equal(t, refusal.OutcomeUnknown, apiErr.Execution)
				control.expireBegunCalls()
			}
			for range 3 {
				response, apiErr := second.Do(t.Context(), orderRequest("k-1"), servers(url))
				if c.code != "" {
					require.Equal(t, c.code, apiErr.Code)
					require.Equal(t, refusal.OutcomeUnknown, apiErr.Execution)
					continue
				}
				require.Nil(t, apiErr)
				require.Equal(t, http.StatusOK, response.Status)
				require.Contains(t, string(response.Body), "k-1")
			}
			require.Equal(t, c.runsAfterRetry, orderDesk.ExecutionCounts()["k-1"])
		})
	}
}

// failingControl fails the first BeginCall while down is set and then recovers.
type failingControl struct {
	controlv1.Control
	down atomic.Bool
	// applied is true if the request that fails is applied nevertheless.
	applied bool
}

var errNoQuorum = errors.New("no quorum")

func (f *failingControl) BeginCall(ctx context.Context, r *controlv1.BeginCallRequest) (*controlv1.BeginCallResponse, error) {
	if !f.down.Load() {
		return f.Control.BeginCall(ctx, r)
	}
	if f.applied {
		_, _ = f.Control.BeginCall(ctx, r)
	}
	f.down.Store(false)
	return nil, errNoQuorum
}

// A call whose record was not confirmed must not run, even if the record was
// committed, and its key must become usable again.
func TestUnconfirmedRecordIsReleased(t *testing.T) {
	for _, applied := range []bool{false, true} {
		t.Run(fmt.Sprintf("applied=%t", applied), func(t *testing.T) {
			orderDesk, url := startService(t)
			control := &failingControl{Control: newFakeControl(), applied: applied}
			control.down.Store(true)
			d := newTestDispatcher("entry-1", control, 0)
			_, apiErr := d.Do(t.Context(), orderRequest("k-1"), servers(url))
			require.Equal(t, refusal.CodeControlUnavailable, apiErr.Code)
			require.Equal(t, refusal.NotExecuted, apiErr.Execution)
			require.Empty(t, orderDesk.ExecutionCounts())
			require.Eventually(t, func() bool {
				response, _ := d.Do(context.Background(), orderRequest("k-1"), servers(url))
				return response != nil && response.Status == http.StatusOK
			}, testWait, testPoll)
			require.Equal(t, 1, orderDesk.ExecutionCounts()["k-1"])
		})
	}
}

// A call that began too long ago to be still in progress is reported with an unknown
// outcome even before the leader expires it.
func TestOldBegunCallHasUnknownOutcome(t *testing.T) {
	_, url := startService(t)
	control := newFakeControl()
	control.now.Store(time.Now().Add(-testTimeout - 3*recordTimeout).UnixMilli())
	d := newTestDispatcher("entry-1", control, 0)
	r := orderRequest("k-1")
	_, err := control.BeginCall(t.Context(), d.newBeginRequest(r, servers(url)[0]))
	require.NoError(t, err)
	_, apiErr := d.Do(t.Context(), r, servers(url))
	require.Equal(t, refusal.CodeOutcomeUnknown, apiErr.Code)
}

// startRawServer accepts connections and calls respond for each request that it
// reads from them. It counts the requests.
func startRawServer(t *testing.T, respond func(net.Conn)) (url string, requests *atomic.Int64) {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	t.Cleanup(func() { _ = listener.Close() })
	requests = &atomic.Int64{}
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go func() {
				defer conn.Close()
				reader := bufio.NewReader(conn)
				for {
					req, err := http.ReadRequest(reader)
					if err != nil {
						return
					}
					_, _ = io.Copy(io.Discard, req.Body)
					requests.Add(1)
					respond(conn)
				}
			}()
		}
	}()
	return "http://" + listener.Addr().String(), requests
}

// http.Transport resends some requests by itself when a connection breaks, which
// would run a call twice. The server counts the requests that arrive.
func TestTransportDoesNotResend(t *testing.T) {
	closeConn := func(c net.Conn) { _ = c.Close() }
	redirect := func(c net.Conn) {
		_, _ = io.WriteString(c, "HTTP/1.1 307 Temporary Redirect\r\nLocation: /orders\r\nContent-Length: 0\r\n\r\n")
	}
	var responses atomic.Int64
	// The first response keeps the connection open and the next request closes
	// it: in this case http.Transport would resend.
	closeEverySecond := func(c net.Conn) {
		if responses.Add(1)%2 == 0 {
			_ = c.Close()
			return
		}
		_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n{}")
	}
	cases := []struct {
		name    string
		respond func(net.Conn)
		calls   int
		modify  func(*Request)
	}{
		{"connection closed after the request", closeConn, 1, func(*Request) {}},
		{"connection closed after a request without body", closeConn, 1, func(r *Request) { r.Body = nil }},
		{"connection closed after a GET", closeConn, 1, func(r *Request) { r.Method, r.Body = http.MethodGet, nil }},
		{"redirect", redirect, 1, func(*Request) {}},
		{"redirect of a request without body", redirect, 1, func(r *Request) { r.Body = nil }},
		{"kept-alive connection closed", closeEverySecond, 4, func(*Request) {}},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			url, requests := startRawServer(t, c.respond)
			d := newTestDispatcher("entry-1", newFakeControl(), 100)
			for i := range c.calls {
				r := orderRequest(fmt.Sprintf("k-%d", i))
				c.modify(r)
				_, _ = d.Do(t.Context(), r, servers(url))
			}
			require.EqualValues(t, c.calls, requests.Load())
		})
	}
}

// The idempotency key is sent in a header that does not make http.Transport resend
// the request.
func TestServiceReceivesNoIdempotencyKeyHeader(t *testing.T) {
	headers := make(chan http.Header, 1)
	server := httptest.NewServer(http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) { headers <- r.Header }))
	defer server.Close()
	r := orderRequest("k-1")
	r.Deadline = time.Now().Add(time.Minute)
	_, apiErr := newTestDispatcher("entry-1", newFakeControl(), 0).Do(t.Context(), r, servers(server.URL))
	require.Nil(t, apiErr)
	header := <-headers
	require.Empty(t, header.Get("Idempotency-Key"))
	require.Empty(t, header.Get("X-Idempotency-Key"))
	require.Equal(t, "k-1", header.Get(HeaderCallKey))
	require.NotEmpty(t, header.Get(HeaderDeadlineMS))
}

// A client that disconnects does not cancel a call that was sent.
func TestSentCallContinuesAfterClientDisconnects(t *testing.T) {
	ctx, cancel := context.WithCancel(t.Context())
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		cancel()
		select {
		case <-r.Context().Done():
		case <-time.After(50 * time.Millisecond):
		}
		_, _ = io.WriteString(w, "done")
	}))
	defer server.Close()
	control := newFakeControl()
	_, _ = newTestDispatcher("entry-1", control, 0).Do(ctx, orderRequest("k-1"), servers(server.URL))
	response, apiErr := newTestDispatcher("entry-2", control, 0).Do(t.Context(), orderRequest("k-1"), servers(server.URL))
	require.Nil(t, apiErr)
	require.True(t, response.Replayed)
	require.Equal(t, "done", string(response.Body))
}

func TestAtMostOnceTriesAnotherServerOnlyIfNotSent(t *testing.T) {
	orderDesk, url := startService(t)
	closing, requests := startRawServer(t, func(c net.Conn) { _ = c.Close() })
	unreachable := "http://127.0.0.1:1"
	for i := range 20 {
		key := fmt.Sprintf("dial-%d", i)
		response, apiErr := newTestDispatcher("entry-1", newFakeControl(), 10).Do(t.Context(), orderRequest(key), servers(unreachable, url))
		require.Nil(t, apiErr)
		require.Equal(t, http.StatusOK, response.Status)
		require.Equal(t, 1, orderDesk.ExecutionCounts()[key])
	}
	control := newFakeControl()
	d := newTestDispatcher("entry-1", control, 10)
	_, apiErr := d.Do(t.Context(), orderRequest("broken"), servers(closing))
	require.Equal(t, refusal.CodeOutcomeUnknown, apiErr.Code)
	_, apiErr = d.Do(t.Context(), orderRequest("broken"), servers(url))
	require.Equal(t, refusal.CodeOutcomeUnknown, apiErr.Code)
	require.EqualValues(t, 1, requests.Load())
	require.Zero(t, orderDesk.ExecutionCounts()["broken"])
	_, apiErr = d.Do(t.Context(), orderRequest("dead"), servers(unreachable))
	require.Equal(t, refusal.CodeNoBackendServer, apiErr.Code)
	require.Equal(t, refusal.NotExecuted, apiErr.Execution)
}

func TestLargeResponseIsNotReplayedTruncated(t *testing.T) {
	for _, length := range []int{state.MaxAnswerBytes, state.MaxAnswerBytes + 1, maxResponseBytes + 1} {
		t.Run(fmt.Sprint(length), func(t *testing.T) {
			var runs atomic.Int64
			server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
				runs.Add(1)
				_, _ = io.WriteString(w, strings.Repeat("x", length))
			}))
			defer server.Close()
			control := newFakeControl()
			for i := range 2 {
				response, apiErr := newTestDispatcher("entry-1", control, 0).Do(t.Context(), orderRequest("k-1"), servers(server.URL))
				if apiErr != nil {
					require.Equal(t, refusal.CodeResponseNotStored, apiErr.Code)
					require.Equal(t, refusal.Executed, apiErr.Execution)
					require.True(t, i == 1 || length > maxResponseBytes)
					continue
				}
				require.Len(t, response.Body, length)
			}
			require.EqualValues(t, 1, runs.Load())
		})
	}
}

func TestKeyReuseWithAnotherBodyIsRejected(t *testing.T) {
	orderDesk, url := startService(t)
	d := newTestDispatcher("entry-1", newFakeControl(), 0)
	_, apiErr := d.Do(t.Context(), orderRequest("k-1"), servers(url))
	require.Nil(t, apiErr)
	otherBody := orderRequest("k-1")
	otherBody.Body = []byte(`{"liner":"8x9"}`)
	_, apiErr = d.Do(t.Context(), otherBody, servers(url))
	require.Equal(t, refusal.CodeIdempotencyKeyReused, apiErr.Code)
	// Keys are scoped to the client account.
	otherAccount := orderRequest("k-1")
	otherAccount.ClientAccount = "landscapers"
	response, apiErr := d.Do(t.Context(), otherAccount, servers(url))
	require.Nil(t, apiErr)
	require.False(t, response.Replayed)
	require.Equal(t, 2, orderDesk.ExecutionCounts()["k-1"])
}

// stockRequest returns an idempotent call.
func stockRequest() *Request {
	return &Request{
		ClientAccount: "garden-centres", Service: "order-desk", IdempotencyKey: "r-1", Method: http.MethodGet, Path: "/stock/liner",
		Call: config.Call{Path: "/stock", Method: http.MethodGet, Idempotent: true, Timeout: config.Duration(testTimeout)},
	}
}

func TestIdempotentCallIsRetriedWithinBudget(t *testing.T) {
	_, url := startService(t)
	closing, requests := startRawServer(t, func(c net.Conn) { _ = c.Close() })
	unavailable := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		w.WriteHeader(http.StatusServiceUnavailable)
	}))
	defer unavailable.Close()
	for range 20 {
		response, apiErr := newTestDispatcher("entry-1", nil, 10).Do(t.Context(), stockRequest(), servers(closing, unavailable.URL, url))
		require.Nil(t, apiErr)
		require.Equal(t, http.StatusOK, response.Status)
	}
	// The budget limits the retries of all calls together.
	const retries, calls = 5, 40
	requests.Store(0)
	d := newTestDispatcher("entry-1", nil, retries)
	for range calls {
		_, apiErr := d.Do(t.Context(), stockRequest(), servers(closing, closing, closing))
		require.NotNil(t, apiErr)
		require.Equal(t, refusal.OutcomeUnknown, apiErr.Execution)
	}
	require.EqualValues(t, calls+retries, requests.Load())
}

func TestSlowServerIsHedged(t *testing.T) {
	_, url := startService(t)
	release := make(chan struct{})
	slowServer := httptest.NewServer(http.HandlerFunc(func(http.ResponseWriter, *http.Request) { <-release }))
	defer slowServer.Close()
	defer close(release)
	r := stockRequest()
	r.Call.Timeout = config.Duration(200 * time.Millisecond)
	for range 4 {
		response, apiErr := newTestDispatcher("entry-1", nil, 10).Do(t.Context(), r, servers(slowServer.URL, url))
		require.Nil(t, apiErr)
		require.Equal(t, http.StatusOK, response.Status)
	}
}

func TestCallAfterDeadlineIsNotRun(t *testing.T) {
	orderDesk, url := startService(t)
	r := orderRequest("k-1")
	r.Deadline = time.Now().Add(-time.Second)
	_, apiErr := newTestDispatcher("entry-1", newFakeControl(), 0).Do(t.Context(), r, servers(url))
	require.Equal(t, refusal.CodeDeadlineExceeded, apiErr.Code)
	require.Equal(t, refusal.NotExecuted, apiErr.Execution)
	require.Empty(t, orderDesk.ExecutionCounts())
}
