// Package weights simulates a weight store with limited throughput.
package weights

import (
	"net/http"
	"sync/atomic"
	"time"

	"github.com/alexedwards/flow"
)

// Settings configures a simulated weight store.
type Settings struct {
	// LoadTime is the duration of a load without concurrent loads.
	LoadTime time.Duration
	// FullSpeedLoads is the number of concurrent loads that run at full speed.
	FullSpeedLoads int
}

// Store serves the weights of any deployment and version.
type Store struct {
	settings    Settings
	activeLoads atomic.Int64
	peakLoads   atomic.Int64
}

// New returns a simulated weight store.
func New(s Settings) *Store { return &Store{settings: s} }

// PeakLoads returns the highest number of concurrent loads since the start.
func (s *Store) PeakLoads() int64 { return s.peakLoads.Load() }

// Handler serves GET /weights/{deployment}/{version}.
func (s *Store) Handler() http.Handler {
	mux := flow.New()
	mux.HandleFunc("/weights/:deployment/:version", s.serveWeights, http.MethodGet)
	return mux
}

// serveWeights responds after LoadTime, or proportionally later if more loads run than
// the store serves at full speed. The slowdown is determined anew for each step.
func (s *Store) serveWeights(w http.ResponseWriter, r *http.Request) {
	active := s.activeLoads.Add(1)
	defer s.activeLoads.Add(-1)
	for {
		peak := s.peakLoads.Load()
		if active <= peak || s.peakLoads.CompareAndSwap(peak, active) {
			break
		}
	}
	const steps = 20
	for range steps {
		slowdown := max(1, float64(s.activeLoads.Load())/float64(s.settings.FullSpeedLoads))
		select {
		case <-time.After(time.Duration(float64(s.settings.LoadTime) / steps * slowdown)):
		case <-r.Context().Done():
			return
		}
	}
	_, _ = w.Write([]byte(r.PathValue("deployment") + "@" + r.PathValue("version"))) // the client may have disconnected
}
