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

// changeFlags are those of commands that change an environment.
type changeFlags struct {
	expect   int64
	changeID string
	comment  string
	from     string
	force    bool
}

// noRevision is the expected revision when none was given.
const noRevision = -1

// readFile reads a file, or the input for "-".
func (t *Tool) readFile(path string) ([]byte, error) {
	if path == "-" {
		return io.ReadAll(t.In)
	}
	return os.ReadFile(path)
}

// documentOf reads the document that a command's one argument names.
func (t *Tool) documentOf(args []string) (string, *config.Document, error) {
	path, err := oneFile(args)
	if err != nil {
		return "", nil, err
	}
	text, err := t.readFile(path)
	if err != nil {
		return path, nil, &exitError{code: ExitUsage, err: fmt.Errorf("read document: %w", err)}
	}
	doc, err := t.decode(path, text)
	return path, doc, err
}

func (t *Tool) validateCommand() *ffcli.Command {
	fs := t.flags("validate")
	return &ffcli.Command{
		Name: "validate", ShortUsage: "galenactl validate [flags] FILE", ShortHelp: "check a document", FlagSet: fs,
		Exec: func(_ context.Context, args []string) error {
			path, doc, err := t.documentOf(args)
			if err != nil {
				return err
			}
			return t.show(validReport{File: path, Environment: doc.Environment, Valid: true}, func() error {
				_, err := fmt.Fprintf(t.Out, "%s: sound, environment %s\n", path, doc.Environment)
				return err
			})
		},
	}
}

// validReport is the JSON form of a sound document.
type validReport struct {
	File        string `json:"file"`
	Environment string `json:"environment"`
	Valid       bool   `json:"valid"`
}

func (t *Tool) applyCommand() *ffcli.Command {
	var f changeFlags
	fs := t.flags("apply")
	fs.Int64Var(&f.expect, "expect-revision", noRevision, "accepted revision on which the document was made")
	fs.StringVar(&f.changeID, "change-id", "", "identity of the change; by default made from its content, so that it can be sent again")
	fs.StringVar(&f.comment, "comment", "", "text for the history")
	return &ffcli.Command{
		Name: "apply", ShortUsage: "galenactl apply -expect-revision N [flags] FILE", ShortHelp: "change a trial environment", FlagSet: fs,
		Exec: func(ctx context.Context, args []string) error {
			_, doc, err := t.documentOf(args)
			if err != nil {
				return err
			}
			items, err := config.Items(doc)
			if err != nil {
				return err
			}
			return t.change(ctx, &f, doc.Environment, items, nil)
		},
	}
}

func (t *Tool) promoteCommand() *ffcli.Command {
	var f changeFlags
	fs := t.flags("promote")
	fs.Int64Var(&f.expect, "expect-revision", noRevision, "accepted revision of the production environment")
	fs.StringVar(&f.changeID, "change-id", "", "identity of the change; by default made from its content, so that it can be sent again")
	fs.StringVar(&f.comment, "comment", "", "text for the history")
	fs.StringVar(&f.from, "from", "", "trial environment whose accepted revision is promoted")
	fs.BoolVar(&f.force, "force", false, "promote although the trial environment's checks have not passed")
	return &ffcli.Command{
		Name: "promote", ShortUsage: "galenactl promote -from TRIAL -environment PRODUCTION -expect-revision N [flags]",
		ShortHelp: "bring a trial environment's accepted document to production", FlagSet: fs,
		Exec: func(ctx context.Context, args []string) error {
			if len(args) > 0 {
				return usage("unexpected argument %q", args[0])
			}
			if f.from == "" {
				return usage("-from is required")
			}
			if err := t.needEnvironment(); err != nil {
				return err
			}
			return t.promote(ctx, &f)
		},
	}
}

func (t *Tool) promote(ctx context.Context, f *changeFlags) error {
	control, err := t.client()
	if err != nil {
		return err
	}
	trial, err := t.current(ctx, control, f.from)
	if err != nil {
		return err
	}
	if trial.Revision == 0 {
		return fmt.Errorf("environment %s has no accepted document", f.from)
	}
	if err := t.showChecks(ctx, control, f); err != nil {
		return err
	}
	doc, err := config.FromItems(trial.Items)
	if err != nil {
		return err
	}
	doc.Environment, doc.Stage, doc.PromotesFrom = t.environment, config.StageProduction, f.from
	items, err := config.Items(doc)
	if err != nil {
		return err
	}
	return t.change(ctx, f, t.environment, items, trial)
}

// showChecks shows the checks of the trial environment and refuses a promotion
// that has not passed them.
func (t *Tool) showChecks(ctx context.Context, control controlv1.Control, f *changeFlags) error {
	ctx, cancel := t.call(ctx)
	defer cancel()
	status, err := control.GetStatus(ctx, &controlv1.GetStatusRequest{Environment: f.from})
	if err != nil {
		return unavailable(err)
	}
	faults := promotable(status)
	if t.output == outputText {
		if err := t.printFleet(newDeploymentReports(status), newRouteReports(status)); err != nil {
			return err
		}
	}
	if len(faults) == 0 || f.force {
		return nil
	}
	return &exitError{code: ExitRefused, err: fmt.Errorf("environment %s is not ready: %s", f.from, strings.Join(faults, "; "))}
}

// change sends the difference between the accepted items and the wanted ones.
func (t *Tool) change(ctx context.Context, f *changeFlags, environment string, items []*controlv1.ConfigItem, trial *controlv1.GetConfigResponse) error {
	if f.expect == noRevision {
		return usage("-expect-revision is required; galenactl diff shows the accepted revision")
	}
	control, err := t.client()
	if err != nil {
		return err
	}
	current, err := t.current(ctx, control, environment)
	if err != nil {
		return err
	}
	request := &controlv1.ApplyConfigRequest{
		Environment:      environment,
		ExpectedRevision: uint64(f.expect),
		ChangeId:         f.changeID,
		Author:           author(),
		Comment:          f.comment,
	}
	if trial != nil {
		request.PromotedFrom, request.PromotedRevision = f.from, trial.Revision
	}
	if request.ChangeId == "" {
		request.ChangeId, err = contentID(environment, f.expect, items)
		if err != nil {
			return err
		}
	}
	// A change made on an older revision than the accepted one is sent all the
	// same: control knows whether it is this change, sent again.
	difference := config.Diff(current.Items, items)
	request.Upserts, request.Removes = difference.Upserts, difference.Removes
	ctx, cancel := t.call(ctx)
	defer cancel()
	response, err := control.ApplyConfig(ctx, request)
	if err != nil {
		return unavailable(err)
	}
	return t.showChange(environment, request, response)
}

// contentID identifies a change by what it asks for.
func contentID(environment string, expect int64, items []*controlv1.ConfigItem) (string, error) {
	h := blake3.New()
	fmt.Fprintf(h, "%s\x00%d\x00", environment, expect)
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

func author() string {
	if u, err := user.Current(); err == nil {
		return u.Username
	}
	return "unknown"
}

// changeReport is the JSON form of an answer to a change.
type changeReport struct {
	Environment string   `json:"environment"`
	Accepted    bool     `json:"accepted"`
	Revision    uint64   `json:"revision"`
	ChangeID    string   `json:"change_id"`
	Reason      string   `json:"reason,omitempty"`
	Conflicting []string `json:"conflicting,omitempty"`
}

func (t *Tool) showChange(environment string, request *controlv1.ApplyConfigRequest, response *controlv1.ApplyConfigResponse) error {
	report := changeReport{
		Environment: environment, Accepted: response.Accepted, Revision: response.Revision,
		ChangeID: request.ChangeId, Reason: response.Reason,
	}
	for _, k := range response.Conflicting {
		report.Conflicting = append(report.Conflicting, k.Kind+"/"+k.Name)
	}
	err := t.show(report, func() error {
		if report.Accepted {
			_, err := fmt.Fprintf(t.Out, "environment %s: accepted as revision %d\n", environment, report.Revision)
			return err
		}
		_, err := fmt.Fprintf(t.Out, "environment %s: refused at revision %d: %s\n%s", environment, report.Revision, report.Reason, listed(report.Conflicting))
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

func listed(names []string) string {
	var b strings.Builder
	for _, n := range names {
		fmt.Fprintf(&b, "  changed since: %s\n", n)
	}
	return b.String()
}
