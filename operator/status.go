package operator

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"slices"
	"strings"
	"time"

	"github.com/peterbourgon/ff/v3/ffcli"

	"github.com/galenaarch/galenaarch/api/controlv1"
)

// longPollTimeout is the maximum duration of one long poll for a new revision.
const longPollTimeout = 10 * time.Second

// maxDirectoryBytes bounds the size of an entry's response.
const maxDirectoryBytes = 8 << 20

func (cli *CLI) statusCommand() *ffcli.Command {
	fs := cli.newFlagSet("status")
	return &ffcli.Command{
		Name: "status", ShortUsage: "galenactl status -environment NAME [flags]",
		ShortHelp: "show the accepted revision and the revision in force on each instance", FlagSet: fs,
		Exec: func(ctx context.Context, _ []string) error {
			response, err := cli.readStatus(ctx)
			if err != nil {
				return err
			}
			return cli.writeOutput(newStatusReport(cli.environment, response), func() error { return cli.printStatus(response) })
		},
	}
}

func (cli *CLI) readStatus(ctx context.Context) (*controlv1.GetStatusResponse, error) {
	if err := cli.requireEnvironment(); err != nil {
		return nil, err
	}
	control, err := cli.client()
	if err != nil {
		return nil, err
	}
	ctx, cancel := cli.withTimeout(ctx)
	defer cancel()
	response, err := control.GetStatus(ctx, &controlv1.GetStatusRequest{Environment: cli.environment})
	return response, unavailableError(err)
}

// statusReport is the JSON output of the status command.
type statusReport struct {
	Environment      string             `json:"environment"`
	AcceptedRevision uint64             `json:"accepted_revision"`
	InForce          bool               `json:"in_force_everywhere"`
	Leader           string             `json:"leader"`
	Instances        []instanceReport   `json:"instances"`
	Leases           []leaseReport      `json:"leases"`
	CallsRecorded    uint64             `json:"calls_recorded"`
	RoutingEpoch     uint64             `json:"routing_epoch"`
	Deployments      []deploymentReport `json:"deployments"`
	Servers          []routeReport      `json:"marked_servers"`
}

// instanceReport is an instance in a statusReport.
type instanceReport struct {
	Instance      string `json:"instance"`
	Role          string `json:"role"`
	FailureDomain string `json:"failure_domain"`
	Revision      uint64 `json:"revision_in_force"`
	RoutingEpoch  uint64 `json:"routing_epoch"`
	LeaseLeftMS   int64  `json:"lease_left_ms"`
}

// leaseReport is a lease in a statusReport.
type leaseReport struct {
	Name          string `json:"name"`
	Holder        string `json:"holder"`
	FencingNumber uint64 `json:"fencing_number"`
	LeftMS        int64  `json:"left_ms"`
	Note          string `json:"note,omitempty"`
}

func newStatusReport(environment string, s *controlv1.GetStatusResponse) statusReport {
	report := statusReport{
		Environment: environment, AcceptedRevision: s.AcceptedRevision, InForce: inForceEverywhere(s),
		Leader: s.Leader, CallsRecorded: s.CallsRecorded, RoutingEpoch: s.RoutingEpoch,
		Deployments: newDeploymentReports(s), Servers: newRouteReports(s),
		Instances: []instanceReport{}, Leases: []leaseReport{},
	}
	for _, i := range s.Instances {
		report.Instances = append(report.Instances, instanceReport{
			Instance: i.Instance, Role: i.Role, FailureDomain: i.FailureDomain, Revision: i.Revision,
			RoutingEpoch: i.RoutingEpoch, LeaseLeftMS: i.LeaseExpiresUnixMs - s.NowUnixMs,
		})
	}
	for _, l := range s.Leases {
		report.Leases = append(report.Leases, leaseReport{
			Name: l.Name, Holder: l.Holder, FencingNumber: l.FencingNumber, LeftMS: l.ExpiresUnixMs - s.NowUnixMs, Note: l.Note,
		})
	}
	return report
}

// inForceEverywhere reports whether every instance with a live lease has the
// accepted revision in force.
func inForceEverywhere(s *controlv1.GetStatusResponse) bool {
	return !slices.ContainsFunc(s.Instances, func(i *controlv1.InstanceStatus) bool {
		return i.LeaseExpiresUnixMs > s.NowUnixMs && i.Revision != s.AcceptedRevision
	})
}

func (cli *CLI) printStatus(s *controlv1.GetStatusResponse) error {
	report := newStatusReport(cli.environment, s)
	fmt.Fprintf(cli.Out, "environment %s: accepted revision %d, in force everywhere: %t, leader %s\n\n",
		report.Environment, report.AcceptedRevision, report.InForce, report.Leader)
	rows := make([][]any, 0, len(report.Instances))
	for _, i := range report.Instances {
		rows = append(rows, []any{i.Instance, i.Role, i.FailureDomain, i.Revision, i.RoutingEpoch, i.LeaseLeftMS})
	}
	if err := cli.writeTable([]any{"INSTANCE", "ROLE", "FAILURE DOMAIN", "IN FORCE", "ROUTING EPOCH", "LEASE LEFT (ms)"}, rows); err != nil {
		return err
	}
	fmt.Fprintln(cli.Out)
	rows = rows[:0]
	for _, l := range report.Leases {
		rows = append(rows, []any{l.Name, l.Holder, l.FencingNumber, l.LeftMS, l.Note})
	}
	if err := cli.writeTable([]any{"LEASE", "HOLDER", "FENCING NUMBER", "LEFT (ms)", "NOTE"}, rows); err != nil {
		return err
	}
	fmt.Fprintln(cli.Out)
	return cli.printFleet(report.Deployments, report.Servers)
}

func (cli *CLI) historyCommand() *ffcli.Command {
	fs := cli.newFlagSet("history")
	limit := fs.Uint("limit", 20, "maximum number of changes to list, newest first")
	return &ffcli.Command{
		Name: "history", ShortUsage: "galenactl history -environment NAME [flags]", ShortHelp: "list accepted changes, newest first", FlagSet: fs,
		Exec: func(ctx context.Context, _ []string) error {
			if err := cli.requireEnvironment(); err != nil {
				return err
			}
			control, err := cli.client()
			if err != nil {
				return err
			}
			ctx, cancel := cli.withTimeout(ctx)
			defer cancel()
			response, err := control.GetHistory(ctx, &controlv1.GetHistoryRequest{Environment: cli.environment, Limit: uint32(*limit)})
			if err != nil {
				return unavailableError(err)
			}
			return cli.showHistory(response.Entries)
		},
	}
}

// historyReport is the JSON output for one accepted change.
type historyReport struct {
	Revision     uint64    `json:"revision"`
	Time         time.Time `json:"time"`
	ChangeID     string    `json:"change_id"`
	Author       string    `json:"author"`
	Comment      string    `json:"comment,omitempty"`
	Upserts      uint32    `json:"upserts"`
	Removes      uint32    `json:"removes"`
	PromotedFrom string    `json:"promoted_from,omitempty"`
}

func (cli *CLI) showHistory(entries []*controlv1.HistoryEntry) error {
	reports := make([]historyReport, 0, len(entries))
	rows := make([][]any, 0, len(entries))
	for _, e := range entries {
		r := historyReport{
			Revision: e.Revision, Time: time.UnixMilli(e.TimeUnixMs).UTC(), ChangeID: e.ChangeId, Author: e.Author,
			Comment: e.Comment, Upserts: e.Upserts, Removes: e.Removes, PromotedFrom: e.PromotedFrom,
		}
		reports = append(reports, r)
		rows = append(rows, []any{r.Revision, r.Time.Format(time.RFC3339), r.Author, r.Upserts, r.Removes, r.PromotedFrom, r.Comment})
	}
	return cli.writeOutput(reports, func() error {
		return cli.writeTable([]any{"REVISION", "TIME", "AUTHOR", "UPSERTS", "REMOVES", "PROMOTED FROM", "COMMENT"}, rows)
	})
}

// watchReport is one line of output of the watch command.
type watchReport struct {
	Time             time.Time `json:"time"`
	AcceptedRevision uint64    `json:"accepted_revision"`
	InForce          bool      `json:"in_force_everywhere"`
	Behind           []string  `json:"behind,omitempty"`
}

func (cli *CLI) watchCommand() *ffcli.Command {
	fs := cli.newFlagSet("watch")
	untilInForce := fs.Bool("until-in-force", false, "exit once the accepted revision is in force everywhere")
	return &ffcli.Command{
		Name: "watch", ShortUsage: "galenactl watch -environment NAME [flags]", ShortHelp: "follow revisions until they are in force", FlagSet: fs,
		Exec: func(ctx context.Context, _ []string) error { return cli.watch(ctx, *untilInForce) },
	}
}

// watchPollInterval is the time between two polls while a revision is not in force
// everywhere.
const watchPollInterval = 200 * time.Millisecond

func (cli *CLI) watch(ctx context.Context, untilInForce bool) error {
	var last watchReport
	for ctx.Err() == nil {
		status, err := cli.readStatus(ctx)
		if err != nil {
			return err
		}
		current := watchReport{Time: time.Now().UTC(), AcceptedRevision: status.AcceptedRevision, InForce: inForceEverywhere(status), Behind: laggingInstances(status)}
		if current.AcceptedRevision != last.AcceptedRevision || current.InForce != last.InForce {
			if err := cli.showWatch(current); err != nil {
				return err
			}
			last = current
		}
		if untilInForce && current.InForce {
			return nil
		}
		if err := cli.waitForChange(ctx, current); err != nil {
			return err
		}
	}
	return nil
}

// waitForChange waits for a newer revision. While the accepted one is not yet in
// force everywhere, it waits only for watchPollInterval.
func (cli *CLI) waitForChange(ctx context.Context, current watchReport) error {
	if !current.InForce {
		time.Sleep(watchPollInterval)
		return nil
	}
	control, err := cli.client()
	if err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(ctx, longPollTimeout+cli.timeout)
	defer cancel()
	_, err = control.GetConfig(ctx, &controlv1.GetConfigRequest{
		Environment: cli.environment, KnownRevision: current.AcceptedRevision, WaitMs: uint32(longPollTimeout.Milliseconds()),
	})
	return unavailableError(err)
}

// laggingInstances returns the instances with a live lease that do not have the
// accepted revision in force.
func laggingInstances(s *controlv1.GetStatusResponse) []string {
	var names []string
	for _, i := range s.Instances {
		if i.LeaseExpiresUnixMs > s.NowUnixMs && i.Revision != s.AcceptedRevision {
			names = append(names, i.Instance)
		}
	}
	return names
}

func (cli *CLI) showWatch(w watchReport) error {
	return cli.writeOutput(w, func() error {
		_, err := fmt.Fprintf(cli.Out, "%s revision %d, in force everywhere: %t %v\n", w.Time.Format(time.RFC3339), w.AcceptedRevision, w.InForce, w.Behind)
		return err
	})
}

func (cli *CLI) entriesCommand() *ffcli.Command {
	fs := cli.newFlagSet("entries")
	entryURL := fs.String("ask", "http://127.0.0.1:8080", "base URL of any entry")
	keyFile := fs.String("key-file", "", "file containing a bearer key")
	return &ffcli.Command{
		Name: "entries", ShortUsage: "galenactl entries -ask URL -key-file FILE [flags]", ShortHelp: "list the entry addresses that clients are given", FlagSet: fs,
		Exec: func(ctx context.Context, _ []string) error {
			key, err := cli.readFile(*keyFile)
			if err != nil {
				return usageError("-key-file: %v", err)
			}
			return cli.showEntries(ctx, *entryURL, string(key))
		},
	}
}

func (cli *CLI) showEntries(ctx context.Context, entryURL, key string) error {
	ctx, cancel := cli.withTimeout(ctx)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, entryURL+"/v1/directory", nil)
	if err != nil {
		return usageError("-ask: %v", err)
	}
	req.Header.Set("Authorization", "Bearer "+strings.TrimSpace(key))
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return unavailableError(err)
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(io.LimitReader(resp.Body, maxDirectoryBytes))
	if err != nil {
		return unavailableError(err)
	}
	if resp.StatusCode != http.StatusOK {
		return fmt.Errorf("entry %s returned status %d: %s", entryURL, resp.StatusCode, body)
	}
	return cli.writeJSON(json.RawMessage(body))
}
