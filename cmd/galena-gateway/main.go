// Command galena-gateway runs an entry instance that forwards whole requests.
package main

import (
	"context"
	"fmt"
	"os"

	"github.com/galenaarch/galenaarch/gateway"
	"github.com/galenaarch/galenaarch/intake"
	"github.com/galenaarch/galenaarch/kernel"
	"github.com/galenaarch/galenaarch/kernel/settings"
	"github.com/galenaarch/galenaarch/telemetry"

	_ "github.com/galenaarch/galenaarch/platform"
)

func main() {
	var s gateway.Settings
	var m kernel.MemorySettings
	var i intake.Settings
	t := telemetry.ListenSettings{}
	settings.ParseOrExit("galena-gateway", &s, &m, &i, &t)
	if err := run(s, m, i, t); err != nil {
		fmt.Fprintln(os.Stderr, "galena-gateway:", err)
		os.Exit(1)
	}
}

func run(s gateway.Settings, m kernel.MemorySettings, i intake.Settings, t telemetry.ListenSettings) error {
	m.Apply()
	ctx := context.Background()
	w := telemetry.NewAsyncWriter(os.Stdout)
	defer w.Close()
	tel, err := telemetry.New(ctx, "galena-gateway", s.Instance, t.Settings, w)
	if err != nil {
		return err
	}
	defer tel.Close(ctx)
	w.Register(tel.Context.Registry)
	if tel.Context.Intake, err = intake.New(i, m.LimitMB, tel.Context.Logger); err != nil {
		return err
	}
	if err := tel.Context.Registry.Register(tel.Context.Intake); err != nil {
		return err
	}
	p := gateway.NewProcess(s)
	return kernel.NewApp(tel.Context, telemetry.NewServer(t.MetricsListen, p.Ready), p).Run(0)
}
