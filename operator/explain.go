package operator

import (
	"context"
	"errors"
	"flag"
	"fmt"
	"io"
	"maps"
	"math"
	"os"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/peterbourgon/ff/v3/ffcli"
	"github.com/rotisserie/eris"
	"google.golang.org/protobuf/encoding/protojson"

	"github.com/galenaarch/galenaarch/api/fleetv1"
)

// explainFlags holds the flags of the explain command.
type explainFlags struct {
	entry, file, keyFile string
	// servers bounds the servers that a table lists; 0 for no bound.
	servers int
	// timeout is how long the client waits; 0 for as long as the route allows.
	timeout time.Duration
	request fleetv1.ExplainRequest
}

func (f *explainFlags) register(fs *flag.FlagSet) {
	tokens := func(to *uint32) func(string) error {
		return func(value string) error {
			n, err := strconv.ParseUint(value, 10, 28)
			*to = uint32(n)
			return err
		}
	}
	fs.StringVar(&f.entry, "entry", "", "entry instance to ask; empty for each of them")
	fs.StringVar(&f.file, "file", "", "JSON file that describes the request, - for standard input; flags replace its values")
	fs.StringVar(&f.request.Method, "method", "", "method of the request")
	fs.StringVar(&f.request.Host, "host", "", "host of the request")
	fs.StringVar(&f.request.Path, "path", "", "path of the request")
	fs.StringVar(&f.keyFile, "key-file", "", "file with the key of the request")
	fs.StringVar(&f.request.Account, "account", "", "client account of the request, instead of a key")
	fs.StringVar(&f.request.Service, "service", "", "service to explain, if the route leads to several")
	fs.StringVar(&f.request.Model, "model", "", "model of the prompt")
	fs.Func("prompt-tokens", "tokens of the prompt; none for a request without a prompt", tokens(&f.request.PromptTokens))
	fs.Func("output-tokens", "most tokens of the response", tokens(&f.request.MaxOutputTokens))
	fs.Func("part", "part of the prompt as ID:TOKENS, repeated in the order of the parts, the request's own part last", f.addPart)
	fs.DurationVar(&f.timeout, "deadline", 0, "how long the client waits; 0 for as long as the route allows")
	fs.IntVar(&f.servers, "servers", defaultShownServers, "servers to list for each entry instance, the cheapest first; 0 for all")
}

// defaultShownServers bounds the servers in a table unless -servers is set.
const defaultShownServers = 20

// addPart adds a part ID:TOKENS.
func (f *explainFlags) addPart(value string) error {
	i := strings.LastIndexByte(value, ':')
	if i <= 0 {
		return errors.New("expected ID:TOKENS")
	}
	n, err := strconv.ParseUint(value[i+1:], 10, 28)
	if err != nil {
		return err
	}
	f.request.Parts = append(f.request.Parts, &fleetv1.PromptPart{Id: value[:i], Tokens: uint32(n)})
	return nil
}

func (cli *CLI) explainCommand() *ffcli.Command {
	var f explainFlags
	fs := cli.newFlagSet("explain")
	f.register(fs)
	return &ffcli.Command{
		Name: "explain", ShortUsage: "galenactl explain [flags]", ShortHelp: "show where entry instances would send a request now, and why, without sending it", FlagSet: fs,
		Exec: func(ctx context.Context, args []string) error {
			if len(args) > 0 {
				return usageError("unexpected argument %q", args[0])
			}
			return cli.explain(ctx, &f)
		},
	}
}

// describedRequest returns the request of the file and the flags.
func (cli *CLI) describedRequest(f *explainFlags) (*fleetv1.ExplainRequest, error) {
	r := &fleetv1.ExplainRequest{}
	if f.file != "" {
		text, err := cli.readInput(f.file)
		if err != nil {
			return nil, usageError("-file: %v", err)
		}
		if err := (protojson.UnmarshalOptions{}).Unmarshal(text, r); err != nil {
			return nil, usageError("-file: %v", err)
		}
	}
	if f.keyFile != "" {
		key, err := cli.readInput(f.keyFile)
		if err != nil {
			return nil, usageError("-key-file: %v", err)
		}
		f.request.Key = strings.TrimRight(string(key), "\r\n")
	}
	if f.timeout > 0 {
		f.request.TimeoutMs = uint32(min(math.MaxUint32, max(1, f.timeout.Milliseconds())))
	}
	replace(&r.Method, f.request.Method)
	replace(&r.Host, f.request.Host)
	replace(&r.Path, f.request.Path)
	replace(&r.Key, f.request.Key)
	replace(&r.Account, f.request.Account)
	replace(&r.Service, f.request.Service)
	replace(&r.Model, f.request.Model)
	replace(&r.PromptTokens, f.request.PromptTokens)
	replace(&r.MaxOutputTokens, f.request.MaxOutputTokens)
	replace(&r.TimeoutMs, f.request.TimeoutMs)
	if len(f.request.Parts) > 0 {
		r.Parts = f.request.Parts
	}
	if !strings.HasPrefix(r.Path, "/") {
		return nil, usageError("expected a path that begins with a slash, by -path or in the file")
	}
	return r, nil
}

// replace sets to to value unless that is zero.
func replace[T comparable](to *T, value T) {
	var zero T
	if value != zero {
		*to = value
	}
}

// readInput returns the content of a file, or of standard input for -.
func (cli *CLI) readInput(path string) ([]byte, error) {
	if path == "-" {
		return io.ReadAll(cli.In)
	}
	return os.ReadFile(path)
}

// explain asks the entry instances for their decisions, and prints them.
func (cli *CLI) explain(ctx context.Context, f *explainFlags) error {
	r, err := cli.describedRequest(f)
	if err != nil {
		return err
	}
	fleet, err := cli.readFleet(ctx)
	if err != nil {
		return err
	}
	defer fleet.stop()
	entries := fleet.view.Current().Entries
	names := slices.Sorted(maps.Keys(entries))
	switch {
	case len(names) == 0:
		return &exitError{code: ExitNotReady, err: errors.New("no entry instance is listed")}
	case f.entry != "" && entries[f.entry] == nil:
		return &exitError{code: ExitRefused, err: fmt.Errorf("no entry instance %q; known are %s", f.entry, strings.Join(names, ", "))}
	case f.entry != "":
		names = []string{f.entry}
	}
	asked := make([]*fleetv1.EntryInstance, len(names))
	for i, name := range names {
		asked[i] = entries[name]
	}
	reports := fleet.explain(ctx, cli.timeout, asked, r)
	if err := cli.writeOutput(reports, func() error { return cli.printExplanations(reports, f.servers) }); err != nil {
		return err
	}
	return explainError(reports)
}

// explainError returns an error with the exit code for reports without a decision; nil if each one
// has a decision.
func explainError(reports []*explainReport) error {
	for _, r := range reports {
		if r.Refused {
			return &exitError{code: ExitNoRoute, err: fmt.Errorf("entry instance %s: %s", r.Entry, r.Reason)}
		}
	}
	for _, r := range reports {
		if r.NotReady {
			return &exitError{code: ExitNotReady, err: fmt.Errorf("entry instance %s: %s", r.Entry, r.Reason)}
		}
	}
	return nil
}

// explain asks entry instances for their decisions on a request.
func (f *fleetReader) explain(ctx context.Context, timeout time.Duration, entries []*fleetv1.EntryInstance, r *fleetv1.ExplainRequest) []*explainReport {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	reports := make([]*explainReport, len(entries))
	var calls sync.WaitGroup
	turns := make(chan struct{}, maxEntryCalls)
	for i, e := range entries {
		calls.Go(func() {
			turns <- struct{}{}
			defer func() { <-turns }()
			response, err := fleetv1.NewEntriesProtobufClient(e.PeerUrl, f.client).Explain(ctx, r)
			if err != nil {
				err = eris.Wrap(err, "entry instance gave no explanation")
				reports[i] = &explainReport{Entry: e.Name, Domain: e.Zone, NotReady: true, Reason: err.Error()}
				return
			}
			reports[i] = newExplainReport(response)
		})
	}
	calls.Wait()
	return reports
}
