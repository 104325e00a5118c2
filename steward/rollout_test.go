package steward_test

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/galenaarch/galenaarch/api/backend"
	"github.com/galenaarch/galenaarch/api/controlv1"
	"github.com/galenaarch/galenaarch/config"
)

func noneCheckFencing(int) bool { return false }

// TestNewHolderWaitsForOrdersInFlight checks that no server accepts an order of
// the first steward after one of the next lease holder, wherever in the lease
// TTL the rollout starts. The first steward loses only its lease requests and
// keeps sending orders until its lease ends; the orders arrive late.
func TestNewHolderWaitsForOrdersInFlight(t *testing.T) {
	const step = 250 * time.Millisecond
	for start := time.Duration(0); start < 5*time.Second; start += step {
		t.Run(start.String(), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) { checkDelayedOrders(t, start) })
		})
	}
}

func checkDelayedOrders(t *testing.T, start time.Duration) {
	c := newTestCluster(t, newFleet(4, noneCheckFencing))
	first, _ := c.startSteward("steward-1", 2900*time.Millisecond)
	c.startEntry("entry-1", 1)
	time.Sleep(settleTime)
	c.startSteward("steward-2", 0)
	first.blockLeaseRequests()
	time.Sleep(start)
	c.declare("v2")
	c.awaitVersion("v2", 5*time.Minute)
	time.Sleep(settleTime)
	c.requireSafe()
}

func TestFailedCanariesRollBack(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newTestCluster(t, newFleet(serverCount, halfCheckFencing))
		c.fleet.keepOldVersions()
		c.startSteward("steward-1", 0)
		c.startEntry("entry-1", 1)
		time.Sleep(settleTime)
		c.declare("v2")
		time.Sleep(2 * time.Minute)
		c.awaitVersion("v1", time.Minute)
		c.requireSafe()
		loaded := 0
		for _, e := range c.fleet.snapshot() {
			if e.loads > 0 {
				loaded++
			}
		}
		require.Equal(t, c.doc.WeightStore.ConcurrentLoads, loaded, "servers that loaded the failed version")
		history, err := c.control.GetHistory(c.ctx, &controlv1.GetHistoryRequest{Environment: c.doc.Environment})
		require.NoError(t, err)
		require.Len(t, history.Entries, 3)
		require.Contains(t, history.Entries[0].Comment, "roll back quotes from v2 to v1")
	})
}

// promote applies the trial document to a production environment.
func (c *testCluster) promote(expected uint64, id string) {
	c.t.Helper()
	doc := *c.doc
	doc.Environment, doc.Stage, doc.PromotesFrom = "haddon-production", config.StageProduction, c.doc.Environment
	items, err := config.Items(&doc)
	require.NoError(c.t, err)
	response, err := c.control.ApplyConfig(c.ctx, &controlv1.ApplyConfigRequest{
		Environment: doc.Environment, ExpectedRevision: expected, ChangeId: id, Upserts: items,
		PromotedFrom: c.doc.Environment, PromotedRevision: c.status().AcceptedRevision,
	})
	require.NoError(c.t, err)
	require.True(c.t, response.Accepted, response.Reason)
}

// TestProductionHaltsWithoutRevision checks a failed rollout in a production
// environment: it accepts only promotions, so its servers return to the
// previous version and the document waits for an operator.
func TestProductionHaltsWithoutRevision(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newTestCluster(t, newFleet(serverCount, halfCheckFencing))
		c.promote(0, "promote-1")
		trial := c.doc.Environment
		c.declare("v2")
		c.promote(1, "promote-2")
		c.fleet.keepOldVersions()
		c.doc.Environment = "haddon-production"
		c.startSteward("steward-1", 0)
		c.startEntry("entry-1", 1)
		time.Sleep(2 * time.Minute)
		c.awaitVersion("v1", time.Minute)
		c.requireSafe()
		status := c.status()
		require.Equal(t, uint64(2), status.AcceptedRevision)
		route := status.Deployments[0]
		require.Equal(t, "v2", route.HaltedVersion)
		require.Equal(t, []string{"v1"}, route.ServingVersions)
		require.False(t, route.Checks.Passed)
		require.Contains(t, route.Checks.Note, `the swap to "v2" was stopped`)
		require.NotEqual(t, trial, c.doc.Environment)
	})
}

func TestAdaptersAndRoles(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newTestCluster(t, newFleet(serverCount, halfCheckFencing))
		c.startSteward("steward-1", 0)
		c.startEntry("entry-1", 1)
		time.Sleep(settleTime)
		d := &c.doc.Deployments[0]
		d.Adapters = []string{"liners"}
		d.Roles = []config.ServerRole{{Name: "prefill", Servers: 4}, {Name: "decode", Servers: 8}}
		c.apply("roles")
		time.Sleep(time.Minute)
		c.awaitVersion("v1", time.Minute)
		c.requireSafe()
		roles := make(map[string]int)
		for name, e := range c.fleet.snapshot() {
			roles[e.role]++
			require.Equal(t, []string{"liners"}, e.adapters, name)
			require.Equal(t, 1, e.loads, name)
		}
		require.Equal(t, map[string]int{"prefill": 4, "decode": 8}, roles)
	})
}

func TestDrains(t *testing.T) {
	tests := []struct {
		name  string
		drain *controlv1.DrainRequest
		// matched is the number of servers that the drain selects; drained is
		// how many of them are drained within the limit on lost capacity.
		matched, drained uint32
	}{
		{"server", &controlv1.DrainRequest{Target: controlv1.DrainTarget_DRAIN_TARGET_SERVER, Name: "engine-01"}, 1, 1},
		{"instance", &controlv1.DrainRequest{Target: controlv1.DrainTarget_DRAIN_TARGET_INSTANCE, Name: "10.0.2.6"}, 1, 1},
		{"failure domain", &controlv1.DrainRequest{Target: controlv1.DrainTarget_DRAIN_TARGET_FAILURE_DOMAIN, Name: "midlands-2"}, 3, 3},
		{"failure domain with a capacity limit", &controlv1.DrainRequest{
			Target: controlv1.DrainTarget_DRAIN_TARGET_FAILURE_DOMAIN, Name: "midlands-2", MaxLost: 0.1,
		}, 3, 1},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) { checkDrain(t, tt.drain, tt.matched, tt.drained) })
		})
	}
}

func checkDrain(t *testing.T, drain *controlv1.DrainRequest, matched, drained uint32) {
	c := newTestCluster(t, newFleet(serverCount, halfCheckFencing))
	c.startSteward("steward-1", 0)
	c.startEntry("entry-1", 1)
	time.Sleep(settleTime)
	request := &controlv1.RequestDrainRequest{Environment: c.doc.Environment, Drain: drain}
	_, err := c.control.RequestDrain(c.ctx, request)
	require.NoError(t, err)
	time.Sleep(settleTime)
	progress := c.status().Drains[0].Progress[0]
	require.Equal(t, matched, progress.Matched)
	require.Equal(t, drained, progress.Drained, progress.Note)
	for _, r := range c.status().Routes {
		require.Equal(t, controlv1.RouteState_ROUTE_STATE_DRAINED, r.State)
		require.Zero(t, c.fleet.snapshot()[r.Server].running)
	}
	request.End = true
	_, err = c.control.RequestDrain(c.ctx, request)
	require.NoError(t, err)
	time.Sleep(2 * settleTime)
	require.Empty(t, c.status().Routes)
	require.Empty(t, c.status().Drains)
	c.requireSafe()
}

// TestServiceDrain checks that a server of a plain service, which reports no
// state, counts as drained after twice the longest call timeout, and that half
// of the servers stay in service.
func TestServiceDrain(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		fleet := newFleet(2, halfCheckFencing)
		for _, name := range []string{"desk-1", "desk-2"} {
			fleet.engines[name] = &fakeEngine{ann: backend.Announcement{
				Server: name, Kind: "plain-service", URL: "http://10.1.0.1:7001", Service: "order-desk", FailureDomain: "midlands-9", Incarnation: 1,
			}}
		}
		c := newTestCluster(t, fleet)
		c.startSteward("steward-1", 0)
		w := c.startWatcher("entry-1", "entry", &partition{})
		time.Sleep(settleTime)
		request := &controlv1.RequestDrainRequest{Environment: c.doc.Environment, Drain: &controlv1.DrainRequest{
			Target: controlv1.DrainTarget_DRAIN_TARGET_FAILURE_DOMAIN, Name: "midlands-9",
		}}
		_, err := c.control.RequestDrain(c.ctx, request)
		require.NoError(t, err)
		routable := func() int {
			n := 0
			for _, a := range c.fleet.list() {
				if _, ok := w.Routes().Current().WeightVersion(&a); ok && a.Service != "" {
					n++
				}
			}
			return n
		}
		time.Sleep(settleTime)
		require.Equal(t, 1, routable())
		require.Equal(t, controlv1.RouteState_ROUTE_STATE_HELD, c.serverRoute("desk-1").State)
		time.Sleep(5 * settleTime)
		require.Equal(t, controlv1.RouteState_ROUTE_STATE_DRAINED, c.serverRoute("desk-1").State)
		request.End = true
		_, err = c.control.RequestDrain(c.ctx, request)
		require.NoError(t, err)
		time.Sleep(2 * settleTime)
		require.Empty(t, c.status().Routes)
		require.Equal(t, 2, routable())
	})
}
