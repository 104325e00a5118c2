package steward_test

import (
	"net/http"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/galenaarch/galenaarch/api/controlv1"
)

const serverCount = 12

func halfCheckFencing(i int) bool { return i%2 == 0 }

// settleTime lets processes start and the first configuration become active.
const settleTime = 5 * time.Second

func TestRolloutKeepsServing(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newTestCluster(t, newFleet(serverCount, halfCheckFencing))
		c.startSteward("steward-1", 0)
		for i, name := range []string{"entry-1", "entry-2", "entry-3"} {
			c.startEntry(name, uint64(i))
		}
		time.Sleep(settleTime)
		c.declare("v2")
		took := c.awaitVersion("v2", time.Minute)
		// Two concurrent loads are the theoretical minimum; the target is 1.25
		// times the resulting time.
		minDuration := serverCount * c.fleet.loadTime / 2
		require.LessOrEqual(t, took, minDuration*5/4)
		c.requireSafe()
		minUsable, noServer := c.dispatchStats()
		require.Zero(t, noServer)
		require.GreaterOrEqual(t, minUsable, 9, "min_serving of the document")
		for name, e := range c.fleet.snapshot() {
			require.Equal(t, 1, e.loads, name)
		}
		time.Sleep(settleTime)
		status := c.status()
		require.Empty(t, status.Routes, "server routes are removed once announcements agree")
		require.Equal(t, []string{"v2"}, status.Deployments[0].ServingVersions)
		require.Equal(t, []string{"v1"}, status.Deployments[0].RetiredVersions)
		require.True(t, status.Deployments[0].Checks.Passed, status.Deployments[0].Checks.Note)
	})
}

// faultCase is one case of TestRolloutUnderFaults.
type faultCase struct {
	name string
	// during is called while a rollout of v2 is in progress; before is called
	// before it.
	during func(c *testCluster, first *partition, stop func())
	before func(c *testCluster)
	// version is the one that every server except the excluded ones must reach.
	version string
	except  []string
	check   func(t *testing.T, c *testCluster)
}

func TestRolloutUnderFaults(t *testing.T) {
	const faultyServer = "engine-03" // a server that does not check fencing numbers
	inject := func(f fault) func(*testCluster) {
		return func(c *testCluster) { c.fleet.update(faultyServer, func(e *fakeEngine) { e.fault = f }) }
	}
	expectSetAside := func(reason string) func(*testing.T, *testCluster) {
		return func(t *testing.T, c *testCluster) {
			for range 120 {
				if r := c.serverRoute(faultyServer); r.GetState() == controlv1.RouteState_ROUTE_STATE_SET_ASIDE {
					require.Contains(t, r.Reason, reason)
					return
				}
				time.Sleep(time.Second)
			}
			require.Fail(t, "server was not set aside")
		}
	}
	tests := []faultCase{
		{name: "steward isolated and stopped during rollout", during: func(_ *testCluster, first *partition, stop func()) {
			first.setIsolated(true)
			stop()
		}},
		{name: "steward stopped during rollout", during: func(_ *testCluster, _ *partition, stop func()) { stop() }},
		{name: "steward isolated for three minutes", during: func(_ *testCluster, first *partition, _ func()) {
			first.setIsolated(true)
			time.AfterFunc(3*time.Minute, func() { first.setIsolated(false) })
		}},
		{name: "response lost after order was applied", before: inject(fault{loseResponses: 2}), check: func(t *testing.T, c *testCluster) {
			require.Equal(t, 1, c.fleet.snapshot()[faultyServer].loads)
		}},
		{name: "restart during load", before: inject(fault{restartInLoad: 1}), check: func(t *testing.T, c *testCluster) {
			require.Equal(t, 2, c.fleet.snapshot()[faultyServer].loads)
		}},
		{name: "order refused", before: inject(fault{refuse: http.StatusInternalServerError}), except: []string{faultyServer}, check: expectSetAside("status 500")},
		{name: "load ends on previous version", before: inject(fault{keepOldVersion: true}), except: []string{faultyServer}, check: expectSetAside(`weight version "v1" instead of "v2"`)},
		{name: "misreported version", before: inject(fault{misreportVersion: true}), except: []string{faultyServer}, check: expectSetAside(`test run on version "v1"`)},
		{name: "state requests unanswered", before: inject(fault{ignoreStateRequests: true}), except: []string{faultyServer}, check: expectSetAside("cannot be read")},
		{name: "slow weight store", before: func(c *testCluster) { c.fleet.loadTime = 10 * time.Second }},
		{name: "configuration changed during rollout", version: "v3", during: func(c *testCluster, _ *partition, _ func()) { c.declare("v3") }},
		{name: "entry isolated for one minute", during: func(c *testCluster, _ *partition, _ func()) {
			c.isolatedEntry.setIsolated(true)
			time.AfterFunc(time.Minute, func() { c.isolatedEntry.setIsolated(false) })
		}},
		{name: "control plane without quorum", during: func(c *testCluster, _ *partition, _ func()) {
			c.log.setDown(true)
			time.AfterFunc(2*time.Minute, func() { c.log.setDown(false) })
			time.Sleep(2*time.Minute + time.Second)
		}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) { synctest.Test(t, tt.run) })
	}
}

func (tt *faultCase) run(t *testing.T) {
	c := newTestCluster(t, newFleet(serverCount, halfCheckFencing))
	first, stop := c.startSteward("steward-1", 0)
	c.startEntry("entry-1", 1)
	c.isolatedEntry = c.startEntry("entry-2", 2)
	time.Sleep(settleTime)
	c.startSteward("steward-2", 0)
	if tt.before != nil {
		tt.before(c)
	}
	c.declare("v2")
	time.Sleep(1200 * time.Millisecond)
	if tt.during != nil {
		tt.during(c, first, stop)
	}
	version := tt.version
	if version == "" {
		version = "v2"
	}
	c.awaitVersion(version, 10*time.Minute, tt.except...)
	time.Sleep(20 * time.Second)
	c.requireSafe()
	if tt.check != nil {
		tt.check(t, c)
	}
}
