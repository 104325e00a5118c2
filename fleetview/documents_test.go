package fleetview

import (
	"context"
	"fmt"
	"log/slog"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/galenaarch/galenaarch/api/controlv1"
	"github.com/galenaarch/galenaarch/api/fleetv1"
)

// documentServer is a control instance that sends the newest document of its group.
type documentServer struct {
	fleetv1.Fleet
	newest  *atomic.Uint64
	fetches int
}

// Document implements fleetv1.Fleet.
func (s *documentServer) Document(_ context.Context, r *fleetv1.DocumentRequest) (*controlv1.PublishedDocument, error) {
	s.fetches++
	return &controlv1.PublishedDocument{Name: r.Name, Version: s.newest.Load()}, nil
}

// TestFetchesSpreadAfterAnEarlierFetch guards against a version that is fetched from the
// control instance that reports it first because the pause after an earlier fetch ends
// before the others have reported it.
func TestFetchesSpreadAfterAnEarlierFetch(t *testing.T) {
	const (
		sourceCount = 5
		rounds      = 100
		lag         = 20 * time.Millisecond
		step        = 5 * time.Millisecond
	)
	for phase := time.Duration(0); phase <= fetchInterval; phase += step {
		t.Run(fmt.Sprint(phase, " after a fetch"), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				var newest atomic.Uint64
				v := New(nil, nil, nil, slog.New(slog.DiscardHandler))
				v.Start(t.Context())
				servers, sources := make([]*documentServer, sourceCount), make([]*source, sourceCount)
				for n := range sourceCount {
					servers[n] = &documentServer{newest: &newest}
					sources[n] = &source{url: fmt.Sprint("http://control-", n), client: servers[n], reportedVersions: make(map[string]uint64)}
					v.sources[sources[n].url] = sources[n]
				}
				report := func(from []*source) {
					v.mu.Lock()
					defer v.mu.Unlock()
					for _, s := range from {
						v.noteVersion(s, "site", newest.Load())
					}
				}
				stored := func() bool {
					v.mu.Lock()
					defer v.mu.Unlock()
					return v.documents["site"].GetVersion() == newest.Load()
				}
				for range rounds {
					newest.Add(1)
					report(sources[:1])
					time.Sleep(lag)
					report(sources[1:])
					reportedAt := time.Now()
					for !stored() {
						require.Less(t, time.Since(reportedAt), fetchInterval+reportWait, "time until the version is stored")
						time.Sleep(time.Millisecond)
					}
					time.Sleep(phase)
				}
				for n, s := range servers {
					require.LessOrEqual(t, s.fetches, rounds/2, "fetches at control instance %d", n)
				}
			})
		})
	}
}
