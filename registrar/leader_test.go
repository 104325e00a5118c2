package registrar

import (
	"net/http"
	"net/http/httptest"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/galenaarch/galenaarch/api/controlv1"
	"github.com/galenaarch/galenaarch/control"
)

// TestRequestsToTheLeaderUseNewConnections guards against operators' requests that are sent on a
// kept connection whose packets are lost for good, until their time is over.
func TestRequestsToTheLeaderUseNewConnections(t *testing.T) {
	used := make(map[string]int)
	service := controlv1.NewControlServer(control.NewServer(nil))
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		used[r.RemoteAddr]++
		service.ServeHTTP(w, r)
	}))
	defer server.Close()
	r := New(Settings{}, nil)
	const requests = 5
	for range requests {
		_, err := r.leaderClient(server.URL).GetPublished(t.Context(), &controlv1.GetPublishedRequest{})
		require.ErrorContains(t, err, "name is required")
	}
	require.Len(t, used, requests)
}
