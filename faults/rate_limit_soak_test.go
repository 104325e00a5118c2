package faults

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"os"
	"slices"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/galenaarch/galenaarch/platform/platformtest"
)

// Parameters of the rate limit soak. GALENA_LIMIT_SOAK sets the duration of a run,
// GALENA_LIMIT_SOAK_SEED the first seed, GALENA_LIMIT_SOAK_SEEDS their number and
// GALENA_LIMIT_SOAK_GATEWAYS the number of gateways.
const (
	limitSoakDuration = 14 * time.Second
	limitSoakSeeds    = 3
	limitSoakGateways = 4
	// limitSoakQuiet is the time without faults and changes at the end of a run: a new
	// issuer is in charge after half of it. The use of the limits is measured in its last
	// limitUseWindow.
	limitSoakQuiet = 10 * time.Second
	limitUseWindow = 4 * time.Second
	minUsedShare   = 0.75
	// maxRefusalTime bounds the time of a refusal: half of what the client waits.
	maxRefusalTime = requestMaxWait / 2
)

// The users' bound on the requests to a rate-limited server: in any limitWindow that begins
// limitGrace after the first statement or later, limitFactor times what the limit allows
// and limitSlack more, from the instances that passed on a response with the limit
// limitPassedOn before. A restart or a freeze of an instance excuses it.
const (
	limitGrace    = 3 * time.Second
	limitWindow   = 4 * time.Second
	limitPassedOn = 500 * time.Millisecond
	limitFactor   = 1.5
	limitSlack    = 5.0
)

// limitChange is a change of a server's rate limit; 0 means no limit.
type limitChange struct {
	at        time.Time
	perSecond float64
}

// limitedServer is a server whose rate limit changes.
type limitedServer struct {
	mu      sync.Mutex
	changes []limitChange
	// arrivals are the requests in the order of arrival, by the gateway that sent them.
	arrivals []limitArrival
}

type limitArrival struct {
	at      time.Time
	gateway int
}

func (s *limitedServer) set(perSecond float64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.changes = append(s.changes, limitChange{time.Now(), perSecond})
}

// snapshot returns a copy: requests that a gateway retries may still arrive after the
// clients have stopped.
func (s *limitedServer) snapshot() *limitedServer {
	s.mu.Lock()
	defer s.mu.Unlock()
	return &limitedServer{changes: slices.Clone(s.changes), arrivals: slices.Clone(s.arrivals)}
}

// limitAt returns the limit at a time, 0 for none, and when the server began to state one.
func (s *limitedServer) limitAt(at time.Time) (perSecond float64, since time.Time) {
	for _, c := range s.changes {
		if c.at.After(at) {
			break
		}
		if perSecond == 0 {
			since = c.at
		}
		perSecond = c.perSecond
	}
	return perSecond, since
}

// limitSoak runs the soak with rate-limited servers.
type limitSoak struct {
	*processFaults
	limited []*limitedServer

	mu sync.Mutex
	// passedOn holds, by gateway, when it began and ceased to pass on responses with a
	// limit; excused the times at which it was stopped, frozen or started.
	passedOn [][]passedOn
	excused  [][]time.Time
	refusals []time.Duration
	// missing are refusals without a time to come back.
	missing int
}

// passedOn is the first response with or without a rate limit that a gateway passed on from
// a server. An empty server stands for a restart or freeze of the gateway, from which on it
// has passed on nothing.
type passedOn struct {
	server  string
	at      time.Time
	limited bool
}

// gatewayOf returns the index of the gateway to which the client sent a request.
func gatewayOf(id string) int {
	index, _, _ := strings.Cut(strings.TrimPrefix(id, "g"), "-")
	n, err := strconv.Atoi(index)
	if err != nil {
		return -1
	}
	return n
}

// serve responds to requests with the current limit.
func (l *limitSoak) serve(server *limitedServer) func(r *platformtest.Request) platformtest.Response {
	return func(r *platformtest.Request) platformtest.Response {
		reply := platformtest.Response{Status: http.StatusOK, Body: "answer to " + r.ID, Delay: time.Duration(rand.IntN(30)) * time.Millisecond}
		server.mu.Lock()
		defer server.mu.Unlock()
		if !r.Misdirected {
			server.arrivals = append(server.arrivals, limitArrival{r.ReceivedAt, gatewayOf(r.ID)})
		}
		if n := len(server.changes); n > 0 {
			reply.Header = platformtest.RateLimitHeader(server.changes[n-1].perSecond)
		}
		if rand.IntN(50) == 0 {
			reply.Status, reply.NotExecuted, reply.Body = http.StatusServiceUnavailable, true, "full"
		}
		return reply
	}
}

// runClient sends requests to one gateway. It keeps its connection until the process is
// gone, and then connects to its successor.
func (l *limitSoak) runClient(ctx context.Context, gateway int, pause time.Duration) {
	client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 1}}
	for n := 0; ctx.Err() == nil; n++ {
		id := fmt.Sprintf("g%d-%d-%d", gateway, rand.Uint32(), n)
		sentAt := time.Now()
		requestCtx, cancel := context.WithTimeout(ctx, 2*time.Second)
		response, err := platformtest.SendWith(requestCtx, client, l.gatewayAddresses[gateway], platformtest.IdempotentPrefix+"x", id, requestMaxWait)
		cancel()
		if err == nil {
			l.record(gateway, id, response, sentAt)
		}
		time.Sleep(time.Duration((0.5 + rand.Float64()) * float64(pause)))
	}
}

// record records a response to a client.
func (l *limitSoak) record(gateway int, id string, response *platformtest.ClientResponse, sentAt time.Time) {
	now := time.Now()
	l.mu.Lock()
	defer l.mu.Unlock()
	switch {
	case response.Server != "":
		p := passedOn{response.Server, now, response.RateLimit != ""}
		last := len(l.passedOn[gateway]) - 1
		for ; last >= 0; last-- {
			if server := l.passedOn[gateway][last].server; server == p.server || server == "" {
				break
			}
		}
		if wasLimited := last >= 0 && l.passedOn[gateway][last].limited; wasLimited != p.limited {
			l.passedOn[gateway] = append(l.passedOn[gateway], p)
		}
	case response.NotExecuted() && !response.Sealed:
		if !l.excusedBetween(gateway, sentAt, now) {
			l.refusals = append(l.refusals, now.Sub(sentAt))
		}
		if response.RetryAfter == "" {
			l.missing++
		}
	}
	if response.Status == http.StatusOK && response.Body != "answer to "+id {
		l.t.Errorf("%s got %q", id, response.Body)
	}
}

// excuse records that a gateway is stopped, frozen or started now. The caller does not hold
// l.mu.
func (l *limitSoak) excuse(gateway int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.excused[gateway] = append(l.excused[gateway], time.Now())
	l.passedOn[gateway] = append(l.passedOn[gateway], passedOn{at: time.Now()})
}

func (l *limitSoak) excusedBetween(gateway int, from, to time.Time) bool {
	return slices.ContainsFunc(l.excused[gateway], func(at time.Time) bool { return !at.Before(from) && !at.After(to) })
}

// changeLimit makes one server state another limit, or none.
func (l *limitSoak) changeLimit(random *rand.Rand) {
	server := l.limited[random.IntN(len(l.limited))]
	perSecond := 3 + 40*random.Float64()
	if random.IntN(5) == 0 {
		perSecond = 0
	}
	server.set(perSecond)
}

// requireBound checks the users' bound in every window that begins with a request.
func (l *limitSoak) requireBound(t *testing.T, name string, server *limitedServer) {
	t.Helper()
	var counted []limitArrival
	for _, a := range server.arrivals {
		if a.gateway < 0 {
			continue
		}
		counted = append(counted, a)
	}
	for i, first := range counted {
		_, since := server.limitAt(first.at)
		if since.IsZero() || first.at.Before(since.Add(limitGrace)) {
			continue
		}
		end, n := first.at.Add(limitWindow), 0
		allowed, limited := server.allowed(first.at)
		if !limited {
			continue
		}
		for _, a := range counted[i:] {
			if a.at.After(end) {
				break
			}
			if l.binds(name, a, first.at, end) {
				n++
			}
		}
		require.LessOrEqual(t, float64(n), allowed, "%s: requests in %v from %v after the start", name, limitWindow, first.at.Sub(counted[0].at))
	}
}

// binds reports whether a request counts for the bound of a window: its gateway passed on
// the limit and was neither restarted nor frozen.
func (l *limitSoak) binds(name string, a limitArrival, from, to time.Time) bool {
	passedOn, known := l.passedOnAt(a.gateway, name, a.at)
	return known && a.at.Sub(passedOn) >= limitPassedOn && !l.excusedBetween(a.gateway, from, to)
}

// passedOnAt returns since when, at a given time, a gateway has passed on responses with a
// limit from a server.
func (l *limitSoak) passedOnAt(gateway int, name string, at time.Time) (time.Time, bool) {
	var found time.Time
	for _, p := range l.passedOn[gateway] {
		switch {
		case p.at.After(at) || (p.server != name && p.server != ""):
		case p.limited:
			found = p.at
		default:
			found = time.Time{}
		}
	}
	return found, !found.IsZero()
}

// allowed returns the requests that the bound allows in the window that begins at a time,
// and whether the server states a limit throughout. The highest limit since limitPassedOn
// before counts: instances may not have passed on a lower one.
func (s *limitedServer) allowed(from time.Time) (requests float64, limited bool) {
	const step = 50 * time.Millisecond
	for at := from; at.Before(from.Add(limitWindow)); at = at.Add(step) {
		now, _ := s.limitAt(at)
		before, _ := s.limitAt(at.Add(-limitPassedOn))
		if now == 0 || before == 0 {
			return 0, false
		}
		highest := max(now, before)
		for _, c := range s.changes {
			if c.at.After(at.Add(-limitPassedOn)) && !c.at.After(at) {
				if c.perSecond == 0 {
					return 0, false
				}
				highest = max(highest, c.perSecond)
			}
		}
		requests += highest * step.Seconds()
	}
	return limitFactor*requests + limitSlack, true
}

// startLimitSoak starts the processes and waits until they serve.
func startLimitSoak(ctx context.Context, t *testing.T, seed uint64, gateways int, workers *sync.WaitGroup) *limitSoak {
	l := &limitSoak{processFaults: &processFaults{soak: startSoakOf(t, seed, soakControls, gateways)}, passedOn: make([][]passedOn, gateways), excused: make([][]time.Time, gateways)}
	l.observe = func(index int, kind faultKind, _ bool) {
		if gateway, ok := l.gatewayIndex(index); ok && kind != faultReload {
			l.excuse(gateway)
		}
	}
	for _, server := range l.servers {
		limited := &limitedServer{}
		l.limited = append(l.limited, limited)
		server.SetHandler(l.serve(limited))
	}
	workers.Go(func() { l.runOperator(ctx) })
	for _, g := range l.gateways {
		g.waitReady()
	}
	return l
}

// used returns the share of the server's limit that was used in the last limitUseWindow.
func (s *limitedServer) used(end time.Time) float64 {
	perSecond, _ := s.limitAt(end)
	n := 0
	for _, a := range s.arrivals {
		if a.at.After(end.Add(-limitUseWindow)) && a.at.Before(end) {
			n++
		}
	}
	return float64(n) / (perSecond * limitUseWindow.Seconds())
}

// runLimitSoak runs the soak once. Some gateways have most of the clients. The limits of the
// servers fall, rise, end and begin again while processes are killed, stopped, frozen and
// reloaded, all at overlapping times.
func runLimitSoak(t *testing.T, seed uint64, gateways int, duration time.Duration) {
	ctx, stop := context.WithCancel(t.Context())
	defer stop()
	var workers, faults sync.WaitGroup
	l := startLimitSoak(ctx, t, seed, gateways, &workers)
	random := rand.New(rand.NewPCG(seed, 2))
	for gateway := range gateways {
		clients := 1
		if gateway%4 == 0 {
			clients = 6
		}
		for range clients {
			workers.Go(func() { l.runClient(ctx, gateway, 25*time.Millisecond) })
		}
	}
	for _, server := range l.limited[:len(l.limited)-random.IntN(2)] {
		server.set(5 + 30*random.Float64())
	}
	for end := time.Now().Add(duration); time.Now().Before(end); time.Sleep(100*time.Millisecond + time.Duration(random.Int64N(int64(700*time.Millisecond)))) {
		if random.IntN(3) == 0 {
			l.changeLimit(random)
		} else {
			l.inject(random, &faults)
		}
	}
	faults.Wait()
	for _, server := range l.limited {
		server.set(4 + 12*random.Float64())
	}
	time.Sleep(limitSoakQuiet)
	end := time.Now()
	stop()
	workers.Wait()
	for i := range l.limited {
		server := l.limited[i].snapshot()
		used := server.used(end)
		t.Logf("%s: %d requests, %d changes of the limit, %.2f of it used at the end", l.servers[i].ID, len(server.arrivals), len(server.changes), used)
		l.requireBound(t, l.servers[i].ID, server)
		require.GreaterOrEqual(t, used, minUsedShare, "%s: use of the limit", l.servers[i].ID)
	}
	slices.Sort(l.refusals)
	require.NotEmpty(t, l.refusals)
	slowest := l.refusals[len(l.refusals)*99/100]
	t.Logf("%d refusals, 99 of 100 within %v", len(l.refusals), slowest.Round(time.Millisecond))
	require.Less(t, slowest, maxRefusalTime, "refusals are immediate")
	require.Zero(t, l.missing, "refusals without a time to come back")
}

// TestRateLimitSoak guards against gateways that together send a server more than its rate
// limit allows, or much less, under overlapping faults of all processes, changes of the
// limits, uneven load and connections that clients keep.
func TestRateLimitSoak(t *testing.T) {
	duration, start, seeds, gateways := limitSoakDuration, 1, limitSoakSeeds, limitSoakGateways
	number := func(name string, into *int) {
		if v := os.Getenv(name); v != "" {
			n, err := strconv.Atoi(v)
			require.NoError(t, err)
			*into = n
		}
	}
	if v := os.Getenv("GALENA_LIMIT_SOAK"); v != "" {
		var err error
		duration, err = time.ParseDuration(v)
		require.NoError(t, err)
	}
	number("GALENA_LIMIT_SOAK_SEED", &start)
	number("GALENA_LIMIT_SOAK_SEEDS", &seeds)
	number("GALENA_LIMIT_SOAK_GATEWAYS", &gateways)
	for seed := start; seed < start+seeds; seed++ {
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) {
			t.Parallel()
			runLimitSoak(t, uint64(seed), gateways, duration)
		})
	}
}
