package operator

import (
	"fmt"
	"strings"

	"github.com/galenaarch/galenaarch/api/controlv1"
)

// deploymentReport is a deployment in a statusReport.
type deploymentReport struct {
	Deployment string   `json:"deployment"`
	Serving    []string `json:"serving_versions"`
	Retired    []string `json:"retired_versions,omitempty"`
	Halted     string   `json:"halted_version,omitempty"`
	Revision   uint64   `json:"checked_revision"`
	Target     string   `json:"target_version"`
	Declared   uint32   `json:"declared"`
	Announced  uint32   `json:"announced"`
	OnTarget   uint32   `json:"on_target"`
	InService  uint32   `json:"in_service"`
	SetAside   uint32   `json:"set_aside"`
	Domains    uint32   `json:"failure_domains"`
	Passed     bool     `json:"checks_passed"`
	Note       string   `json:"note,omitempty"`
}

// routeReport is the route that control holds for a backend server, in a
// statusReport: the routing state and the reason for it.
type routeReport struct {
	Server     string `json:"server"`
	Deployment string `json:"deployment"`
	State      string `json:"state"`
	Version    string `json:"weight_version,omitempty"`
	Reason     string `json:"reason,omitempty"`
	Failures   uint32 `json:"failures,omitempty"`
}

func newDeploymentReports(status *controlv1.GetStatusResponse) []deploymentReport {
	reports := make([]deploymentReport, 0, len(status.Deployments))
	for _, d := range status.Deployments {
		c := d.GetChecks()
		reports = append(reports, deploymentReport{
			Deployment: d.Deployment, Serving: d.ServingVersions, Retired: d.RetiredVersions, Halted: d.HaltedVersion,
			Revision: c.GetRevision(), Target: c.GetTargetVersion(), Declared: c.GetDeclared(), Announced: c.GetAnnounced(),
			OnTarget: c.GetOnTarget(), InService: c.GetServing(), SetAside: c.GetSetAside(), Domains: c.GetFailureDomains(),
			Passed: c.GetPassed(), Note: c.GetNote(),
		})
	}
	return reports
}

func newRouteReports(status *controlv1.GetStatusResponse) []routeReport {
	reports := make([]routeReport, 0, len(status.Routes))
	for _, r := range status.Routes {
		state := strings.ToLower(strings.TrimPrefix(r.State.String(), "ROUTE_STATE_"))
		reports = append(reports, routeReport{
			Server: r.Server, Deployment: r.Deployment, State: state, Version: r.WeightVersion, Reason: r.Reason, Failures: r.Failures,
		})
	}
	return reports
}

// printFleet writes a table of the deployments with their checks and a table of
// the server routes.
func (cli *CLI) printFleet(deployments []deploymentReport, routes []routeReport) error {
	rows := make([][]any, 0, len(deployments))
	for _, d := range deployments {
		servers := fmt.Sprintf("%d/%d", d.OnTarget, d.Declared)
		rows = append(rows, []any{d.Deployment, strings.Join(d.Serving, ","), d.Target, servers, d.InService, d.SetAside, d.Passed, d.Note})
	}
	if err := cli.writeTable([]any{"DEPLOYMENT", "SERVING", "TARGET", "ON TARGET", "IN SERVICE", "SET ASIDE", "CHECKS PASSED", "NOTE"}, rows); err != nil {
		return err
	}
	fmt.Fprintln(cli.Out)
	rows = rows[:0]
	for _, r := range routes {
		rows = append(rows, []any{r.Server, r.Deployment, r.State, r.Version, r.Failures, r.Reason})
	}
	return cli.writeTable([]any{"BACKEND SERVER", "DEPLOYMENT", "STATE", "VERSION", "FAILURES", "REASON"}, rows)
}

// promotionBlockers returns the reasons why a trial environment must not be
// promoted: its accepted revision is not in force everywhere, or a deployment has
// not passed its checks.
func promotionBlockers(status *controlv1.GetStatusResponse) []string {
	var blockers []string
	if !inForceEverywhere(status) {
		blockers = append(blockers, fmt.Sprintf("revision %d is not yet in force on %v", status.AcceptedRevision, laggingInstances(status)))
	}
	for _, d := range newDeploymentReports(status) {
		if !d.Passed {
			blockers = append(blockers, fmt.Sprintf("deployment %s: checks not passed: %d of %d servers on %s, %d set aside: %s",
				d.Deployment, d.OnTarget, d.Declared, d.Target, d.SetAside, d.Note))
		}
	}
	return blockers
}
