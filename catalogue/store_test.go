package catalogue

import (
	"bytes"
	"encoding/hex"
	"net/http"
	"strconv"
	"testing"

	"github.com/stretchr/testify/require"
	"github.com/zeebo/blake3"

	"github.com/galenaarch/galenaarch/api/backend"
)

// putBlock writes a block of zeros and returns the block as sealed by the store.
func putBlock(t *testing.T, target backend.BlockTarget) (backend.SealedBlock, bool) {
	t.Helper()
	data := make([]byte, testBlockBytes)
	sum := blake3.Sum256(data)
	req, err := http.NewRequestWithContext(t.Context(), http.MethodPut, target.URL, bytes.NewReader(data))
	require.NoError(t, err)
	req.Header.Set(backend.HeaderBlockChecksum, hex.EncodeToString(sum[:]))
	req.Header.Set(backend.HeaderFencingScope, target.FencingScope)
	req.Header.Set(backend.HeaderBlockMeta, target.Metadata)
	resp, err := http.DefaultClient.Do(req)
	require.NoError(t, err)
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusCreated {
		return backend.SealedBlock{}, false
	}
	incarnation, err := strconv.ParseUint(resp.Header.Get(backend.HeaderStoreIncarnation), 10, 64)
	require.NoError(t, err)
	generation, err := strconv.ParseUint(resp.Header.Get(backend.HeaderBlockGeneration), 10, 64)
	require.NoError(t, err)
	return backend.SealedBlock{Key: target.Key, Bytes: testBlockBytes, Incarnation: incarnation, Generation: generation}, true
}
