package faults

import (
	"bufio"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/stretchr/testify/require"

	"github.com/galenaarch/galenaarch/api/backend"
	"github.com/galenaarch/galenaarch/config"
)

// Parameters of the overhead benchmarks.
const (
	// firstTokenRate is the request rate through the entry in requests per second.
	firstTokenRate = 1000
	// firstTokenTime is the duration of that load.
	firstTokenTime = 10 * time.Second
	eventStreams   = 32
	eventTokens    = 20000
	// heldStreams is the number of streams held open at once. Each takes two file
	// descriptors at the entry, and the total must stay below 20,000.
	heldStreams = 9000
	// maxConcurrentOpens is the maximum number of streams being opened concurrently.
	maxConcurrentOpens = 200
)

// removeAccountLimits removes the limits of the client accounts, because they would
// limit the measured load.
func removeAccountLimits(doc *config.Document) {
	for i := range doc.ClientAccounts {
		doc.ClientAccounts[i].Limits = config.Limits{}
	}
}

// streamClient opens streams through an entry or directly at an engine.
type streamClient struct {
	cluster *cluster
	client  *http.Client
}

func newStreamClient(c *cluster) *streamClient {
	return &streamClient{c, &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 4096}}}
}

// open opens a stream and reads its first event.
func (r *streamClient) open(ctx context.Context, url string, maxTokens int) (*bufio.Scanner, io.Closer, error) {
	body, err := json.Marshal(backend.CompletionRequest{
		Model: r.cluster.example.model, Prompt: backend.Prompt{Text: "what liner for a pond of 4 by 6?"}, MaxTokens: maxTokens, Stream: true,
	})
	if err != nil {
		return nil, nil, err
	}
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, url+"/v1/completions", strings.NewReader(string(body)))
	if err != nil {
		return nil, nil, err
	}
	req.Header.Set("Authorization", "Bearer "+r.cluster.example.key)
	resp, err := r.client.Do(req)
	if err != nil {
		return nil, nil, err
	}
	scanner := bufio.NewScanner(resp.Body)
	if resp.StatusCode != http.StatusOK || !scanner.Scan() {
		resp.Body.Close()
		return nil, nil, io.ErrUnexpectedEOF
	}
	return scanner, resp.Body, nil
}

// countEvents reads a stream to its end marker and returns the number of events, or 0 if
// the marker is missing.
func countEvents(scanner *bufio.Scanner) int {
	n := 1 // open has read the first event
	for scanner.Scan() {
		line := scanner.Text()
		if line == "data: [DONE]" {
			return n
		}
		if strings.HasPrefix(line, "data: ") {
			n++
		}
	}
	return 0
}

// latencyRecorder records times to the first token.
type latencyRecorder struct {
	mu        sync.Mutex
	histogram *hdrhistogram.Histogram
	failed    int
}

func newLatencyRecorder() *latencyRecorder {
	return &latencyRecorder{histogram: hdrhistogram.New(1, int64(time.Minute/time.Microsecond), 3)}
}

func (l *latencyRecorder) record(d time.Duration, err error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if err != nil {
		l.failed++
		return
	}
	_ = l.histogram.RecordValue(d.Microseconds()) // values are within the bounds of the histogram
}

func (l *latencyRecorder) quantile(percent float64) float64 {
	return float64(l.histogram.ValueAtQuantile(percent)) / float64(time.Millisecond/time.Microsecond)
}

// BenchmarkFirstToken compares the time to the first token through an entry with that
// of direct requests to the engine, both in one run.
func BenchmarkFirstToken(b *testing.B) {
	c := startCluster(b, haddonExample(), []string{"-token-interval", "1ms", "-slots", "4096", "-prefill-rate", "1e9"}, removeAccountLimits)
	r := newStreamClient(c)
	for b.Loop() {
		through, direct := newLatencyRecorder(), newLatencyRecorder()
		var wait sync.WaitGroup
		send := func(url string, recorder *latencyRecorder) {
			wait.Go(func() {
				startedAt := time.Now()
				scanner, body, err := r.open(context.Background(), url, 1)
				recorder.record(time.Since(startedAt), err)
				if err == nil {
					countEvents(scanner)
					body.Close()
				}
			})
		}
		ticker := time.NewTicker(time.Second / firstTokenRate)
		for range int(firstTokenTime.Seconds() * firstTokenRate) {
			<-ticker.C
			send(c.entryURLs[0], through)
			send(c.engineURLs[0], direct)
		}
		ticker.Stop()
		wait.Wait()
		require.Zero(b, through.failed+direct.failed)
		b.ReportMetric(through.quantile(50)-direct.quantile(50), "added-p50-ms")
		b.ReportMetric(through.quantile(99)-direct.quantile(99), "added-p99-ms")
		b.ReportMetric(direct.quantile(99), "direct-p99-ms")
	}
}

// BenchmarkEventRelayCPU measures the CPU time of the entry for each relayed event, with
// one write to the client for each burst of the engine.
func BenchmarkEventRelayCPU(b *testing.B) {
	c := startCluster(b, haddonExample(), []string{"-token-interval", "0", "-slots", "4096", "-prefill-rate", "1e9"}, removeAccountLimits)
	r := newStreamClient(c)
	for b.Loop() {
		before := c.entries[0].cpuTime()
		var wait sync.WaitGroup
		total := make(chan int, eventStreams)
		for range eventStreams {
			wait.Go(func() {
				scanner, body, err := r.open(context.Background(), c.entryURLs[0], eventTokens)
				if err != nil {
					total <- 0
					return
				}
				defer body.Close()
				total <- countEvents(scanner)
			})
		}
		wait.Wait()
		n := 0
		for range eventStreams {
			n += <-total
		}
		require.Equal(b, eventStreams*eventTokens, n)
		b.ReportMetric(float64(n)/(c.entries[0].cpuTime()-before).Seconds(), "events/core-s")
	}
}

// BenchmarkOpenStreamMemory measures the memory of the entry for each open stream.
func BenchmarkOpenStreamMemory(b *testing.B) {
	c := startCluster(b, haddonExample(), []string{"-token-interval", "5m", "-slots", "20000", "-prefill-rate", "1e9"}, removeAccountLimits)
	r := newStreamClient(c)
	for b.Loop() {
		before := c.entries[0].residentBytes()
		ctx, cancel := context.WithCancel(context.Background())
		opening := make(chan struct{}, maxConcurrentOpens)
		var wait sync.WaitGroup
		failed := make(chan error, heldStreams)
		for range heldStreams {
			opening <- struct{}{}
			wait.Go(func() {
				defer func() { <-opening }()
				_, _, err := r.open(ctx, c.entryURLs[0], 2)
				if err != nil {
					failed <- err
				}
			})
		}
		wait.Wait()
		require.Empty(b, failed)
		b.ReportMetric(float64(c.entries[0].residentBytes()-before)/heldStreams, "resident-B/stream")
		m := c.entries[0].metrics()
		b.ReportMetric(m["go_memstats_heap_inuse_bytes"]/heldStreams, "heap-B/stream")
		b.ReportMetric(m["go_memstats_stack_inuse_bytes"]/heldStreams, "stack-B/stream")
		cancel()
	}
}
