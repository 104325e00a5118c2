package relay

import (
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"
)

const (
	firstEventTimeout = time.Minute
	idleTimeout       = 10 * time.Second
)

// step is a pause and the data that the engine sends after it.
type step struct {
	pause time.Duration
	text  string
}

// scriptedEngine is an in-memory engine that plays steps and then sends nothing
// more.
type scriptedEngine []step

// RoundTrip implements http.RoundTripper.
func (s scriptedEngine) RoundTrip(r *http.Request) (*http.Response, error) {
	reader, writer := io.Pipe()
	go func() {
		for _, step := range s {
			select {
			case <-time.After(step.pause):
			case <-r.Context().Done():
				return
			}
			if _, err := io.WriteString(writer, step.text); err != nil {
				return
			}
		}
	}()
	context.AfterFunc(r.Context(), func() { _ = writer.CloseWithError(r.Context().Err()) }) // never fails
	return &http.Response{StatusCode: http.StatusOK, Body: reader}, nil
}

func sseData(s string) string { return `data: {"id":"r","choices":[{"text":"` + s + `"}]}` + "\n\n" }

// TestStreamTimeouts runs in virtual time. It guards against a stream that waits
// forever for an event, and against a timeout that ends a long but active
// stream.
func TestStreamTimeouts(t *testing.T) {
	var longStream scriptedEngine
	for range 1000 {
		longStream = append(longStream, step{idleTimeout - time.Second, sseData("x")})
	}
	cases := []struct {
		name   string
		steps  scriptedEngine
		events int
		err    error
	}{
		{"no first event", scriptedEngine{}, 0, ErrEventTimeout},
		{"late first event", scriptedEngine{{firstEventTimeout - time.Second, sseData("x")}, {0, "data: [DONE]\n\n"}}, 1, io.EOF},
		{"first event after the timeout", scriptedEngine{{firstEventTimeout + time.Second, sseData("x")}}, 0, ErrEventTimeout},
		{"idle longer than timeout and grace", scriptedEngine{{0, sseData("x")}, {idleTimeout + 2*idleGrace, sseData("x")}}, 1, ErrEventTimeout},
		{"comments do not count as events", scriptedEngine{{0, sseData("x")}, {idleTimeout / 2, ": alive\n"}, {idleTimeout/2 + 2*idleGrace, sseData("x")}}, 1, ErrEventTimeout},
		{"idle periods within the grace", scriptedEngine{{0, sseData("x")}, {idleTimeout + idleGrace/2, sseData("x")}, {idleTimeout + idleGrace/2, sseData("x")},
			{0, "data: [DONE]\n\n"}}, 3, io.EOF},
		{"hours of short idle periods", append(longStream, step{0, "data: [DONE]\n\n"}), 1000, io.EOF},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				client := &http.Client{Transport: c.steps}
				s, err := Open(t.Context(), client, Target{Server: "engine-1", URL: "http://127.0.0.1:1"}, nil, http.Header{},
					Attempt{RequestID: "r", Number: 1}, Timeouts{FirstEvent: firstEventTimeout, Idle: idleTimeout})
				require.NoError(t, err)
				defer s.Close()
				n := 0
				for {
					if _, err = s.Next(); err != nil {
						break
					}
					n++
				}
				require.ErrorIs(t, err, c.err)
				require.Equal(t, c.events, n)
			})
		})
	}
}

func TestEventDataIsUnchanged(t *testing.T) {
	const unusual = `{"choices":[{"text":"x","logprobs":{"a":[1,2]}}],"id":"cmpl-r","unknown":{"b":null}}`
	body := "event: message\r\n: comment\r\ndata:" + unusual + "\r\n\r\ndata: [DONE]\r\n\r\n"
	client := &http.Client{Transport: scriptedEngine{{0, body}}}
	s, err := Open(t.Context(), client, Target{URL: "http://127.0.0.1:1"}, nil, http.Header{},
		Attempt{RequestID: "r", Number: 1}, Timeouts{FirstEvent: firstEventTimeout, Idle: idleTimeout})
	require.NoError(t, err)
	defer s.Close()
	event, err := s.Next()
	require.NoError(t, err)
	require.Equal(t, unusual, string(event.Data))
	require.True(t, event.HasNonText)
	replaced, err := ReplaceFields(event.Data, Field{Name: "id", Value: "r"})
	require.NoError(t, err)
	require.JSONEq(t, strings.Replace(unusual, "cmpl-r", "r", 1), string(replaced))
	_, err = s.Next()
	require.ErrorIs(t, err, io.EOF)
}

func TestProvesNotRun(t *testing.T) {
	cases := []struct {
		name string
		err  error
		want bool
	}{
		{"no connection", &net.OpError{Op: "dial", Err: errors.New("refused")}, true},
		{"write error", &net.OpError{Op: "write", Err: errors.New("reset")}, false},
		{"read error", &net.OpError{Op: "read", Err: errors.New("reset")}, false},
		{"end of file", io.EOF, false},
		{"too many requests", &StatusError{Status: http.StatusTooManyRequests}, true},
		{"unavailable", &StatusError{Status: http.StatusServiceUnavailable}, true},
		{"bad request", &StatusError{Status: http.StatusBadRequest}, true},
		{"internal error", &StatusError{Status: http.StatusInternalServerError}, false},
		{"bad gateway", &StatusError{Status: http.StatusBadGateway}, false},
		{"gateway timeout", &StatusError{Status: http.StatusGatewayTimeout}, false},
		{"idle timeout", ErrEventTimeout, false},
	}
	for _, c := range cases {
		require.Equal(t, c.want, ProvesNotRun(c.err), c.name)
	}
}
