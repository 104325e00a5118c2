package operator

import (
	"context"
	"errors"
	"fmt"
	"slices"
	"time"

	"github.com/peterbourgon/ff/v3/ffcli"

	"github.com/galenaarch/galenaarch/api/controlv1"
	"github.com/galenaarch/galenaarch/evacuation"
)

// evacuationPollInterval is the time between two polls while waiting until a failure domain is empty.
const evacuationPollInterval = 500 * time.Millisecond

// evacuationFlags holds the flags of the evacuate and restore commands.
type evacuationFlags struct {
	wait     bool
	unlisted bool
}

func (cli *CLI) zonesCommand() *ffcli.Command {
	fs := cli.newFlagSet("zones")
	return &ffcli.Command{
		Name: "zones", ShortUsage: "galenactl zones [flags]", ShortHelp: "list the failure domains of backend servers with the orders on them and the requests in progress", FlagSet: fs,
		Exec: func(ctx context.Context, args []string) error {
			if len(args) > 0 {
				return usageError("unexpected argument %q", args[0])
			}
			return cli.showZones(ctx)
		},
	}
}

func (cli *CLI) evacuateCommand() *ffcli.Command {
	var f evacuationFlags
	fs := cli.newFlagSet("evacuate")
	fs.BoolVar(&f.wait, "wait", false, "wait until no entry instance has requests in progress at servers of the failure domain")
	fs.BoolVar(&f.unlisted, "unlisted", false, "permit a failure domain in which no server or entry instance is known")
	return &ffcli.Command{
		Name: "evacuate", ShortUsage: "galenactl evacuate [flags] DOMAIN", ShortHelp: "send nothing more to the backend servers of a failure domain", FlagSet: fs,
		Exec: func(ctx context.Context, args []string) error { return cli.orderEvacuation(ctx, &f, args, true) },
	}
}

func (cli *CLI) restoreCommand() *ffcli.Command {
	var f evacuationFlags
	fs := cli.newFlagSet("restore")
	fs.BoolVar(&f.unlisted, "unlisted", false, "permit a failure domain in which no server or entry instance is known")
	return &ffcli.Command{
		Name: "restore", ShortUsage: "galenactl restore [flags] DOMAIN", ShortHelp: "withdraw the order to send nothing to a failure domain", FlagSet: fs,
		Exec: func(ctx context.Context, args []string) error { return cli.orderEvacuation(ctx, &f, args, false) },
	}
}

// documents reads and publishes documents through a client of control.
type documents struct{ control controlv1.Control }

// NewestDocument implements evacuation.Documents.
func (d documents) NewestDocument(ctx context.Context, name string) (*controlv1.PublishedDocument, error) {
	response, err := d.control.GetPublished(ctx, &controlv1.GetPublishedRequest{Name: name})
	return response.GetDocument(), err
}

// Publish implements evacuation.Documents.
func (d documents) Publish(ctx context.Context, document *controlv1.PublishedDocument) (*controlv1.PublishResponse, error) {
	return d.control.Publish(ctx, &controlv1.PublishRequest{Document: document})
}

// evacuationReport is the JSON output of the evacuate and restore commands.
type evacuationReport struct {
	Domain  string `json:"domain"`
	Emptied bool   `json:"emptied"`
	Version uint64 `json:"version"`
}

// orderEvacuation orders that a failure domain be emptied, or withdraws the order.
func (cli *CLI) orderEvacuation(ctx context.Context, f *evacuationFlags, args []string, empty bool) error {
	if len(args) != 1 {
		return usageError("expected exactly one failure domain after the flags")
	}
	domain := args[0]
	if err := evacuation.CheckDomain(domain); err != nil {
		return usageError("%v", err)
	}
	control, err := cli.client()
	if err != nil {
		return err
	}
	var fleet *fleetReader
	if f.wait || !f.unlisted {
		if fleet, err = cli.readFleet(ctx); err != nil {
			return err
		}
		defer fleet.stop()
	}
	if !f.unlisted {
		if err := evacuation.CheckKnown(domain, fleet.domains(), fleet.orders()); err != nil {
			return &exitError{code: ExitRefused, err: err}
		}
	}
	callCtx, cancel := cli.withTimeout(ctx)
	defer cancel()
	version, err := evacuation.Apply(callCtx, documents{control}, domain, empty, currentUser(), time.Now())
	if err != nil {
		return unavailableError(err)
	}
	if f.wait {
		if err := cli.waitUntilEmpty(ctx, fleet, domain, version); err != nil {
			return err
		}
	}
	return cli.writeOutput(evacuationReport{Domain: domain, Emptied: empty, Version: version}, func() error {
		state := "no longer emptied"
		if empty {
			state = "emptied"
		}
		_, err := fmt.Fprintf(cli.Out, "failure domain %s: %s, order %d\n", domain, state, version)
		return err
	})
}

// waitUntilEmpty prints a line at each change until every listed entry instance has the order in
// force and no request in progress at servers of the domain. If ctx ends first, the order
// stays in force.
func (cli *CLI) waitUntilEmpty(ctx context.Context, fleet *fleetReader, domain string, version uint64) error {
	last := ""
	for {
		progress := fleet.progress(ctx, cli.timeout, domain, version)
		if progress.done() {
			return nil
		}
		if line := progress.String(); line != last {
			fmt.Fprintf(cli.ErrOut, "failure domain %s: %s\n", domain, line)
			last = line
		}
		select {
		case <-ctx.Done():
			return &exitError{code: ExitUnavailable, err: errors.New("stopped waiting; the order stays in force")}
		case <-time.After(evacuationPollInterval):
		}
	}
}

// zoneReport is a failure domain in the JSON output of the zones command.
type zoneReport struct {
	Domain    string `json:"domain"`
	Emptied   bool   `json:"emptied"`
	Version   uint64 `json:"version,omitempty"`
	Author    string `json:"author,omitempty"`
	OrderedAt string `json:"ordered_at,omitempty"`
	Servers   int    `json:"servers"`
	// Requests are those in progress from the entry instances that have responded; Silent counts the
	// other ones.
	Requests uint64 `json:"requests"`
	Silent   int    `json:"silent_entries"`
}

func (cli *CLI) showZones(ctx context.Context) error {
	fleet, err := cli.readFleet(ctx)
	if err != nil {
		return err
	}
	defer fleet.stop()
	reports := fleet.zones(ctx, cli.timeout)
	return cli.writeOutput(reports, func() error {
		rows := make([][]any, 0, len(reports))
		for _, r := range reports {
			state := "in use"
			if r.Emptied {
				state = "emptied"
			}
			rows = append(rows, []any{r.Domain, state, r.Servers, r.Requests, r.Silent, r.Version, r.Author, r.OrderedAt})
		}
		return cli.writeTable([]any{"FAILURE DOMAIN", "STATE", "SERVERS", "REQUESTS", "SILENT ENTRIES", "ORDER", "BY", "AT"}, rows)
	})
}

// emptyingProgress is how far a failure domain has been emptied.
type emptyingProgress struct {
	entries, silent, behind int
	busy                    map[string]bool
	requests                uint64
}

func (p *emptyingProgress) done() bool {
	return p.entries > 0 && p.silent == 0 && p.behind == 0 && p.requests == 0
}

// String implements fmt.Stringer.
func (p *emptyingProgress) String() string {
	servers := make([]string, 0, len(p.busy))
	for server := range p.busy {
		servers = append(servers, server)
	}
	slices.Sort(servers)
	list := ""
	if shown := min(len(servers), maxShownServers); shown > 0 {
		list = fmt.Sprintf(" %v", servers[:shown])
	}
	return fmt.Sprintf("%d servers still with work%s, %d requests; order not in force at %d of %d entry instances, %d without a response", len(p.busy), list, p.requests, p.behind, p.entries, p.silent)
}

// maxShownServers bounds the servers that a progress line names.
const maxShownServers = 5
