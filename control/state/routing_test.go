package state_test

import (
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/galenaarch/galenaarch/api/controlv1"
	"github.com/galenaarch/galenaarch/config"
	"github.com/galenaarch/galenaarch/control/state"
	"github.com/galenaarch/galenaarch/examples"
)

const (
	environment = "haddon-trial"
	leaseMS     = 10_000
	loading     = controlv1.RouteState_ROUTE_STATE_LOADING
	held        = controlv1.RouteState_ROUTE_STATE_HELD
	serving     = controlv1.RouteState_ROUTE_STATE_SERVING
)

// testState applies commands to a state at a log time that the test controls.
type testState struct {
	*testing.T
	*state.State
	nowMS         int64
	fencingNumber uint64
}

func newTestState(t *testing.T) *testState {
	s := &testState{T: t, State: state.New(), nowMS: 1000}
	doc, err := config.Decode(examples.HaddonPryce)
	require.NoError(t, err)
	items, err := config.Items(doc)
	require.NoError(t, err)
	response := s.applyNow(&controlv1.Command{Body: &controlv1.Command_ApplyConfig{ApplyConfig: &controlv1.ApplyConfigRequest{
		Environment: environment, ChangeId: "1", Upserts: items,
	}}}).GetApplyConfig()
	require.True(t, response.Accepted, response.Reason)
	s.fencingNumber = s.acquire("steward-1")
	return s
}

func (s *testState) applyNow(cmd *controlv1.Command) *controlv1.Result {
	cmd.TimeUnixMs = s.nowMS
	return s.Apply(cmd)
}

func (s *testState) acquire(holder string) uint64 {
	return s.applyNow(&controlv1.Command{Body: &controlv1.Command_AcquireLease{AcquireLease: &controlv1.AcquireLeaseRequest{
		Name: state.StewardLeaseName(environment, "quotes"), Holder: holder, TermMs: 60_000,
	}}}).GetAcquireLease().FencingNumber
}

func (s *testState) update(req *controlv1.UpdateRoutingRequest) *controlv1.UpdateRoutingResponse {
	req.Environment, req.Deployment = environment, "quotes"
	if req.Holder == "" {
		req.Holder, req.FencingNumber = "steward-1", s.fencingNumber
	}
	if req.MaxLoads == 0 {
		req.MaxLoads = 2
	}
	return s.applyNow(&controlv1.Command{Body: &controlv1.Command_UpdateRouting{UpdateRouting: req}}).GetUpdateRouting()
}

func (s *testState) setState(server string, st controlv1.RouteState) *controlv1.UpdateRoutingResponse {
	return s.update(&controlv1.UpdateRoutingRequest{Upserts: []*controlv1.ServerRoute{{Server: server, State: st, WeightVersion: "v2"}}})
}

// report reports the routing epoch of an entry and returns the granted lease;
// milliseconds.
func (s *testState) report(entry string, incarnation, epoch uint64) uint32 {
	return s.applyNow(&controlv1.Command{Body: &controlv1.Command_ReportApplied{ReportApplied: &controlv1.ReportAppliedRequest{
		Environment: environment, Instance: entry, Role: "entry", Revision: 1, RoutingEpoch: epoch, Incarnation: incarnation, LeaseMs: leaseMS,
	}}}).GetReportApplied().LeaseMs
}

func TestRoutingUpdateRequiresLease(t *testing.T) {
	tests := []struct {
		name     string
		change   func(s *testState, req *controlv1.UpdateRoutingRequest)
		accepted bool
	}{
		{"held", func(*testState, *controlv1.UpdateRoutingRequest) {}, true},
		{"another holder", func(_ *testState, r *controlv1.UpdateRoutingRequest) { r.Holder = "steward-2" }, false},
		{"outdated fencing number", func(_ *testState, r *controlv1.UpdateRoutingRequest) { r.FencingNumber-- }, false},
		{"lease expired", func(s *testState, _ *controlv1.UpdateRoutingRequest) { s.nowMS += 60_000 }, false},
		{"lease held by the next steward", func(s *testState, _ *controlv1.UpdateRoutingRequest) {
			s.nowMS += 60_000
			s.acquire("steward-2")
		}, false},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			s := newTestState(t)
			req := &controlv1.UpdateRoutingRequest{
				Holder: "steward-1", FencingNumber: s.fencingNumber,
				Upserts: []*controlv1.ServerRoute{{Server: "a", State: held}},
			}
			tt.change(s, req)
			before := s.Status(environment).RoutingEpoch
			response := s.update(req)
			require.Equal(t, tt.accepted, response.Accepted)
			require.Equal(t, tt.accepted, s.Status(environment).RoutingEpoch > before)
		})
	}
}

func TestLoadRequiresAcknowledgedEpoch(t *testing.T) {
	tests := []struct {
		name string
		// beforeLoad runs after the server was held at the given epoch and
		// before the load is requested.
		beforeLoad func(s *testState, epoch uint64)
		permitted  bool
	}{
		{"acknowledged", func(s *testState, epoch uint64) { s.report("entry-1", 1, epoch) }, true},
		{"not acknowledged", func(s *testState, _ uint64) {}, false},
		{"delayed report of an earlier epoch", func(s *testState, epoch uint64) { s.report("entry-1", 1, epoch-1) }, false},
		{"lease expired", func(s *testState, _ uint64) { s.nowMS += leaseMS }, true},
		{"another entry routes on an earlier epoch", func(s *testState, epoch uint64) {
			s.report("entry-1", 1, epoch)
			s.report("entry-2", 1, epoch-1)
		}, false},
		{"lease of an earlier incarnation has not expired", func(s *testState, epoch uint64) { s.report("entry-1", 2, epoch) }, false},
		{"lease of an earlier incarnation has expired", func(s *testState, epoch uint64) {
			s.nowMS += leaseMS
			s.report("entry-1", 2, epoch)
		}, true},
		{"stale report does not shorten a lease", func(s *testState, epoch uint64) {
			s.nowMS += leaseMS - 1
			s.report("entry-1", 1, epoch-1)
			s.nowMS += leaseMS - 1
		}, false},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			s := newTestState(t)
			s.report("entry-1", 1, s.Status(environment).RoutingEpoch)
			epoch := s.setState("a", held).Epoch
			tt.beforeLoad(s, epoch)
			response := s.setState("a", loading)
			require.True(t, response.Accepted)
			require.Equal(t, tt.permitted, len(response.RefusedLoads) == 0)
		})
	}
}

// TestEntryBelowRequiredEpochGetsNoLease guards against an entry that was partitioned
// while a weight load was permitted and still routes to the server: it gets no
// lease until it routes on the epoch in which that server was held.
func TestEntryBelowRequiredEpochGetsNoLease(t *testing.T) {
	s := newTestState(t)
	before := s.Status(environment).RoutingEpoch
	require.EqualValues(t, leaseMS, s.report("entry-1", 1, before))
	epoch := s.setState("a", held).Epoch
	s.nowMS += leaseMS
	require.Empty(t, s.setState("a", loading).RefusedLoads)
	require.Zero(t, s.report("entry-1", 1, before))
	restored, err := restore(s.State)
	require.NoError(t, err)
	s.State = restored
	require.Zero(t, s.report("entry-1", 1, before), "after a restore from a snapshot")
	require.EqualValues(t, leaseMS, s.report("entry-1", 1, epoch))
}

func restore(st *state.State) (*state.State, error) {
	data, err := st.Snapshot()
	if err != nil {
		return nil, err
	}
	return state.Restore(data)
}

func TestConcurrentLoadsAreBounded(t *testing.T) {
	s := newTestState(t)
	for _, name := range []string{"a", "b", "c"} {
		s.setState(name, held)
	}
	require.Empty(t, s.setState("a", loading).RefusedLoads)
	require.Empty(t, s.setState("b", loading).RefusedLoads)
	require.Equal(t, []string{"c"}, s.setState("c", loading).RefusedLoads)
	require.Equal(t, []string{"d"}, s.setState("d", loading).RefusedLoads, "a server that was not held")
	s.setState("a", serving)
	require.Empty(t, s.setState("c", loading).RefusedLoads)
}

func TestRoutingDelta(t *testing.T) {
	s := newTestState(t)
	known := s.Routing(environment, 0)
	require.True(t, known.Full)
	states := make(map[string]controlv1.RouteState)
	s.setState("a", held)
	s.setState("b", held)
	s.setState("a", serving)
	s.update(&controlv1.UpdateRoutingRequest{Removes: []string{"b"}, Route: &controlv1.DeploymentRoute{ServingVersions: []string{"v1", "v2"}}})
	delta := s.Routing(environment, known.Epoch)
	require.False(t, delta.Full)
	for _, r := range delta.Servers {
		states[r.Server] = r.State
	}
	require.Equal(t, map[string]controlv1.RouteState{"a": serving}, states)
	require.Equal(t, []string{"b"}, delta.RemovedServers)
	require.Equal(t, []string{"v1", "v2"}, delta.Deployments[0].ServingVersions)
	require.Nil(t, s.Routing(environment, delta.Epoch))
	restored, err := restore(s.State)
	require.NoError(t, err)
	require.Equal(t, delta.String(), restored.Routing(environment, known.Epoch).String())
}

// TestEpochIncreasesOnlyForRoutingChanges guards against needless routing epochs:
// state changes of a server that stays out of routing, such as its load and
// probe, do not matter to entries.
func TestEpochIncreasesOnlyForRoutingChanges(t *testing.T) {
	s := newTestState(t)
	steps := []struct {
		state       controlv1.RouteState
		raisesEpoch bool
	}{
		{held, true},
		{loading, false},
		{controlv1.RouteState_ROUTE_STATE_PROBING, false},
		{serving, true},
		{serving, false},
		{controlv1.RouteState_ROUTE_STATE_SET_ASIDE, true},
		{held, false},
	}
	for _, st := range steps {
		before := s.Status(environment).RoutingEpoch
		response := s.setState("a", st.state)
		require.Empty(t, response.RefusedLoads)
		require.Equal(t, st.raisesEpoch, response.Epoch > before, st.state)
	}
}

// TestDeploymentKeepsServingVersionAfterConfigChange guards against switching
// the weight version on declaration: the previous version is served until the
// steward updates the route.
func TestDeploymentKeepsServingVersionAfterConfigChange(t *testing.T) {
	s := newTestState(t)
	doc, err := config.Decode(examples.HaddonPryce)
	require.NoError(t, err)
	doc.Deployments[0].WeightVersion = "v2"
	items, err := config.Items(doc)
	require.NoError(t, err)
	response := s.applyNow(&controlv1.Command{Body: &controlv1.Command_ApplyConfig{ApplyConfig: &controlv1.ApplyConfigRequest{
		Environment: environment, ChangeId: "2", ExpectedRevision: 1, Upserts: items,
	}}}).GetApplyConfig()
	require.True(t, response.Accepted, response.Reason)
	require.Equal(t, []string{"v1"}, s.Status(environment).Deployments[0].ServingVersions)
}
