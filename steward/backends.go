package steward

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"time"

	"github.com/rotisserie/eris"

	"github.com/galenaarch/galenaarch/api/backend"
	"github.com/galenaarch/galenaarch/httpclient"
)

// Limits of requests to entries and backend servers.
const (
	dialTimeout      = time.Second
	maxResponseBytes = 64 << 20
	maxProbeBytes    = 64 << 10
	// probePriority schedules a probe ahead of client requests that the server
	// has not finished yet.
	probePriority = -1
)

// Backends calls backend servers and the entries that they announce themselves
// to.
type Backends interface {
	// ListServers returns the announced servers.
	ListServers(ctx context.Context) ([]backend.Announcement, error)
	// ReadState reads a server's state.
	ReadState(ctx context.Context, url string) (*backend.EngineState, error)
	// Load sends a load order. After an error the order may still have arrived;
	// a status is the server's response.
	Load(ctx context.Context, url string, order *backend.LoadOrder) (status int, err error)
	// Probe runs a short prompt on a weight version.
	Probe(ctx context.Context, url, model, weightVersion string) error
}

// HTTPBackends implements Backends over HTTP.
type HTTPBackends struct {
	entries []string
	// currentEntry is the index, modulo the number of entries, of the entry
	// that responded last.
	currentEntry atomic.Uint64
	entryClient  *http.Client
	serverClient *http.Client
}

// NewHTTPBackends returns Backends that list servers from any of the entries.
func NewHTTPBackends(entries []string, entryClient *http.Client) *HTTPBackends {
	return &HTTPBackends{
		entries:     entries,
		entryClient: entryClient,
		// Connections are not reused: a server may write the response to an earlier
		// call once more, and nothing in it would reveal that.
		serverClient: &http.Client{Transport: httpclient.Whole(&http.Transport{
			DialContext:            (&net.Dialer{Timeout: dialTimeout}).DialContext,
			DisableKeepAlives:      true,
			DisableCompression:     true,
			MaxResponseHeaderBytes: httpclient.MaxHeaderBytes,
		})},
	}
}

// Interface guard.
var _ Backends = (*HTTPBackends)(nil)

// ListServers implements Backends. It prefers the entry that responded last.
func (b *HTTPBackends) ListServers(ctx context.Context) ([]backend.Announcement, error) {
	var lastErr error
	for range b.entries {
		i := b.currentEntry.Load()
		var list backend.ServerList
		entry := b.entries[i%uint64(len(b.entries))]
		if lastErr = getJSON(ctx, b.entryClient, entry+"/peer/v1/servers", &list); lastErr == nil {
			return list.Servers, nil
		}
		b.currentEntry.CompareAndSwap(i, i+1)
	}
	return nil, lastErr
}

// ReadState implements Backends.
func (b *HTTPBackends) ReadState(ctx context.Context, url string) (*backend.EngineState, error) {
	var state backend.EngineState
	if err := getJSON(ctx, b.serverClient, url+"/admin/state", &state); err != nil {
		return nil, err
	}
	return &state, nil
}

func getJSON(ctx context.Context, client *http.Client, url string, into any) error {
	ctx, cancel := context.WithTimeout(ctx, readTimeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		return eris.Wrapf(err, "build request to %s", url)
	}
	resp, err := client.Do(req)
	if err != nil {
		return eris.Wrapf(err, "read %s", url)
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return eris.Errorf("read %s: status %d", url, resp.StatusCode)
	}
	return eris.Wrapf(json.NewDecoder(io.LimitReader(resp.Body, maxResponseBytes)).Decode(into), "decode %s", url)
}

// post sends a request that the transport does not retry: without GetBody it
// cannot send the body twice.
func (b *HTTPBackends) post(ctx context.Context, url string, body any) (*http.Response, error) {
	raw, err := json.Marshal(body)
	if err != nil {
		return nil, eris.Wrapf(err, "encode request to %s", url)
	}
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, url, bytes.NewReader(raw))
	if err != nil {
		return nil, eris.Wrapf(err, "build request to %s", url)
	}
	req.GetBody = nil
	req.Header.Set("Content-Type", "application/json")
	resp, err := b.serverClient.Do(req)
	return resp, eris.Wrapf(err, "post %s", url)
}

// Load implements Backends.
func (b *HTTPBackends) Load(ctx context.Context, url string, order *backend.LoadOrder) (int, error) {
	resp, err := b.post(ctx, url+"/admin/load", order)
	if err != nil {
		return 0, err
	}
	defer resp.Body.Close()
	return resp.StatusCode, nil
}

// Probe implements Backends.
func (b *HTTPBackends) Probe(ctx context.Context, url, model, weightVersion string) error {
	resp, err := b.post(ctx, url+"/v1/completions", &backend.CompletionRequest{
		Model:         model,
		Prompt:        backend.Prompt{Text: "ready?"},
		MaxTokens:     1,
		Priority:      probePriority,
		Stream:        true,
		KVTransfer:    &backend.KVTransfer{WeightVersion: weightVersion},
		StreamOptions: &backend.StreamOptions{IncludeUsage: true},
	})
	if err != nil {
		return err
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return eris.Errorf("test run: status %d", resp.StatusCode)
	}
	return readProbe(io.LimitReader(resp.Body, maxProbeBytes), weightVersion)
}

// readProbe checks that a stream is complete and was generated by the given
// weight version. A stream that reports no version passes the version check.
func readProbe(body io.Reader, weightVersion string) error {
	scanner := bufio.NewScanner(body)
	for scanner.Scan() {
		data, ok := strings.CutPrefix(scanner.Text(), "data:")
		if !ok {
			continue
		}
		data = strings.TrimSpace(data)
		if data == "[DONE]" {
			return nil
		}
		var chunk backend.Chunk
		if err := json.Unmarshal([]byte(data), &chunk); err != nil {
			return eris.Wrap(err, "test run: decode event")
		}
		if reported := reportedVersion(&chunk); reported != "" && reported != weightVersion {
			return eris.Errorf("test run on version %q instead of %q", reported, weightVersion)
		}
	}
	return eris.New("test run ended before its end mark")
}

func reportedVersion(c *backend.Chunk) string {
	if c.Usage == nil || c.Usage.PromptTokensDetails == nil {
		return ""
	}
	return c.Usage.PromptTokensDetails.WeightVersion
}
