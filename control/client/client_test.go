package client

import (
	"context"
	"net/http"
	"net/http/httptest"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"github.com/twitchtv/twirp"

	"github.com/galenaarch/galenaarch/api/controlv1"
)

// fakeReplica serves GetStatus with a given function and counts the calls.
type fakeReplica struct {
	controlv1.Control
	calls   atomic.Int32
	respond func(ctx context.Context) (*controlv1.GetStatusResponse, error)
}

func (fake *fakeReplica) GetStatus(ctx context.Context, _ *controlv1.GetStatusRequest) (*controlv1.GetStatusResponse, error) {
	fake.calls.Add(1)
	return fake.respond(ctx)
}

func startReplica(t *testing.T, respond func(ctx context.Context) (*controlv1.GetStatusResponse, error)) (*fakeReplica, string) {
	t.Helper()
	fake := &fakeReplica{respond: respond}
	s := httptest.NewServer(controlv1.NewControlServer(fake))
	t.Cleanup(s.Close)
	return fake, s.URL
}

func respondAsLeader(context.Context) (*controlv1.GetStatusResponse, error) {
	return &controlv1.GetStatusResponse{Leader: "me"}, nil
}

func respondNotLeader(url *string) func(context.Context) (*controlv1.GetStatusResponse, error) {
	return func(context.Context) (*controlv1.GetStatusResponse, error) {
		err := twirp.NewError(twirp.Unavailable, "not the leader")
		if url != nil {
			err = err.WithMeta("leader", *url)
		}
		return nil, err
	}
}

func getStatus(t *testing.T, c *Client) error {
	ctx, cancel := context.WithTimeout(t.Context(), 10*time.Second)
	defer cancel()
	_, err := c.GetStatus(ctx, &controlv1.GetStatusRequest{})
	return err
}

// TestClientFollowsTheLeader checks that the client follows a redirect to a
// leader that is not among its configured replicas.
func TestClientFollowsTheLeader(t *testing.T) {
	leader, leaderURL := startReplica(t, respondAsLeader)
	first, firstURL := startReplica(t, respondNotLeader(&leaderURL))
	second, secondURL := startReplica(t, respondNotLeader(nil))
	c := New([]string{firstURL, secondURL}, &http.Client{})
	require.NoError(t, getStatus(t, c))
	require.NoError(t, getStatus(t, c))
	require.EqualValues(t, 1, first.calls.Load())
	require.Zero(t, second.calls.Load())
	require.EqualValues(t, 2, leader.calls.Load())
}

func TestClientSkipsFailedReplicas(t *testing.T) {
	unreachable := "http://127.0.0.1:1"
	_, staleFollower := startReplica(t, respondNotLeader(&unreachable))
	leader, leaderURL := startReplica(t, respondAsLeader)
	c := New([]string{staleFollower, unreachable, leaderURL}, &http.Client{})
	require.NoError(t, getStatus(t, c))
	require.EqualValues(t, 1, leader.calls.Load())
}

// TestClientFailsOverFromUnresponsiveReplica guards against a request that hangs
// on a replica that accepts it and never responds.
func TestClientFailsOverFromUnresponsiveReplica(t *testing.T) {
	_, unresponsive := startReplica(t, func(ctx context.Context) (*controlv1.GetStatusResponse, error) {
		<-ctx.Done()
		return nil, ctx.Err()
	})
	_, leaderURL := startReplica(t, respondAsLeader)
	require.NoError(t, getStatus(t, New([]string{unresponsive, leaderURL}, &http.Client{})))
}

func TestClientDoesNotRetryInvalidRequest(t *testing.T) {
	first, url := startReplica(t, func(context.Context) (*controlv1.GetStatusResponse, error) {
		return nil, twirp.InvalidArgumentError("environment", "is empty")
	})
	require.Error(t, getStatus(t, New([]string{url, url}, &http.Client{})))
	require.EqualValues(t, 1, first.calls.Load())
}
