// Package service simulates a plain service with orders and stock queries. It counts
// the executions of each order.
package service

import (
	"encoding/json"
	"io"
	"net/http"
	"os"
	"sync"
	"time"

	"github.com/alexedwards/flow"
)

const maxOrderBytes = 1 << 20

// headerCallKey is the request header with the call key, which is the same for all
// attempts of a call.
const headerCallKey = "X-Galena-Call"

// Settings configures a simulated service.
type Settings struct {
	// OrderDuration is the processing time of one order.
	OrderDuration time.Duration
	// LedgerPath is the path of a file to which the key of each order is appended before
	// the response is sent, so that the counts survive a restart. Empty means no file.
	LedgerPath string
}

// Service is a simulated service that counts executions by call key.
type Service struct {
	settings   Settings
	mu         sync.Mutex
	executions map[string]int
	orderCount int
}

// New returns a service that has executed no orders.
func New(s Settings) *Service { return &Service{settings: s, executions: make(map[string]int)} }

// OrderReply is the response to an order.
type OrderReply struct {
	Order int    `json:"order"`
	Key   string `json:"key"`
}

// StockReply is the response to a stock query.
type StockReply struct {
	Item  string `json:"item"`
	Stock int    `json:"stock"`
}

// Handler returns the HTTP handler of the service.
func (s *Service) Handler() http.Handler {
	mux := flow.New()
	mux.HandleFunc("/orders", s.serveOrder, http.MethodPost)
	mux.HandleFunc("/stock/:item", s.serveStock, http.MethodGet)
	mux.HandleFunc("/ledger", s.serveLedger, http.MethodGet)
	return mux
}

// ExecutionCounts returns the number of executions by call key since the start of the
// process.
func (s *Service) ExecutionCounts() map[string]int {
	s.mu.Lock()
	defer s.mu.Unlock()
	counts := make(map[string]int, len(s.executions))
	for key, n := range s.executions {
		counts[key] = n
	}
	return counts
}

// serveOrder executes an order: it counts the execution by call key, appends the key to
// the ledger file and responds after the order duration.
func (s *Service) serveOrder(w http.ResponseWriter, r *http.Request) {
	if _, err := io.Copy(io.Discard, io.LimitReader(r.Body, maxOrderBytes)); err != nil {
		http.Error(w, "order not read", http.StatusBadRequest)
		return
	}
	key := r.Header.Get(headerCallKey)
	s.mu.Lock()
	s.executions[key]++
	s.orderCount++
	s.appendToLedger(key)
	reply := OrderReply{Order: s.orderCount, Key: key}
	s.mu.Unlock()
	time.Sleep(s.settings.OrderDuration)
	writeJSON(w, reply)
}

// appendToLedger appends a key to the ledger file. The caller must hold s.mu.
func (s *Service) appendToLedger(key string) {
	if s.settings.LedgerPath == "" {
		return
	}
	file, err := os.OpenFile(s.settings.LedgerPath, os.O_APPEND|os.O_CREATE|os.O_WRONLY, 0o600)
	if err != nil {
		panic(err) // with a missing entry, tests would count too few executions
	}
	defer file.Close()
	if _, err := file.WriteString(key + "\n"); err != nil {
		panic(err)
	}
}

func (s *Service) serveStock(w http.ResponseWriter, r *http.Request) {
	item := r.PathValue("item")
	writeJSON(w, StockReply{Item: item, Stock: len(item)})
}

// serveLedger returns the number of executions by call key.
func (s *Service) serveLedger(w http.ResponseWriter, _ *http.Request) {
	writeJSON(w, s.ExecutionCounts())
}

func writeJSON(w http.ResponseWriter, v any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(v) // the client may have disconnected
}
