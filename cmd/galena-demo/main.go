// Command galena-demo runs the whole system on loopback with simulated backend
// servers.
package main

import (
	"context"
	"flag"
	"fmt"
	"os"
	"os/signal"
	"syscall"

	_ "github.com/galenaarch/galenaarch/adapters/jsonstatus"
	_ "github.com/galenaarch/galenaarch/adapters/prometheustext"
	"github.com/galenaarch/galenaarch/demo"
	"github.com/galenaarch/galenaarch/kernel/settings"
	"github.com/galenaarch/galenaarch/telemetry"
)

// options holds the command-line options of the demonstration.
type options struct {
	once bool
}

// RegisterFlags implements settings.Set.
func (o *options) RegisterFlags(fs *flag.FlagSet) {
	fs.BoolVar(&o.once, "once", false, "check the request path end to end, print the measurements and exit")
}

// Check implements settings.Set.
func (o *options) Check(*settings.Checker) {}

func main() {
	var o options
	t := telemetry.Settings{}
	settings.ParseOrExit("galena-demo", &o, &t)
	if err := run(o, t); err != nil {
		fmt.Fprintln(os.Stderr, "galena-demo:", err)
		os.Exit(1)
	}
}

func run(o options, t telemetry.Settings) error {
	ctx := context.Background()
	tel, err := telemetry.New(ctx, "galena-demo", "demo", t, os.Stderr)
	if err != nil {
		return err
	}
	defer tel.Close(ctx)
	cluster, err := demo.Start(tel)
	if err != nil {
		return err
	}
	defer cluster.Stop()
	report, err := cluster.Verify()
	if err != nil {
		return err
	}
	report.Print(os.Stdout)
	if o.once {
		return nil
	}
	fmt.Printf("\nserving on %s, try:\n  curl -N %s/v1/completions -H 'Authorization: Bearer %s' -d '{\"model\":\"quote-model\",\"prompt\":\"a pond of 4 by 6\",\"stream\":true}'\n",
		cluster.EntryURLs[0], cluster.EntryURLs[0], demo.ClientKey)
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT)
	<-signals
	return nil
}
