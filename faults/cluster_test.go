package faults

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/prometheus/common/expfmt"
	"github.com/prometheus/common/model"
	"github.com/stretchr/testify/require"

	"github.com/galenaarch/galenaarch/api/backend"
	"github.com/galenaarch/galenaarch/api/controlv1"
	"github.com/galenaarch/galenaarch/config"
	"github.com/galenaarch/galenaarch/control/client"
)

// Number of processes in a cluster.
const (
	entryCount   = 4
	controlCount = 3
	engineCount  = 3
	serviceCount = 2
)

// engineArgs are the engine flags for the fault matrix.
var engineArgs = []string{"-token-interval", "4ms", "-slots", "32", "-prefill-rate", "200000", "-block-bytes", "4096"}

// example is an example document with the names in it that the workload needs.
type example struct {
	name       string
	document   []byte
	key        string
	model      string
	deployment string
	service    string
	domain     string
}

// cluster runs every process of the system on loopback.
type cluster struct {
	t        testing.TB
	example  example
	dir      string
	bin      string
	controls []*process
	entries  []*process
	stewards []*process
	engines  []*process
	services []*process
	stores   []*process
	weights  []*process
	// entryURLs are the base URLs that clients send requests to, in the order of
	// entries.
	entryURLs   []string
	peerURLs    []string
	controlURLs []string
	ledgers     []string
	engineURLs  []string
	engineArgs  []string
}

func startCluster(t testing.TB, ex example, engineArgs []string, edit func(*config.Document)) *cluster {
	t.Helper()
	bin, err := buildBinaries()
	require.NoError(t, err, bin)
	c := &cluster{t: t, example: ex, dir: t.TempDir(), bin: bin, engineArgs: engineArgs}
	doc, err := config.Decode(ex.document)
	require.NoError(t, err)
	edit(doc)
	c.configureControls()
	backends := c.configureEntries(doc.Environment)
	c.configureSimulators(doc, backends)
	t.Cleanup(func() {
		for _, p := range c.allProcesses() {
			p.kill()
		}
	})
	for _, p := range c.allProcesses() {
		p.start()
	}
	c.apply(doc)
	for _, p := range c.allProcesses() {
		p.waitReady()
	}
	require.Eventually(t, c.allAnnounced, readyTimeout, pollInterval)
	time.Sleep(time.Second) // gives the load reports time to arrive
	return c
}

// allAnnounced reports whether every entry knows every backend server.
func (c *cluster) allAnnounced() bool {
	for _, url := range c.peerURLs {
		var list backend.ServerList
		resp, err := http.Get(url + "/peer/v1/servers")
		if err != nil {
			return false
		}
		err = json.NewDecoder(resp.Body).Decode(&list)
		resp.Body.Close()
		if err != nil || len(list.Servers) < engineCount+serviceCount {
			return false
		}
	}
	return true
}

// allProcesses returns the processes in start order.
func (c *cluster) allProcesses() []*process {
	var list []*process
	for _, group := range [][]*process{c.controls, c.entries, c.stewards, c.stores, c.weights, c.engines, c.services} {
		list = append(list, group...)
	}
	return list
}

func (c *cluster) newProcess(program, name, ready string, args ...string) *process {
	return &process{
		t: c.t, name: name, path: filepath.Join(c.bin, program), ready: ready, logPath: filepath.Join(c.dir, name+".log"),
		args: append([]string{"-instance", name, "-failure-domain", c.example.domain}, args...),
	}
}

func (c *cluster) configureControls() {
	var addresses, replicas []string
	for i := range controlCount {
		addresses = append(addresses, freeAddress(c.t))
		c.controlURLs = append(c.controlURLs, "http://"+addresses[i])
		replicas = append(replicas, fmt.Sprintf("control-%d=%s", i+1, c.controlURLs[i]))
	}
	for i := range controlCount {
		name, metrics := fmt.Sprintf("control-%d", i+1), freeAddress(c.t)
		c.controls = append(c.controls, c.newProcess("galena-control", name, "",
			"-listen", addresses[i], "-metrics-listen", metrics, "-data-dir", dataDir(c.t, c.dir, name),
			"-replicas", strings.Join(replicas, ","), "-insecure-loopback"))
	}
}

// configureEntries sets up the entries and the steward, and returns the addresses that
// backend servers announce to.
func (c *cluster) configureEntries(environment string) []string {
	var backends, peers, listens []string
	for range entryCount {
		listens = append(listens, freeAddress(c.t))
		peers = append(peers, freeAddress(c.t))
		backends = append(backends, freeAddress(c.t))
	}
	for i := range entryCount {
		metrics := freeAddress(c.t)
		c.entryURLs, c.peerURLs = append(c.entryURLs, "http://"+listens[i]), append(c.peerURLs, "http://"+peers[i])
		c.entries = append(c.entries, c.newProcess("galena-entry", fmt.Sprintf("entry-%d", i+1), "http://"+metrics+"/readyz",
			"-environment", environment, "-listen", listens[i], "-backend-listen", backends[i], "-peer-listen", peers[i],
			"-peers", joinURLs(peers), "-directory-ttl", "2s", "-metrics-listen", metrics, "-control", strings.Join(c.controlURLs, ","), "-insecure-loopback"))
	}
	metrics := freeAddress(c.t)
	c.stewards = append(c.stewards, c.newProcess("galena-steward", "steward-1", "",
		"-environment", environment, "-metrics-listen", metrics, "-control", strings.Join(c.controlURLs, ","),
		"-entries", joinURLs(peers), "-insecure-loopback"))
	return backends
}

func joinURLs(addresses []string) string { return "http://" + strings.Join(addresses, ",http://") }

// configureSimulators sets up the simulated servers and sets the addresses of the
// stores and the weight store in the document.
func (c *cluster) configureSimulators(doc *config.Document, backends []string) {
	simulator := func(role, name string, args ...string) (*process, string) {
		listen := freeAddress(c.t)
		args = append(args, "-role", role, "-listen", listen, "-entries", joinURLs(backends))
		return c.newProcess("galena-standin", name, "", args...), "http://" + listen
	}
	for i := range engineCount {
		args := append([]string{"-deployment", c.example.deployment}, c.engineArgs...)
		p, url := simulator("engine", fmt.Sprintf("engine-%d", i+1), args...)
		c.engines, c.engineURLs = append(c.engines, p), append(c.engineURLs, url)
	}
	for i := range serviceCount {
		name := fmt.Sprintf("desk-%d", i+1)
		ledger := filepath.Join(c.dir, name+".ledger")
		p, _ := simulator("service", name, "-service", c.example.service, "-ledger", ledger, "-order-time", "5ms")
		c.services, c.ledgers = append(c.services, p), append(c.ledgers, ledger)
	}
	for i := range doc.Stores {
		p, url := simulator("store", doc.Stores[i].Name)
		c.stores, doc.Stores[i].URL = append(c.stores, p), url
	}
	p, url := simulator("weights", "weights-1")
	c.weights, doc.WeightStore.URL = append(c.weights, p), url
}

func (c *cluster) control() controlv1.Control { return client.New(c.controlURLs, &http.Client{}) }

// apply applies the document, which must be accepted.
func (c *cluster) apply(doc *config.Document) {
	c.t.Helper()
	items, err := config.Items(doc)
	require.NoError(c.t, err)
	ctx, cancel := context.WithTimeout(context.Background(), readyTimeout)
	defer cancel()
	response, err := c.control().ApplyConfig(ctx, &controlv1.ApplyConfigRequest{
		Environment: doc.Environment, ChangeId: "faults-1", Upserts: items, Author: "faults",
	})
	require.NoError(c.t, err)
	require.True(c.t, response.Accepted, response.Reason)
}

// leader returns the control process that is the current leader.
func (c *cluster) leader(environment string) *process {
	ctx, cancel := context.WithTimeout(context.Background(), readyTimeout)
	defer cancel()
	status, err := c.control().GetStatus(ctx, &controlv1.GetStatusRequest{Environment: environment})
	require.NoError(c.t, err)
	for i, p := range c.controls {
		if c.controlURLs[i] == status.Leader {
			return p
		}
	}
	c.t.Fatalf("leader %q is not a control process", status.Leader)
	return nil
}

// orderExecutions returns the number of executions by order key over all services.
func (c *cluster) orderExecutions() map[string]int {
	counts := make(map[string]int)
	for _, path := range c.ledgers {
		ledger, err := os.ReadFile(path)
		if os.IsNotExist(err) {
			continue
		}
		require.NoError(c.t, err)
		for key := range strings.FieldsSeq(string(ledger)) {
			counts[key]++
		}
	}
	return counts
}

// cpuTime returns the CPU time that the process has used.
func (p *process) cpuTime() time.Duration {
	p.t.Helper()
	stat, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", p.cmd.Process.Pid))
	require.NoError(p.t, err)
	// The fields after the closing parenthesis of the command name; utime and stime are
	// the 14th and 15th fields of the line.
	fields := strings.Fields(string(stat[strings.LastIndexByte(string(stat), ')')+1:]))
	const ticksPerSecond = 100
	var ticks int64
	for _, f := range fields[11:13] {
		n, err := strconv.ParseInt(f, 10, 64)
		require.NoError(p.t, err)
		ticks += n
	}
	return time.Duration(ticks) * time.Second / ticksPerSecond
}

// residentBytes returns the resident memory of the process.
func (p *process) residentBytes() int64 {
	p.t.Helper()
	statm, err := os.ReadFile(fmt.Sprintf("/proc/%d/statm", p.cmd.Process.Pid))
	require.NoError(p.t, err)
	pages, err := strconv.ParseInt(strings.Fields(string(statm))[1], 10, 64)
	require.NoError(p.t, err)
	return pages * int64(os.Getpagesize())
}

// metrics returns the process's gauges and counters, summed over labels.
func (p *process) metrics() map[string]float64 {
	p.t.Helper()
	resp, err := http.Get(strings.TrimSuffix(p.ready, "/readyz") + "/metrics")
	require.NoError(p.t, err)
	defer resp.Body.Close()
	parser := expfmt.NewTextParser(model.UTF8Validation)
	families, err := parser.TextToMetricFamilies(resp.Body)
	require.NoError(p.t, err)
	values := make(map[string]float64)
	for name, f := range families {
		for _, m := range f.Metric {
			values[name] += m.GetGauge().GetValue() + m.GetCounter().GetValue()
		}
	}
	return values
}
