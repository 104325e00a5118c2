// Command galena-control runs one replica of the replicated control state.
package main

import (
	"context"
	"fmt"
	"os"

	"github.com/galenaarch/galenaarch/control"
	"github.com/galenaarch/galenaarch/kernel"
	"github.com/galenaarch/galenaarch/kernel/settings"
	"github.com/galenaarch/galenaarch/registrar"
	"github.com/galenaarch/galenaarch/telemetry"

	_ "github.com/galenaarch/galenaarch/platform"
)

// options holds the settings of the components.
type options struct {
	control   control.Settings
	registrar registrar.Settings
	memory    kernel.MemorySettings
	telemetry telemetry.Settings
}

func main() {
	var o options
	settings.ParseOrExit("galena-control", &o.control, &o.registrar, &o.memory, &o.telemetry)
	if err := run(o); err != nil {
		fmt.Fprintln(os.Stderr, "galena-control:", err)
		os.Exit(1)
	}
}

func run(o options) error {
	o.memory.Apply()
	ctx := context.Background()
	w := telemetry.NewAsyncWriter(os.Stdout)
	defer w.Close()
	tel, err := telemetry.New(ctx, "galena-control", o.control.Instance, o.telemetry, w)
	if err != nil {
		return err
	}
	defer tel.Close(ctx)
	w.Register(tel.Context.Registry)
	replica := control.NewReplica(o.control)
	return kernel.NewApp(tel.Context,
		telemetry.NewServer(o.control.MetricsListen, replica.Ready), replica, registrar.New(o.registrar, replica)).Run(0)
}
