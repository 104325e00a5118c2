// Package operator implements the galenactl command line: it reads and changes
// the configuration of environments and shows which revision is in force.
package operator

import (
	"context"
	"errors"
	"flag"
	"fmt"
	"io"
	"log/slog"
	"net/http"
	"strings"
	"time"

	"github.com/peterbourgon/ff/v3"
	"github.com/peterbourgon/ff/v3/ffcli"

	"github.com/galenaarch/galenaarch/api/controlv1"
	"github.com/galenaarch/galenaarch/config"
	"github.com/galenaarch/galenaarch/control/client"
	"github.com/galenaarch/galenaarch/kernel/settings"
	"github.com/galenaarch/galenaarch/transport"
)

// Exit codes of galenactl.
const (
	ExitOK = 0
	// ExitRefused: the document or the change was rejected.
	ExitRefused = 1
	// ExitUsage: the command line is invalid.
	ExitUsage = settings.ExitUsage
	// ExitConflict: the environment has changed since the expected revision.
	ExitConflict = 3
	// ExitUnavailable: control did not respond. The outcome may be unknown; the same
	// command can be retried.
	ExitUnavailable = 4
	// ExitNoRoute: explain found no route for the request, or its key or account is not known.
	ExitNoRoute = 5
	// ExitNotReady: an entry instance gave no explanation, as it accepts no requests or did not respond.
	ExitNotReady = 6
)

// Output formats.
const (
	outputText = "text"
	outputJSON = "json"
)

// errUsage is wrapped by errors about an invalid command line.
var errUsage = errors.New("usage")

// exitError is an error with the exit code of the process.
type exitError struct {
	code int
	err  error
}

// Error implements error.
func (e *exitError) Error() string { return e.err.Error() }

// Unwrap returns the wrapped error.
func (e *exitError) Unwrap() error { return e.err }

func usageError(format string, args ...any) error {
	return &exitError{code: ExitUsage, err: fmt.Errorf("%w: %s", errUsage, fmt.Sprintf(format, args...))}
}

// unavailableError gives an error of a call to control the exit code
// ExitUnavailable. It returns nil for a nil error.
func unavailableError(err error) error {
	if err == nil {
		return nil
	}
	return &exitError{code: ExitUnavailable, err: fmt.Errorf("control did not respond, the same command can be retried: %w", err)}
}

// CLI executes one command line.
type CLI struct {
	In     io.Reader
	Out    io.Writer
	ErrOut io.Writer
	// Connect returns a client of control. If it is nil, the client is configured by
	// the flags.
	Connect func() (controlv1.Control, error)

	controlURLs string
	environment string
	output      string
	timeout     time.Duration
	tls         transport.Settings
}

// Default flag values.
const (
	defaultControl = "http://127.0.0.1:8090"
	defaultTimeout = 10 * time.Second
)

// newFlagSet returns a flag set with the flags common to all commands.
func (cli *CLI) newFlagSet(name string) *flag.FlagSet {
	fs := flag.NewFlagSet("galenactl "+name, flag.ContinueOnError)
	fs.SetOutput(cli.ErrOut)
	fs.StringVar(&cli.controlURLs, "control", defaultControl, "base URLs of the control replicas, comma-separated")
	fs.StringVar(&cli.environment, "environment", "", "name of the environment")
	fs.StringVar(&cli.output, "output", outputText, "output format: text or json")
	fs.DurationVar(&cli.timeout, "timeout", defaultTimeout, "timeout of calls to control")
	cli.tls.RegisterFlags(fs)
	return fs
}

// Run executes a command line and returns its exit code.
func (cli *CLI) Run(ctx context.Context, args []string) int {
	root := &ffcli.Command{
		Name:       "galenactl",
		ShortUsage: "galenactl <command> [flags]",
		FlagSet:    flag.NewFlagSet("galenactl", flag.ContinueOnError),
		Subcommands: []*ffcli.Command{
			cli.validateCommand(), cli.diffCommand(), cli.applyCommand(), cli.promoteCommand(),
			cli.statusCommand(), cli.historyCommand(), cli.watchCommand(), cli.entriesCommand(), cli.drainCommand(), cli.capacityCommand(),
			cli.zonesCommand(), cli.evacuateCommand(), cli.restoreCommand(), cli.explainCommand(),
			cli.hashKeyCommand(),
		},
		Exec: func(_ context.Context, args []string) error {
			if len(args) > 0 {
				return usageError("unknown command %q; run galenactl without arguments to list the commands", args[0])
			}
			return flag.ErrHelp
		},
	}
	root.FlagSet.SetOutput(cli.ErrOut)
	for _, c := range root.Subcommands {
		c.Options = []ff.Option{ff.WithEnvVarPrefix(settings.EnvPrefix)}
	}
	if err := root.Parse(args); err != nil {
		return cli.printError(flagError(err))
	}
	return cli.printError(root.Run(ctx))
}

// flagError gives an error of the flag package the exit code ExitUsage. It returns
// nil for a request for help.
func flagError(err error) error {
	if errors.Is(err, flag.ErrHelp) {
		return nil
	}
	return &exitError{code: ExitUsage, err: err}
}

// printError prints err and returns the exit code for it.
func (cli *CLI) printError(err error) int {
	if err == nil {
		return ExitOK
	}
	if errors.Is(err, flag.ErrHelp) {
		return ExitUsage
	}
	fmt.Fprintln(cli.ErrOut, "galenactl:", err)
	var exitErr *exitError
	if errors.As(err, &exitErr) {
		return exitErr.code
	}
	return ExitRefused
}

// client validates the common flags and returns a client of control.
func (cli *CLI) client() (controlv1.Control, error) {
	if cli.output != outputText && cli.output != outputJSON {
		return nil, usageError("-output: %q: expected text or json", cli.output)
	}
	if cli.Connect != nil {
		return cli.Connect()
	}
	httpClient, err := cli.httpClient()
	if err != nil {
		return nil, err
	}
	return client.New(settings.SplitList(cli.controlURLs), httpClient), nil
}

// httpClient validates the flags on connections and returns an HTTP client for calls to the system's
// processes.
func (cli *CLI) httpClient() (*http.Client, error) {
	var c settings.Checker
	c.Required("control", cli.controlURLs)
	c.URLs("control", cli.controlURLs)
	cli.tls.Check(&c, nil, settings.SplitList(cli.controlURLs))
	if err := c.Err(); err != nil {
		return nil, usageError("%v", err)
	}
	tlsTransport, err := transport.New(cli.tls, slog.New(slog.NewTextHandler(cli.ErrOut, nil)))
	if err != nil {
		return nil, usageError("%v", err)
	}
	return tlsTransport.Client(), nil
}

// requireEnvironment returns an error if -environment is not set.
func (cli *CLI) requireEnvironment() error {
	if cli.environment == "" {
		return usageError("-environment is required")
	}
	return nil
}

// withTimeout returns a context for one call to control, bounded by -timeout.
func (cli *CLI) withTimeout(ctx context.Context) (context.Context, context.CancelFunc) {
	return context.WithTimeout(ctx, cli.timeout)
}

// acceptedConfig reads the accepted configuration of an environment.
func (cli *CLI) acceptedConfig(ctx context.Context, control controlv1.Control, environment string) (*controlv1.GetConfigResponse, error) {
	ctx, cancel := cli.withTimeout(ctx)
	defer cancel()
	response, err := control.GetConfig(ctx, &controlv1.GetConfigRequest{Environment: environment})
	return response, unavailableError(err)
}

// decodeDocument parses a document. If it is invalid, every problem is printed.
func (cli *CLI) decodeDocument(path string, text []byte) (*config.Document, error) {
	doc, err := config.Decode(text, checkModules)
	var problems config.Problems
	if errors.As(err, &problems) {
		return nil, cli.reportProblems(path, problems)
	}
	return doc, err
}

func (cli *CLI) reportProblems(path string, problems config.Problems) error {
	if cli.output == outputJSON {
		if err := cli.writeJSON(problemReport{File: path, Problems: problems}); err != nil {
			return err
		}
	} else {
		for _, p := range problems {
			fmt.Fprintf(cli.Out, "%s:%d: %s: %s\n", path, p.Line, p.Path, p.Reason)
		}
	}
	return &exitError{code: ExitRefused, err: fmt.Errorf("%s is invalid, %d problems", path, len(problems))}
}

// problemReport is the JSON output for an invalid document.
type problemReport struct {
	File     string          `json:"file"`
	Problems config.Problems `json:"problems"`
}

// singleFileArgument returns the only positional argument.
func singleFileArgument(args []string) (string, error) {
	if len(args) != 1 || strings.HasPrefix(args[0], "-") {
		return "", usageError("expected exactly one file after the flags")
	}
	return args[0], nil
}
