package store

import (
	"bytes"
	"encoding/hex"
	"encoding/json"
	"io"
	"net/http"
	"net/http/httptest"
	"strconv"
	"testing"

	"github.com/stretchr/testify/require"
	"github.com/zeebo/blake3"

	"github.com/galenaarch/galenaarch/api/backend"
)

type storeRequest struct {
	method, path string
	body         []byte
	header       map[string]string
}

func startStore(t *testing.T, capacity int64) string {
	t.Helper()
	server := httptest.NewServer(New(Settings{LinkBytesPerSecond: 1 << 30, CapacityBytes: capacity, Incarnation: 5}).Handler())
	t.Cleanup(server.Close)
	return server.URL
}

func sendRequest(t *testing.T, url string, c storeRequest) (*http.Response, []byte) {
	t.Helper()
	req, err := http.NewRequestWithContext(t.Context(), c.method, url+c.path, bytes.NewReader(c.body))
	require.NoError(t, err)
	for name, value := range c.header {
		req.Header.Set(name, value)
	}
	resp, err := http.DefaultClient.Do(req)
	require.NoError(t, err)
	defer resp.Body.Close()
	body, err := io.ReadAll(resp.Body)
	require.NoError(t, err)
	return resp, body
}

func putRequest(path string, data []byte) storeRequest {
	sum := blake3.Sum256(data)
	return storeRequest{http.MethodPut, path, data, map[string]string{
		backend.HeaderBlockChecksum: hex.EncodeToString(sum[:]), backend.HeaderFencingScope: "s", backend.HeaderBlockMeta: "note",
	}}
}

func deleteRequest(path, fencing, scope string) storeRequest {
	return storeRequest{http.MethodDelete, path, nil, map[string]string{backend.HeaderFencingNumber: fencing, backend.HeaderFencingScope: scope}}
}

func TestStoreProtocol(t *testing.T) {
	data := []byte("block")
	cases := []struct {
		name  string
		calls []storeRequest
		want  []int
	}{
		{"block with a wrong checksum is not sealed", []storeRequest{
			{http.MethodPut, "/v1/blocks/k", data, map[string]string{backend.HeaderBlockChecksum: "00"}}, {http.MethodGet, "/v1/blocks/k", nil, nil},
		}, []int{400, 404}},
		{"write for another incarnation", []storeRequest{putRequest("/v1/blocks/k?incarnation=4", data)}, []int{412}},
		{"read of another generation", []storeRequest{putRequest("/v1/blocks/k", data), {http.MethodGet, "/v1/blocks/k?generation=2", nil, nil}}, []int{201, 404}},
		{"read of another incarnation", []storeRequest{putRequest("/v1/blocks/k", data), {http.MethodGet, "/v1/blocks/k?incarnation=4&generation=1", nil, nil}}, []int{201, 404}},
		{"write to a full store", []storeRequest{putRequest("/v1/blocks/k", data), putRequest("/v1/blocks/l", data), putRequest("/v1/blocks/m", data)}, []int{201, 201, 507}},
		{"retried write to a full store", []storeRequest{putRequest("/v1/blocks/k", data), putRequest("/v1/blocks/l", data), putRequest("/v1/blocks/k", data)}, []int{201, 201, 201}},
		{"delete without a fencing number", []storeRequest{deleteRequest("/v1/blocks/k", "", "s")}, []int{400}},
		{"delete with a stale fencing number", []storeRequest{putRequest("/v1/blocks/k", data), deleteRequest("/v1/blocks/x", "3", "s"), deleteRequest("/v1/blocks/k", "2", "s"), {http.MethodGet, "/v1/blocks/k", nil, nil}}, []int{201, 204, 409, 200}},
		{"fencing numbers are tracked by scope", []storeRequest{putRequest("/v1/blocks/k", data), deleteRequest("/v1/blocks/x", "3", "other"), deleteRequest("/v1/blocks/k", "2", "s"), {http.MethodGet, "/v1/blocks/k", nil, nil}}, []int{201, 204, 204, 404}},
		{"delete with another scope has no effect", []storeRequest{putRequest("/v1/blocks/k", data), deleteRequest("/v1/blocks/k", "9", "other"), {http.MethodGet, "/v1/blocks/k", nil, nil}}, []int{201, 204, 200}},
		{"listing with a fencing number invalidates older numbers", []storeRequest{
			putRequest("/v1/blocks/k", data), {http.MethodGet, "/v1/blocks?scope=s", nil, map[string]string{backend.HeaderFencingNumber: "7"}},
			deleteRequest("/v1/blocks/k", "6", "s"), {http.MethodGet, "/v1/blocks?scope=s", nil, map[string]string{backend.HeaderFencingNumber: "6"}},
		}, []int{201, 200, 409, 409}},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			url := startStore(t, 10)
			for i, request := range c.calls {
				resp, body := sendRequest(t, url, request)
				require.Equal(t, c.want[i], resp.StatusCode, "request %d: %s", i, body)
			}
		})
	}
}

func TestListingReportsStoredBlocks(t *testing.T) {
	url := startStore(t, 1<<20)
	resp, _ := sendRequest(t, url, putRequest("/v1/blocks/k", []byte("block")))
	generation, err := strconv.ParseUint(resp.Header.Get(backend.HeaderBlockGeneration), 10, 64)
	require.NoError(t, err)
	_, body := sendRequest(t, url, storeRequest{http.MethodGet, "/v1/blocks?scope=s", nil, nil})
	var listing backend.StoreListing
	require.NoError(t, json.Unmarshal(body, &listing))
	require.Equal(t, uint64(5), listing.Incarnation)
	require.Equal(t, int64(5), listing.UsedBytes)
	require.Len(t, listing.Blocks, 1)
	require.Equal(t, generation, listing.Blocks[0].Generation)
	require.Equal(t, "note", listing.Blocks[0].Metadata)
}
