package steward_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/galenaarch/galenaarch/api/backend"
	"github.com/galenaarch/galenaarch/api/controlv1"
	"github.com/galenaarch/galenaarch/config"
	"github.com/galenaarch/galenaarch/steward"
)

// outdatedInput returns an input with n servers on v1 while v2 is declared.
func outdatedInput(n int, minServing float64) steward.PlanInput {
	input := steward.PlanInput{
		Now:             time.UnixMilli(1),
		Deployment:      &config.Deployment{Name: "quotes", WeightVersion: "v2", Servers: 12, MinServingFraction: minServing},
		WeightStore:     config.WeightStore{ConcurrentLoads: 2, LoadTimeout: config.Duration(time.Minute)},
		DeploymentRoute: &controlv1.DeploymentRoute{ServingVersions: []string{"v1"}},
	}
	for i := range n {
		input.Servers = append(input.Servers, steward.Server{Announcement: backend.Announcement{
			Server: fmt.Sprintf("engine-%02d", i), Deployment: "quotes", WeightVersion: "v1", FailureDomain: fmt.Sprint(i % 4), Incarnation: 1,
		}})
	}
	return input
}

func TestHoldsRespectMinServing(t *testing.T) {
	tests := []struct {
		name       string
		servers    int
		minServing float64
		held       int
	}{
		{"three quarters of twelve", 12, 0.75, 3},
		{"half, limited by the servers out of service", 12, 0.5, 4},
		{"all must serve", 12, 1, 0},
		{"one released although rounding up keeps all", 2, 0.75, 1},
		{"the only server", 1, 0.75, 1},
		{"fewer announced than declared", 6, 0.75, 1},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			plan := steward.MakePlan(outdatedInput(tt.servers, tt.minServing))
			require.Len(t, plan.RouteUpserts, tt.held)
			require.Empty(t, plan.Orders, "no order before the entries acknowledge the hold")
			domains := make(map[string]bool)
			for _, route := range plan.RouteUpserts {
				require.Equal(t, controlv1.RouteState_ROUTE_STATE_HELD, route.State)
				for _, s := range outdatedInput(tt.servers, 1).Servers {
					if s.Server == route.Server {
						domains[s.FailureDomain] = true
					}
				}
			}
			require.Len(t, domains, tt.held, "held servers are spread over failure domains")
		})
	}
}

// TestFencingRequiresDocumentAndAnnouncement checks that an order is sent while
// orders of a former holder may be in flight only if both the document and the
// announcement state that the server checks fencing numbers.
func TestFencingRequiresDocumentAndAnnouncement(t *testing.T) {
	for _, document := range []bool{false, true} {
		for _, announced := range []bool{false, true} {
			t.Run(fmt.Sprintf("document %t, announcement %t", document, announced), func(t *testing.T) {
				input := outdatedInput(12, 0.5)
				input.Kinds = map[string]config.ServerKind{"kind": {Name: "kind", ChecksFencing: document}}
				s := &input.Servers[0]
				s.Kind, s.ChecksFencing = "kind", announced
				s.State = &backend.EngineState{Server: s.Server, Incarnation: 1, WeightVersion: "v1"}
				input.ServerRoutes = map[string]*controlv1.ServerRoute{s.Server: {
					Server: s.Server, State: controlv1.RouteState_ROUTE_STATE_HELD, Incarnation: 1, HeldEpoch: 5,
				}}
				input.AcknowledgedEpoch = 5
				input.NonFencingAfter = input.Now.Add(time.Millisecond)
				require.Equal(t, document && announced, len(steward.MakePlan(input).Orders) == 1)
				input.Now = input.NonFencingAfter
				require.Len(t, steward.MakePlan(input).Orders, 1)
				input.AcknowledgedEpoch = 4
				require.Empty(t, steward.MakePlan(input).Orders, "an entry has not acknowledged the hold")
			})
		}
	}
}
