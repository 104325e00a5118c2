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

// blockContent returns the simulated cached state of a block. Its bytes are derived from
// the key, so that a wrong or truncated transfer is detected.
func blockContent(key string, size int) []byte {
	h := blake3.New()
	h.WriteString(key)
	data := make([]byte, size)
	_, _ = h.Digest().Read(data) // never returns an error
	return data
}

// importBlocks imports blocks in order. It returns the number of leading blocks that
// were imported completely, their size in bytes, and the status that ended the
// import early, or 0.
func (e *Engine) importBlocks(ctx context.Context, sources []backend.BlockSource) (imported int, bytes int64, status int) {
	for i, source := range sources {
		n, status := e.importBlock(ctx, source)
		if status != http.StatusOK {
			return i, bytes, status
		}
		bytes += n
	}
	return len(sources), bytes, 0
}

// importBlock reads a block from its source and verifies its content. It returns the
// number of bytes and status 200, or 0 and the HTTP or backend status of the failure.
func (e *Engine) importBlock(ctx context.Context, source backend.BlockSource) (int64, int) {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, source.URL, nil)
	if err != nil {
		return 0, http.StatusBadRequest
	}
	resp, err := e.client.Do(req)
	if err != nil {
		return 0, transferErrorStatus(ctx)
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		_, _ = io.Copy(io.Discard, resp.Body) // drains the body so that the connection is reused
		return 0, resp.StatusCode
	}
	data, err := io.ReadAll(resp.Body)
	if err != nil {
		return 0, transferErrorStatus(ctx)
	}
	if !bytes.Equal(data, blockContent(source.Key, e.settings.BlockBytes)) {
		return 0, backend.StatusStoreCorrupt
	}
	return int64(len(data)), http.StatusOK
}

// transferErrorStatus returns the status of a failed transfer: a timeout if the context
// has ended, otherwise an unreachable store.
func transferErrorStatus(ctx context.Context) int {
	if ctx.Err() != nil {
		return backend.StatusStoreTimeout
	}
	return backend.StatusStoreUnreachable
}

// serveExport writes cached blocks to a store. Blocks that were evicted are skipped;
// the first error from the store ends the export.
func (e *Engine) serveExport(w http.ResponseWriter, r *http.Request) {
	var request backend.ExportRequest
	if err := json.NewDecoder(r.Body).Decode(&request); err != nil {
		http.Error(w, "expected an export order", http.StatusBadRequest)
		return
	}
	var reply backend.ExportResponse
	for _, target := range request.Blocks {
		if !e.cache.contains(target.Key) {
			continue
		}
		sealed, status := e.exportBlock(r.Context(), target)
		if status != http.StatusCreated {
			reply.Status = status
			break
		}
		reply.Sealed = append(reply.Sealed, sealed)
	}
	writeJSON(w, reply)
}

// exportBlock writes one block to a store and returns the store's status.
func (e *Engine) exportBlock(ctx context.Context, target backend.BlockTarget) (backend.SealedBlock, int) {
	data := blockContent(target.Key, e.settings.BlockBytes)
	digest := blake3.Sum256(data)
	sealed := backend.SealedBlock{Key: target.Key, Bytes: int64(len(data)), Checksum: hex.EncodeToString(digest[:]), Metadata: target.Metadata}
	req, err := http.NewRequestWithContext(ctx, http.MethodPut, target.URL, bytes.NewReader(data))
	if err != nil {
		return sealed, http.StatusBadRequest
	}
	req.Header.Set(backend.HeaderBlockChecksum, sealed.Checksum)
	req.Header.Set(backend.HeaderFencingScope, target.FencingScope)
	req.Header.Set(backend.HeaderBlockMeta, target.Metadata)
	resp, err := e.client.Do(req)
	if err != nil {
		return sealed, backend.StatusStoreUnreachable
	}
	defer resp.Body.Close()
	_, _ = io.Copy(io.Discard, resp.Body) // drains the body so that the connection is reused
	sealed.Incarnation = headerNumber(resp, backend.HeaderStoreIncarnation)
	sealed.Generation = headerNumber(resp, backend.HeaderBlockGeneration)
	return sealed, resp.StatusCode
}

// headerNumber returns a numeric header, or 0 if it is missing or malformed.
func headerNumber(resp *http.Response, name string) uint64 {
	n, err := strconv.ParseUint(resp.Header.Get(name), 10, 64)
	if err != nil {
		return 0
	}
	return n
}
