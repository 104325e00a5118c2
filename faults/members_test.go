package faults

import (
	"context"
	"encoding/json"
	"net/http"
	"os"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/prometheus/common/expfmt"
	"github.com/prometheus/common/model"
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/galenaarch/galenaarch/api/backend"
	"github.com/galenaarch/galenaarch/config"
	"github.com/galenaarch/galenaarch/directory"
)

// goneWithin is the time in which a leaving or silent backend server gets no
// new work at any entry.
const goneWithin = 3 * time.Second

// servers lists the names that an entry knows.
func (c *cluster) servers(entry int) []string {
	response, err := http.Get(c.peerURLs[entry] + "/peer/v1/servers")
	if err != nil {
		return nil
	}
	defer response.Body.Close()
	var list backend.ServerList
	if json.NewDecoder(response.Body).Decode(&list) != nil {
		return nil
	}
	var names []string
	for _, s := range list.Servers {
		names = append(names, s.Server)
	}
	return names
}

// requireGone waits until no living entry knows a server.
func (c *cluster) requireGone(t *testing.T, name string, within time.Duration, dead ...int) {
	t.Helper()
	began := time.Now()
	gone := func() bool {
		for i := range c.entries {
			if slices.Contains(dead, i) {
				continue
			}
			if names := c.servers(i); len(names) == 0 || slices.Contains(names, name) {
				return false
			}
		}
		return true
	}
	if !assert.Eventually(t, gone, within, poll, name) {
		for i, p := range c.entries {
			text, _ := os.ReadFile(p.log) // only for the message
			t.Logf("%s knows %v; its log ends with\n%s", p.name, c.servers(i), tail(text))
		}
		t.FailNow()
	}
	t.Logf("%s gone at every entry after %v", name, time.Since(began).Round(poll))
}

// directoryClient is what a caller keeps.
func (c *cluster) directoryClient() *directory.Client {
	return &directory.Client{Seeds: c.entryURLs, BearerKey: c.example.key, FailureDomain: c.example.domain, HTTP: &http.Client{Timeout: time.Second}}
}

// TestMembersWithProcesses has backend servers and entries go in every way.
func TestMembersWithProcesses(t *testing.T) {
	c := startCluster(t, haddon(), engineArgs, func(*config.Document) {})
	t.Run("leaving server", func(t *testing.T) {
		c.services[0].signal(syscall.SIGTERM)
		c.requireGone(t, c.services[0].name, goneWithin)
	})
	t.Run("silent server", func(t *testing.T) {
		c.engines[0].kill()
		c.requireGone(t, c.engines[0].name, goneWithin)
	})
	t.Run("drained entry cuts nothing", func(t *testing.T) { c.testDrain(t) })
	t.Run("killed entry leaves the directory, its servers stay", func(t *testing.T) {
		c.entries[2].kill()
		gone := func() bool {
			entries := c.ask(t, 0)
			return len(entries) > 0 && !slices.Contains(entries, c.entryURLs[2])
		}
		require.Eventually(t, gone, goneWithin, poll)
		require.Eventually(t, func() bool {
			return slices.Contains(c.servers(0), c.engines[1].name) && slices.Contains(c.servers(3), c.engines[1].name)
		}, goneWithin, poll)
	})
	t.Run("server silent together with an entry", func(t *testing.T) {
		c.entries[3].kill()
		c.engines[1].kill()
		c.requireGone(t, c.engines[1].name, goneWithin+500*time.Millisecond, 2, 3)
	})
}

// ask reads the directory of one entry.
func (c *cluster) ask(t *testing.T, entry int) []string {
	t.Helper()
	request, err := http.NewRequest(http.MethodGet, c.entryURLs[entry]+directory.Path, nil)
	require.NoError(t, err)
	request.Header.Set("Authorization", "Bearer "+c.example.key)
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return nil
	}
	defer response.Body.Close()
	var answer directory.Answer
	if json.NewDecoder(response.Body).Decode(&answer) != nil {
		return nil
	}
	var urls []string
	for _, e := range answer.Entries {
		urls = append(urls, e.URL)
	}
	return urls
}

// testDrain drains an entry under callers that keep the directory's answers
// and their connections.
func (c *cluster) testDrain(t *testing.T) {
	const callers = 16
	ctx, cancel := context.WithCancel(context.Background())
	var cut, whole, told, limited atomic.Int64
	var group sync.WaitGroup
	for range callers {
		group.Go(func() {
			list := c.directoryClient()
			client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 2}}
			for ctx.Err() == nil {
				entries, err := list.Entries(ctx)
				if err != nil {
					continue
				}
				switch status := c.complete(client, entries[0]); status {
				case http.StatusOK:
					whole.Add(1)
				case http.StatusServiceUnavailable:
					told.Add(1)
					list.MarkFailed(entries[0])
				case http.StatusTooManyRequests:
					limited.Add(1)
				default:
					t.Logf("status %d at %s", status, entries[0])
					cut.Add(1)
				}
				time.Sleep(20 * time.Millisecond)
			}
		})
	}
	time.Sleep(time.Second)
	took := c.entries[1].drain(drainLimit)
	time.Sleep(time.Second)
	cancel()
	group.Wait()
	t.Logf("%d whole, %d told where to go, %d over their limit, %d cut; the drain took %v", whole.Load(), told.Load(), limited.Load(), cut.Load(), took.Round(poll))
	require.Zero(t, cut.Load())
	require.Positive(t, whole.Load())
	require.NotContains(t, c.ask(t, 0), c.entryURLs[1])
	c.entries[1].start()
	c.entries[1].await()
}

// complete sends a short prompt and returns the status of a whole answer, or
// 0 for one that was cut.
func (c *cluster) complete(client *http.Client, entry string) int {
	body := `{"model":"` + c.example.model + `","prompt":"is a 4 by 6 liner in stock?","max_tokens":8}`
	request, err := http.NewRequest(http.MethodPost, entry+"/v1/completions", strings.NewReader(body))
	if err != nil {
		return 0
	}
	request.GetBody = nil
	request.Header.Set("Authorization", "Bearer "+c.example.key)
	response, err := client.Do(request)
	if err != nil {
		return 0
	}
	defer response.Body.Close()
	var answer struct{ Choices []backend.Choice }
	if err := json.NewDecoder(response.Body).Decode(&answer); err != nil {
		return 0
	}
	if response.StatusCode == http.StatusOK && len(answer.Choices) != 1 {
		return 0
	}
	return response.StatusCode
}

// memberBytes reads what an entry has sent and received on the connections
// that it opened to other entries.
func (p *process) memberBytes(t testing.TB) float64 {
	t.Helper()
	response, err := http.Get(strings.TrimSuffix(p.ready, "/readyz") + "/metrics")
	require.NoError(t, err)
	defer response.Body.Close()
	parser := expfmt.NewTextParser(model.LegacyValidation)
	families, err := parser.TextToMetricFamilies(response.Body)
	require.NoError(t, err)
	sum := 0.0
	for _, m := range families["galena_member_bytes_total"].GetMetric() {
		sum += m.GetCounter().GetValue()
	}
	return sum
}

// BenchmarkMemberBytes reports the bytes a second and entry between four
// entries at rest. Each connection's bytes are counted once, at the end that
// opened it, so the mean is what an entry sends, and also what it receives.
func BenchmarkMemberBytes(b *testing.B) {
	c := startCluster(b, haddon(), engineArgs, func(*config.Document) {})
	const span = 10 * time.Second
	for b.Loop() {
		before := 0.0
		for _, p := range c.entries {
			before += p.memberBytes(b)
		}
		time.Sleep(span)
		after := 0.0
		for _, p := range c.entries {
			after += p.memberBytes(b)
		}
		b.ReportMetric((after-before)/span.Seconds()/entryCount, "B/s/entry")
	}
}
