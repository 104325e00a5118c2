// Command galena-control runs one replica of the replicated control state.
package main

import (
	"context"
	"fmt"
	"os"

	"github.com/galenaarch/galenaarch/control"
	"github.com/galenaarch/galenaarch/intake"
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
	intake    intake.Settings
	telemetry telemetry.Settings
}

func main() {
	var o options
	settings.ParseOrExit("galena-control", &o.control, &o.registrar, &o.memory, &o.intake, &o.telemetry)
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
	if tel.Context.Intake, err = intake.New(o.intake, o.memory.LimitMB, tel.Context.Logger); err != nil {
		return err
	}
	if err := tel.Context.Registry.Register(tel.Context.Intake); err != nil {
		return err
	}
	replica := control.NewReplica(o.control)
	return kernel.NewApp(tel.Context,
		telemetry.NewServer(o.control.MetricsListen, replica.Ready), replica, registrar.New(o.registrar, replica)).Run(0)
}
