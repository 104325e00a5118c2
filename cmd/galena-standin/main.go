// Command galena-standin simulates one backend server: a model engine, a context store,
// a weight store or a plain service.
package main

import (
	"context"
	"fmt"
	"os"

	"github.com/galenaarch/galenaarch/kernel"
	"github.com/galenaarch/galenaarch/kernel/settings"
	"github.com/galenaarch/galenaarch/standin/process"
	"github.com/galenaarch/galenaarch/telemetry"
)

func main() {
	var s process.Settings
	var t telemetry.Settings
	settings.ParseOrExit("galena-standin", &s, &t)
	if err := run(s, t); err != nil {
		fmt.Fprintln(os.Stderr, "galena-standin:", err)
		os.Exit(1)
	}
}

func run(s process.Settings, t telemetry.Settings) error {
	ctx := context.Background()
	tel, err := telemetry.New(ctx, "galena-standin", s.Instance, t, os.Stderr)
	if err != nil {
		return err
	}
	defer tel.Close(ctx)
	return kernel.NewApp(tel.Context, s.Build(tel.Context.Logger)).Run(0)
}
