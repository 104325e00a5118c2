// Package adapters fetches load reports and cache events from backend servers.
// Each kind of backend server has its own module in the namespace "adapters".
package adapters

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"

	"github.com/rotisserie/eris"

	"github.com/galenaarch/galenaarch/api/backend"
	"github.com/galenaarch/galenaarch/fleet"
	"github.com/galenaarch/galenaarch/kernel"
)

// Namespace is the module namespace in which adapters are registered.
const Namespace = "adapters"

// maxReportBytes is the maximum size of the body of one report.
const maxReportBytes = 4 << 20

// Adapter fetches reports from one kind of backend server.
type Adapter interface {
	// FetchLoad fetches the server's current load.
	FetchLoad(ctx context.Context, client *http.Client, url string) (fleet.Load, error)
	// FetchCacheEvents fetches the cache events that follow the sequence number
	// after, or a full listing of the cache if full is set.
	FetchCacheEvents(ctx context.Context, client *http.Client, url string, after uint64, full bool) (*backend.CacheEvents, error)
}

// New returns a new adapter of the kind that is registered as name, or an error
// if there is none.
func New(name string) (Adapter, error) {
	return kernel.New[Adapter](kernel.ID(Namespace + "." + name))
}

// FetchReport fetches a report and returns its body. It does not follow redirects.
// A status other than 200 or a body above 4 MiB is an error.
func FetchReport(ctx context.Context, client *http.Client, url string) ([]byte, error) {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		return nil, eris.Wrapf(err, "create report request to %s", url)
	}
	// A report is fetched only from the URL that the backend server announced.
	noRedirects := *client
	noRedirects.CheckRedirect = func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse }
	resp, err := noRedirects.Do(req)
	if err != nil {
		return nil, eris.Wrapf(err, "fetch report from %s", url)
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return nil, eris.Errorf("report from %s: unexpected status %d", url, resp.StatusCode)
	}
	body, err := io.ReadAll(io.LimitReader(resp.Body, maxReportBytes+1))
	if err != nil {
		return nil, eris.Wrapf(err, "read report from %s", url)
	}
	if len(body) > maxReportBytes {
		return nil, eris.Errorf("report from %s exceeds %d bytes", url, maxReportBytes)
	}
	return body, nil
}

// FetchJSONReport fetches a JSON report and decodes it into dst.
func FetchJSONReport(ctx context.Context, client *http.Client, url string, dst any) error {
	body, err := FetchReport(ctx, client, url)
	if err != nil {
		return err
	}
	return eris.Wrapf(json.Unmarshal(body, dst), "decode report from %s", url)
}

// FetchCacheEvents fetches cache events from /kv/events, the path that all kinds
// of backend servers share. Events of unknown type or out of order are an error.
func FetchCacheEvents(ctx context.Context, client *http.Client, url string, after uint64, full bool) (*backend.CacheEvents, error) {
	var page backend.CacheEvents
	err := FetchJSONReport(ctx, client, fmt.Sprintf("%s/kv/events?after=%d&full=%t", url, after, full), &page)
	if err != nil {
		return nil, err
	}
	if err := validateEvents(&page); err != nil {
		return nil, eris.Wrapf(err, "invalid cache events from %s", url)
	}
	return &page, nil
}

// validateEvents rejects a page with events of unknown types, events out of
// order, or events beyond the last sequence number that the page states.
func validateEvents(page *backend.CacheEvents) error {
	var previous uint64
	for _, e := range page.Events {
		switch e.Type {
		case "stored", "removed", "cleared":
		default:
			return eris.Errorf("event %d has unknown type %.20q", e.Sequence, e.Type)
		}
		if e.Sequence <= previous {
			return eris.Errorf("event %d follows event %d out of order", e.Sequence, previous)
		}
		previous = e.Sequence
	}
	if previous > page.LastSequence {
		return eris.Errorf("event %d is beyond the last sequence number %d of the page", previous, page.LastSequence)
	}
	return nil
}
