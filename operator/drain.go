package operator

import (
	"context"
	"errors"
	"fmt"
	"time"

	"github.com/peterbourgon/ff/v3/ffcli"

	"github.com/galenaarch/galenaarch/api/controlv1"
)

// drainPollInterval is the time between two polls while waiting for a drain.
const drainPollInterval = 500 * time.Millisecond

// drainFlags holds the flags of the drain command.
type drainFlags struct {
	server        string
	instance      string
	failureDomain string
	reason        string
	maxLost       float64
	end           bool
	wait          bool
}

func (cli *CLI) drainCommand() *ffcli.Command {
	var f drainFlags
	fs := cli.newFlagSet("drain")
	fs.StringVar(&f.server, "server", "", "backend server to drain")
	fs.StringVar(&f.instance, "instance", "", "IP address of the instance whose backend servers are drained")
	fs.StringVar(&f.failureDomain, "failure-domain", "", "failure domain whose backend servers are drained")
	fs.StringVar(&f.reason, "reason", "", "reason shown to other operators")
	fs.Float64Var(&f.maxLost, "max-lost", 0, "fraction of a deployment's servers that may be out of service at once, 0 to 1; 0 for as many as min_serving permits")
	fs.BoolVar(&f.end, "end", false, "end the drain and return the servers to service")
	fs.BoolVar(&f.wait, "wait", false, "wait until every matched server is drained")
	return &ffcli.Command{
		Name: "drain", ShortUsage: "galenactl drain -environment NAME (-server|-instance|-failure-domain) NAME [flags]",
		ShortHelp: "take backend servers out of service without interrupting runs", FlagSet: fs,
		Exec: func(ctx context.Context, _ []string) error { return cli.drain(ctx, &f) },
	}
}

// request validates the flags and returns the request to control.
func (f *drainFlags) request(environment string) (*controlv1.RequestDrainRequest, error) {
	targets := []struct {
		name string
		kind controlv1.DrainTarget
	}{
		{f.server, controlv1.DrainTarget_DRAIN_TARGET_SERVER},
		{f.instance, controlv1.DrainTarget_DRAIN_TARGET_INSTANCE},
		{f.failureDomain, controlv1.DrainTarget_DRAIN_TARGET_FAILURE_DOMAIN},
	}
	drain := &controlv1.DrainRequest{Reason: f.reason, MaxLost: f.maxLost}
	targetCount := 0
	for _, target := range targets {
		if target.name != "" {
			targetCount++
			drain.Target, drain.Name = target.kind, target.name
		}
	}
	if targetCount != 1 {
		return nil, usageError("exactly one of -server, -instance and -failure-domain is required")
	}
	if f.maxLost < 0 || f.maxLost > 1 {
		return nil, usageError("-max-lost: %v is not a fraction from 0 to 1", f.maxLost)
	}
	return &controlv1.RequestDrainRequest{Environment: environment, Drain: drain, End: f.end}, nil
}

// drain requests a drain or, with -end, ends it. With -wait it returns once a
// requested drain is done.
func (cli *CLI) drain(ctx context.Context, f *drainFlags) error {
	if err := cli.requireEnvironment(); err != nil {
		return err
	}
	request, err := f.request(cli.environment)
	if err != nil {
		return err
	}
	control, err := cli.client()
	if err != nil {
		return err
	}
	callCtx, cancel := cli.withTimeout(ctx)
	defer cancel()
	response, err := control.RequestDrain(callCtx, request)
	if err != nil {
		return unavailableError(err)
	}
	if !response.Accepted {
		return &exitError{code: ExitRefused, err: errors.New(response.Reason)}
	}
	if f.end || !f.wait {
		return cli.showDrain(ctx, request.Drain)
	}
	return cli.waitForDrain(ctx, request.Drain)
}

// drainReport is the JSON output of the drain command. Active is true while control
// holds the drain request.
type drainReport struct {
	Target      string                `json:"target"`
	Name        string                `json:"name"`
	Active      bool                  `json:"active"`
	Deployments []drainProgressReport `json:"deployments"`
}

// drainProgressReport is the progress of a drain in one deployment. It counts the
// servers that the drain matches (Matched), those of them that are out of routing but
// not yet drained (Held) and those that are drained (Drained). Note says what the
// drain waits for, or that it is done.
type drainProgressReport struct {
	Deployment string `json:"deployment"`
	Matched    uint32 `json:"matched"`
	Held       uint32 `json:"held"`
	Drained    uint32 `json:"drained"`
	Note       string `json:"note,omitempty"`
}

// done reports whether at least one deployment has reported and no reported
// deployment has a matched server that is not drained. A deployment without matched
// servers reports too.
func (r *drainReport) done() bool {
	for _, d := range r.Deployments {
		if d.Drained < d.Matched {
			return false
		}
	}
	return len(r.Deployments) > 0
}

// newDrainReport returns the report of the drain with the target and name of request.
func newDrainReport(status *controlv1.GetStatusResponse, request *controlv1.DrainRequest) drainReport {
	report := drainReport{Target: targetName(request.Target), Name: request.Name, Deployments: []drainProgressReport{}}
	for _, d := range status.Drains {
		if d.Request.GetTarget() != request.Target || d.Request.GetName() != request.Name {
			continue
		}
		report.Active = true
		for _, p := range d.Progress {
			report.Deployments = append(report.Deployments, drainProgressReport{
				Deployment: p.Deployment, Matched: p.Matched, Held: p.Held, Drained: p.Drained, Note: p.Note,
			})
		}
	}
	return report
}

func targetName(target controlv1.DrainTarget) string {
	switch target {
	case controlv1.DrainTarget_DRAIN_TARGET_SERVER:
		return "server"
	case controlv1.DrainTarget_DRAIN_TARGET_INSTANCE:
		return "instance"
	case controlv1.DrainTarget_DRAIN_TARGET_FAILURE_DOMAIN:
		return "failure-domain"
	}
	return "unknown"
}

// showDrain reads the status from control and writes the drain's report.
func (cli *CLI) showDrain(ctx context.Context, request *controlv1.DrainRequest) error {
	status, err := cli.readStatus(ctx)
	if err != nil {
		return err
	}
	report := newDrainReport(status, request)
	return cli.writeOutput(report, func() error { return cli.printDrain(report) })
}

func (cli *CLI) printDrain(report drainReport) error {
	fmt.Fprintf(cli.Out, "drain of %s %s, active: %t\n", report.Target, report.Name, report.Active)
	rows := make([][]any, 0, len(report.Deployments))
	for _, d := range report.Deployments {
		rows = append(rows, []any{d.Deployment, d.Matched, d.Held, d.Drained, d.Note})
	}
	return cli.writeTable([]any{"DEPLOYMENT", "MATCHED", "HELD", "DRAINED", "NOTE"}, rows)
}

// waitForDrain polls the status until the drain is done and then writes its report.
// If ctx ends first, the drain continues.
func (cli *CLI) waitForDrain(ctx context.Context, request *controlv1.DrainRequest) error {
	for {
		status, err := cli.readStatus(ctx)
		if err != nil {
			return err
		}
		if report := newDrainReport(status, request); report.done() {
			return cli.writeOutput(report, func() error { return cli.printDrain(report) })
		}
		select {
		case <-ctx.Done():
			return &exitError{code: ExitUnavailable, err: errors.New("stopped waiting; the drain continues")}
		case <-time.After(drainPollInterval):
		}
	}
}
