// Command galena-gateway runs an entry instance that forwards whole requests.
package main

import (
	"context"
	"fmt"
	"os"

	"github.com/galenaarch/galenaarch/gateway"
	"github.com/galenaarch/galenaarch/kernel"
	"github.com/galenaarch/galenaarch/kernel/settings"
	"github.com/galenaarch/galenaarch/telemetry"

	_ "github.com/galenaarch/galenaarch/platform"
)

func main() {
	var s gateway.Settings
	var m kernel.MemorySettings
	t := telemetry.ListenSettings{}
	settings.ParseOrExit("galena-gateway", &s, &m, &t)
	if err := run(s, m, t); err != nil {
		fmt.Fprintln(os.Stderr, "galena-gateway:", err)
		os.Exit(1)
	}
}

func run(s gateway.Settings, m kernel.MemorySettings, t telemetry.ListenSettings) error {
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
	p := gateway.NewProcess(s)
	return kernel.NewApp(tel.Context, telemetry.NewServer(t.MetricsListen, p.Ready), p).Run(0)
}
