// Package jsonstatus provides the adapter for backend servers that report their
// load as a JSON document at /status.
package jsonstatus

import (
	"context"
	"net/http"
	"time"

	"github.com/rotisserie/eris"

	"github.com/galenaarch/galenaarch/adapters"
	"github.com/galenaarch/galenaarch/api/backend"
	"github.com/galenaarch/galenaarch/fleet"
	"github.com/galenaarch/galenaarch/kernel"
)

func init() {
	kernel.Register(kernel.Module{ID: adapters.Namespace + ".json_status", New: func() any { return &Adapter{} }})
}

// maxCount is the largest plausible count; a report with a larger one is rejected.
const maxCount = 1 << 30

// Adapter fetches load from JSON status documents.
type Adapter struct{}

var _ adapters.Adapter = (*Adapter)(nil)

// status is the status document. Its fields are pointers to distinguish a missing
// field from zero.
type status struct {
	Running       *int `json:"running"`
	Waiting       *int `json:"waiting"`
	WaitingTokens *int `json:"waiting_tokens"`
}

// FetchLoad implements adapters.Adapter.
func (a *Adapter) FetchLoad(ctx context.Context, client *http.Client, url string) (fleet.Load, error) {
	var s status
	if err := adapters.FetchJSONReport(ctx, client, url+"/status", &s); err != nil {
		return fleet.Load{}, err
	}
	load := fleet.Load{ReceivedAt: time.Now()}
	fields := []struct {
		name     string
		value    *int
		dst      *int
		required bool
	}{
		{"running", s.Running, &load.Running, true},
		{"waiting", s.Waiting, &load.Waiting, true},
		{"waiting_tokens", s.WaitingTokens, &load.WaitingTokens, false},
	}
	for _, f := range fields {
		if f.value == nil && !f.required {
			continue
		}
		if f.value == nil || *f.value < 0 || *f.value > maxCount {
			return fleet.Load{}, eris.Errorf("status from %s: field %q is missing or not a valid count", url, f.name)
		}
		*f.dst = *f.value
	}
	return load, nil
}

// FetchCacheEvents implements adapters.Adapter.
func (a *Adapter) FetchCacheEvents(ctx context.Context, client *http.Client, url string, after uint64, full bool) (*backend.CacheEvents, error) {
	return adapters.FetchCacheEvents(ctx, client, url, after, full)
}
