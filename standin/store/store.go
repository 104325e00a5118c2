// Package store simulates a context store: it holds sealed blocks in memory and serves
// them over a link of limited bandwidth.
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
	// linkChunkBytes is the granularity of the link's rate limit.
	linkChunkBytes = 16 << 10
	// listingPageSize is the maximum number of blocks on one page of the listing.
	listingPageSize = 1000
	// maxScopes is the maximum number of scopes, the catalogue shards of blocks, whose
	// fencing numbers are recorded.
	maxScopes = 1 << 14
	// maxBlockBytes is the maximum size of one block.
	maxBlockBytes = 64 << 20
)

// Settings configures a simulated store.
type Settings struct {
	// LinkBytesPerSecond is the bandwidth of the link, shared by both directions.
	LinkBytesPerSecond float64
	// CapacityBytes is the maximum total size of the sealed blocks.
	CapacityBytes int64
	Incarnation   uint64
}

// block is a sealed block: received completely, verified and immutable.
type block struct {
	data     []byte
	checksum string
	// scope is the catalogue shard that the block belongs to.
	scope    string
	metadata string
	// generation is the number of the block's seal.
	generation uint64
}

// Store holds sealed blocks in memory. A sealed block was received completely, is
// verified and immutable.
type Store struct {
	settings     Settings
	link         *rate.Limiter
	stalled      atomic.Bool
	bytesRead    atomic.Int64
	bytesWritten atomic.Int64

	mu            sync.RWMutex
	capacityBytes int64
	blocks        map[string]block
	usedBytes     int64
	// generation is that of the last sealed block; it numbers the seals.
	generation uint64
	// highestFencing is the highest fencing number seen for each scope.
	highestFencing map[string]uint64
}

// New returns an empty store.
func New(s Settings) *Store {
	return &Store{
		settings:       s,
		link:           rate.NewLimiter(rate.Limit(s.LinkBytesPerSecond), linkChunkBytes),
		capacityBytes:  s.CapacityBytes,
		blocks:         make(map[string]block),
		highestFencing: make(map[string]uint64),
	}
}

// Handler returns the HTTP handler of the store's protocol and of its fault
// injection API.
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

// SetLinkRate changes the bandwidth of the link, in bytes per second.
func (s *Store) SetLinkRate(bytesPerSecond float64) {
	s.link.SetLimit(rate.Limit(bytesPerSecond))
}

// UsedBytes returns the total size of the sealed blocks in bytes.
func (s *Store) UsedBytes() int64 {
	s.mu.RLock()
	defer s.mu.RUnlock()
	return s.usedBytes
}

var errFull = errors.New("store is full")

// servePut seals a block when its whole body has been received and matches the checksum.
// A sealed block is never overwritten: another write of its key succeeds without effect.
func (s *Store) servePut(w http.ResponseWriter, r *http.Request) {
	if r.ContentLength < 0 || r.ContentLength > maxBlockBytes {
		http.Error(w, "a length is required", http.StatusLengthRequired)
		return
	}
	if !s.incarnationMatches(r) {
		http.Error(w, "the store was restarted", http.StatusPreconditionFailed)
		return
	}
	key := r.PathValue("key")
	s.mu.RLock()
	existing, ok := s.blocks[key]
	s.mu.RUnlock()
	if ok {
		s.setBlockHeaders(w, existing)
		w.WriteHeader(http.StatusCreated)
		return
	}
	if !s.hasCapacityFor(r.ContentLength) {
		http.Error(w, errFull.Error(), http.StatusInsufficientStorage)
		return
	}
	data, err := s.readBody(r)
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	digest := blake3.Sum256(data)
	checksum := hex.EncodeToString(digest[:])
	if checksum != r.Header.Get(backend.HeaderBlockChecksum) {
		http.Error(w, "the checksum does not match", http.StatusBadRequest)
		return
	}
	sealed, err := s.seal(key, block{
		data: data, checksum: checksum, scope: r.Header.Get(backend.HeaderFencingScope), metadata: r.Header.Get(backend.HeaderBlockMeta),
	})
	if err != nil {
		http.Error(w, err.Error(), http.StatusInsufficientStorage)
		return
	}
	s.setBlockHeaders(w, sealed)
	w.WriteHeader(http.StatusCreated)
}

func (s *Store) setBlockHeaders(w http.ResponseWriter, b block) {
	w.Header().Set(backend.HeaderStoreIncarnation, strconv.FormatUint(s.settings.Incarnation, 10))
	w.Header().Set(backend.HeaderBlockGeneration, strconv.FormatUint(b.generation, 10))
	w.Header().Set(backend.HeaderBlockChecksum, b.checksum)
}

// incarnationMatches reports whether the query names no incarnation or this one.
func (s *Store) incarnationMatches(r *http.Request) bool {
	want := r.URL.Query().Get("incarnation")
	return want == "" || want == strconv.FormatUint(s.settings.Incarnation, 10)
}

// hasCapacityFor reports whether n more bytes fit. It reserves nothing.
func (s *Store) hasCapacityFor(n int64) bool {
	s.mu.RLock()
	defer s.mu.RUnlock()
	return s.usedBytes+n <= s.capacityBytes
}

// readBody reads the body at the rate of the link and counts its bytes as written.
func (s *Store) readBody(r *http.Request) ([]byte, error) {
	data := make([]byte, r.ContentLength)
	for offset := 0; offset < len(data); {
		n := min(linkChunkBytes, len(data)-offset)
		if err := s.waitForLink(r.Context(), n); err != nil {
			return nil, err
		}
		if _, err := io.ReadFull(r.Body, data[offset:offset+n]); err != nil {
			return nil, err
		}
		s.bytesWritten.Add(int64(n))
		offset += n
	}
	return data, nil
}

// waitForLink waits until the rate limit of the link admits n bytes. While the store is
// stalled, it waits until the context ends.
func (s *Store) waitForLink(ctx context.Context, n int) error {
	if s.stalled.Load() {
		<-ctx.Done()
		return ctx.Err()
	}
	return s.link.WaitN(ctx, n)
}

// seal stores a block under the next generation and returns it. If the key is sealed
// already, it returns that block; if the capacity is exceeded, errFull.
func (s *Store) seal(key string, b block) (block, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if existing, ok := s.blocks[key]; ok {
		return existing, nil
	}
	if s.usedBytes+int64(len(b.data)) > s.capacityBytes {
		return b, errFull
	}
	s.generation++
	b.generation = s.generation
	s.blocks[key] = b
	s.usedBytes += int64(len(b.data))
	return b, nil
}

// serveGet returns a sealed block. An incarnation or generation in the query must match.
func (s *Store) serveGet(w http.ResponseWriter, r *http.Request) {
	s.mu.RLock()
	b, ok := s.blocks[r.PathValue("key")]
	s.mu.RUnlock()
	if !ok || !s.incarnationMatches(r) || !generationMatches(r, b) {
		http.Error(w, "no such sealed block", http.StatusNotFound)
		return
	}
	s.setBlockHeaders(w, b)
	w.Header().Set("Content-Length", strconv.Itoa(len(b.data)))
	s.writeBody(r.Context(), w, b.data)
}

// generationMatches reports whether the query names no generation or that of the block.
func generationMatches(r *http.Request, b block) bool {
	want := r.URL.Query().Get("generation")
	return want == "" || want == strconv.FormatUint(b.generation, 10)
}

// writeBody writes data at the rate of the link and counts its bytes as read. It stops at
// the first error.
func (s *Store) writeBody(ctx context.Context, w io.Writer, data []byte) {
	for len(data) > 0 {
		n := min(linkChunkBytes, len(data))
		if s.waitForLink(ctx, n) != nil {
			return
		}
		if _, err := w.Write(data[:n]); err != nil {
			return
		}
		s.bytesRead.Add(int64(n))
		data = data[n:]
	}
}

// serveDelete deletes a block if scope, incarnation and generation match. Fencing
// numbers are tracked by scope, because each scope has its own owner.
func (s *Store) serveDelete(w http.ResponseWriter, r *http.Request) {
	fencing, err := strconv.ParseUint(r.Header.Get(backend.HeaderFencingNumber), 10, 64)
	if err != nil {
		http.Error(w, "a fencing number is required", http.StatusBadRequest)
		return
	}
	scope := r.Header.Get(backend.HeaderFencingScope)
	s.mu.Lock()
	defer s.mu.Unlock()
	if status := s.acceptFencingNumber(scope, fencing); status != http.StatusOK {
		http.Error(w, "the fencing number is not accepted", status)
		return
	}
	key := r.PathValue("key")
	b, ok := s.blocks[key]
	if ok && b.scope == scope && s.incarnationMatches(r) && generationMatches(r, b) {
		s.usedBytes -= int64(len(b.data))
		delete(s.blocks, key)
	}
	w.WriteHeader(http.StatusNoContent)
}
