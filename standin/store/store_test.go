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

type call struct {
	method, path string
	body         []byte
	header       map[string]string
}

func start(t *testing.T, capacity int64) string {
	t.Helper()
	server := httptest.NewServer(New(Settings{LinkBytesPerSecond: 1 << 30, CapacityBytes: capacity, Incarnation: 5}).Handler())
	t.Cleanup(server.Close)
	return server.URL
}

func do(t *testing.T, url string, c call) (*http.Response, []byte) {
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

func put(path string, data []byte) call {
	sum := blake3.Sum256(data)
	return call{http.MethodPut, path, data, map[string]string{
		backend.HeaderBlockChecksum: hex.EncodeToString(sum[:]), backend.HeaderFencingScope: "s", backend.HeaderBlockMeta: "note",
	}}
}

func remove(path, fencing, scope string) call {
	return call{http.MethodDelete, path, nil, map[string]string{backend.HeaderFencingNumber: fencing, backend.HeaderFencingScope: scope}}
}

func TestStoreProtocol(t *testing.T) {
	data := []byte("block")
	cases := []struct {
		name  string
		calls []call
		want  []int
	}{
		{"a wrong checksum is not sealed", []call{
			{http.MethodPut, "/v1/blocks/k", data, map[string]string{backend.HeaderBlockChecksum: "00"}}, {http.MethodGet, "/v1/blocks/k", nil, nil},
		}, []int{400, 404}},
		{"a write for another incarnation", []call{put("/v1/blocks/k?incarnation=4", data)}, []int{412}},
		{"a read of another generation", []call{put("/v1/blocks/k", data), {http.MethodGet, "/v1/blocks/k?generation=2", nil, nil}}, []int{201, 404}},
		{"a read of another incarnation", []call{put("/v1/blocks/k", data), {http.MethodGet, "/v1/blocks/k?incarnation=4&generation=1", nil, nil}}, []int{201, 404}},
		{"a full store", []call{put("/v1/blocks/k", data), put("/v1/blocks/l", data), put("/v1/blocks/m", data)}, []int{201, 201, 507}},
		{"a write again, of a full store", []call{put("/v1/blocks/k", data), put("/v1/blocks/l", data), put("/v1/blocks/k", data)}, []int{201, 201, 201}},
		{"an order without a number", []call{remove("/v1/blocks/k", "", "s")}, []int{400}},
		{"an order under an old number", []call{put("/v1/blocks/k", data), remove("/v1/blocks/x", "3", "s"), remove("/v1/blocks/k", "2", "s"), {http.MethodGet, "/v1/blocks/k", nil, nil}}, []int{201, 204, 409, 200}},
		{"numbers of scopes are apart", []call{put("/v1/blocks/k", data), remove("/v1/blocks/x", "3", "other"), remove("/v1/blocks/k", "2", "s"), {http.MethodGet, "/v1/blocks/k", nil, nil}}, []int{201, 204, 204, 404}},
		{"an order of another scope frees nothing", []call{put("/v1/blocks/k", data), remove("/v1/blocks/k", "9", "other"), {http.MethodGet, "/v1/blocks/k", nil, nil}}, []int{201, 204, 200}},
		{"a listing under a number ends older orders", []call{
			put("/v1/blocks/k", data), {http.MethodGet, "/v1/blocks?scope=s", nil, map[string]string{backend.HeaderFencingNumber: "7"}},
			remove("/v1/blocks/k", "6", "s"), {http.MethodGet, "/v1/blocks?scope=s", nil, map[string]string{backend.HeaderFencingNumber: "6"}},
		}, []int{201, 200, 409, 409}},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			url := start(t, 10)
			for i, x := range c.calls {
				resp, body := do(t, url, x)
				require.Equal(t, c.want[i], resp.StatusCode, "call %d: %s", i, body)
			}
		})
	}
}

func TestListingGivesWhatWasWritten(t *testing.T) {
	url := start(t, 1<<20)
	resp, _ := do(t, url, put("/v1/blocks/k", []byte("block")))
	generation, err := strconv.ParseUint(resp.Header.Get(backend.HeaderBlockGeneration), 10, 64)
	require.NoError(t, err)
	_, body := do(t, url, call{http.MethodGet, "/v1/blocks?scope=s", nil, nil})
	var listing backend.StoreListing
	require.NoError(t, json.Unmarshal(body, &listing))
	require.Equal(t, uint64(5), listing.Incarnation)
	require.Equal(t, int64(5), listing.UsedBytes)
	require.Len(t, listing.Blocks, 1)
	require.Equal(t, generation, listing.Blocks[0].Generation)
	require.Equal(t, "note", listing.Blocks[0].Metadata)
}
