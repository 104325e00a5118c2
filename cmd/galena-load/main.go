// Command galena-load plays a reproducible trace of a user's workload against
// running entries and reports what the callers saw.
package main

import (
	"context"
	"encoding/json"
	"flag"
	"fmt"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"time"

	"github.com/galenaarch/galenaarch/dispatch"
	"github.com/galenaarch/galenaarch/emulator"
	"github.com/galenaarch/galenaarch/kernel/settings"
	"github.com/galenaarch/galenaarch/load"
	"github.com/galenaarch/galenaarch/placement"
)

// applyTimeout bounds the wait for the control replicas.
const applyTimeout = 10 * time.Second

// options of a run.
type options struct {
	apply   bool
	bound   bool
	table   string
	control string
	entries string
	stores  string
	weights string

	pattern string
	scorers string
	without string
	// timeline is a file for what callers of each second got, ablate the seeds over
	// which each mechanism is switched off.
	timeline string
	ablate   int
	plotted  string

	trace       string
	policy      string
	keeping     string
	fault       string
	out         string
	share       float64
	duration    time.Duration
	warmup      time.Duration
	faultAt     time.Duration
	compression float64
	seed        uint64

	engines      int
	prefillRate  float64
	engineBlocks int
	storeBlocks  int
	blockBytes   int64
	linkRate     int64
	accounts     int
}

// RegisterFlags implements settings.Set.
func (o *options) RegisterFlags(fs *flag.FlagSet) {
	fs.BoolVar(&o.apply, "apply", false, "put the experiment's document in force and exit")
	fs.BoolVar(&o.bound, "bound", false, "print the trace's bound and exit")
	fs.StringVar(&o.pattern, "pattern", "", "file of a load pattern; it is played in the emulator under each of -scorers, and nothing else is done")
	fs.StringVar(&o.scorers, "scorers", "expected-time,prefix-affinity,least-load", "placement modules compared on -pattern, comma-separated")
	fs.StringVar(&o.without, "without", "", "mechanisms that -scorers' "+placement.DefaultScorer+" works without on -pattern, comma-separated: "+strings.Join(dispatch.MechanismNames(), ", "))
	fs.StringVar(&o.plotted, "plot", "", "PNG file for the times to the first event on -pattern")
	fs.IntVar(&o.ablate, "ablate", 0, "number of seeds over which -pattern is played without each mechanism in turn; 0 for not at all")
	fs.StringVar(&o.timeline, "timeline", "", "PNG file for credit, refusals, and expected against real waits over time on -pattern")
	fs.StringVar(&o.table, "table", "", "folder whose reports are written as a table and plots; then exit")
	fs.StringVar(&o.control, "control", "http://127.0.0.1:8090", "base URLs of the control replicas, comma-separated")
	fs.StringVar(&o.entries, "entries", "http://127.0.0.1:8080", "base URLs of the entries' caller listeners, comma-separated")
	fs.StringVar(&o.stores, "stores", "", "base URLs of the stores, comma-separated")
	fs.StringVar(&o.weights, "weight-store", "", "base URL of the weight store")
	fs.StringVar(&o.trace, "trace", "order", "order or history")
	fs.StringVar(&o.policy, "policy", "cost", "routing policy")
	fs.StringVar(&o.keeping, "keeping", "saving", "name of the entries' keeping policy, for the report")
	fs.StringVar(&o.fault, "fault", load.FaultNone, "fault of the run; store_full, store_stalled, link_tenth and weight_swap are made by this tool")
	fs.StringVar(&o.out, "out", "", "file for the report, standard output if empty")
	fs.Float64Var(&o.share, "load", 0.85, "share of capacity: the least work of the trace over the engines' rate")
	fs.DurationVar(&o.duration, "duration", 45*time.Second, "length of the trace; duration")
	fs.DurationVar(&o.warmup, "warmup", 20*time.Second, "start of the trace that is not measured; duration")
	fs.DurationVar(&o.faultAt, "fault-at", 25*time.Second, "time of the fault in the trace; duration")
	fs.Float64Var(&o.compression, "compression", 8640, "how many times shorter return gaps are than in use")
	fs.Uint64Var(&o.seed, "seed", 1, "seed of the trace")
	fs.IntVar(&o.engines, "engines", 6, "number of engines")
	fs.Float64Var(&o.prefillRate, "prefill-rate", 8000, "rate of an engine; tokens a second")
	fs.IntVar(&o.engineBlocks, "engine-blocks", 64, "prefix cache of an engine; blocks")
	fs.IntVar(&o.storeBlocks, "store-blocks", 100, "size of a store; blocks")
	fs.Int64Var(&o.blockBytes, "block-bytes", 64<<10, "size of a block; bytes")
	fs.Int64Var(&o.linkRate, "link-rate", 4<<20, "rate of a store's link; bytes a second")
	fs.IntVar(&o.accounts, "accounts", 10, "number of client accounts")
}

// Check implements settings.Set.
func (o *options) Check(c *settings.Checker) {
	c.URLs("entries", o.entries)
	c.URLs("stores", o.stores)
	settings.Positive(c, "load", o.share, "share")
	settings.Positive(c, "engines", o.engines, "engines")
	settings.Positive(c, "accounts", o.accounts, "accounts")
}

func main() {
	var o options
	settings.ParseOrExit("galena-load", &o)
	if err := run(context.Background(), &o); err != nil {
		fmt.Fprintln(os.Stderr, "galena-load:", err)
		os.Exit(1)
	}
}

func (o *options) setup() *load.Setup {
	return &load.Setup{
		Trace: o.trace, Policy: o.policy, Engines: o.engines, Accounts: o.accounts, WeightVersion: "v1",
		StoreURLs: settings.SplitList(o.stores), LinkRate: o.linkRate,
		StoreCapacity: int64(o.storeBlocks) * o.blockBytes, WeightStoreURL: o.weights,
	}
}

func run(ctx context.Context, o *options) error {
	switch {
	case o.pattern != "":
		return o.emulate()
	case o.table != "":
		return table(o.table)
	case o.apply:
		ctx, cancel := context.WithTimeout(ctx, applyTimeout)
		defer cancel()
		return o.setup().Apply(ctx, settings.SplitList(o.control))
	}
	pool := o.engines*o.engineBlocks + len(settings.SplitList(o.stores))*o.storeBlocks
	shape := load.Shape{Seed: o.seed, Duration: o.duration, Warmup: o.warmup, Compression: o.compression}
	trace, bound, err := load.AtLoad(o.trace, shape, pool, float64(o.engines)*o.prefillRate, o.share)
	if err != nil {
		return err
	}
	if o.bound {
		fmt.Printf("%s: %d requests, %d tokens returned, %d new, bound share %.4f\n",
			o.trace, len(trace.Requests), bound.ReturnedTokens, bound.NewTokens, bound.Share())
		return nil
	}
	return o.play(ctx, trace, bound)
}

// emulate compares placements on a load pattern, in virtual time.
func (o *options) emulate() error {
	raw, err := os.ReadFile(o.pattern)
	if err != nil {
		return err
	}
	p, err := emulator.Decode(raw)
	if err != nil {
		return err
	}
	if o.ablate > 0 {
		return emulator.WriteAblation(os.Stdout, p, o.ablate)
	}
	decisions, err := dispatch.Without(o.without)
	if err != nil {
		return err
	}
	var results []*emulator.Result
	for _, name := range settings.SplitList(o.scorers) {
		scorer, err := placement.NewScorer(name)
		if err != nil {
			return err
		}
		policy := emulator.Baseline(name, scorer)
		if name == placement.DefaultScorer {
			policy.Decisions = decisions
		}
		results = append(results, emulator.Play(p, policy))
	}
	if err := emulator.WriteTable(os.Stdout, results); err != nil {
		return err
	}
	if o.timeline != "" {
		if err := load.PlotTimeline(o.timeline, results); err != nil {
			return err
		}
	}
	if o.plotted == "" {
		return nil
	}
	return load.PlotPattern(o.plotted, results)
}

func (o *options) play(ctx context.Context, trace *load.Trace, bound load.Bound) error {
	client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 512}}
	experiment := &load.Experiment{
		Runner: &load.Runner{Entries: settings.SplitList(o.entries), Client: client},
		Trace:  trace, Bound: bound, StoreURLs: settings.SplitList(o.stores),
	}
	injected := make(chan error, 1)
	if o.fault == load.FaultWeightSwap {
		experiment.Swap = &load.Swap{At: o.faultAt, Version: load.SwapVersion}
	}
	time.AfterFunc(o.faultAt, func() { injected <- o.inject(ctx, experiment.Swap) })
	report := experiment.Run(ctx)
	report.Policy, report.Keeping, report.Fault, report.Load = o.policy, o.keeping, o.fault, o.share
	if err := <-injected; err != nil {
		return err
	}
	return o.write(report)
}

// inject brings the fault about and waits for the end of a swap.
func (o *options) inject(ctx context.Context, swap *load.Swap) error {
	ctx, cancel := context.WithTimeout(ctx, o.duration-o.faultAt)
	defer cancel()
	if err := o.setup().Inject(ctx, o.fault, settings.SplitList(o.control)); err != nil || swap == nil {
		return err
	}
	return swap.Await(ctx, settings.SplitList(o.control))
}

func (o *options) write(report *load.Report) error {
	raw, err := json.MarshalIndent(report, "", "  ")
	if err != nil {
		return err
	}
	load.WriteTable(os.Stdout, []*load.Report{report})
	if o.out == "" {
		_, err = os.Stdout.Write(append(raw, '\n'))
		return err
	}
	return os.WriteFile(o.out, raw, 0o644)
}

func table(dir string) error {
	reports, err := load.ReadReports(dir)
	if err != nil {
		return err
	}
	load.WriteTable(os.Stdout, reports)
	for _, class := range []string{load.ClassPhone, load.ClassQuote, load.ClassHistory} {
		if err := load.Plot(filepath.Join(dir, class+".png"), class, reports); err != nil {
			return err
		}
	}
	return nil
}
