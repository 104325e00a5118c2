// Package engine is a small stand-in for a model engine: continuous batching,
// a prefix cache of limited memory, priorities, cache events, export and
// import of blocks, and orders to load weights. Its answers are a function of
// the text before them, so that a continued run gives the same tokens.
package engine

import (
	"net/http"
	"sync"
	"time"

	"github.com/galenaarch/galenaarch/api/backend"
	"github.com/galenaarch/galenaarch/telemetry"
)

// Settings of an engine.
type Settings struct {
	Server        string
	Kind          string
	URL           string
	Deployment    string
	WeightVersion string
	FailureDomain string
	Role          string
	Incarnation   uint64
	ChecksFencing bool
	// IgnoresVersion makes the engine run whatever version a run was meant for.
	IgnoresVersion bool
	// Slots is the number of runs decoded at once.
	Slots int
	// CacheBlocks is the size of the prefix cache; blocks.
	CacheBlocks int
	// BlockBytes is the size of a block's cached state; bytes.
	BlockBytes int
	// PrefillRate is the rate of computing context; tokens a second.
	PrefillRate float64
	// TokenInterval is the time between tokens of one run.
	TokenInterval time.Duration
	// EventDelay is how late cache events are published.
	EventDelay time.Duration
	// EventLoss is the share of cache events that are never published.
	EventLoss float64
	// ReportLag is the age of the load that is reported.
	ReportLag time.Duration
}

// Engine is one stand-in engine.
type Engine struct {
	settings  Settings
	client    *http.Client
	slots     *gate
	prefiller *gate

	mu           sync.Mutex
	version      string
	adapters     []string
	role         string
	loading      bool
	lastOrder    string
	lastFencing  uint64
	running      int
	waiting      int
	waitingToken int

	cache *cache
	loads lagged
}

// New returns an idle engine.
func New(s Settings) *Engine {
	return &Engine{
		settings:  s,
		client:    &http.Client{Transport: telemetry.TraceRoundTripper(http.DefaultTransport)},
		slots:     newGate(s.Slots),
		prefiller: newGate(1),
		version:   s.WeightVersion,
		role:      s.Role,
		cache:     newCache(s.CacheBlocks, s.EventDelay, s.EventLoss),
		loads:     lagged{lag: s.ReportLag},
	}
}

// Announcement returns what the engine says of itself now.
func (e *Engine) Announcement() backend.Announcement {
	e.mu.Lock()
	defer e.mu.Unlock()
	version := e.version
	if e.loading {
		version = ""
	}
	return backend.Announcement{
		Server:                 e.settings.Server,
		Kind:                   e.settings.Kind,
		URL:                    e.settings.URL,
		Deployment:             e.settings.Deployment,
		WeightVersion:          version,
		Adapters:               e.adapters,
		Role:                   e.role,
		FailureDomain:          e.settings.FailureDomain,
		Incarnation:            e.settings.Incarnation,
		ChecksFencing:          e.settings.ChecksFencing,
		Slots:                  e.settings.Slots,
		PrefillTokensPerSecond: e.settings.PrefillRate,
	}
}

// State returns what a reader of the engine's state sees.
func (e *Engine) State() backend.EngineState {
	e.mu.Lock()
	defer e.mu.Unlock()
	return backend.EngineState{
		Server:            e.settings.Server,
		Incarnation:       e.settings.Incarnation,
		Deployment:        e.settings.Deployment,
		WeightVersion:     e.version,
		Adapters:          e.adapters,
		Role:              e.role,
		Loading:           e.loading,
		LastOrderID:       e.lastOrder,
		LastFencingNumber: e.lastFencing,
		Running:           e.running,
		Waiting:           e.waiting,
	}
}
