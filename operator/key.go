package operator

import (
	"bytes"
	"context"
	"fmt"
	"io"

	"github.com/peterbourgon/ff/v3/ffcli"

	"github.com/galenaarch/galenaarch/config"
)

func (cli *CLI) hashKeyCommand() *ffcli.Command {
	fs := cli.newFlagSet("hash-key")
	return &ffcli.Command{
		Name: "hash-key", ShortUsage: "galenactl hash-key < KEYFILE", ShortHelp: "print the hash of a bearer key read from standard input", FlagSet: fs,
		Exec: func(context.Context, []string) error {
			input, err := io.ReadAll(cli.In)
			if err != nil {
				return err
			}
			key := bytes.TrimRight(input, "\r\n")
			if len(key) == 0 {
				return usageError("expected a key on standard input")
			}
			_, err = fmt.Fprintln(cli.Out, config.HashKey(string(key)))
			return err
		},
	}
}
