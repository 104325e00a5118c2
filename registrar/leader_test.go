package registrar

import (
	"context"
	"net/http"
	"net/http/httptest"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"
	"github.com/twitchtv/twirp"

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

// leaderStub is a replica that responds by a function.
type leaderStub struct {
	controlv1.Control
	respond func(ctx context.Context) error
}

func (s leaderStub) Publish(ctx context.Context, _ *controlv1.PublishRequest) (*controlv1.PublishResponse, error) {
	return &controlv1.PublishResponse{}, s.respond(ctx)
}

// A leader that stands still must not hold a request for longer than its group needs for the next one.
func TestRequestGoesOnToNextLeaderWhileLeaderStandsStill(t *testing.T) {
	const next, settled = "http://next", 3 * leaderRetryInterval
	for _, electedAfter := range []time.Duration{0, 100 * time.Millisecond, 300 * time.Millisecond, 500 * time.Millisecond, 700 * time.Millisecond, operatorTimeout - settled} {
		synctest.Test(t, func(t *testing.T) {
			startedAt := time.Now()
			known := func() string {
				if time.Since(startedAt) >= electedAfter {
					return next
				}
				return "http://silent"
			}
			local := leaderStub{respond: func(context.Context) error {
				return twirp.NewError(twirp.Unavailable, "not the leader").WithMeta(control.LeaderMetaKey, known())
			}}
			clientOf := func(url string) controlv1.Control {
				return leaderStub{respond: func(ctx context.Context) error {
					if url == next {
						return nil
					}
					<-ctx.Done()
					return ctx.Err()
				}}
			}
			_, err := callLeaderAt(t.Context(), local, known, clientOf, &controlv1.PublishRequest{}, controlv1.Control.Publish)
			require.NoError(t, err, "elected after %v", electedAfter)
			require.LessOrEqual(t, time.Since(startedAt), electedAfter+settled)
		})
	}
}
