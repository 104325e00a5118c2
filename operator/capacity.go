package operator

import (
	"context"
	"fmt"

	"github.com/peterbourgon/ff/v3/ffcli"

	"github.com/galenaarch/galenaarch/capacity"
)

func (cli *CLI) capacityCommand() *ffcli.Command {
	fs := cli.newFlagSet("capacity")
	return &ffcli.Command{
		Name: "capacity", ShortUsage: "galenactl capacity FILE", ShortHelp: "compute the resources each role needs at a given size from measured slopes", FlagSet: fs,
		Exec: func(_ context.Context, args []string) error {
			path, err := singleFileArgument(args)
			if err != nil {
				return err
			}
			text, err := cli.readFile(path)
			if err != nil {
				return usageError("%v", err)
			}
			input, err := capacity.Decode(text)
			if err != nil {
				return &exitError{code: ExitRefused, err: fmt.Errorf("%s: %w", path, err)}
			}
			return cli.showCapacity(input)
		},
	}
}

func (cli *CLI) showCapacity(input *capacity.Input) error {
	rows := capacity.Plan(input)
	return cli.writeOutput(rows, func() error {
		if err := capacity.WriteSlopes(cli.Out, input); err != nil {
			return err
		}
		fmt.Fprintln(cli.Out)
		return capacity.WritePlan(cli.Out, rows)
	})
}
