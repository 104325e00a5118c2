package engine

import (
	"bytes"
	"context"
	"encoding/hex"
	"encoding/json"
	"io"
	"net/http"
	"strconv"

	"github.com/zeebo/blake3"

	"github.com/galenaarch/galenaarch/api/backend"
)

// content is the state of a block: bytes derived from its key, so that a read
// of anything but the whole block shows.
func content(key string, size int) []byte {
	h := blake3.New()
	h.WriteString(key)
	data := make([]byte, size)
	_, _ = h.Digest().Read(data) // never fails
	return data
}

// importBlocks reads blocks in order and returns how many leading ones came
// whole, their bytes, and what ended the import early, or 0.
func (e *Engine) importBlocks(ctx context.Context, sources []backend.BlockSource) (whole int, bytes int64, status int) {
	for i, s := range sources {
		n, status := e.importBlock(ctx, s)
		if status != http.StatusOK {
			return i, bytes, status
		}
		bytes += n
	}
	return len(sources), bytes, 0
}

func (e *Engine) importBlock(ctx context.Context, s backend.BlockSource) (int64, int) {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, s.URL, nil)
	if err != nil {
		return 0, http.StatusBadRequest
	}
	resp, err := e.client.Do(req)
	if err != nil {
		return 0, broken(ctx)
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		_, _ = io.Copy(io.Discard, resp.Body) // lets the connection be reused
		return 0, resp.StatusCode
	}
	data, err := io.ReadAll(resp.Body)
	if err != nil {
		return 0, broken(ctx)
	}
	if !bytes.Equal(data, content(s.Key, e.settings.BlockBytes)) {
		return 0, backend.StatusStoreCorrupt
	}
	return int64(len(data)), http.StatusOK
}

// broken tells a store that is slow from one that is gone.
func broken(ctx context.Context) int {
	if ctx.Err() != nil {
		return backend.StatusStoreTimeout
	}
	return backend.StatusStoreUnreachable
}

// serveExport writes cached blocks to a store. A block that has left the cache
// is passed over; the first refusal of the store ends the export.
func (e *Engine) serveExport(w http.ResponseWriter, r *http.Request) {
	var request backend.ExportRequest
	if err := json.NewDecoder(r.Body).Decode(&request); err != nil {
		http.Error(w, "expected an export order", http.StatusBadRequest)
		return
	}
	var reply backend.ExportResponse
	for _, b := range request.Blocks {
		if !e.cache.has(b.Key) {
			continue
		}
		sealed, status := e.exportBlock(r.Context(), b)
		if status != http.StatusCreated {
			reply.Status = status
			break
		}
		reply.Sealed = append(reply.Sealed, sealed)
	}
	writeJSON(w, reply)
}

// exportBlock writes one block and returns the store's status.
func (e *Engine) exportBlock(ctx context.Context, b backend.BlockTarget) (backend.SealedBlock, int) {
	data := content(b.Key, e.settings.BlockBytes)
	sum := blake3.Sum256(data)
	sealed := backend.SealedBlock{Key: b.Key, Bytes: int64(len(data)), Checksum: hex.EncodeToString(sum[:]), Metadata: b.Metadata}
	req, err := http.NewRequestWithContext(ctx, http.MethodPut, b.URL, bytes.NewReader(data))
	if err != nil {
		return sealed, http.StatusBadRequest
	}
	req.Header.Set(backend.HeaderBlockChecksum, sealed.Checksum)
	req.Header.Set(backend.HeaderFencingScope, b.FencingScope)
	req.Header.Set(backend.HeaderBlockMeta, b.Metadata)
	resp, err := e.client.Do(req)
	if err != nil {
		return sealed, backend.StatusStoreUnreachable
	}
	defer resp.Body.Close()
	_, _ = io.Copy(io.Discard, resp.Body) // lets the connection be reused
	sealed.Incarnation = headerNumber(resp, backend.HeaderStoreIncarnation)
	sealed.Generation = headerNumber(resp, backend.HeaderBlockGeneration)
	return sealed, resp.StatusCode
}

// headerNumber reads a number, 0 if the header has none.
func headerNumber(resp *http.Response, name string) uint64 {
	n, err := strconv.ParseUint(resp.Header.Get(name), 10, 64)
	if err != nil {
		return 0
	}
	return n
}
