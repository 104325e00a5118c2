package httpserver

import (
	"io"
	"net/http"
	"net/http/httptest"
	"strconv"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
)

func TestLargeResponsesAreCompressed(t *testing.T) {
	for _, length := range []int{0, 10, minCompressBytes - 1, minCompressBytes, 300_000} {
		body := strings.Repeat("x", length)
		server := httptest.NewServer(GzipHandler(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
			w.Header().Set("Content-Length", strconv.Itoa(length))
			_, _ = io.WriteString(w, body)
		})))
		for _, disableCompression := range []bool{false, true} {
			client := &http.Client{Transport: &http.Transport{DisableCompression: disableCompression}}
			response, err := client.Get(server.URL)
			require.NoError(t, err)
			got, err := io.ReadAll(response.Body)
			require.NoError(t, err)
			response.Body.Close()
			require.Equal(t, body, string(got))
			require.Equal(t, length >= minCompressBytes && !disableCompression, response.Uncompressed, "%d bytes", length)
		}
		server.Close()
	}
}
