package operator

import (
	"fmt"
	"strings"
	"time"

	"github.com/galenaarch/galenaarch/api/fleetv1"
)

// explainReport is the decision of an entry instance in the JSON output of the explain command.
type explainReport struct {
	Entry    string `json:"entry"`
	Domain   string `json:"domain,omitempty"`
	NotReady bool   `json:"not_ready,omitempty"`
	Refused  bool   `json:"refused,omitempty"`
	Action   string `json:"action,omitempty"`
	Server   string `json:"server,omitempty"`
	Peer     string `json:"peer,omitempty"`
	Status   uint32 `json:"status,omitempty"`
	Reason   string `json:"reason,omitempty"`
	// RetryAfter is in seconds, the other times are in milliseconds.
	RetryAfter   float64               `json:"retry_after_s,omitempty"`
	Document     uint64                `json:"document"`
	Route        string                `json:"route,omitempty"`
	Service      string                `json:"service,omitempty"`
	Account      string                `json:"account,omitempty"`
	Priority     uint32                `json:"priority"`
	Verdict      string                `json:"verdict,omitempty"`
	Late         bool                  `json:"late"`
	Wait         float64               `json:"wait_ms"`
	DeferredWait float64               `json:"deferred_wait_ms"`
	Objective    float64               `json:"objective_ms"`
	Patience     float64               `json:"patience_ms"`
	Queue        uint32                `json:"queue"`
	Bounds       []string              `json:"bounds,omitempty"`
	Servers      []explainServerReport `json:"servers"`
}

// explainServerReport is a backend server in an explainReport.
type explainServerReport struct {
	Server     string `json:"server"`
	Domain     string `json:"domain,omitempty"`
	Chosen     bool   `json:"chosen"`
	Excluded   string `json:"excluded,omitempty"`
	Considered bool   `json:"considered"`
	// Cost is the sum of the terms, in milliseconds.
	Cost  float64             `json:"cost_ms"`
	Terms []explainTermReport `json:"terms,omitempty"`
	// Heard and Reported are the ages of the last response and the last report of the load; negative
	// if there was none.
	Heard          int64   `json:"heard_ms"`
	Reported       int64   `json:"reported_ms"`
	Running        float64 `json:"running"`
	Waiting        float64 `json:"waiting"`
	Slots          uint32  `json:"slots"`
	PrefillTokens  int64   `json:"prefill_tokens"`
	DeferredTokens int64   `json:"deferred_tokens"`
	UsedMemory     int64   `json:"used_memory_tokens"`
	Memory         int64   `json:"memory_tokens"`
	Slowness       float64 `json:"slowness"`
	FailureRate    float64 `json:"failure_rate"`
	CachedTokens   int64   `json:"cached_tokens"`
	FetchTokens    int64   `json:"fetch_tokens"`
	Home           bool    `json:"home"`
	Weights        uint64  `json:"weight_version,omitempty"`
	Software       string  `json:"software,omitempty"`
}

// explainTermReport is a term of a cost.
type explainTermReport struct {
	Name string  `json:"name"`
	Cost float64 `json:"cost_ms"`
}

// toMilliseconds converts from nanoseconds.
func toMilliseconds(ns int64) float64 { return float64(ns) / float64(time.Millisecond) }

func newExplainReport(x *fleetv1.ExplainResponse) *explainReport {
	r := &explainReport{
		Entry: x.Entry, Domain: x.Domain, NotReady: x.NotReady, Refused: x.Refused, Action: x.Action, Server: x.Server, Peer: x.Peer, Status: x.Status, Reason: x.Reason,
		RetryAfter: time.Duration(x.RetryAfterNs).Seconds(), Document: x.DocumentVersion, Route: x.Route, Service: x.Service, Account: x.Account, Priority: x.Priority,
		Verdict: x.Verdict, Late: x.Late, Wait: toMilliseconds(x.WaitNs), DeferredWait: toMilliseconds(x.DeferredWaitNs), Objective: toMilliseconds(x.ObjectiveNs), Patience: toMilliseconds(x.PatienceNs),
		Queue: x.QueueLength, Bounds: x.Bounds, Servers: make([]explainServerReport, 0, len(x.Servers)),
	}
	for _, s := range x.Servers {
		server := explainServerReport{
			Server: s.Server, Domain: s.Domain, Chosen: s.Chosen, Excluded: s.Excluded, Considered: s.Considered, Cost: toMilliseconds(s.CostNs), Heard: s.HeardMs, Reported: s.ReportedMs,
			Running: s.Running, Waiting: s.Waiting, Slots: s.Slots, PrefillTokens: s.PrefillTokens, DeferredTokens: s.DeferredTokens, UsedMemory: s.UsedMemoryTokens, Memory: s.MemoryTokens,
			Slowness: s.Slowness, FailureRate: s.FailureRate, CachedTokens: s.CachedTokens, FetchTokens: s.FetchTokens, Home: s.Home, Weights: s.WeightVersion, Software: s.Software,
		}
		for _, term := range s.Terms {
			server.Terms = append(server.Terms, explainTermReport{term.Name, toMilliseconds(term.CostNs)})
		}
		r.Servers = append(r.Servers, server)
	}
	return r
}

// outcome is one line for what happens to the request.
func (r *explainReport) outcome() string {
	switch {
	case r.NotReady || r.Refused:
		return "no decision: " + r.Reason
	case r.Status != 0:
		return fmt.Sprintf("rejected with %d: %s; retry after %.2f s", r.Status, r.Reason, r.RetryAfter)
	case r.Peer != "":
		return "passed on to entry instance " + r.Peer
	case r.Action == "wait":
		return "waits here for " + r.Server
	}
	return "sent to " + r.Server
}

// printExplanations prints a line, the estimates and a table of servers for each entry instance.
func (cli *CLI) printExplanations(reports []*explainReport, shown int) error {
	for i, r := range reports {
		if i > 0 {
			fmt.Fprintln(cli.Out)
		}
		fmt.Fprintf(cli.Out, "entry instance %s (%s): %s\n", r.Entry, r.Domain, r.outcome())
		if r.NotReady || r.Refused {
			continue
		}
		fmt.Fprintf(cli.Out, "  route %s, service %s, account %s, priority %d, document %d, %d requests wait here\n", r.Route, r.Service, orDash(r.Account), r.Priority, r.Document, r.Queue)
		if r.Verdict != "" {
			fmt.Fprintf(cli.Out, "  verdict: %s, late: %t; first event expected in %.0f ms, behind the others in %.0f ms; objective %.0f ms, client leaves in %.0f ms\n", r.Verdict, r.Late, r.Wait, r.DeferredWait, r.Objective, r.Patience)
		}
		for _, bound := range r.Bounds {
			fmt.Fprintf(cli.Out, "  %s\n", bound)
		}
		if err := cli.printServers(r.Servers, shown); err != nil {
			return err
		}
	}
	return nil
}

// printServers prints a table of the first servers; all if shown is 0.
func (cli *CLI) printServers(servers []explainServerReport, shown int) error {
	listed := servers
	if shown > 0 && len(listed) > shown {
		listed = listed[:shown]
	}
	rows := make([][]any, 0, len(listed))
	for _, s := range listed {
		mark, cost := "", "-"
		if s.Chosen {
			mark = "*"
		}
		if s.Considered {
			cost = fmt.Sprintf("%.1f", s.Cost)
		}
		rows = append(rows, []any{
			mark + s.Server, orDash(s.Domain), cost, orDash(s.Excluded), fmt.Sprintf("%.1f+%.1f/%d", s.Running, s.Waiting, s.Slots), s.PrefillTokens,
			fmt.Sprintf("%d/%d", s.UsedMemory, s.Memory), s.CachedTokens, age(s.Heard), age(s.Reported), s.terms(),
		})
	}
	if err := cli.writeTable([]any{"SERVER", "DOMAIN", "COST MS", "LEFT OUT FOR", "REQUESTS", "PREFILL", "MEMORY", "CACHED", "HEARD", "REPORTED", "TERMS MS"}, rows); err != nil {
		return err
	}
	if rest := len(servers) - len(listed); rest > 0 {
		fmt.Fprintf(cli.Out, "and %d more servers (-servers 0 lists all)\n", rest)
	}
	return nil
}

// terms lists the terms of the cost.
func (s *explainServerReport) terms() string {
	list := make([]string, len(s.Terms))
	for i, t := range s.Terms {
		list[i] = fmt.Sprintf("%s %.1f", t.Name, t.Cost)
	}
	return orDash(strings.Join(list, ", "))
}

// orDash returns a dash for an empty text.
func orDash(text string) string {
	if text == "" {
		return "-"
	}
	return text
}

// age formats an age in milliseconds; negative for never.
func age(ms int64) string {
	if ms < 0 {
		return "never"
	}
	return (time.Duration(ms) * time.Millisecond).String()
}
