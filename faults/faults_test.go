package faults

import (
	"flag"
	"fmt"
	"os"
	"regexp"
	"slices"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/galenaarch/galenaarch/api/refusal"
	"github.com/galenaarch/galenaarch/config"
	"github.com/galenaarch/galenaarch/examples"
)

var (
	full   = flag.Bool("faults.full", false, "run the full fault matrix on both example documents; takes about half an hour")
	only   = flag.String("faults.only", "", "regular expression that selects the faults to run")
	report = flag.String("faults.report", "", "file to which the result table is appended")
)

func haddonExample() example {
	return example{
		name: "haddon-pryce", document: examples.HaddonPryce, key: "trial-key-garden-centre-1", model: "quote-model",
		deployment: "quotes", service: "order-desk", domain: "midlands-1",
	}
}

func chatonsExample() example {
	return example{
		name: "chauffe-chatons", document: examples.ChauffeChatons, key: "trial-key-attendants-1", model: "summary-model",
		deployment: "summaries", service: "heating-log", domain: "quebec-est-1",
	}
}

// Durations of a fault and of the phases around it.
const (
	settleTime     = 1500 * time.Millisecond
	shortPause     = 3 * time.Second
	longPause      = 30 * time.Second
	drainLimit     = 2 * time.Minute
	majorityOutage = 3 * time.Second
	restartDelay   = time.Second
	preFaultDelay  = 500 * time.Millisecond
)

// fault is one entry of the fault matrix.
type fault struct {
	name string
	// inject causes the fault and then repairs it.
	inject func()
	// dropsConnections is true if the fault kills or pauses an entry, which may break
	// its connections.
	dropsConnections bool
}

// faultResult summarizes the requests around one fault.
type faultResult struct {
	fault             string
	sent              int
	completed         int
	refused           int
	truncated         int
	notSent           int
	duplicateOrders   int
	misreportedOrders int
	lastDisturbance   time.Duration
	codes             map[refusal.Code]int
}

func (r faultResult) String() string {
	return fmt.Sprintf("| %s | %d | %d | %d | %d | %d | %d | %d | %.2f | %s |",
		r.fault, r.sent, r.completed, r.refused, r.truncated, r.notSent, r.duplicateOrders, r.misreportedOrders, r.lastDisturbance.Seconds(), formatCodes(r.codes))
}

// formatCodes lists the refusal counts, sorted by code.
func formatCodes(counts map[refusal.Code]int) string {
	var list []string
	for code, n := range counts {
		list = append(list, fmt.Sprintf("%s %d", code, n))
	}
	slices.Sort(list)
	return strings.Join(list, ", ")
}

const tableHeader = "| fault | sent | whole | typed refusals | cut | not connected | orders doubled | orders lost untold | last disturbance of a request first sent after the fault began (s) | codes |\n|---|---|---|---|---|---|---|---|---|---|"

// runMatrix injects faults one after the other under a continuous workload.
func runMatrix(t *testing.T, ex example, faults func(c *cluster) []fault) {
	c := startCluster(t, ex, engineArgs, func(*config.Document) {})
	w := startWorkload(c)
	rows := []string{"", "## " + ex.name, "", tableHeader}
	selected := regexp.MustCompile(*only)
	for _, f := range faults(c) {
		if !selected.MatchString(f.name) {
			continue
		}
		time.Sleep(preFaultDelay)
		first := w.attemptCount()
		startedAt := time.Now()
		f.inject()
		time.Sleep(settleTime)
		r := w.checkFault(t, f, first, startedAt)
		rows = append(rows, r.String())
		t.Log(r.String())
	}
	w.stopAndWait()
	rows = append(rows, "", w.checkRun(t))
	writeReport(t, rows)
}

func writeReport(t *testing.T, rows []string) {
	if *report == "" {
		return
	}
	file, err := os.OpenFile(*report, os.O_APPEND|os.O_CREATE|os.O_WRONLY, 0o644)
	require.NoError(t, err)
	defer file.Close()
	_, err = file.WriteString(strings.Join(rows, "\n") + "\n")
	require.NoError(t, err)
}

func (w *workload) attemptCount() int {
	w.mu.Lock()
	defer w.mu.Unlock()
	return len(w.attempts)
}

// checkFault checks the invariants on all attempts from the given index on, which ended
// since the fault began.
func (w *workload) checkFault(t *testing.T, f fault, first int, startedAt time.Time) faultResult {
	w.mu.Lock()
	defer w.mu.Unlock()
	r := faultResult{fault: f.name, codes: make(map[refusal.Code]int)}
	for _, a := range w.attempts[first:] {
		switch a.result {
		case resultComplete:
			r.completed++
		case resultRefused:
			r.refused++
			r.codes[a.refusal.Code]++
		case resultTruncated:
			r.truncated++
			if !f.dropsConnections {
				t.Errorf("%s: connection of a %s to entry-%d broke without a complete response: %s", f.name, a.kind, a.entry+1, a.detail)
			}
		case resultNotSent:
			r.notSent++
		case resultWrong:
			t.Errorf("%s: %s at entry-%d got a wrong response: %q", f.name, a.kind, a.entry+1, a.detail)
		}
		if a.result != resultComplete && a.firstSentAt.After(startedAt) {
			r.lastDisturbance = max(r.lastDisturbance, a.endedAt.Sub(startedAt))
		}
		if a.result != resultNotSent {
			r.sent++
		}
	}
	if r.sent != r.completed+r.refused+r.truncated {
		t.Errorf("%s: sent %d, but completed %d, refused %d, truncated %d", f.name, r.sent, r.completed, r.refused, r.truncated)
	}
	if r.completed == 0 {
		t.Errorf("%s: no request was completed", f.name)
	}
	r.duplicateOrders, r.misreportedOrders = w.countOrderViolations()
	if r.duplicateOrders+r.misreportedOrders > 0 {
		t.Errorf("%s: %d orders ran more than once, %d orders had a wrong outcome reported", f.name, r.duplicateOrders, r.misreportedOrders)
	}
	return r
}

// countOrderViolations counts orders that ran more than once, and orders whose outcome
// as reported to the client does not match the execution. The caller must hold the lock.
func (w *workload) countOrderViolations() (duplicates, misreported int) {
	executions := w.cluster.orderExecutions()
	for _, n := range executions {
		if n > 1 {
			duplicates++
		}
	}
	for key, outcome := range w.orders {
		ran := executions[key] > 0
		if (outcome.completed && !ran) || (!outcome.completed && !outcome.mayHaveRun && ran) {
			misreported++
		}
	}
	return duplicates, misreported
}

// checkRun checks the invariants on the whole run and returns a summary.
func (w *workload) checkRun(t *testing.T) string {
	w.mu.Lock()
	defer w.mu.Unlock()
	duplicates, misreported := w.countOrderViolations()
	require.Zero(t, duplicates, "orders that ran more than once")
	require.Zero(t, misreported, "orders whose reported outcome is wrong")
	require.NotEmpty(t, w.orders)
	require.Zero(t, w.incompletePrompts, "prompts without a complete response after all attempts")
	completed, unknown, notRun := 0, 0, 0
	for _, outcome := range w.orders {
		switch {
		case outcome.completed:
			completed++
		case outcome.mayHaveRun:
			unknown++
		default:
			notRun++
		}
	}
	sum := fmt.Sprintf("%d prompts, all whole in the end. %d orders: %d answered, %d told as unknown, %d told as not run.",
		w.prompts, len(w.orders), completed, unknown, notRun)
	t.Log(sum)
	return sum
}

func (c *cluster) killFault(p *process, dropsConnections bool) fault {
	return fault{name: "kill -9 " + p.name, dropsConnections: dropsConnections, inject: func() {
		p.kill()
		time.Sleep(restartDelay)
		p.start()
		p.waitReady()
	}}
}

func (c *cluster) pauseFault(p *process, pause time.Duration, dropsConnections bool) fault {
	return fault{name: fmt.Sprintf("SIGSTOP %s for %v", p.name, pause), dropsConnections: dropsConnections, inject: func() {
		p.signal(syscall.SIGSTOP)
		time.Sleep(pause)
		p.signal(syscall.SIGCONT)
	}}
}

func (c *cluster) drainFault(p *process) fault {
	return fault{name: "drain " + p.name, inject: func() {
		p.drain(drainLimit)
		p.start()
		p.waitReady()
	}}
}

// majorityLossFault kills a majority of the control replicas and restarts them.
func (c *cluster) majorityLossFault() fault {
	return fault{name: "control majority lost and back", inject: func() {
		majority := c.controls[:controlCount/2+1]
		for _, p := range majority {
			p.kill()
		}
		time.Sleep(majorityOutage)
		for _, p := range majority {
			p.start()
		}
		c.leader(c.environment())
	}}
}

func (c *cluster) environment() string {
	doc, err := config.Decode(c.example.document)
	require.NoError(c.t, err)
	return doc.Environment
}

// TestFaultsShort injects a subset of the faults that is short enough for CI.
func TestFaultsShort(t *testing.T) {
	if *full {
		t.Skip("the full matrix runs instead")
	}
	runMatrix(t, haddonExample(), func(c *cluster) []fault {
		return []fault{
			c.killFault(c.engines[0], false),
			c.killFault(c.entries[1], true),
			c.killFault(c.services[0], false),
			c.killFault(c.leader(c.environment()), false),
			c.pauseFault(c.engines[1], shortPause, false),
			c.drainFault(c.entries[2]),
			c.majorityLossFault(),
		}
	})
}

// TestFaultsFull kills, pauses and drains every process in turn.
func TestFaultsFull(t *testing.T) {
	if !*full {
		t.Skip("takes about half an hour; go test ./faults -run TestFaultsFull -faults.full -timeout 2h")
	}
	for _, ex := range []example{haddonExample(), chatonsExample()} {
		t.Run(ex.name, func(t *testing.T) {
			runMatrix(t, ex, func(c *cluster) []fault {
				var list []fault
				entries := make(map[*process]bool)
				for _, p := range c.entries {
					entries[p] = true
				}
				for _, p := range c.allProcesses() {
					list = append(list, c.killFault(p, entries[p]))
				}
				for _, p := range c.allProcesses() {
					// A paused entry responds late; its clients wait.
					list = append(list, c.pauseFault(p, longPause, entries[p]))
				}
				for _, p := range c.entries {
					list = append(list, c.drainFault(p))
				}
				return append(list, c.majorityLossFault())
			})
		})
	}
}
