package steward

import (
	"time"

	"github.com/galenaarch/galenaarch/api/backend"
	"github.com/galenaarch/galenaarch/config"
)

// servicePrefix precedes the name of a plain service where a deployment name is
// expected.
const servicePrefix = "service/"

// serviceMinServing is the share of a plain service's servers that a drain
// leaves in service unless the request sets another limit.
const serviceMinServing = 0.5

// deploymentForService represents a plain service as a deployment without
// weights: its servers never receive load orders, but are drained like engines.
func deploymentForService(s *config.Service) *config.Deployment {
	return &config.Deployment{Name: servicePrefix + s.Name, MinServingFraction: serviceMinServing}
}

// synthesizeStates fills in the state that plain services do not report. A held
// server is assumed to have no calls left after twice the longest call timeout:
// once for a call that was about to be sent, once for its execution. The
// planner also waits until every entry has acknowledged the hold.
func synthesizeStates(input *PlanInput, service *config.Service) {
	longest := service.FindCall("", "").Timeout.Std()
	for _, c := range service.Calls {
		longest = max(longest, c.Timeout.Std())
	}
	input.Deployment.Servers = len(input.Servers)
	for i := range input.Servers {
		s := &input.Servers[i]
		s.State = &backend.EngineState{Server: s.Server, Incarnation: s.Incarnation}
		route := input.ServerRoutes[s.Server]
		if route.GetState() == stateHeld && input.Now.Sub(time.UnixMilli(route.SinceUnixMs)) < 2*longest {
			s.State.Running = 1
		}
	}
}
