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
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/galenaarch/galenaarch/platform/platformtest"
)

// Parameters of the stream soak. GALENA_SOAK sets its duration, GALENA_SOAK_SEED its random
// seed, GALENA_SOAK_CONTROLS the number of control replicas, GALENA_SOAK_GATEWAYS that of
// gateways, GALENA_SOAK_CLIENTS that of clients of each, and GALENA_SOAK_MEMORY_MB the memory of
// each.
const (
	streamSoakDuration = 24 * time.Second
	streamSoakGateways = 4
	streamSoakClients  = 10
	// calmShare is the share of the duration in which nothing happens but planned work and
	// silences; faults follow.
	calmShare = 0.6
	// Bounds of a server's silence; silenceBreak is the time between two of one server.
	minSilence   = 500 * time.Millisecond
	maxSilence   = 1900 * time.Millisecond
	silenceBreak = 400 * time.Millisecond
	// clientPause is the longest pause of most clients. One of idleClients pauses up to
	// idlePause, four fifths of the shortest idle timeout.
	clientPause = 60 * time.Millisecond
	idleClients = 5
	idlePause   = minIdleTimeout * 4 / 5
	// minIdleTimeout and maxIdleTimeout are the limits of configurations.
	minIdleTimeout = 4 * time.Second
	maxIdleTimeout = 15 * time.Second
	// maxConfigBurst is the largest number of configurations in quick succession.
	maxConfigBurst = 5
)

// streamSoak runs the soak with streams, kept connections and servers that fall silent.
type streamSoak struct {
	*processFaults
	random *rand.Rand
	routes []*soakRoute
	all    []*soakServer
	// adjust changes the response of a server to a request; it may be nil.
	adjust func(server *soakServer, r *platformtest.Request, reply *platformtest.Response)
	// intercept responds to a request in place of a server, if it returns true; it may be nil.
	intercept func(server *soakServer, path string, r *platformtest.Request) (platformtest.Response, bool)
	// keepsID decides whether a server that crashed keeps its ID; nil for never.
	keepsID func() bool
	// tolerates decides whether a wrong response is no violation; nil for never. The caller
	// holds mu.
	tolerates func(r *clientRequest) bool
	// nextSoftware returns the software version of a server's next incarnation, which has an
	// ID, and the least time until that starts; nil for the same version. It is called when the
	// server has ended.
	nextSoftware func(server *soakServer, id string) (software string, downtime time.Duration)

	// ignoreClose is set if half of the connections are used until the gateway has closed them.
	ignoreClose bool
	// lastAck is the control replica that acknowledged the last call.
	lastAck atomic.Int64

	mu sync.Mutex
	// sent holds the requests by ID.
	sent         map[string]*clientRequest
	arrivals     map[string][]arrival
	disturbances []*disturbance
	outcomes     []*clientRequest
	// counts holds the number of requests by outcome, violations that of violations.
	counts     map[string]int
	violations int
	lost       int
	version    int
	// document returns a version of the configuration.
	document func(version int, random *rand.Rand, served []*soakRoute) (content string, published publishedConfig)
	// inSeries is set while versions are published in a quick series.
	inSeries  bool
	published []*publishedConfig
}

// begin records the begin of a disturbance.
func (s *streamSoak) begin(d disturbance) *disturbance {
	s.mu.Lock()
	defer s.mu.Unlock()
	d.from = time.Now()
	s.disturbances = append(s.disturbances, &d)
	return &d
}

func (s *streamSoak) end(d *disturbance) {
	s.mu.Lock()
	defer s.mu.Unlock()
	d.to = time.Now()
}

// streamSoakServers is the number of servers of each service.
var streamSoakServers = map[string]int{engineService: 6, otherEngineService: 2, plainService: 3, otherPlainService: 2}

// startStreamSoak starts the processes and servers, and waits until they serve.
func startStreamSoak(ctx context.Context, t *testing.T, settings soakSettings, routes []*soakRoute, servers map[string]int, workers *sync.WaitGroup) *streamSoak {
	s := newStreamSoak(t, settings, routes)
	s.start(ctx, servers, workers)
	return s
}

// newStreamSoak starts control replicas and gateways, without servers.
func newStreamSoak(t *testing.T, settings soakSettings, routes []*soakRoute) *streamSoak {
	dir, err := buildBinaries()
	require.NoError(t, err, dir)
	return newStreamSoakFrom(t, dir, settings, routes)
}

// newStreamSoakFrom is newStreamSoak with the folder of the binaries.
func newStreamSoakFrom(t *testing.T, dir string, settings soakSettings, routes []*soakRoute) *streamSoak {
	s := &streamSoak{
		document: soakDocument, processFaults: &processFaults{soak: startSoakFrom(t, dir, settings.seed, settings.controls, settings.gateways, append([]string{"-grace", gracePeriod.String()}, settings.flags...)...)},
		random: rand.New(rand.NewPCG(settings.seed, 3)), routes: routes, sent: make(map[string]*clientRequest), arrivals: make(map[string][]arrival), counts: make(map[string]int),
	}
	s.startedAt = time.Now()
	s.observe = s.observeFault()
	return s
}

// start starts servers and publishes the first configuration. How servers respond is not
// changed from here on.
func (s *streamSoak) start(ctx context.Context, servers map[string]int, workers *sync.WaitGroup) {
	for service, n := range servers {
		for range n {
			s.all = append(s.all, s.newServer(service))
		}
	}
	slices.SortFunc(s.all, func(a, b *soakServer) int { return strings.Compare(a.service, b.service) })
	for _, server := range s.all {
		workers.Go(func() { s.announce(ctx, server) })
	}
	workers.Go(func() { s.logPauses(ctx) })
	s.configure(ctx)
	for _, g := range s.gateways {
		g.waitReady()
	}
	time.Sleep(4 * announceInterval)
}

// logPauses logs when this process, which holds the servers and clients, has stood still for
// longer than maxTestPause. On an overloaded machine servers are then silent for longer than
// sound ones may be.
func (s *streamSoak) logPauses(ctx context.Context) {
	const interval = 50 * time.Millisecond
	for ctx.Err() == nil {
		began := time.Now()
		time.Sleep(interval)
		if late := time.Since(began) - interval; late > maxTestPause {
			s.happened("the test process stood still for %v until %s", late.Round(time.Millisecond), s.since(time.Now()))
		}
	}
}

// maxTestPause is the shortest standstill of the test process that is logged.
const maxTestPause = 300 * time.Millisecond

// anyControl calls control replicas in random order until one acknowledges.
func (s *streamSoak) anyControl(call func(control string) bool) bool {
	for _, replica := range rand.Perm(len(s.platformAddresses)) {
		if call(s.platformAddresses[replica]) {
			s.lastAck.Store(int64(replica))
			return true
		}
	}
	return false
}

// configure publishes a new version of the configuration until it is acknowledged.
func (s *streamSoak) configure(ctx context.Context) {
	s.version++
	content, published := s.document(s.version, s.random, s.routes)
	published.sent = time.Now()
	s.mu.Lock()
	s.published = append(s.published, &published)
	s.mu.Unlock()
	d := s.begin(disturbance{name: fmt.Sprint("configuration ", s.version), gateway: -1, planned: true, window: configWindow})
	defer s.end(d)
	for ctx.Err() == nil && !s.anyControl(func(control string) bool { return platformtest.PublishDocument(ctx, control, content) }) {
		time.Sleep(50 * time.Millisecond)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	published.acked = time.Now()
}

// observeFault returns the function that records the faults of processes.
func (s *streamSoak) observeFault() func(index int, kind faultKind, ended bool) {
	var mu sync.Mutex
	current := make(map[int]*disturbance)
	return func(index int, kind faultKind, ended bool) {
		mu.Lock()
		defer mu.Unlock()
		if ended {
			s.end(current[index])
			return
		}
		gateway, ok := s.gatewayIndex(index)
		if !ok {
			gateway = -1
		}
		d := disturbance{name: kind.String() + " of " + s.process(index).name, gateway: gateway, control: !ok, window: contactTime}
		switch kind {
		case faultStop, faultStopTwice:
			d.planned, d.window = true, stopWindow
		case faultReload:
			d.planned = true
		}
		current[index] = s.begin(d)
	}
}

// runClient sends requests to one gateway. It uses each connection until the gateway closes
// it.
func (s *streamSoak) runClient(ctx context.Context, gateway int, longestPause time.Duration, next func(gateway, n int) *clientRequest) {
	var c *connection
	for n := 0; ctx.Err() == nil; n++ {
		if c == nil {
			var err error
			if c, err = dialGateway(ctx, s.gatewayAddresses[gateway]); err != nil {
				c = nil
				time.Sleep(refusedPause)
				continue
			}
			c.ignoresClose = s.ignoreClose && rand.IntN(2) == 0
		}
		r := next(gateway, n)
		if !s.exchange(c, r) {
			c.Close()
			c = nil
		}
		select {
		case <-ctx.Done():
		case <-time.After(r.pause(longestPause)):
		}
	}
	if c != nil {
		c.Close()
	}
}

// exchange sends a request on a connection and checks its response. It reports whether the
// connection can be used again.
func (s *streamSoak) exchange(c *connection, r *clientRequest) (reusable bool) {
	s.mu.Lock()
	s.sent[r.id] = r
	s.mu.Unlock()
	reusable = c.exchange(r)
	s.record(r)
	return reusable
}

// disturb begins one silence, change of the configuration, replacement of a server, or
// disturbance of a process.
func (s *streamSoak) disturb(ctx context.Context, random *rand.Rand, faults *sync.WaitGroup, calm bool) {
	choice := random.IntN(10)
	server := s.all[random.IntN(len(s.all))]
	switch {
	case choice < 4, choice < 6 && s.inSeries:
		s.silence(random)
	case choice < 6:
		for range 1 + random.IntN(maxConfigBurst) {
			s.configure(ctx)
			time.Sleep(time.Duration(random.Int64N(int64(300 * time.Millisecond))))
		}
	case choice < 7:
		faults.Go(func() { s.replaceServer(ctx, server) })
	case choice < 8 && !calm:
		downtime := minFaultDuration + time.Duration(random.Int64N(int64(maxFaultDuration)))
		faults.Go(func() { s.crashServer(server, downtime) })
	default:
		s.inject(random, faults)
	}
}

// plannedKinds are the disturbances of processes that no request may be lost by.
var plannedKinds = []faultKind{faultStop, faultStopTwice, faultReload}

// runDisturbances disturbs the system for a time, at first by planned work and silences only.
func (s *streamSoak) runDisturbances(ctx context.Context, random *rand.Rand, duration time.Duration, faults *sync.WaitGroup) {
	began := time.Now()
	s.kinds = plannedKinds
	for time.Since(began) < duration {
		calm := time.Since(began) < time.Duration(calmShare*float64(duration))
		if !calm && !s.inSeries {
			s.kinds = nil
		}
		s.disturb(ctx, random, faults, calm)
		time.Sleep(50*time.Millisecond + time.Duration(random.Int64N(int64(400*time.Millisecond))))
	}
}

// servedSince reports whether at least minServedShare of the requests of each route that were
// sent in the last servedWindow were served.
func (s *streamSoak) servedSince(from time.Time) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	sent, served := make(map[*soakRoute]int), make(map[*soakRoute]int)
	for _, r := range slices.Backward(s.outcomes) {
		if r.sentAt.Before(from) {
			if r.endedAt.Before(from) {
				break
			}
			continue
		}
		if r.keyRemoved() || r.cause != nil || s.mayReject(r) {
			continue
		}
		sent[r.route]++
		if r.complete && r.status == http.StatusOK {
			served[r.route]++
		}
	}
	for _, route := range s.routes {
		if route == extraRoute {
			continue
		}
		if sent[route] < minRouteRequests || float64(served[route]) < minServedShare*float64(sent[route]) {
			return false
		}
	}
	return true
}

// Parameters of the check that requests are served again.
const (
	servedWindow     = 1500 * time.Millisecond
	minRouteRequests = 5
)

// soakSettings are the settings of a soak from the environment.
type soakSettings struct {
	duration                    time.Duration
	seed                        uint64
	controls, gateways, clients int
	flags                       []string
	// The soak of silent servers uses these: silence is the longest silence of a server, 0 for the
	// default; manyRoutes is the number of routes that configurations have besides those in use;
	// holders is the number of connections to each gateway that hold memory; paths names the paths
	// that gateways do not have.
	silence             time.Duration
	manyRoutes, holders int
	paths               string
}

func soakSettingsFromEnv(t *testing.T, duration time.Duration) soakSettings {
	t.Helper()
	c := soakSettings{duration: duration, seed: 1, controls: soakControls, gateways: streamSoakGateways, clients: streamSoakClients}
	number := func(name string, use func(n int)) {
		if v := os.Getenv(name); v != "" {
			n, err := strconv.Atoi(v)
			require.NoError(t, err, name)
			use(n)
		}
	}
	if v := os.Getenv("GALENA_SOAK"); v != "" {
		var err error
		c.duration, err = time.ParseDuration(v)
		require.NoError(t, err)
	}
	if v := os.Getenv("GALENA_SOAK_SILENCE"); v != "" {
		var err error
		c.silence, err = time.ParseDuration(v)
		require.NoError(t, err)
	}
	c.paths = os.Getenv("GALENA_SOAK_PATHS")
	number("GALENA_SOAK_ROUTES", func(n int) { c.manyRoutes = n })
	number("GALENA_SOAK_HOLDERS", func(n int) { c.holders = n })
	number("GALENA_SOAK_SEED", func(n int) { c.seed = uint64(n) })
	number("GALENA_SOAK_CONTROLS", func(n int) { c.controls = n })
	number("GALENA_SOAK_GATEWAYS", func(n int) { c.gateways = n })
	number("GALENA_SOAK_CLIENTS", func(n int) { c.clients = n })
	number("GALENA_SOAK_MEMORY_MB", func(n int) { c.flags = append(c.flags, "-memory-mb", strconv.Itoa(n)) })
	return c
}

// summary logs the counts.
func (s *streamSoak) summary(seed uint64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	var names []string
	for name := range s.counts {
		names = append(names, name)
	}
	slices.Sort(names)
	for _, name := range names {
		s.t.Logf("%6d %s", s.counts[name], name)
	}
	s.t.Logf("seed %d: %d requests, %d disturbances, %d versions of the configuration, %d violations", seed, len(s.outcomes), len(s.disturbances), s.version, s.violations)
}

// TestStreamSoak guards against requests that end without a response, streams that are cut
// and answers that are incomplete, repeated or another's, while servers fall silent and go on,
// the configuration and the servers change, and processes are stopped, reloaded, killed and
// frozen, all at overlapping times. Clients keep their connections.
func TestStreamSoak(t *testing.T) {
	t.Parallel()
	c := soakSettingsFromEnv(t, streamSoakDuration)
	ctx, stop := context.WithCancel(t.Context())
	defer stop()
	var workers, clients, faults sync.WaitGroup
	defer func() { // a client that outlives a failed test ends the package
		stop()
		clients.Wait()
	}()
	s := startStreamSoak(ctx, t, c, soakRoutes, streamSoakServers, &workers)
	defer s.summary(c.seed)
	for gateway := range c.gateways {
		for n := range c.clients {
			pause := clientPause
			if n%idleClients == idleClients-1 {
				pause = idlePause
			}
			clients.Go(func() { s.runClient(ctx, gateway, pause, nextRequest) })
		}
	}
	random := rand.New(rand.NewPCG(c.seed, 2))
	s.runDisturbances(ctx, random, c.duration, &faults)
	faults.Wait()
	require.Eventually(t, func() bool { return s.servedSince(time.Now().Add(-servedWindow)) }, recoveryTimeout, 200*time.Millisecond, "requests are served again")
	stop()
	clients.Wait()
	workers.Wait()
}
