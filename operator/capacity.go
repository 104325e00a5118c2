package operator

import (
	"context"
	"fmt"

	"github.com/peterbourgon/ff/v3/ffcli"

	"github.com/galenaarch/galenaarch/capacity"
)

func (t *CLI) capacityCommand() *ffcli.Command {
	fs := t.newFlagSet("capacity")
	return &ffcli.Command{
		Name: "capacity", ShortUsage: "galenactl capacity FILE", ShortHelp: "compute the resources each role needs at a given size from measured slopes", FlagSet: fs,
		Exec: func(_ context.Context, args []string) error {
			path, err := singleFileArgument(args)
			if err != nil {
				return err
			}
			text, err := t.readFile(path)
			if err != nil {
				return usageError("%v", err)
			}
			input, err := capacity.Decode(text)
			if err != nil {
				return &exitError{code: ExitRefused, err: fmt.Errorf("%s: %w", path, err)}
			}
			return t.showCapacity(input)
		},
	}
}

func (t *CLI) showCapacity(input *capacity.Input) error {
	rows := capacity.Plan(input)
	return t.writeOutput(rows, func() error {
		if err := capacity.WriteSlopes(t.Out, input); err != nil {
			return err
		}
		fmt.Fprintln(t.Out)
		return capacity.WritePlan(t.Out, rows)
	})
}
