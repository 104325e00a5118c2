package routes_test

import (
	"sync"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/galenaarch/galenaarch/api/backend"
	"github.com/galenaarch/galenaarch/api/controlv1"
	"github.com/galenaarch/galenaarch/config/routes"
)

func delta(epoch uint64, servers ...*controlv1.ServerRoute) *controlv1.RoutingDelta {
	return &controlv1.RoutingDelta{Epoch: epoch, Full: epoch == 1, Servers: servers}
}

func TestServerWeightVersion(t *testing.T) {
	announcement := backend.Announcement{Server: "a", Deployment: "quotes", WeightVersion: "v1", Incarnation: 2}
	route := func(s controlv1.RouteState, incarnation uint64) *controlv1.ServerRoute {
		return &controlv1.ServerRoute{Server: "a", Deployment: "quotes", State: s, Incarnation: incarnation, WeightVersion: "v2"}
	}
	tests := []struct {
		name     string
		route    *controlv1.ServerRoute
		version  string
		routable bool
	}{
		{"no route", &controlv1.ServerRoute{Server: "b"}, "v1", true},
		{"held", route(controlv1.RouteState_ROUTE_STATE_HELD, 2), "", false},
		{"held, other incarnation", route(controlv1.RouteState_ROUTE_STATE_HELD, 1), "", false},
		{"loading", route(controlv1.RouteState_ROUTE_STATE_LOADING, 2), "", false},
		{"probing", route(controlv1.RouteState_ROUTE_STATE_PROBING, 2), "", false},
		{"set aside", route(controlv1.RouteState_ROUTE_STATE_SET_ASIDE, 2), "", false},
		{"drained", route(controlv1.RouteState_ROUTE_STATE_DRAINED, 2), "", false},
		{"serving, announcement older than the route", route(controlv1.RouteState_ROUTE_STATE_SERVING, 2), "v2", true},
		{"serving, route older than the restart", route(controlv1.RouteState_ROUTE_STATE_SERVING, 1), "v1", true},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			table := routes.NewTable()
			require.True(t, table.Apply(delta(1, test.route)))
			version, ok := table.Current().WeightVersion(&announcement)
			require.Equal(t, test.routable, ok)
			require.Equal(t, test.version, version)
		})
	}
}

func TestAcknowledgedEpochWaitsForReaders(t *testing.T) {
	table := routes.NewTable()
	table.Apply(delta(1))
	first := table.Acquire()
	table.Apply(delta(2))
	second := table.Acquire()
	table.Apply(delta(3))
	require.EqualValues(t, 1, table.AcknowledgedEpoch())
	first.Release()
	<-table.ReadersDrained()
	require.EqualValues(t, 2, table.AcknowledgedEpoch())
	require.False(t, table.Apply(delta(2)), "the epoch must not decrease")
	second.Release()
	require.EqualValues(t, 3, table.AcknowledgedEpoch())
}

// TestNoReaderBelowAcknowledgedEpoch guards against acknowledging an epoch while
// a reader still holds an older one. Readers and updates run concurrently.
func TestNoReaderBelowAcknowledgedEpoch(t *testing.T) {
	const readers, epochs = 4, 2000
	table := routes.NewTable()
	var readersDone sync.WaitGroup
	stop := make(chan struct{})
	for range readers {
		readersDone.Go(func() {
			for {
				select {
				case <-stop:
					return
				default:
				}
				view := table.Acquire()
				if acknowledged := table.AcknowledgedEpoch(); acknowledged > view.Epoch {
					t.Errorf("epoch %d acknowledged while a reader holds epoch %d", acknowledged, view.Epoch)
				}
				view.Release()
			}
		})
	}
	for epoch := range uint64(epochs) {
		table.Apply(delta(epoch + 1))
	}
	close(stop)
	readersDone.Wait()
	require.EqualValues(t, epochs, table.AcknowledgedEpoch())
}
