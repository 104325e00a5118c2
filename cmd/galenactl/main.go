// Command galenactl is the operator's command-line tool.
package main

import (
	"context"
	"os"
	"os/signal"
	"syscall"

	"github.com/galenaarch/galenaarch/operator"
)

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGINT, syscall.SIGTERM)
	tool := &operator.CLI{In: os.Stdin, Out: os.Stdout, ErrOut: os.Stderr}
	code := tool.Run(ctx, os.Args[1:])
	stop()
	os.Exit(code)
}
