// Command galena-load replays a reproducible trace of a user's workload against
// running entries and reports the results that the clients observed. It also replays
// load patterns in the emulator and summarizes reports.
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

// applyTimeout is the maximum time to apply the configuration document.
const applyTimeout = 10 * time.Second

// options holds the command-line options of a run.
type options struct {
	apply          bool
	printBound     bool
	tableDir       string
	controlURLs    string
	entryURLs      string
	storeURLs      string
	weightStoreURL string

	patternPath        string
	scorers            string
	disabledMechanisms string
	// timelinePath is the file for the plot of the results by second. ablationSeeds is
	// the number of seeds with which each mechanism is disabled in turn.
	timelinePath  string
	ablationSeeds int
	plotPath      string

	trace           string
	policy          string
	retentionPolicy string
	fault           string
	reportPath      string
	loadShare       float64
	duration        time.Duration
	warmup          time.Duration
	faultTime       time.Duration
	compression     float64
	seed            uint64

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
	fs.BoolVar(&o.apply, "apply", false, "apply the experiment's configuration document and exit")
	fs.BoolVar(&o.printBound, "bound", false, "print the lower bound on the trace's recomputation and exit")
	fs.StringVar(&o.patternPath, "pattern", "", "load pattern file to replay in the emulator under each of -scorers; then exit")
	fs.StringVar(&o.scorers, "scorers", "expected-time,prefix-affinity,least-load", "placement modules compared on -pattern, comma-separated")
	fs.StringVar(&o.disabledMechanisms, "without", "", "mechanisms to disable in the "+placement.DefaultScorer+" scorer on -pattern, comma-separated: "+strings.Join(dispatch.MechanismNames(), ", "))
	fs.StringVar(&o.plotPath, "plot", "", "PNG file for a plot of the times to the first event on -pattern")
	fs.IntVar(&o.ablationSeeds, "ablate", 0, "number of seeds over which -pattern is replayed with each mechanism disabled in turn; 0 disables the ablation")
	fs.StringVar(&o.timelinePath, "timeline", "", "PNG file for a plot of responses on time, refusals, and expected and actual waits over time on -pattern")
	fs.StringVar(&o.tableDir, "table", "", "directory of reports to summarize as a table and plots; then exit")
	fs.StringVar(&o.controlURLs, "control", "http://127.0.0.1:8090", "base URLs of the control replicas, comma-separated")
	fs.StringVar(&o.entryURLs, "entries", "http://127.0.0.1:8080", "base URLs of the entries' client listeners, comma-separated")
	fs.StringVar(&o.storeURLs, "stores", "", "base URLs of the stores, comma-separated")
	fs.StringVar(&o.weightStoreURL, "weight-store", "", "base URL of the weight store")
	fs.StringVar(&o.trace, "trace", "order", "trace to replay: order or history")
	fs.StringVar(&o.policy, "policy", "cost", "routing policy")
	fs.StringVar(&o.retentionPolicy, "keeping", "saving", "name of the entries' context retention policy, recorded in the report")
	fs.StringVar(&o.fault, "fault", load.FaultNone, "fault of the run; this tool injects store_full, store_stalled, link_tenth and weight_swap itself")
	fs.StringVar(&o.reportPath, "out", "", "file for the report; standard output if empty")
	fs.Float64Var(&o.loadShare, "load", 0.85, "load as a share of capacity: the minimum work of the trace divided by the engines' rate")
	fs.DurationVar(&o.duration, "duration", 45*time.Second, "duration of the trace; duration")
	fs.DurationVar(&o.warmup, "warmup", 20*time.Second, "warm-up at the start of the trace, excluded from the measurement; duration")
	fs.DurationVar(&o.faultTime, "fault-at", 25*time.Second, "time of the fault after the start of the trace; duration")
	fs.Float64Var(&o.compression, "compression", 8640, "factor by which the gaps between requests of a context are shortened")
	fs.Uint64Var(&o.seed, "seed", 1, "seed of the trace")
	fs.IntVar(&o.engines, "engines", 6, "number of engines")
	fs.Float64Var(&o.prefillRate, "prefill-rate", 8000, "prefill rate of an engine; tokens per second")
	fs.IntVar(&o.engineBlocks, "engine-blocks", 64, "prefix cache capacity of an engine; blocks")
	fs.IntVar(&o.storeBlocks, "store-blocks", 100, "capacity of a store; blocks")
	fs.Int64Var(&o.blockBytes, "block-bytes", 64<<10, "size of a block; bytes")
	fs.Int64Var(&o.linkRate, "link-rate", 4<<20, "bandwidth of a store's link; bytes per second")
	fs.IntVar(&o.accounts, "accounts", 10, "number of client accounts")
}

// Check implements settings.Set.
func (o *options) Check(c *settings.Checker) {
	c.URLs("entries", o.entryURLs)
	c.URLs("stores", o.storeURLs)
	settings.Positive(c, "load", o.loadShare, "share")
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

func (o *options) setup() *load.ExperimentSetup {
	return &load.ExperimentSetup{
		TraceName: o.trace, RoutingPolicy: o.policy, Engines: o.engines, Accounts: o.accounts, WeightVersion: "v1",
		StoreURLs: settings.SplitList(o.storeURLs), LinkBytesPerSecond: o.linkRate,
		StoreCapacityBytes: int64(o.storeBlocks) * o.blockBytes, WeightStoreURL: o.weightStoreURL,
	}
}

func run(ctx context.Context, o *options) error {
	switch {
	case o.patternPath != "":
		return o.emulatePattern()
	case o.tableDir != "":
		return writeTable(o.tableDir)
	case o.apply:
		ctx, cancel := context.WithTimeout(ctx, applyTimeout)
		defer cancel()
		return o.setup().Apply(ctx, settings.SplitList(o.controlURLs))
	}
	poolBlocks := o.engines*o.engineBlocks + len(settings.SplitList(o.storeURLs))*o.storeBlocks
	cfg := load.TraceConfig{Seed: o.seed, Duration: o.duration, Warmup: o.warmup, GapCompression: o.compression}
	trace, bound, err := load.GenerateAtLoad(o.trace, cfg, poolBlocks, float64(o.engines)*o.prefillRate, o.loadShare)
	if err != nil {
		return err
	}
	if o.printBound {
		fmt.Printf("%s: %d requests, %d tokens returned, %d new, bound share %.4f\n",
			o.trace, len(trace.Requests), bound.ReusableTokens, bound.NewTokens, bound.RecomputedShare())
		return nil
	}
	return o.runTrace(ctx, trace, bound)
}

// emulatePattern compares placement modules on a load pattern in virtual time.
func (o *options) emulatePattern() error {
	raw, err := os.ReadFile(o.patternPath)
	if err != nil {
		return err
	}
	p, err := emulator.DecodePattern(raw)
	if err != nil {
		return err
	}
	if o.ablationSeeds > 0 {
		return emulator.WriteAblation(os.Stdout, p, o.ablationSeeds)
	}
	decisions, err := dispatch.Without(o.disabledMechanisms)
	if err != nil {
		return err
	}
	var results []*emulator.Result
	for _, name := range settings.SplitList(o.scorers) {
		scorer, err := placement.NewScorer(name)
		if err != nil {
			return err
		}
		policy := emulator.BaselinePolicy(name, scorer)
		if name == placement.DefaultScorer {
			policy.Mechanisms = decisions
		}
		results = append(results, emulator.Simulate(p, policy))
	}
	if err := emulator.WriteTable(os.Stdout, results); err != nil {
		return err
	}
	if o.timelinePath != "" {
		if err := load.PlotPatternTimeline(o.timelinePath, results); err != nil {
			return err
		}
	}
	if o.plotPath == "" {
		return nil
	}
	return load.PlotPatternLatency(o.plotPath, results)
}

func (o *options) runTrace(ctx context.Context, trace *load.Trace, bound load.RecomputationBound) error {
	client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 512}}
	experiment := &load.Experiment{
		Runner: &load.Runner{Entries: settings.SplitList(o.entryURLs), Client: client},
		Trace:  trace, Bound: bound, StoreURLs: settings.SplitList(o.storeURLs),
	}
	injected := make(chan error, 1)
	if o.fault == load.FaultWeightSwap {
		experiment.Swap = &load.WeightSwap{Start: o.faultTime, Version: load.SwapTargetVersion}
	}
	time.AfterFunc(o.faultTime, func() { injected <- o.inject(ctx, experiment.Swap) })
	report := experiment.Run(ctx)
	report.RoutingPolicy, report.RetentionPolicy, report.Fault, report.LoadShare = o.policy, o.retentionPolicy, o.fault, o.loadShare
	if err := <-injected; err != nil {
		return err
	}
	return o.writeReport(report)
}

// inject injects the fault and waits for a weight swap to finish.
func (o *options) inject(ctx context.Context, swap *load.WeightSwap) error {
	ctx, cancel := context.WithTimeout(ctx, o.duration-o.faultTime)
	defer cancel()
	if err := o.setup().InjectFault(ctx, o.fault, settings.SplitList(o.controlURLs)); err != nil || swap == nil {
		return err
	}
	return swap.Wait(ctx, settings.SplitList(o.controlURLs))
}

func (o *options) writeReport(report *load.Report) error {
	raw, err := json.MarshalIndent(report, "", "  ")
	if err != nil {
		return err
	}
	load.WriteTable(os.Stdout, []*load.Report{report})
	if o.reportPath == "" {
		_, err = os.Stdout.Write(append(raw, '\n'))
		return err
	}
	return os.WriteFile(o.reportPath, raw, 0o644)
}

func writeTable(dir string) error {
	reports, err := load.ReadReports(dir)
	if err != nil {
		return err
	}
	load.WriteTable(os.Stdout, reports)
	for _, class := range []string{load.ClassPhone, load.ClassQuote, load.ClassHistory} {
		if err := load.PlotFirstToken(filepath.Join(dir, class+".png"), class, reports); err != nil {
			return err
		}
	}
	return nil
}
