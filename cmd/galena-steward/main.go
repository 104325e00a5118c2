// Command galena-steward reconciles the backend servers with the declared
// configuration.
package main

import (
	"context"
	"fmt"
	"os"

	"github.com/galenaarch/galenaarch/kernel"
	"github.com/galenaarch/galenaarch/kernel/settings"
	"github.com/galenaarch/galenaarch/steward"
	"github.com/galenaarch/galenaarch/telemetry"
)

func main() {
	var s steward.Settings
	var t telemetry.Settings
	settings.ParseOrExit("galena-steward", &s, &t)
	if err := run(s, t); err != nil {
		fmt.Fprintln(os.Stderr, "galena-steward:", err)
		os.Exit(1)
	}
}

func run(s steward.Settings, t telemetry.Settings) error {
	ctx := context.Background()
	tel, err := telemetry.New(ctx, "galena-steward", s.Instance, t, os.Stderr)
	if err != nil {
		return err
	}
	defer tel.Close(ctx)
	st := steward.New(s)
	return kernel.NewApp(tel.Context, telemetry.NewServer(s.MetricsListen, st.Ready), st).Run(0)
}
