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

// removalTimeout is the time within which every entry stops sending new work to a
// backend server that leaves or stops announcing.
const removalTimeout = 3 * time.Second

// knownServers returns the names of the backend servers that an entry knows.
func (c *cluster) knownServers(entry int) []string {
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

// requireServerRemoved waits until no running entry knows a server. killedEntries are the
// indexes of the entries that are not running.
func (c *cluster) requireServerRemoved(t *testing.T, name string, timeout time.Duration, killedEntries ...int) {
	t.Helper()
	startedAt := time.Now()
	removed := func() bool {
		for i := range c.entries {
			if slices.Contains(killedEntries, i) {
				continue
			}
			if names := c.knownServers(i); len(names) == 0 || slices.Contains(names, name) {
				return false
			}
		}
		return true
	}
	if !assert.Eventually(t, removed, timeout, pollInterval, name) {
		for i, p := range c.entries {
			log, _ := os.ReadFile(p.logPath) // used only in the message
			t.Logf("%s knows %v; end of its log:\n%s", p.name, c.knownServers(i), logTail(log))
		}
		t.FailNow()
	}
	t.Logf("%s was removed from every entry after %v", name, time.Since(startedAt).Round(pollInterval))
}

// directoryClient returns a directory client as API clients use it.
func (c *cluster) directoryClient() *directory.Client {
	return &directory.Client{Seeds: c.entryURLs, BearerKey: c.example.key, FailureDomain: c.example.domain, HTTP: &http.Client{Timeout: time.Second}}
}

// TestMembershipWithProcesses drains and kills backend servers and entries, alone and
// together, and checks that the running entries remove them in time.
func TestMembershipWithProcesses(t *testing.T) {
	c := startCluster(t, haddonExample(), engineArgs, func(*config.Document) {})
	t.Run("leaving server", func(t *testing.T) {
		c.services[0].signal(syscall.SIGTERM)
		c.requireServerRemoved(t, c.services[0].name, removalTimeout)
	})
	t.Run("killed server", func(t *testing.T) {
		c.engines[0].kill()
		c.requireServerRemoved(t, c.engines[0].name, removalTimeout)
	})
	t.Run("drained entry completes its requests", func(t *testing.T) { c.testEntryDrain(t) })
	t.Run("killed entry is removed from the directory, its servers remain", func(t *testing.T) {
		c.entries[2].kill()
		removed := func() bool {
			entries := c.directoryEntries(t, 0)
			return len(entries) > 0 && !slices.Contains(entries, c.entryURLs[2])
		}
		require.Eventually(t, removed, removalTimeout, pollInterval)
		require.Eventually(t, func() bool {
			return slices.Contains(c.knownServers(0), c.engines[1].name) && slices.Contains(c.knownServers(3), c.engines[1].name)
		}, removalTimeout, pollInterval)
	})
	t.Run("server killed together with an entry", func(t *testing.T) {
		c.entries[3].kill()
		c.engines[1].kill()
		c.requireServerRemoved(t, c.engines[1].name, removalTimeout+500*time.Millisecond, 2, 3)
	})
}

// directoryEntries returns the entry URLs in the directory of one entry.
func (c *cluster) directoryEntries(t *testing.T, entry int) []string {
	t.Helper()
	request, err := http.NewRequest(http.MethodGet, c.entryURLs[entry]+directory.Path, nil)
	require.NoError(t, err)
	request.Header.Set("Authorization", "Bearer "+c.example.key)
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return nil
	}
	defer response.Body.Close()
	var listing directory.Response
	if json.NewDecoder(response.Body).Decode(&listing) != nil {
		return nil
	}
	var urls []string
	for _, e := range listing.Entries {
		urls = append(urls, e.URL)
	}
	return urls
}

// testEntryDrain drains an entry while clients reuse directory responses and
// connections.
func (c *cluster) testEntryDrain(t *testing.T) {
	const clientCount = 16
	ctx, cancel := context.WithCancel(context.Background())
	var failed, completed, redirected, rateLimited atomic.Int64
	var clients sync.WaitGroup
	for range clientCount {
		clients.Go(func() {
			dir := c.directoryClient()
			client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 2}}
			for ctx.Err() == nil {
				entries, err := dir.Entries(ctx)
				if err != nil {
					continue
				}
				switch status := c.complete(client, entries[0]); status {
				case http.StatusOK:
					completed.Add(1)
				case http.StatusServiceUnavailable:
					redirected.Add(1)
					dir.MarkFailed(entries[0])
				case http.StatusTooManyRequests:
					rateLimited.Add(1)
				default:
					t.Logf("status %d at %s", status, entries[0])
					failed.Add(1)
				}
				time.Sleep(20 * time.Millisecond)
			}
		})
	}
	time.Sleep(time.Second)
	drainTime := c.entries[1].drain(drainLimit)
	time.Sleep(time.Second)
	cancel()
	clients.Wait()
	t.Logf("%d completed, %d redirected, %d rate limited, %d failed; the drain took %v", completed.Load(), redirected.Load(), rateLimited.Load(), failed.Load(), drainTime.Round(pollInterval))
	require.Zero(t, failed.Load())
	require.Positive(t, completed.Load())
	require.NotContains(t, c.directoryEntries(t, 0), c.entryURLs[1])
	c.entries[1].start()
	c.entries[1].waitReady()
}

// complete sends a short prompt and returns the status, or 0 if there was no complete
// response.
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
	var completion struct{ Choices []backend.Choice }
	if err := json.NewDecoder(response.Body).Decode(&completion); err != nil {
		return 0
	}
	if response.StatusCode == http.StatusOK && len(completion.Choices) != 1 {
		return 0
	}
	return response.StatusCode
}

// peerBytes returns the bytes that an entry has sent and received on the connections
// that it opened to other entries.
func (p *process) peerBytes(t testing.TB) float64 {
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

// BenchmarkPeerTraffic reports the traffic per second and entry between four idle
// entries. The bytes of a connection are counted once, at the end that opened it, so
// the mean is what one entry sends, and also what it receives.
func BenchmarkPeerTraffic(b *testing.B) {
	c := startCluster(b, haddonExample(), engineArgs, func(*config.Document) {})
	const span = 10 * time.Second
	for b.Loop() {
		before := 0.0
		for _, p := range c.entries {
			before += p.peerBytes(b)
		}
		time.Sleep(span)
		after := 0.0
		for _, p := range c.entries {
			after += p.peerBytes(b)
		}
		b.ReportMetric((after-before)/span.Seconds()/entryCount, "B/s/entry")
	}
}
