// Package store is a small stand-in for a kept-context store: sealed blocks in
// memory behind a limited link.
package store

import (
	"context"
	"encoding/hex"
	"errors"
	"io"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"

	"github.com/alexedwards/flow"
	"github.com/zeebo/blake3"
	"golang.org/x/time/rate"

	"github.com/galenaarch/galenaarch/api/backend"
)

const (
	// linkChunkBytes is the unit in which the link's rate is applied.
	linkChunkBytes = 16 << 10
	// listingPage bounds the blocks of one page of the listing.
	listingPage = 1000
	// maxScopes bounds the scopes whose fencing numbers are remembered.
	maxScopes = 1 << 14
	// maxBlockBytes bounds one block.
	maxBlockBytes = 64 << 20
)

// Settings of a store.
type Settings struct {
	// LinkBytesPerSecond is the rate of the link, both ways together.
	LinkBytesPerSecond float64
	CapacityBytes      int64
	Incarnation        uint64
}

type block struct {
	data       []byte
	checksum   string
	scope      string
	meta       string
	generation uint64
}

// Store holds sealed blocks.
type Store struct {
	settings Settings
	link     *rate.Limiter
	stalled  atomic.Bool
	read     atomic.Int64
	written  atomic.Int64

	mu         sync.RWMutex
	capacity   int64
	blocks     map[string]block
	used       int64
	generation uint64
	// fencing is the highest number seen by scope.
	fencing map[string]uint64
}

// New returns an empty store.
func New(s Settings) *Store {
	return &Store{
		settings: s,
		link:     rate.NewLimiter(rate.Limit(s.LinkBytesPerSecond), linkChunkBytes),
		capacity: s.CapacityBytes,
		blocks:   make(map[string]block),
		fencing:  make(map[string]uint64),
	}
}

// Handler serves the store's protocol and the orders of experiments.
func (s *Store) Handler() http.Handler {
	mux := flow.New()
	mux.HandleFunc("/v1/blocks", s.serveList, http.MethodGet)
	mux.HandleFunc("/v1/blocks/:key", s.servePut, http.MethodPut)
	mux.HandleFunc("/v1/blocks/:key", s.serveGet, http.MethodGet)
	mux.HandleFunc("/v1/blocks/:key", s.serveDelete, http.MethodDelete)
	mux.HandleFunc("/admin/faults", s.serveFaults, http.MethodPost)
	mux.HandleFunc("/admin/stats", s.serveStats, http.MethodGet)
	return mux
}

// SetLinkRate changes the rate of the link; bytes a second.
func (s *Store) SetLinkRate(bytesPerSecond float64) {
	s.link.SetLimit(rate.Limit(bytesPerSecond))
}

// Used returns the bytes of sealed blocks.
func (s *Store) Used() int64 {
	s.mu.RLock()
	defer s.mu.RUnlock()
	return s.used
}

var errFull = errors.New("store is full")

// servePut seals a block once all its bytes are here and match the checksum.
// A block that is sealed already is not written again.
func (s *Store) servePut(w http.ResponseWriter, r *http.Request) {
	if r.ContentLength < 0 || r.ContentLength > maxBlockBytes {
		http.Error(w, "a length is required", http.StatusLengthRequired)
		return
	}
	if !s.sameIncarnation(r) {
		http.Error(w, "the store was restarted", http.StatusPreconditionFailed)
		return
	}
	key := r.PathValue("key")
	s.mu.RLock()
	was, ok := s.blocks[key]
	s.mu.RUnlock()
	if ok {
		s.sealedHeaders(w, was)
		w.WriteHeader(http.StatusCreated)
		return
	}
	if !s.fits(r.ContentLength) {
		http.Error(w, errFull.Error(), http.StatusInsufficientStorage)
		return
	}
	data, err := s.receive(r)
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	sum := blake3.Sum256(data)
	checksum := hex.EncodeToString(sum[:])
	if checksum != r.Header.Get(backend.HeaderBlockChecksum) {
		http.Error(w, "the checksum does not match", http.StatusBadRequest)
		return
	}
	sealed, err := s.seal(key, block{
		data: data, checksum: checksum, scope: r.Header.Get(backend.HeaderFencingScope), meta: r.Header.Get(backend.HeaderBlockMeta),
	})
	if err != nil {
		http.Error(w, err.Error(), http.StatusInsufficientStorage)
		return
	}
	s.sealedHeaders(w, sealed)
	w.WriteHeader(http.StatusCreated)
}

func (s *Store) sealedHeaders(w http.ResponseWriter, b block) {
	w.Header().Set(backend.HeaderStoreIncarnation, strconv.FormatUint(s.settings.Incarnation, 10))
	w.Header().Set(backend.HeaderBlockGeneration, strconv.FormatUint(b.generation, 10))
	w.Header().Set(backend.HeaderBlockChecksum, b.checksum)
}

// sameIncarnation checks the incarnation that a request was made for, if it
// names one.
func (s *Store) sameIncarnation(r *http.Request) bool {
	want := r.URL.Query().Get("incarnation")
	return want == "" || want == strconv.FormatUint(s.settings.Incarnation, 10)
}

func (s *Store) fits(n int64) bool {
	s.mu.RLock()
	defer s.mu.RUnlock()
	return s.used+n <= s.capacity
}

func (s *Store) receive(r *http.Request) ([]byte, error) {
	data := make([]byte, r.ContentLength)
	for at := 0; at < len(data); {
		n := min(linkChunkBytes, len(data)-at)
		if err := s.pass(r.Context(), n); err != nil {
			return nil, err
		}
		if _, err := io.ReadFull(r.Body, data[at:at+n]); err != nil {
			return nil, err
		}
		s.written.Add(int64(n))
		at += n
	}
	return data, nil
}

// pass waits for the link to take n bytes.
func (s *Store) pass(ctx context.Context, n int) error {
	if s.stalled.Load() {
		<-ctx.Done()
		return ctx.Err()
	}
	return s.link.WaitN(ctx, n)
}

func (s *Store) seal(key string, b block) (block, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if was, ok := s.blocks[key]; ok {
		return was, nil
	}
	if s.used+int64(len(b.data)) > s.capacity {
		return b, errFull
	}
	s.generation++
	b.generation = s.generation
	s.blocks[key] = b
	s.used += int64(len(b.data))
	return b, nil
}

func (s *Store) serveGet(w http.ResponseWriter, r *http.Request) {
	s.mu.RLock()
	b, ok := s.blocks[r.PathValue("key")]
	s.mu.RUnlock()
	if !ok || !s.sameIncarnation(r) || !sameGeneration(r, b) {
		http.Error(w, "no such sealed block", http.StatusNotFound)
		return
	}
	s.sealedHeaders(w, b)
	w.Header().Set("Content-Length", strconv.Itoa(len(b.data)))
	s.send(r.Context(), w, b.data)
}

func sameGeneration(r *http.Request, b block) bool {
	want := r.URL.Query().Get("generation")
	return want == "" || want == strconv.FormatUint(b.generation, 10)
}

func (s *Store) send(ctx context.Context, w io.Writer, data []byte) {
	for len(data) > 0 {
		n := min(linkChunkBytes, len(data))
		if s.pass(ctx, n) != nil {
			return
		}
		if _, err := w.Write(data[:n]); err != nil {
			return
		}
		s.read.Add(int64(n))
		data = data[n:]
	}
}

// serveDelete frees a block. Each scope has its own owner and thus its own
// highest fencing number.
func (s *Store) serveDelete(w http.ResponseWriter, r *http.Request) {
	number, err := strconv.ParseUint(r.Header.Get(backend.HeaderFencingNumber), 10, 64)
	if err != nil {
		http.Error(w, "a fencing number is required", http.StatusBadRequest)
		return
	}
	scope := r.Header.Get(backend.HeaderFencingScope)
	s.mu.Lock()
	defer s.mu.Unlock()
	if status := s.raise(scope, number); status != http.StatusOK {
		http.Error(w, "the fencing number is not accepted", status)
		return
	}
	key := r.PathValue("key")
	b, ok := s.blocks[key]
	if ok && b.scope == scope && s.sameIncarnation(r) && sameGeneration(r, b) {
		s.used -= int64(len(b.data))
		delete(s.blocks, key)
	}
	w.WriteHeader(http.StatusNoContent)
}
