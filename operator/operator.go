// Package operator is the operator's command line: it reads and changes the
// configuration of environments and shows what is in force.
package operator

import (
	"context"
	"errors"
	"flag"
	"fmt"
	"io"
	"log/slog"
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

// Exit codes.
const (
	ExitOK = 0
	// ExitRefused: the document or the change was refused.
	ExitRefused = 1
	// ExitUsage: the command line is wrong.
	ExitUsage = settings.ExitUsage
	// ExitConflict: the environment changed since the expected revision.
	ExitConflict = 3
	// ExitUnavailable: control did not answer; the outcome may be unknown, and
	// the same command may be sent again.
	ExitUnavailable = 4
)

// Formats of output.
const (
	outputText = "text"
	outputJSON = "json"
)

// errUsage marks a wrong command line.
var errUsage = errors.New("usage")

// exitError carries an exit code.
type exitError struct {
	code int
	err  error
}

// Error implements error.
func (e *exitError) Error() string { return e.err.Error() }

// Unwrap returns the cause.
func (e *exitError) Unwrap() error { return e.err }

func usage(format string, args ...any) error {
	return &exitError{code: ExitUsage, err: fmt.Errorf("%w: %s", errUsage, fmt.Sprintf(format, args...))}
}

// unavailable marks an error of a call to control.
func unavailable(err error) error {
	if err == nil {
		return nil
	}
	return &exitError{code: ExitUnavailable, err: fmt.Errorf("control did not answer, the same command may be sent again: %w", err)}
}

// Tool is one run of the command line.
type Tool struct {
	In     io.Reader
	Out    io.Writer
	ErrOut io.Writer
	// Connect returns a client of control; nil for the one of the flags.
	Connect func() (controlv1.Control, error)

	control     string
	environment string
	output      string
	timeout     time.Duration
	tls         transport.Settings
}

// Default settings.
const (
	defaultControl = "http://127.0.0.1:8090"
	defaultTimeout = 10 * time.Second
)

// flags declares the flags that every command has.
func (t *Tool) flags(name string) *flag.FlagSet {
	fs := flag.NewFlagSet("galenactl "+name, flag.ContinueOnError)
	fs.SetOutput(t.ErrOut)
	fs.StringVar(&t.control, "control", defaultControl, "base URLs of the control replicas, comma-separated")
	fs.StringVar(&t.environment, "environment", "", "environment that is meant")
	fs.StringVar(&t.output, "output", outputText, "form of output: text or json")
	fs.DurationVar(&t.timeout, "timeout", defaultTimeout, "time to wait for control; duration")
	t.tls.RegisterFlags(fs)
	return fs
}

// Run executes a command line and returns its exit code.
func (t *Tool) Run(ctx context.Context, args []string) int {
	root := &ffcli.Command{
		Name:       "galenactl",
		ShortUsage: "galenactl <command> [flags]",
		FlagSet:    flag.NewFlagSet("galenactl", flag.ContinueOnError),
		Subcommands: []*ffcli.Command{
			t.validateCommand(), t.diffCommand(), t.applyCommand(), t.promoteCommand(),
			t.statusCommand(), t.historyCommand(), t.watchCommand(), t.entriesCommand(), t.drainCommand(), t.capacityCommand(),
			t.hashKeyCommand(),
		},
		Exec: func(_ context.Context, args []string) error {
			if len(args) > 0 {
				return usage("unknown command %q; galenactl alone lists the commands", args[0])
			}
			return flag.ErrHelp
		},
	}
	root.FlagSet.SetOutput(t.ErrOut)
	for _, c := range root.Subcommands {
		c.Options = []ff.Option{ff.WithEnvVarPrefix(settings.EnvPrefix)}
	}
	if err := root.Parse(args); err != nil {
		return t.report(usageFromFlags(err))
	}
	return t.report(root.Run(ctx))
}

// usageFromFlags gives faults of the flag package their exit code.
func usageFromFlags(err error) error {
	if errors.Is(err, flag.ErrHelp) {
		return nil
	}
	return &exitError{code: ExitUsage, err: err}
}

func (t *Tool) report(err error) int {
	if err == nil {
		return ExitOK
	}
	if errors.Is(err, flag.ErrHelp) {
		return ExitUsage
	}
	fmt.Fprintln(t.ErrOut, "galenactl:", err)
	var coded *exitError
	if errors.As(err, &coded) {
		return coded.code
	}
	return ExitRefused
}

// client checks the common flags and returns a client of control.
func (t *Tool) client() (controlv1.Control, error) {
	if t.output != outputText && t.output != outputJSON {
		return nil, usage("-output: %q is neither text nor json", t.output)
	}
	if t.Connect != nil {
		return t.Connect()
	}
	var c settings.Checker
	c.Required("control", t.control)
	c.URLs("control", t.control)
	t.tls.Check(&c, nil, settings.List(t.control))
	if err := c.Err(); err != nil {
		return nil, usage("%v", err)
	}
	secured, err := transport.New(t.tls, slog.New(slog.NewTextHandler(t.ErrOut, nil)))
	if err != nil {
		return nil, usage("%v", err)
	}
	return client.New(settings.List(t.control), secured.Client()), nil
}

// needEnvironment checks that -environment is set.
func (t *Tool) needEnvironment() error {
	if t.environment == "" {
		return usage("-environment is required")
	}
	return nil
}

// call bounds a call of control.
func (t *Tool) call(ctx context.Context) (context.Context, context.CancelFunc) {
	return context.WithTimeout(ctx, t.timeout)
}

// current reads the accepted items of an environment.
func (t *Tool) current(ctx context.Context, control controlv1.Control, environment string) (*controlv1.GetConfigResponse, error) {
	ctx, cancel := t.call(ctx)
	defer cancel()
	response, err := control.GetConfig(ctx, &controlv1.GetConfigRequest{Environment: environment})
	return response, unavailable(err)
}

// decode reads a document and reports every fault of it.
func (t *Tool) decode(path string, text []byte) (*config.Document, error) {
	doc, err := config.Decode(text, checkModules)
	var problems config.Problems
	if errors.As(err, &problems) {
		return nil, t.reportProblems(path, problems)
	}
	return doc, err
}

func (t *Tool) reportProblems(path string, problems config.Problems) error {
	if t.output == outputJSON {
		if err := t.json(problemReport{File: path, Problems: problems}); err != nil {
			return err
		}
	} else {
		for _, p := range problems {
			fmt.Fprintf(t.Out, "%s:%d: %s: %s\n", path, p.Line, p.Path, p.Reason)
		}
	}
	return &exitError{code: ExitRefused, err: fmt.Errorf("%s is refused, faults: %d", path, len(problems))}
}

// problemReport is the JSON form of a faulty document.
type problemReport struct {
	File     string          `json:"file"`
	Problems config.Problems `json:"problems"`
}

func oneFile(args []string) (string, error) {
	if len(args) != 1 || strings.HasPrefix(args[0], "-") {
		return "", usage("expected one file after the flags")
	}
	return args[0], nil
}
