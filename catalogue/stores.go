package catalogue

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"strconv"
	"sync"
	"time"

	"github.com/rotisserie/eris"

	"github.com/galenaarch/galenaarch/api/backend"
	"github.com/galenaarch/galenaarch/kvcache"
	"github.com/galenaarch/galenaarch/link"
)

const (
	// storePollInterval is the time between probes of a store, storeTimeout bounds
	// one request.
	storePollInterval = 250 * time.Millisecond
	storeTimeout      = 500 * time.Millisecond
	// afterLastKey sorts after every block key, so that a listing from it is empty
	// and carries only the store's totals.
	afterLastKey = "~"
	// maxFill is the fraction of a store's capacity that is used.
	maxFill = 0.99
	// maxListingBytes bounds a page of a listing.
	maxListingBytes = 8 << 20
)

// storeState is the last known state of a store.
type storeState struct {
	Store
	// incarnation is 0 until the first successful probe; used is in bytes.
	incarnation uint64
	used        int64
	// reserved counts the bytes granted by this entry and not yet sealed.
	reserved  int64
	reachable bool
}

// freeBytes returns the space left up to maxFill; negative if it is exceeded.
func (s *storeState) freeBytes() int64 {
	return int64(maxFill*float64(s.CapacityBytes)) - s.used - s.reserved
}

// stores tracks the state of each store.
type stores struct {
	client *http.Client
	links  *link.Set

	mu     sync.Mutex
	states map[string]*storeState
	// order holds the names in configuration order.
	order []string
}

func newStores(client *http.Client, links *link.Set) *stores {
	return &stores{client: client, links: links, states: make(map[string]*storeState)}
}

// configure replaces the stores. The state of a store with the same name and URL
// stays.
func (s *stores) configure(list []Store) {
	s.mu.Lock()
	defer s.mu.Unlock()
	next := make(map[string]*storeState, len(list))
	s.order = nil
	for _, store := range list {
		state := s.states[store.Name]
		if state == nil || state.URL != store.URL {
			state = &storeState{}
		}
		state.Store = store
		next[store.Name] = state
		s.order = append(s.order, store.Name)
	}
	s.states = next
}

// all returns the stores in configuration order.
func (s *stores) all() []storeState {
	s.mu.Lock()
	defer s.mu.Unlock()
	list := make([]storeState, 0, len(s.order))
	for _, name := range s.order {
		list = append(list, *s.states[name])
	}
	return list
}

// reachable returns the stores that answered the last probe.
func (s *stores) reachable() []storeState {
	list := s.all()
	filtered := list[:0]
	for _, state := range list {
		if state.reachable {
			filtered = append(filtered, state)
		}
	}
	return filtered
}

// get returns a copy of a store's state.
func (s *stores) get(name string) (storeState, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if state, ok := s.states[name]; ok {
		return *state, true
	}
	return storeState{}, false
}

// reserve adds bytes, which may be negative, to the count of granted and unsealed
// bytes.
func (s *stores) reserve(name string, bytes int64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if state, ok := s.states[name]; ok {
		state.reserved = max(0, state.reserved+bytes)
	}
}

// addUsed adds bytes, which may be negative, to the used bytes until the next probe
// replaces them.
func (s *stores) addUsed(name string, bytes int64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if state, ok := s.states[name]; ok {
		state.used = max(0, state.used+bytes)
	}
}

// probe reads a store's used bytes and incarnation. It returns the incarnation, or
// 0 if the store did not answer.
func (s *stores) probe(ctx context.Context, store Store) uint64 {
	ctx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	page, err := s.page(ctx, store, url.Values{"after": {afterLastKey}}, 0)
	now := time.Now()
	s.mu.Lock()
	defer s.mu.Unlock()
	state, known := s.states[store.Name]
	if !known {
		return 0
	}
	if err != nil {
		state.reachable = false
		if l := s.links.Get(store.Name); l != nil {
			l.ReportFailure(now)
		}
		return 0
	}
	state.reachable, state.used, state.incarnation = true, page.UsedBytes, page.Incarnation
	return page.Incarnation
}

// list reads all blocks of a scope under a fencing number, and returns them with the
// store's incarnation.
func (s *stores) list(ctx context.Context, store Store, scope string, fencingNumber uint64) ([]kvcache.ListedBlock, uint64, error) {
	var list []kvcache.ListedBlock
	after := ""
	for {
		page, err := s.page(ctx, store, url.Values{"after": {after}, "scope": {scope}}, fencingNumber)
		if err != nil {
			return nil, 0, err
		}
		for _, b := range page.Blocks {
			if key, ok := kvcache.ParseBlockKey(b.Key); ok {
				list = append(list, kvcache.ListedBlock{
					Key: key, Bytes: b.Bytes, Generation: b.Generation, Metadata: kvcache.ParseBlockMetadata(b.Metadata),
				})
			}
		}
		if page.Cursor == "" {
			return list, page.Incarnation, nil
		}
		after = page.Cursor
	}
}

// page requests one page of a store's listing. A fencing number above 0 invalidates
// the requests of earlier owners of the scope.
func (s *stores) page(ctx context.Context, store Store, query url.Values, fencingNumber uint64) (*backend.StoreListing, error) {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, store.URL+"/v1/blocks?"+query.Encode(), nil)
	if err != nil {
		return nil, eris.Wrapf(err, "build listing request for store %s", store.Name)
	}
	if fencingNumber > 0 {
		req.Header.Set(backend.HeaderFencingNumber, strconv.FormatUint(fencingNumber, 10))
	}
	resp, err := s.client.Do(req)
	if err != nil {
		return nil, eris.Wrapf(err, "list store %s", store.Name)
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return nil, eris.Errorf("list store %s: status %d", store.Name, resp.StatusCode)
	}
	var page backend.StoreListing
	if err := json.NewDecoder(io.LimitReader(resp.Body, maxListingBytes)).Decode(&page); err != nil {
		return nil, eris.Wrapf(err, "decode listing of store %s", store.Name)
	}
	return &page, nil
}

// free requests that a store free a copy. It returns nil only if the store has
// confirmed that the copy no longer exists.
func (s *stores) free(ctx context.Context, freeRequest kvcache.FreeRequest, scope string) error {
	state, ok := s.get(freeRequest.Location.Store)
	if !ok {
		return fmt.Errorf("store %s is not configured", freeRequest.Location.Store)
	}
	ctx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	address := BlockURL(state.URL, freeRequest.Key, freeRequest.Location)
	req, err := http.NewRequestWithContext(ctx, http.MethodDelete, address, nil)
	if err != nil {
		return eris.Wrapf(err, "build free request for store %s", state.Name)
	}
	req.Header.Set(backend.HeaderFencingNumber, strconv.FormatUint(freeRequest.FencingNumber, 10))
	req.Header.Set(backend.HeaderFencingScope, scope)
	resp, err := s.client.Do(req)
	if err != nil {
		return eris.Wrapf(err, "free block in store %s", state.Name)
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusNoContent {
		return eris.Errorf("free block in store %s: status %d", state.Name, resp.StatusCode)
	}
	s.addUsed(state.Name, -freeRequest.Location.Bytes)
	return nil
}

// BlockURL returns the URL at which a sealed copy is read and freed. It includes the
// copy's generation, so it never refers to another copy with the same key.
func BlockURL(base string, key kvcache.BlockKey, location kvcache.Location) string {
	return fmt.Sprintf("%s/v1/blocks/%s?incarnation=%d&generation=%d", base, key, location.Incarnation, location.Generation)
}

// WriteURL returns the URL at which a copy is written. If incarnation is not 0, the
// store rejects the write in another incarnation.
func WriteURL(base string, key kvcache.BlockKey, incarnation uint64) string {
	if incarnation == 0 {
		return fmt.Sprintf("%s/v1/blocks/%s", base, key)
	}
	return fmt.Sprintf("%s/v1/blocks/%s?incarnation=%d", base, key, incarnation)
}

// pollStores probes every store, frees blocks for bids and retries unfinished free
// requests.
func (c *Catalogue) pollStores(ctx context.Context) {
	ticker := time.NewTicker(storePollInterval)
	defer ticker.Stop()
	for {
		var wg sync.WaitGroup
		for _, s := range c.stores.all() {
			wg.Go(func() { c.pollStore(ctx, s) })
		}
		wg.Wait()
		c.freeForBids(ctx)
		c.retryFrees(ctx)
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}

// pollStore probes a store, and drops its copies from the shards if it has restarted.
func (c *Catalogue) pollStore(ctx context.Context, s storeState) {
	incarnation := c.stores.probe(ctx, s.Store)
	if incarnation == 0 || incarnation == s.incarnation {
		return
	}
	for _, shard := range c.shards {
		shard.HandleStoreRestart(s.Name, incarnation)
	}
}
