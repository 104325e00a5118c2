package faults

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"os"
	"slices"
	"strconv"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/galenaarch/galenaarch/platform/platformtest"
)

// Parameters of the retry budget soak. GALENA_RETRY_SOAK sets the duration of a run,
// GALENA_RETRY_SOAK_SEED the first seed and GALENA_RETRY_SOAK_SEEDS the number of seeds.
const (
	retrySoakDuration = 26 * time.Second
	retrySoakSeeds    = 1
	retrySoakGateways = 5
	retrySoakClients  = 3
	// maxOutage bounds the time for which attempts fail, or a server stands still.
	maxOutage = 3 * time.Second
)

// The limits on retries, summed over all gateways: those of the users with a shorter window.
const (
	soakRetryRatio  = 0.2
	soakRetrySlack  = 20.0
	soakRetryWindow = 4 * time.Second
)

// retrySoak runs gateways whose servers fail most attempts from time to time.
type retrySoak struct {
	*processFaults
	// failing is the share of attempts that fail, in percent.
	failing atomic.Int64

	mu sync.Mutex
	// sent holds when clients sent the requests that were answered.
	sent map[string]time.Time
}

// reply fails a share of the attempts, in all the ways after which a request is sent again.
func (s *retrySoak) reply(r *platformtest.Request) platformtest.Response {
	ok := platformtest.Response{Status: http.StatusOK, Body: "answer to " + r.ID, Delay: time.Duration(rand.IntN(10)) * time.Millisecond}
	if rand.Int64N(100) >= s.failing.Load() {
		return ok
	}
	switch rand.IntN(4) {
	case 0:
		return platformtest.Response{CloseWithoutResponse: true}
	case 1:
		ok.TruncateBody = true
	case 2:
		ok.Status = http.StatusInternalServerError
	default:
		ok.Status, ok.NotExecuted = http.StatusServiceUnavailable, true
	}
	return ok
}

func (s *retrySoak) runClient(ctx context.Context, gateway int) {
	client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 1}}
	for n := 0; ctx.Err() == nil; n++ {
		id, sentAt := fmt.Sprintf("g%d-%d-%d", gateway, rand.Uint32(), n), time.Now()
		requestCtx, cancel := context.WithTimeout(ctx, 2*time.Second)
		_, err := platformtest.SendWith(requestCtx, client, s.gatewayAddresses[gateway], platformtest.IdempotentPrefix+"x", id, requestMaxWait)
		cancel()
		if err == nil {
			s.mu.Lock()
			s.sent[id] = sentAt
			s.mu.Unlock()
		}
		time.Sleep(time.Duration(rand.Int64N(int64(30 * time.Millisecond))))
	}
}

// disturb disturbs the servers or the processes, for some seconds.
func (s *retrySoak) disturb(random *rand.Rand, faults *sync.WaitGroup) {
	outage := time.Duration(random.Int64N(int64(maxOutage)))
	switch random.IntN(6) {
	case 0:
		s.failAttempts(50+random.Int64N(51), outage, faults)
	case 1:
		s.failAttempts(100, soakRetryWindow, faults)
		s.killGateways(random, faults)
	case 2:
		s.killGateways(random, faults)
	case 3, 4:
		for _, server := range s.servers[:1+random.IntN(len(s.servers)-1)] {
			server.StandStill(outage)
		}
	default:
		s.inject(random, faults)
	}
}

// failAttempts makes a share of the attempts fail for a time, in percent.
func (s *retrySoak) failAttempts(share int64, outage time.Duration, faults *sync.WaitGroup) {
	s.failing.Add(share)
	faults.Go(func() {
		time.Sleep(outage)
		s.failing.Add(-share)
	})
}

// killGateways kills most gateways, soon, together or one after the other.
func (s *retrySoak) killGateways(random *rand.Rand, faults *sync.WaitGroup) {
	delay, gap := time.Duration(random.Int64N(int64(time.Second))), time.Duration(random.Int64N(int64(400*time.Millisecond)))
	for i := range s.gateways {
		if random.IntN(4) == 0 {
			continue
		}
		faults.Go(func() {
			time.Sleep(delay + time.Duration(i)*gap)
			s.injectInto(len(s.controls)+i, faultKill, minFaultDuration, faults)
		})
	}
}

// requireBound checks every span that begins with a repeated arrival.
func (s *retrySoak) requireBound() {
	arrivals, requests := make(map[string][]time.Time), make([]time.Time, 0, len(s.sent))
	for _, server := range s.servers {
		for _, r := range server.Requests() {
			if gatewayOf(r.ID) >= 0 {
				arrivals[r.ID] = append(arrivals[r.ID], r.ReceivedAt)
			}
		}
	}
	var repeated []time.Time
	for id, times := range arrivals {
		slices.SortFunc(times, time.Time.Compare)
		repeated = append(repeated, times[1:]...)
		if s.sent[id].IsZero() {
			s.sent[id] = times[0] // its client got no response
		}
	}
	for _, at := range s.sent {
		requests = append(requests, at)
	}
	within := func(times []time.Time, from time.Time) (n int) {
		for _, at := range times {
			if !at.Before(from) && at.Before(from.Add(soakRetryWindow)) {
				n++
			}
		}
		return n
	}
	worst, most := 0.0, ""
	for _, from := range repeated {
		counted := max(within(requests, from), within(requests, from.Add(-soakRetryWindow)), within(requests, from.Add(-soakRetryWindow/2)))
		retries, allowed := within(repeated, from), soakRetryRatio*float64(counted)+soakRetrySlack
		if used := float64(retries) / allowed; used > worst {
			worst, most = used, fmt.Sprintf("%d repeated arrivals within %v, %.0f are allowed", retries, soakRetryWindow, allowed)
		}
	}
	s.t.Logf("%d requests, %d repeated arrivals; at most %s", len(requests), len(repeated), most)
	require.NotEmpty(s.t, repeated)
	require.LessOrEqual(s.t, worst, 1.0, most)
}

func runRetrySoak(t *testing.T, seed uint64, duration time.Duration) {
	ctx, stop := context.WithCancel(t.Context())
	defer stop()
	flags := []string{"-repeat-ratio", fmt.Sprint(soakRetryRatio), "-repeat-slack", fmt.Sprint(soakRetrySlack), "-repeat-window", soakRetryWindow.String()}
	s := &retrySoak{processFaults: &processFaults{soak: startSoakOf(t, seed, soakControls, retrySoakGateways, flags...)}, sent: make(map[string]time.Time)}
	s.observe = func(int, faultKind, bool) {}
	for _, server := range s.servers {
		server.SetHandler(s.reply)
	}
	var workers, faults sync.WaitGroup
	workers.Go(func() { s.runOperator(ctx) })
	for _, g := range s.gateways {
		g.waitReady()
	}
	for gateway := range s.gateways {
		for range retrySoakClients {
			workers.Go(func() { s.runClient(ctx, gateway) })
		}
	}
	random := rand.New(rand.NewPCG(seed, 3))
	time.Sleep(2 * soakRetryWindow) // the budgets are full
	for end := time.Now().Add(duration); time.Now().Before(end); time.Sleep(time.Duration(random.Int64N(int64(2400 * time.Millisecond)))) {
		s.disturb(random, &faults)
	}
	faults.Wait()
	time.Sleep(maxOutage)
	stop()
	workers.Wait()
	s.requireBound()
}

// TestRetryBudgetSoak guards against gateways that together send more retries than allowed, while
// servers fail, stand still and read late, and gateways are killed together, stopped, frozen and
// started again.
func TestRetryBudgetSoak(t *testing.T) {
	duration, start, seeds := retrySoakDuration, 1, retrySoakSeeds
	if v := os.Getenv("GALENA_RETRY_SOAK"); v != "" {
		var err error
		duration, err = time.ParseDuration(v)
		require.NoError(t, err)
	}
	for name, into := range map[string]*int{"GALENA_RETRY_SOAK_SEED": &start, "GALENA_RETRY_SOAK_SEEDS": &seeds} {
		if v := os.Getenv(name); v != "" {
			n, err := strconv.Atoi(v)
			require.NoError(t, err)
			*into = n
		}
	}
	for seed := start; seed < start+seeds; seed++ {
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) { runRetrySoak(t, uint64(seed), duration) })
	}
}
