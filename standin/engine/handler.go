package engine

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/alexedwards/flow"

	"github.com/galenaarch/galenaarch/api/backend"
)

// Handler returns the HTTP handler of the engine's inference, reporting and admin
// APIs.
func (e *Engine) Handler() http.Handler {
	mux := flow.New()
	mux.HandleFunc("/v1/completions", e.serveCompletion, http.MethodPost)
	mux.HandleFunc("/v1/chat/completions", e.serveCompletion, http.MethodPost)
	mux.HandleFunc("/metrics", e.serveMetrics, http.MethodGet)
	mux.HandleFunc("/status", e.serveStatus, http.MethodGet)
	mux.HandleFunc("/kv/events", e.serveEvents, http.MethodGet)
	mux.HandleFunc("/kv/export", e.serveExport, http.MethodPost)
	mux.HandleFunc("/admin/load", e.serveLoad, http.MethodPost)
	mux.HandleFunc("/admin/state", e.serveState, http.MethodGet)
	return mux
}

func writeJSON(w http.ResponseWriter, v any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(v) // the client may have disconnected
}

// loadStatus is a load report.
type loadStatus struct {
	Running       int `json:"running"`
	Waiting       int `json:"waiting"`
	WaitingTokens int `json:"waiting_tokens"`
}

// currentLoad returns the load without the report delay.
func (e *Engine) currentLoad() loadStatus {
	e.mu.Lock()
	defer e.mu.Unlock()
	return loadStatus{Running: e.running - e.waiting, Waiting: e.waiting, WaitingTokens: e.waitingTokens}
}

// serveStatus returns the delayed load report as JSON.
func (e *Engine) serveStatus(w http.ResponseWriter, _ *http.Request) {
	writeJSON(w, e.reportedLoad.recordAndDelay(time.Now(), e.currentLoad()))
}

func (e *Engine) serveState(w http.ResponseWriter, _ *http.Request) { writeJSON(w, e.State()) }

// serveMetrics returns the delayed load report in the Prometheus text format.
func (e *Engine) serveMetrics(w http.ResponseWriter, _ *http.Request) {
	load := e.reportedLoad.recordAndDelay(time.Now(), e.currentLoad())
	w.Header().Set("Content-Type", "text/plain; version=0.0.4")
	fmt.Fprintf(w, "# TYPE engine_requests_running gauge\nengine_requests_running %d\n", load.Running)
	fmt.Fprintf(w, "# TYPE engine_requests_waiting gauge\nengine_requests_waiting %d\n", load.Waiting)
	fmt.Fprintf(w, "# TYPE engine_waiting_prompt_tokens gauge\nengine_waiting_prompt_tokens %d\n", load.WaitingTokens)
}

// serveEvents returns the cache events after a sequence number, or a snapshot of the
// cached keys, see eventsAfter.
func (e *Engine) serveEvents(w http.ResponseWriter, r *http.Request) {
	after, err := strconv.ParseUint(r.URL.Query().Get("after"), 10, 64)
	if err != nil {
		http.Error(w, "expected a sequence number", http.StatusBadRequest)
		return
	}
	full := r.URL.Query().Get("full") == "true"
	writeJSON(w, e.cache.eventsAfter(e.settings.Incarnation, after, full, time.Now()))
}

// serveLoad accepts an order to load weights. A repeated order, one with the ID of the
// last accepted order, is acknowledged without another load.
func (e *Engine) serveLoad(w http.ResponseWriter, r *http.Request) {
	var order backend.LoadOrder
	if err := json.NewDecoder(r.Body).Decode(&order); err != nil {
		http.Error(w, "expected a load order", http.StatusBadRequest)
		return
	}
	if status := e.acceptLoad(&order); status != http.StatusAccepted {
		writeState(w, status, e.State())
		return
	}
	go e.loadWeights(order)
	writeState(w, http.StatusAccepted, e.State())
}

func writeState(w http.ResponseWriter, status int, state backend.EngineState) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(state) // the client may have disconnected
}

// acceptLoad returns the HTTP status for a load order: 202 marks the engine as loading,
// and the caller must call loadWeights; 200 is a repeated order, 409 a stale fencing
// number, 423 another load in progress.
func (e *Engine) acceptLoad(order *backend.LoadOrder) int {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.settings.EnforceFencing && order.FencingNumber < e.lastFencingNumber {
		return http.StatusConflict
	}
	if order.OrderID == e.lastLoadID {
		return http.StatusOK
	}
	if e.loading {
		return http.StatusLocked
	}
	if e.settings.EnforceFencing {
		e.lastFencingNumber = order.FencingNumber
	}
	e.lastLoadID = order.OrderID
	e.loading = true
	return http.StatusAccepted
}

// loadWeights fetches the weights and ends the loading state. It then applies the order
// and clears the cache if the weight version changes; after a failed fetch nothing else
// changes.
func (e *Engine) loadWeights(order backend.LoadOrder) {
	err := e.fetchWeights(context.Background(), order.WeightsURL)
	e.mu.Lock()
	defer e.mu.Unlock()
	e.loading = false
	if err != nil {
		return
	}
	if e.weightVersion != order.WeightVersion {
		e.cache.clear()
	}
	e.weightVersion = order.WeightVersion
	e.adapters = order.Adapters
	if order.Role != "" {
		e.role = order.Role
	}
}

// fetchWeights downloads the weights and discards them. Without a URL it does nothing.
func (e *Engine) fetchWeights(ctx context.Context, url string) error {
	if url == "" {
		return nil
	}
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		return err
	}
	resp, err := e.client.Do(req)
	if err != nil {
		return err
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return fmt.Errorf("weight store returned status %d", resp.StatusCode)
	}
	_, err = io.Copy(io.Discard, resp.Body)
	return err
}
