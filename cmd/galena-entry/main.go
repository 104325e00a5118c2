// Command galena-entry runs an entry instance that serves client requests.
package main

import (
	"context"
	"fmt"
	"os"

	_ "github.com/galenaarch/galenaarch/adapters/jsonstatus"
	_ "github.com/galenaarch/galenaarch/adapters/prometheustext"
	"github.com/galenaarch/galenaarch/entry"
	"github.com/galenaarch/galenaarch/intake"
	"github.com/galenaarch/galenaarch/kernel"
	"github.com/galenaarch/galenaarch/kernel/settings"
	"github.com/galenaarch/galenaarch/telemetry"
)

func main() {
	var s entry.Settings
	var t telemetry.Settings
	var i intake.Settings
	settings.ParseOrExit("galena-entry", &s, &i, &t)
	if err := run(s, i, t); err != nil {
		fmt.Fprintln(os.Stderr, "galena-entry:", err)
		os.Exit(1)
	}
}

func run(s entry.Settings, i intake.Settings, t telemetry.Settings) error {
	ctx := context.Background()
	tel, err := telemetry.New(ctx, "galena-entry", s.Instance, t, os.Stderr)
	if err != nil {
		return err
	}
	defer tel.Close(ctx)
	if tel.Context.Intake, err = intake.New(i, 0, tel.Context.Logger); err != nil {
		return err
	}
	if err := tel.Context.Registry.Register(tel.Context.Intake); err != nil {
		return err
	}
	e := entry.New(s)
	return kernel.NewApp(tel.Context, telemetry.NewServer(s.MetricsListen, e.Ready), e).Run(s.DrainTimeout)
}
