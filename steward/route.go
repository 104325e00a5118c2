package steward

import (
	"fmt"
	"slices"

	"google.golang.org/protobuf/proto"

	"github.com/galenaarch/galenaarch/api/controlv1"
)

// mutableRoute returns the deployment route of the plan. The first call copies
// the current route.
func (p *planner) mutableRoute() *controlv1.DeploymentRoute {
	if p.plan.DeploymentRoute == nil {
		p.plan.DeploymentRoute = proto.CloneOf(p.DeploymentRoute)
		if p.plan.DeploymentRoute == nil {
			p.plan.DeploymentRoute = &controlv1.DeploymentRoute{}
		}
	}
	return p.plan.DeploymentRoute
}

// markHalted records in the deployment route that the rollout of the declared
// version was halted.
func (p *planner) markHalted() {
	p.mutableRoute().HaltedVersion = p.Deployment.WeightVersion
}

// updateDeploymentRoute updates the serving and retired versions and the checks
// of the deployment route.
func (p *planner) updateDeploymentRoute() {
	route := p.mutableRoute()
	if route.HaltedVersion != p.Deployment.WeightVersion {
		route.HaltedVersion = ""
	}
	for _, version := range slices.Clone(p.servingVersions) {
		if version != p.targetVersion && p.isRetired(version) {
			p.servingVersions = slices.DeleteFunc(p.servingVersions, func(v string) bool { return v == version })
			route.RetiredVersions = append(route.RetiredVersions, version)
		}
	}
	route.RetiredVersions = slices.DeleteFunc(route.RetiredVersions, func(v string) bool { return slices.Contains(p.servingVersions, v) })
	route.ServingVersions = p.servingVersions
	route.Checks = p.deploymentChecks()
	if proto.Equal(route, p.DeploymentRoute) {
		p.plan.DeploymentRoute = nil
	}
}

// isRetired reports whether a version is no longer served: another version is,
// and no server runs this one, including servers whose last requests are still
// running.
func (p *planner) isRetired(version string) bool {
	if !slices.Contains(p.servingVersions, p.targetVersion) {
		return false
	}
	for i := range p.Servers {
		if p.versionOf(&p.Servers[i]) == version {
			return false
		}
	}
	return true
}

// deploymentChecks returns the checks that an operator reads before promoting this
// configuration to production.
func (p *planner) deploymentChecks() *controlv1.DeploymentChecks {
	c := &controlv1.DeploymentChecks{
		Revision:      p.Revision,
		TargetVersion: p.targetVersion,
		Declared:      uint32(p.Deployment.Servers),
		Announced:     uint32(len(p.Servers)),
		Serving:       uint32(p.routable),
	}
	domains := make(map[string]bool)
	pendingReason := ""
	for i := range p.Servers {
		s := &p.Servers[i]
		domains[s.FailureDomain] = true
		reason := p.outdatedReason(s)
		if reason == "" && p.isRoutable(s) {
			c.OnTarget++
		}
		if route := p.plannedRoutes[s.Server]; route != nil && route.State == stateSetAside {
			c.SetAside++
			pendingReason = s.Server + ": " + route.Reason
		}
		if reason != "" && pendingReason == "" {
			pendingReason = s.Server + ": " + reason
		}
	}
	c.FailureDomains = uint32(len(domains))
	c.Passed = c.OnTarget >= c.Declared && c.SetAside == 0 && p.targetVersion == p.Deployment.WeightVersion
	c.Note = p.checksNote(c, pendingReason)
	return c
}

func (p *planner) checksNote(c *controlv1.DeploymentChecks, pendingReason string) string {
	switch {
	case p.targetVersion != p.Deployment.WeightVersion:
		return fmt.Sprintf("the swap to %q was stopped; %s", p.Deployment.WeightVersion, pendingReason)
	case pendingReason != "":
		return pendingReason
	case c.Announced < c.Declared:
		return fmt.Sprintf("%d servers are declared, %d announced", c.Declared, c.Announced)
	}
	return ""
}
