package rig2

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync/atomic"
	"time"
)

func stringsReader(s string) io.Reader { return strings.NewReader(s) }

var requestNumber atomic.Int64

// NewRequestID returns an ID for a client attempt.
func NewRequestID() string {
	return fmt.Sprintf("%016x", uint64(time.Now().UnixNano())<<12|uint64(requestNumber.Add(1))&0xfff)
}

// Event is one event of a stream.
type Event struct {
	ID   int
	Data string
}

// StreamResult is what a client has seen of a stream.
type StreamResult struct {
	Status   int
	Events   []Event
	Complete bool
	Err      error
}

// Host is the name that routes have.
const Host = "rev.example"

// Client sends requests, each on a new connection.
var Client = &http.Client{Transport: &http.Transport{DisableKeepAlives: true, DisableCompression: true, DialContext: (&net.Dialer{Timeout: time.Second}).DialContext}}

// NewRequest returns a client's request with its headers.
func NewRequest(method, url, id string, deadline time.Duration, body string) (*http.Request, error) {
	r, err := http.NewRequest(method, url, strings.NewReader(body))
	if err != nil {
		return nil, err
	}
	r.Host = Host
	r.Header.Set("X-Request-Id", id)
	r.Header.Set("X-Deadline-Ms", strconv.FormatInt(deadline.Milliseconds(), 10))
	r.Header.Set("X-Api-Key", "key-1")
	return r, nil
}

// ReadStream sends a request for a stream and reads its events.
func ReadStream(r *http.Request) StreamResult { return ReadStreamWithin(r, time.Minute) }

// ReadStreamWithin is ReadStream that closes the connection after a gap without an event.
func ReadStreamWithin(r *http.Request, gap time.Duration) (result StreamResult) {
	ctx, cancel := context.WithCancel(r.Context())
	defer cancel()
	timer := time.AfterFunc(gap, cancel)
	defer timer.Stop()
	response, err := Client.Do(r.WithContext(ctx))
	if err != nil {
		result.Err = err
		return result
	}
	defer response.Body.Close()
	result.Status = response.StatusCode
	reader := bufio.NewReader(response.Body)
	var e Event
	for {
		line, err := reader.ReadString('\n')
		if err != nil {
			if err != io.EOF {
				result.Err = err
			}
			return result
		}
		name, value, _ := strings.Cut(strings.TrimRight(line, "\r\n"), ":")
		value = strings.TrimSpace(value)
		switch {
		case name == "id":
			e.ID, _ = strconv.Atoi(value)
		case name == "data":
			e.Data = value
		case name == "" && e.Data != "":
			timer.Reset(gap)
			result.Events = append(result.Events, e)
			result.Complete = strings.HasSuffix(e.Data, " end")
			e = Event{}
		}
	}
}

// Config returns a configuration with one service of engines and routes to it.
func Config(version int, routes ...map[string]any) map[string]any {
	return map[string]any{
		"version": version, "routes": routes,
		"services": []any{map[string]any{
			"name": "models", "health_path": "/health", "max_connections": 370, "protocol": "h1", "tls": false,
			"engine": map[string]any{
				"slots": 64, "kv_capacity_tokens": 77104, "kv_token_bytes": 163840, "link_mbps": 550000.0, "moves": true, "backups": true, "managed": true, "stride": 4, "max_inflight": 12,
				"pin_ms": 4000.0, "hold_ms": 2000.0, "handle_s": 5.0, "models": []any{map[string]any{"name": "m0"}},
			},
		}, map[string]any{"name": "app", "health_path": "/health", "max_connections": 110, "protocol": "h1", "tls": false}},
		"limits":  map[string]any{"max_header_bytes": 16384, "max_body_bytes": 4194304, "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
		"tenants": []any{map[string]any{"name": "tenant-1", "api_keys": []string{"key-1"}, "priority": 1}},
	}
}

// Route returns a route.
func Route(name, prefix, kind, service string, resumable bool, timeout time.Duration, attempts int) map[string]any {
	return map[string]any{
		"name": name, "host": Host, "path_prefix": prefix, "kind": kind, "timeout_ms": timeout.Milliseconds(), "target_latency_ms": 300, "priority": 0, "service": service,
		"max_attempts": attempts, "public": false, "sticky": kind == "streaming", "resumable": resumable, "target_gap_ms": 200,
	}
}
