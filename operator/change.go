package operator

import (
	"context"
	"encoding/hex"
	"errors"
	"fmt"
	"io"
	"os"
	"os/user"
	"strings"

	"github.com/peterbourgon/ff/v3/ffcli"
	"github.com/zeebo/blake3"
	"google.golang.org/protobuf/proto"

	"github.com/galenaarch/galenaarch/api/controlv1"
	"github.com/galenaarch/galenaarch/config"
)

// changeFlags holds the flags of the apply and promote commands.
type changeFlags struct {
	expectedRevision int64
	changeID         string
	comment          string
	from             string
	force            bool
}

// unsetRevision is the default of -expect-revision, which is required.
const unsetRevision = -1

// readFile reads a file, or standard input for "-".
func (cli *CLI) readFile(path string) ([]byte, error) {
	if path == "-" {
		return io.ReadAll(cli.In)
	}
	return os.ReadFile(path)
}

// readDocument reads and parses the document named by the only positional
// argument. It also returns the path.
func (cli *CLI) readDocument(args []string) (string, *config.Document, error) {
	path, err := singleFileArgument(args)
	if err != nil {
		return "", nil, err
	}
	text, err := cli.readFile(path)
	if err != nil {
		return path, nil, &exitError{code: ExitUsage, err: fmt.Errorf("read document: %w", err)}
	}
	doc, err := cli.decodeDocument(path, text)
	return path, doc, err
}

func (cli *CLI) validateCommand() *ffcli.Command {
	fs := cli.newFlagSet("validate")
	return &ffcli.Command{
		Name: "validate", ShortUsage: "galenactl validate [flags] FILE", ShortHelp: "validate a document", FlagSet: fs,
		Exec: func(_ context.Context, args []string) error {
			path, doc, err := cli.readDocument(args)
			if err != nil {
				return err
			}
			return cli.writeOutput(validReport{File: path, Environment: doc.Environment, Valid: true}, func() error {
				_, err := fmt.Fprintf(cli.Out, "%s: sound, environment %s\n", path, doc.Environment)
				return err
			})
		},
	}
}

// validReport is the JSON output for a valid document.
type validReport struct {
	File        string `json:"file"`
	Environment string `json:"environment"`
	Valid       bool   `json:"valid"`
}

func (cli *CLI) applyCommand() *ffcli.Command {
	var f changeFlags
	fs := cli.newFlagSet("apply")
	fs.Int64Var(&f.expectedRevision, "expect-revision", unsetRevision, "accepted revision that the document is based on")
	fs.StringVar(&f.changeID, "change-id", "", "ID of the change; by default derived from its content, so that a retry is recognized")
	fs.StringVar(&f.comment, "comment", "", "comment recorded in the history")
	return &ffcli.Command{
		Name: "apply", ShortUsage: "galenactl apply -expect-revision N [flags] FILE", ShortHelp: "apply a document to a trial environment", FlagSet: fs,
		Exec: func(ctx context.Context, args []string) error {
			_, doc, err := cli.readDocument(args)
			if err != nil {
				return err
			}
			items, err := config.Items(doc)
			if err != nil {
				return err
			}
			return cli.applyChange(ctx, &f, doc.Environment, items, nil)
		},
	}
}

func (cli *CLI) promoteCommand() *ffcli.Command {
	var f changeFlags
	fs := cli.newFlagSet("promote")
	fs.Int64Var(&f.expectedRevision, "expect-revision", unsetRevision, "accepted revision of the production environment")
	fs.StringVar(&f.changeID, "change-id", "", "ID of the change; by default derived from its content, so that a retry is recognized")
	fs.StringVar(&f.comment, "comment", "", "comment recorded in the history")
	fs.StringVar(&f.from, "from", "", "trial environment whose accepted revision is promoted")
	fs.BoolVar(&f.force, "force", false, "promote even if the checks of the trial environment have not passed")
	return &ffcli.Command{
		Name: "promote", ShortUsage: "galenactl promote -from TRIAL -environment PRODUCTION -expect-revision N [flags]",
		ShortHelp: "apply the accepted document of a trial environment to production", FlagSet: fs,
		Exec: func(ctx context.Context, args []string) error {
			if len(args) > 0 {
				return usageError("unexpected argument %q", args[0])
			}
			if f.from == "" {
				return usageError("-from is required")
			}
			if err := cli.requireEnvironment(); err != nil {
				return err
			}
			return cli.promote(ctx, &f)
		},
	}
}

// promote applies the accepted document of the trial environment f.from to the
// selected production environment, once checkPromotion permits it.
func (cli *CLI) promote(ctx context.Context, f *changeFlags) error {
	control, err := cli.client()
	if err != nil {
		return err
	}
	trial, err := cli.acceptedConfig(ctx, control, f.from)
	if err != nil {
		return err
	}
	if trial.Revision == 0 {
		return fmt.Errorf("environment %s has no accepted document", f.from)
	}
	if err := cli.checkPromotion(ctx, control, f); err != nil {
		return err
	}
	doc, err := config.FromItems(trial.Items)
	if err != nil {
		return err
	}
	doc.Environment, doc.Stage, doc.PromotesFrom = cli.environment, config.StageProduction, f.from
	items, err := config.Items(doc)
	if err != nil {
		return err
	}
	return cli.applyChange(ctx, f, cli.environment, items, trial)
}

// checkPromotion prints the checks of the trial environment and returns an error
// if they have not passed, unless -force is set.
func (cli *CLI) checkPromotion(ctx context.Context, control controlv1.Control, f *changeFlags) error {
	ctx, cancel := cli.withTimeout(ctx)
	defer cancel()
	status, err := control.GetStatus(ctx, &controlv1.GetStatusRequest{Environment: f.from})
	if err != nil {
		return unavailableError(err)
	}
	blockers := promotionBlockers(status)
	if cli.output == outputText {
		if err := cli.printFleet(newDeploymentReports(status), newRouteReports(status)); err != nil {
			return err
		}
	}
	if len(blockers) == 0 || f.force {
		return nil
	}
	return &exitError{code: ExitRefused, err: fmt.Errorf("environment %s is not ready: %s", f.from, strings.Join(blockers, "; "))}
}

// applyChange sends control the difference between the accepted items of an
// environment and items. trial is the promoted configuration, nil unless promoting.
func (cli *CLI) applyChange(ctx context.Context, f *changeFlags, environment string, items []*controlv1.ConfigItem, trial *controlv1.GetConfigResponse) error {
	if f.expectedRevision == unsetRevision {
		return usageError("-expect-revision is required; galenactl diff shows the accepted revision")
	}
	control, err := cli.client()
	if err != nil {
		return err
	}
	current, err := cli.acceptedConfig(ctx, control, environment)
	if err != nil {
		return err
	}
	request := &controlv1.ApplyConfigRequest{
		Environment:      environment,
		ExpectedRevision: uint64(f.expectedRevision),
		ChangeId:         f.changeID,
		Author:           currentUser(),
		Comment:          f.comment,
	}
	if trial != nil {
		request.PromotedFrom, request.PromotedRevision = f.from, trial.Revision
	}
	if request.ChangeId == "" {
		request.ChangeId, err = contentID(environment, f.expectedRevision, items)
		if err != nil {
			return err
		}
	}
	// A change based on an older revision than the accepted one is sent too: only
	// control can tell whether it is a retry of a change already accepted.
	diff := config.Diff(current.Items, items)
	request.Upserts, request.Removes = diff.Upserts, diff.Removes
	ctx, cancel := cli.withTimeout(ctx)
	defer cancel()
	response, err := control.ApplyConfig(ctx, request)
	if err != nil {
		return unavailableError(err)
	}
	return cli.showChange(environment, request, response)
}

// contentID derives the ID of a change from its content, so that a retry has the
// same ID.
func contentID(environment string, expectedRevision int64, items []*controlv1.ConfigItem) (string, error) {
	h := blake3.New()
	fmt.Fprintf(h, "%s\x00%d\x00", environment, expectedRevision)
	for _, it := range items {
		raw, err := proto.MarshalOptions{Deterministic: true}.Marshal(it)
		if err != nil {
			return "", err
		}
		fmt.Fprintf(h, "%d:", len(raw))
		h.Write(raw)
	}
	return hex.EncodeToString(h.Sum(nil)[:16]), nil
}

// currentUser returns the name of the user running the command.
func currentUser() string {
	if u, err := user.Current(); err == nil {
		return u.Username
	}
	return "unknown"
}

// changeReport is the JSON output for the response to a change.
type changeReport struct {
	Environment string   `json:"environment"`
	Accepted    bool     `json:"accepted"`
	Revision    uint64   `json:"revision"`
	ChangeID    string   `json:"change_id"`
	Reason      string   `json:"reason,omitempty"`
	Conflicting []string `json:"conflicting,omitempty"`
}

// showChange writes the response to a change. If the change was not accepted, it
// returns an error with the exit status: ExitConflict if the environment is not at the
// expected revision, ExitRefused otherwise.
func (cli *CLI) showChange(environment string, request *controlv1.ApplyConfigRequest, response *controlv1.ApplyConfigResponse) error {
	report := changeReport{
		Environment: environment, Accepted: response.Accepted, Revision: response.Revision,
		ChangeID: request.ChangeId, Reason: response.Reason,
	}
	for _, k := range response.Conflicting {
		report.Conflicting = append(report.Conflicting, k.Kind+"/"+k.Name)
	}
	err := cli.writeOutput(report, func() error {
		if report.Accepted {
			_, err := fmt.Fprintf(cli.Out, "environment %s: accepted as revision %d\n", environment, report.Revision)
			return err
		}
		_, err := fmt.Fprintf(cli.Out, "environment %s: refused at revision %d: %s\n%s", environment, report.Revision, report.Reason, formatConflicts(report.Conflicting))
		return err
	})
	if err != nil || response.Accepted {
		return err
	}
	if request.ExpectedRevision != response.Revision {
		return &exitError{code: ExitConflict, err: errors.New("the environment changed since the expected revision")}
	}
	return &exitError{code: ExitRefused, err: errors.New(response.Reason)}
}

// formatConflicts returns an indented line for each item that has changed since the
// expected revision.
func formatConflicts(names []string) string {
	var b strings.Builder
	for _, n := range names {
		fmt.Fprintf(&b, "  changed since: %s\n", n)
	}
	return b.String()
}
