package operator

import (
	"context"
	"fmt"
	"slices"

	"github.com/peterbourgon/ff/v3/ffcli"

	"github.com/galenaarch/galenaarch/api/controlv1"
	"github.com/galenaarch/galenaarch/config"
)

// itemChange is one changed item of a diff.
type itemChange struct {
	Action string `json:"action"`
	Kind   string `json:"kind"`
	Name   string `json:"name"`
	Before string `json:"before,omitempty"`
	After  string `json:"after,omitempty"`
}

// diffReport is the JSON output of the diff command.
type diffReport struct {
	Environment string       `json:"environment"`
	Revision    uint64       `json:"revision"`
	Changes     []itemChange `json:"changes"`
}

func (cli *CLI) diffCommand() *ffcli.Command {
	fs := cli.newFlagSet("diff")
	return &ffcli.Command{
		Name: "diff", ShortUsage: "galenactl diff [flags] FILE", ShortHelp: "compare a document with the accepted configuration", FlagSet: fs,
		Exec: func(ctx context.Context, args []string) error {
			_, doc, err := cli.readDocument(args)
			if err != nil {
				return err
			}
			control, err := cli.client()
			if err != nil {
				return err
			}
			current, err := cli.acceptedConfig(ctx, control, doc.Environment)
			if err != nil {
				return err
			}
			items, err := config.Items(doc)
			if err != nil {
				return err
			}
			return cli.showDiff(doc.Environment, current, items)
		},
	}
}

func (cli *CLI) showDiff(environment string, current *controlv1.GetConfigResponse, items []*controlv1.ConfigItem) error {
	report := diffReport{Environment: environment, Revision: current.Revision, Changes: newItemChanges(current.Items, config.Diff(current.Items, items))}
	return cli.writeOutput(report, func() error {
		fmt.Fprintf(cli.Out, "environment %s, accepted revision %d, %d changes\n", environment, current.Revision, len(report.Changes))
		for _, c := range report.Changes {
			fmt.Fprintf(cli.Out, "%s %s %q\n", c.Action, c.Kind, c.Name)
			if c.Before != "" {
				fmt.Fprintf(cli.Out, "  - %s\n", c.Before)
			}
			if c.After != "" {
				fmt.Fprintf(cli.Out, "  + %s\n", c.After)
			}
		}
		return nil
	})
}

// newItemChanges returns the upserts and removals of a change with the item
// bodies before and after it.
func newItemChanges(before []*controlv1.ConfigItem, change config.Change) []itemChange {
	bodyBefore := func(kind, name string) string {
		i := slices.IndexFunc(before, func(it *controlv1.ConfigItem) bool { return it.Kind == kind && it.Name == name })
		if i < 0 {
			return ""
		}
		return string(before[i].Body)
	}
	itemChanges := make([]itemChange, 0, len(change.Upserts)+len(change.Removes))
	for _, it := range change.Upserts {
		upsert := itemChange{Action: "change", Kind: it.Kind, Name: it.Name, Before: bodyBefore(it.Kind, it.Name), After: string(it.Body)}
		if upsert.Before == "" {
			upsert.Action = "add"
		}
		itemChanges = append(itemChanges, upsert)
	}
	for _, k := range change.Removes {
		itemChanges = append(itemChanges, itemChange{Action: "remove", Kind: k.Kind, Name: k.Name, Before: bodyBefore(k.Kind, k.Name)})
	}
	return itemChanges
}
