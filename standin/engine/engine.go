// Package engine simulates a model engine: continuous batching, a prefix cache of
// limited size, request priorities, cache events, export and import of blocks, and
// load orders for weights. Its output is a function of the preceding text, so a
// request that is continued at another engine yields the same tokens.
package engine

import (
	"net/http"
	"sync"
	"time"

	"github.com/galenaarch/galenaarch/api/backend"
	"github.com/galenaarch/galenaarch/telemetry"
)

// Settings configures a simulated engine.
type Settings struct {
	ServerName    string
	Kind          string
	URL           string
	Deployment    string
	WeightVersion string
	FailureDomain string
	Role          string
	Incarnation   uint64
	// EnforceFencing makes the engine reject load orders with a stale fencing number.
	EnforceFencing bool
	// IgnoreWeightVersion makes the engine run requests addressed to another weight
	// version, instead of rejecting them with status 409.
	IgnoreWeightVersion bool
	// DecodeSlots is the number of requests decoded concurrently.
	DecodeSlots int
	// CacheBlocks is the capacity of the prefix cache in blocks.
	CacheBlocks int
	// BlockBytes is the size of one block's cached state in bytes.
	BlockBytes int
	// PrefillTokensPerSecond is the prefill rate in tokens per second.
	PrefillTokensPerSecond float64
	// TokenInterval is the time between the output tokens of a request.
	TokenInterval time.Duration
	// EventDelay is the delay before cache events become visible.
	EventDelay time.Duration
	// EventLossRatio is the fraction of cache events that is never published, from 0 to
	// 1.
	EventLossRatio float64
	// LoadReportDelay is the delay of the reported load.
	LoadReportDelay time.Duration
}

// Engine is a simulated model engine.
type Engine struct {
	settings    Settings
	client      *http.Client
	slots       *semaphore
	prefillSlot *semaphore

	mu                sync.Mutex
	weightVersion     string
	adapters          []string
	role              string
	loading           bool
	lastLoadID        string
	lastFencingNumber uint64
	// running is the number of requests in progress, including the waiting ones.
	running       int
	waiting       int
	waitingTokens int

	cache        *prefixCache
	reportedLoad delayedStatus
}

// New returns an idle engine.
func New(s Settings) *Engine {
	return &Engine{
		settings:      s,
		client:        &http.Client{Transport: telemetry.TraceRoundTripper(http.DefaultTransport)},
		slots:         newSemaphore(s.DecodeSlots),
		prefillSlot:   newSemaphore(1),
		weightVersion: s.WeightVersion,
		role:          s.Role,
		cache:         newPrefixCache(s.CacheBlocks, s.EventDelay, s.EventLossRatio),
		reportedLoad:  delayedStatus{delay: s.LoadReportDelay},
	}
}

// Announcement returns the engine's current announcement. It has no weight version
// while weights are loading.
func (e *Engine) Announcement() backend.Announcement {
	e.mu.Lock()
	defer e.mu.Unlock()
	version := e.weightVersion
	if e.loading {
		version = ""
	}
	return backend.Announcement{
		Server:                 e.settings.ServerName,
		Kind:                   e.settings.Kind,
		URL:                    e.settings.URL,
		Deployment:             e.settings.Deployment,
		WeightVersion:          version,
		Adapters:               e.adapters,
		Role:                   e.role,
		FailureDomain:          e.settings.FailureDomain,
		Incarnation:            e.settings.Incarnation,
		ChecksFencing:          e.settings.EnforceFencing,
		Slots:                  e.settings.DecodeSlots,
		PrefillTokensPerSecond: e.settings.PrefillTokensPerSecond,
	}
}

// State returns the engine's current state.
func (e *Engine) State() backend.EngineState {
	e.mu.Lock()
	defer e.mu.Unlock()
	return backend.EngineState{
		Server:            e.settings.ServerName,
		Incarnation:       e.settings.Incarnation,
		Deployment:        e.settings.Deployment,
		WeightVersion:     e.weightVersion,
		Adapters:          e.adapters,
		Role:              e.role,
		Loading:           e.loading,
		LastOrderID:       e.lastLoadID,
		LastFencingNumber: e.lastFencingNumber,
		Running:           e.running,
		Waiting:           e.waiting,
	}
}
