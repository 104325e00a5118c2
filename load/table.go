package load

import (
	"encoding/json"
	"fmt"
	"io"
	"os"
	"path/filepath"
	"slices"
	"strings"

	"github.com/rotisserie/eris"
	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/plotutil"
	"gonum.org/v1/plot/vg"

	"github.com/galenaarch/galenaarch/emulator"
)

// ReadReports reads all JSON reports in a directory and sorts them by trace, fault,
// load, routing policy and retention policy.
func ReadReports(dir string) ([]*Report, error) {
	names, err := filepath.Glob(filepath.Join(dir, "*.json"))
	if err != nil {
		return nil, eris.Wrap(err, "list reports")
	}
	var reports []*Report
	for _, name := range names {
		raw, err := os.ReadFile(name)
		if err != nil {
			return nil, eris.Wrapf(err, "read report %s", name)
		}
		r := &Report{}
		if err := json.Unmarshal(raw, r); err != nil {
			return nil, eris.Wrapf(err, "decode report %s", name)
		}
		reports = append(reports, r)
	}
	slices.SortFunc(reports, func(a, b *Report) int { return strings.Compare(a.sortKey(), b.sortKey()) })
	return reports, nil
}

// sortKey returns a key that sorts reports by trace, fault, load and policies.
func (r *Report) sortKey() string {
	return fmt.Sprintf("%s %s %06.2f %s %s", r.Trace, r.Fault, r.LoadShare, r.RoutingPolicy, r.RetentionPolicy)
}

// WriteTable writes the reports as a Markdown table.
func WriteTable(w io.Writer, reports []*Report) {
	fmt.Fprintln(w, "| trace | load | fault | policy, keeping | first token p50/p95 ms by class | recomputed share (bound) | link MB read+written | not whole |")
	fmt.Fprintln(w, "|---|---|---|---|---|---|---|---|")
	for _, r := range reports {
		fmt.Fprintf(w, "| %s | %.2f | %s | %s, %s | %s | %.3f (%.3f) | %.1f+%.1f | %s |\n",
			r.Trace, r.LoadShare, r.Fault, r.RoutingPolicy, r.RetentionPolicy, r.firstTokenCell(), r.RecomputedShare, r.BoundShare,
			float64(r.ReadBytes)/1e6, float64(r.WrittenBytes)/1e6, r.refusalCell())
	}
}

// firstTokenCell returns for each class its name, the 50th and 95th percentile of the
// time to first token in milliseconds and, in parentheses, the number of requests.
func (r *Report) firstTokenCell() string {
	var cells []string
	for _, name := range sortedKeys(r.Classes) {
		c := r.Classes[name]
		cells = append(cells, fmt.Sprintf("%s %.0f/%.0f (%d)", name, c.P50, c.P95, c.Count))
	}
	return strings.Join(cells, ", ")
}

// refusalCell returns the number of incomplete requests by outcome and execution state,
// or 0 if there are none.
func (r *Report) refusalCell() string {
	if len(r.Refusals) == 0 {
		return "0"
	}
	var cells []string
	for _, name := range sortedKeys(r.Refusals) {
		cells = append(cells, fmt.Sprintf("%s %d", name, r.Refusals[name]))
	}
	return strings.Join(cells, ", ")
}

func sortedKeys[V any](m map[string]V) []string {
	var names []string
	for name := range m {
		names = append(names, name)
	}
	slices.Sort(names)
	return names
}

// Size of a plot.
const (
	plotWidth  = 18 * vg.Centimeter
	plotHeight = 12 * vg.Centimeter
)

// PlotFirstToken draws the time to first token of one class by percentile, with a line
// for each report. It writes no file if no report has the class.
func PlotFirstToken(path, class string, reports []*Report) error {
	var lines []any
	for _, r := range reports {
		c, ok := r.Classes[class]
		if !ok {
			continue
		}
		points := make(plotter.XYs, 0, len(c.Percentiles))
		for _, q := range c.Percentiles {
			points = append(points, plotter.XY{X: q[0], Y: max(q[1], 1)})
		}
		lines = append(lines, fmt.Sprintf("%s at %.2f, %s", r.RoutingPolicy, r.LoadShare, r.Fault), points)
	}
	return plotTimes(path, "time to first token, "+class, lines)
}

// PlotPatternLatency draws the latency of a pattern's requests by percentile, with a
// line for each kind of request and policy.
func PlotPatternLatency(path string, results []*emulator.Result) error {
	var lines []any
	title := ""
	for _, r := range results {
		title = "time to the first event, " + r.Pattern
		for i := range r.Kinds {
			k := &r.Kinds[i]
			points := make(plotter.XYs, 0, len(plottedPercentiles))
			for _, q := range plottedPercentiles {
				points = append(points, plotter.XY{X: q, Y: max(float64(k.Quantile(q/100).Milliseconds()), 1)})
			}
			lines = append(lines, k.Name+", "+r.Policy, points)
		}
	}
	return plotTimes(path, title, lines)
}

// PlotPatternTimeline draws the results of a pattern by second of arrival. For each kind
// and policy it shows the share on time, the refused share, and the estimated and actual
// times to first token as fractions of the objective.
func PlotPatternTimeline(path string, results []*emulator.Result) error {
	var lines []any
	title := ""
	for _, r := range results {
		title = "by the second of the callers' coming, " + r.Pattern
		for i := range r.Kinds {
			k := &r.Kinds[i]
			objective := k.Objective().Seconds()
			var onTime, refused, estimated, actual plotter.XYs
			for n, s := range k.Seconds {
				x := float64(n)
				if s.Requests > 0 {
					onTime = append(onTime, plotter.XY{X: x, Y: float64(s.OnTime) / float64(s.Requests)})
					refused = append(refused, plotter.XY{X: x, Y: float64(s.Refusals) / float64(s.Requests)})
				}
				if s.EstimatedPrompts > 0 && objective > 0 {
					estimated = append(estimated, plotter.XY{X: x, Y: s.EstimatedTTFT.Seconds() / float64(s.EstimatedPrompts) / objective})
					actual = append(actual, plotter.XY{X: x, Y: s.ActualTTFT.Seconds() / float64(s.EstimatedPrompts) / objective})
				}
			}
			for _, line := range []struct {
				name   string
				points plotter.XYs
			}{{"on time", onTime}, {"refused", refused}, {"expected", estimated}, {"came", actual}} {
				if len(line.points) > 0 {
					lines = append(lines, k.Name+", "+line.name+", "+r.Policy, line.points)
				}
			}
		}
	}
	if len(lines) == 0 {
		return nil
	}
	p := plot.New()
	p.Title.Text = title
	p.X.Label.Text = "second"
	p.Y.Label.Text = "share of the callers; part of the objective"
	p.Legend.Top = true
	if err := plotutil.AddLinePoints(p, lines...); err != nil {
		return eris.Wrap(err, "add lines to plot")
	}
	return eris.Wrapf(p.Save(plotWidth, plotHeight, path), "save plot %s", path)
}

// plotTimes draws times by percentile on a logarithmic scale. The lines are given as
// alternating names and points.
func plotTimes(path, title string, lines []any) error {
	if len(lines) == 0 {
		return nil
	}
	p := plot.New()
	p.Title.Text = title
	p.X.Label.Text = "percentile"
	p.Y.Label.Text = "milliseconds"
	p.Y.Scale = plot.LogScale{}
	p.Y.Tick.Marker = plot.LogTicks{Prec: -1}
	p.Legend.Top, p.Legend.Left = true, true
	if err := plotutil.AddLinePoints(p, lines...); err != nil {
		return eris.Wrap(err, "add lines to plot")
	}
	return eris.Wrapf(p.Save(plotWidth, plotHeight, path), "save plot %s", path)
}
