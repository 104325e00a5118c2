package faults

import (
	"context"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/galenaarch/galenaarch/platform/platformtest"
)

// Parameters of the soak of the state that the system derives from configurations, weight
// versions and servers. The environment is that of the stream soak.
const (
	stateSoakDuration = 24 * time.Second
	// versionInterval is the shortest time between two weight versions.
	versionInterval = 1500 * time.Millisecond
	// loadTime is how long an engine loads weights, once its requests are finished.
	loadTime = 570 * time.Millisecond
	// The users' bounds: requests begin on a version, and all servers have it, after its
	// acknowledgement. stretchTime is added to the time to apply a configuration while the
	// control group is disturbed.
	versionTime = 8 * time.Second
	settledTime = 12 * time.Second
	stretchTime = 5 * time.Second
	// maxGatewayMemory is the smallest memory of an instance.
	maxGatewayMemory = 189 << 20
	probeInterval    = 150 * time.Millisecond
	// quietTime is how long requests are checked after a configuration is in force.
	quietTime = 1500 * time.Millisecond
	// quietServerCrashes is how many servers crash while they load the last version.
	quietServerCrashes = 4
)

// engineWeights are the weights of an engine, which survive a restart, its orders, and its KV
// cache, which do not.
type engineWeights struct {
	mu       sync.Mutex
	version  int
	sequence int
	// loading is the ordered version; 0 for none.
	loading  int
	loadedAt time.Time
	// makers maps each cached part, under its salt and behind the parts before it, to the
	// account whose request made it.
	makers map[string]string
	// onLoad is called when a load begins; it may be nil.
	onLoad func()
}

func (w *engineWeights) currentVersion() int {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.settle()
}

// settle ends a load that is over, and returns the version; w.mu must be held.
func (w *engineWeights) settle() int {
	if w.loading > 0 && time.Now().After(w.loadedAt) {
		w.version, w.loading, w.makers = w.loading, 0, nil
	}
	return max(1, w.version)
}

// restart ends a load, and forgets orders and the cache.
func (w *engineWeights) restart() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.settle()
	w.loading, w.sequence, w.makers = 0, 0, nil
}

// order carries out an order to load weights and returns the status of the response.
func (w *engineWeights) order(version, expected int) int {
	w.mu.Lock()
	defer w.mu.Unlock()
	switch {
	case version <= w.settle():
		return http.StatusOK
	case w.loading > 0 || expected != w.sequence:
		return http.StatusConflict
	}
	w.sequence++
	w.loading, w.loadedAt = version, time.Now().Add(loadTime)
	if w.onLoad != nil {
		w.onLoad()
	}
	return http.StatusAccepted
}

// stateSoak adds weight versions, isolated accounts, control replicas that end right after an
// acknowledgement and calls that are answered without end to the stream soak.
type stateSoak struct {
	*streamSoak

	stateMu sync.Mutex
	// named is the newest weight version that was acknowledged, at namedAt.
	named   int
	namedAt time.Time
	// walled is the configuration by which each request that is sent after walledFrom must
	// share contexts; nil for none.
	walled     *publishedConfig
	walledFrom time.Time
	// endless holds the engines whose event polls are answered without end, and how.
	endless map[*soakServer]string
}

// stateDocument returns a version that isolates accounts at random.
func stateDocument(version int, random *rand.Rand, served []*soakRoute) (string, publishedConfig) {
	return isolatingDocument(version, random, served, func(string) bool { return random.IntN(3) == 0 })
}

// isolatingDocument returns a version that isolates some accounts and has a route of its own.
func isolatingDocument(version int, random *rand.Rand, served []*soakRoute, isolate func(account string) bool) (string, publishedConfig) {
	content, published := soakDocument(version, random, served)
	published.version, published.isolated = version, make(map[string]bool)
	var document map[string]any
	if err := json.Unmarshal([]byte(content), &document); err != nil {
		panic(err) // soakDocument returns JSON
	}
	for _, t := range document["tenants"].([]any) {
		account := t.(map[string]any)
		name := account["name"].(string)
		published.isolated[name] = isolate(name)
		account["isolated"] = published.isolated[name]
	}
	document["routes"] = append(document["routes"].([]any), map[string]any{
		"name": fmt.Sprint("version-", version), "host": platformtest.Host, "path_prefix": versionPath(version), "kind": "idempotent", "timeout_ms": 1500,
		"target_latency_ms": 300, "service": plainService, "max_attempts": 2, "public": true,
	})
	edited, err := json.Marshal(document)
	if err != nil {
		panic(err) // it was decoded from JSON
	}
	return string(edited), published
}

// versionPath is the prefix of the route that only one version of the configuration has.
func versionPath(version int) string { return fmt.Sprintf("/version-%d/", version) }

// respond is the intercept of the soak.
func (s *stateSoak) respond(server *soakServer, path string, r *platformtest.Request) (platformtest.Response, bool) {
	switch {
	case strings.HasPrefix(path, "/version-"):
		return platformtest.Response{Status: http.StatusOK, Body: "in force"}, true
	case !isEngine(server.service):
		return platformtest.Response{}, false
	case path == "/report":
		w := &server.weights
		w.mu.Lock()
		defer w.mu.Unlock()
		return platformtest.Response{Status: http.StatusOK, Body: fmt.Sprintf(`{"models":[{"name":%q,"version":%d}],"busy":%t,"sequence":%d}`, soakModel, w.settle(), w.loading > 0, w.sequence)}, true
	case path == "/order":
		var order struct{ Version, Expected int }
		if err := json.Unmarshal([]byte(r.Body), &order); err != nil {
			return platformtest.Response{Status: http.StatusBadRequest}, true
		}
		return platformtest.Response{Status: server.weights.order(order.Version, order.Expected), Body: "{}"}, true
	case path == "/kv-events":
		s.stateMu.Lock()
		defer s.stateMu.Unlock()
		if part := s.endless[server]; part != "" {
			return platformtest.Response{EndlessPart: part}, true
		}
	}
	return platformtest.Response{}, false
}

// runOnWeights is the adjustment of responses of engines: rejections while weights load, and
// the check of what the request uses.
func (s *stateSoak) runOnWeights(server *soakServer, r *platformtest.Request, reply *platformtest.Response) {
	if !isEngine(server.service) || reply.NotExecuted {
		return
	}
	w := &server.weights
	w.mu.Lock()
	defer w.mu.Unlock()
	version := w.settle()
	expected, err := strconv.Atoi(r.Header.Get("X-Expect-Version"))
	switch {
	case w.loading > 0:
		*reply = platformtest.Response{Status: http.StatusServiceUnavailable, NotExecuted: true, Body: "loading"}
		return
	case err == nil && expected != version:
		*reply = platformtest.Response{Status: http.StatusMisdirectedRequest, NotExecuted: true, Body: "version"}
		return
	}
	if w.makers == nil {
		w.makers = make(map[string]string)
	}
	account, key := r.Header.Get("X-Tenant"), r.Header.Get("X-Cache-Salt")
	for part := range strings.SplitSeq(r.Header.Get("X-Prompt-Prefix"), ",") {
		key += "|" + part
		maker, cached := w.makers[key]
		if !cached {
			w.makers[key] = account
		} else if maker != account {
			s.checkShared(r, account, maker)
		}
	}
	s.checkVersion(r, server, version)
}

// calm reports whether the bounds on configurations hold for a gateway in a span: no fault of
// its own, and at most one control replica disturbed. The caller holds s.mu.
func (s *stateSoak) calm(gateway int, from, to time.Time) bool {
	replicas := make(map[string]bool)
	for _, d := range s.disturbances {
		reload := d.planned && d.window == contactTime
		if reload || !d.overlaps(from, to) {
			continue
		}
		if d.gateway == gateway {
			return false
		}
		if _, name, ok := strings.Cut(d.name, " of control-"); ok && d.control {
			replicas[name] = true
		}
	}
	return len(replicas) <= 1
}

// checkShared reports a request that uses what another account's request made although every
// version that may be in force isolates one of the two.
func (s *stateSoak) checkShared(r *platformtest.Request, account, maker string) {
	if s.sharedAllowed(r, account, maker) {
		return
	}
	s.violation("%s of %s uses a part that a request of %s made", r.ID, account, maker)
}

func (s *stateSoak) sharedAllowed(r *platformtest.Request, account, maker string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	sent := s.sent[r.ID]
	if sent != nil && s.walled != nil && sent.sentAt.After(s.walledFrom) {
		return !s.walled.isolated[account] && !s.walled.isolated[maker]
	}
	if sent == nil || !s.calm(sent.gateway, sent.sentAt.Add(-configApplyTime-stretchTime), r.ReceivedAt) {
		return true
	}
	for n := len(s.published) - 1; n >= 0; n-- {
		c := s.published[n]
		if !c.isolated[account] && !c.isolated[maker] {
			return true
		}
		if !c.acked.IsZero() && c.acked.Add(configApplyTime+stretchTime).Before(sent.sentAt) {
			return false
		}
	}
	return true
}

// checkVersion reports a request that begins on an older version too late. It is used while
// only backend servers are disturbed.
func (s *stateSoak) checkVersion(r *platformtest.Request, server *soakServer, version int) {
	s.stateMu.Lock()
	defer s.stateMu.Unlock()
	if version < s.named && !s.namedAt.IsZero() && r.ReceivedAt.Sub(s.namedAt) > versionTime {
		s.violation("%s begins on version %d at %s, %v after version %d was acknowledged", r.ID, version, server.CurrentID(), r.ReceivedAt.Sub(s.namedAt), s.named)
	}
}

// nameVersion names the next weight version until it is acknowledged. checked starts the check
// of requests that begin on an older one.
func (s *stateSoak) nameVersion(ctx context.Context, checked bool) {
	s.stateMu.Lock()
	version := max(1, s.named) + 1
	s.stateMu.Unlock()
	for ctx.Err() == nil && !s.anyControl(func(control string) bool { return platformtest.NameVersion(ctx, control, soakModel, version) }) {
		time.Sleep(50 * time.Millisecond)
	}
	s.stateMu.Lock()
	defer s.stateMu.Unlock()
	s.named, s.namedAt = version, time.Time{}
	if checked {
		s.namedAt = time.Now()
	}
}

// endAfterAck publishes a configuration and ends the control replica that acknowledged it.
func (s *stateSoak) endAfterAck(ctx context.Context, random *rand.Rand, faults *sync.WaitGroup) {
	s.configure(ctx)
	kind := []faultKind{faultKill, faultFreeze}[random.IntN(2)]
	lasts := minFaultDuration + time.Duration(random.Int64N(int64(maxFaultDuration)))
	s.injectInto(int(s.lastAck.Load()), kind, lasts, faults)
}

// answerEndlessly makes the engines answer event polls without end for a time.
func (s *stateSoak) answerEndlessly(random *rand.Rand) {
	parts := platformtest.EndlessParts()
	s.stateMu.Lock()
	defer s.stateMu.Unlock()
	clear(s.endless)
	for _, server := range s.all {
		if isEngine(server.service) && random.IntN(3) > 0 {
			s.endless[server] = parts[random.IntN(len(parts))]
		}
	}
}

// runState changes weights, configurations and answers to event polls, beside the disturbances
// of the stream soak.
func (s *stateSoak) runState(ctx context.Context, random *rand.Rand, duration time.Duration, faults *sync.WaitGroup) {
	for end := time.Now().Add(duration); time.Now().Before(end); {
		switch random.IntN(4) {
		case 0:
			s.nameVersion(ctx, false)
			time.Sleep(versionInterval)
		case 1:
			s.endAfterAck(ctx, random, faults)
		case 2:
			s.answerEndlessly(random)
		default:
			for range 1 + random.IntN(maxConfigBurst) {
				s.configure(ctx)
			}
		}
		time.Sleep(time.Duration(random.Int64N(int64(800 * time.Millisecond))))
	}
	s.stateMu.Lock()
	defer s.stateMu.Unlock()
	clear(s.endless)
}

// newestInForce returns the newest version of the configuration that each instance in touch
// must have applied by a time; 0 if there is none.
func (s *stateSoak) newestInForce(at time.Time) (version int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, c := range s.published {
		if !c.acked.IsZero() && c.acked.Add(configApplyTime+stretchTime).Before(at) {
			version = c.version
		}
	}
	return version
}

// probe asks a gateway for the route of the newest version that must be in force there. The
// version after it replaces the route, so a response other than 404 is the version's or none.
func (s *stateSoak) probe(ctx context.Context, gateway int) {
	for ctx.Err() == nil {
		time.Sleep(probeInterval)
		sentAt := time.Now()
		version := s.newestInForce(sentAt)
		if version == 0 {
			continue
		}
		status := s.probeOnce(ctx, gateway, version)
		if status != http.StatusNotFound {
			continue
		}
		s.mu.Lock()
		superseded := s.published[len(s.published)-1].version > version
		inTouch := s.calm(gateway, sentAt.Add(-configApplyTime-stretchTime), time.Now())
		s.mu.Unlock()
		if !superseded && inTouch {
			s.violation("gateway %d answers 404 for the route of version %d at %s", gateway, version, s.since(sentAt))
		}
	}
}

// probeOnce returns the status of a request for the route of a version; 0 without a response.
func (s *stateSoak) probeOnce(ctx context.Context, gateway, version int) int {
	ctx, cancel := context.WithTimeout(ctx, 2*time.Second)
	defer cancel()
	r, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+s.gatewayAddresses[gateway]+versionPath(version)+"x", nil)
	if err != nil {
		return 0
	}
	r.Host, r.Close = platformtest.Host, true
	r.Header.Set("X-Request-Id", fmt.Sprintf("probe-%d-%08x", gateway, rand.Uint32()))
	response, err := http.DefaultTransport.RoundTrip(r)
	if err != nil {
		return 0
	}
	defer response.Body.Close()
	return response.StatusCode
}

// isolateQuietly lets accounts share contexts for a time, isolates one of them, and checks
// each request that is sent once the configuration must be in force.
func (s *stateSoak) isolateQuietly(ctx context.Context) {
	for _, isolated := range []string{"", "tenant-a", ""} {
		s.document = func(version int, random *rand.Rand, served []*soakRoute) (string, publishedConfig) {
			return isolatingDocument(version, random, served, func(account string) bool { return account == isolated })
		}
		s.mu.Lock()
		s.walled = nil
		s.mu.Unlock()
		s.configure(ctx)
		s.mu.Lock()
		s.walled = s.published[len(s.published)-1]
		s.walledFrom = s.walled.acked.Add(configApplyTime)
		s.mu.Unlock()
		time.Sleep(configApplyTime + quietTime)
	}
}

// awaitInForce waits until each gateway has answered for the newest configuration. Which of
// them has is kept: a probe may also fail for want of a server.
func (s *stateSoak) awaitInForce(ctx context.Context) {
	waitCtx, cancel := context.WithTimeout(ctx, configApplyTime)
	defer cancel()
	var probes sync.WaitGroup
	for gateway := range s.gateways {
		probes.Go(func() {
			for s.probeOnce(waitCtx, gateway, s.version) != http.StatusOK {
				if waitCtx.Err() != nil {
					s.violation("gateway %d has not answered for version %d within %s of its acknowledgement", gateway, s.version, configApplyTime)
					return
				}
				time.Sleep(20 * time.Millisecond)
			}
		})
	}
	probes.Wait()
}

// settled reports whether all engines have the newest weight version.
func (s *stateSoak) settled() bool {
	s.stateMu.Lock()
	named := s.named
	s.stateMu.Unlock()
	for _, server := range s.all {
		if isEngine(server.service) && server.weights.currentVersion() < named {
			return false
		}
	}
	return true
}

// crashWhileLoading makes the engines that load weights first crash, and come back under
// their IDs.
func (s *stateSoak) crashWhileLoading(faults *sync.WaitGroup) {
	crashes := make(chan struct{}, quietServerCrashes)
	for _, server := range s.all {
		server.weights.mu.Lock()
		server.weights.onLoad = func() {
			select {
			case crashes <- struct{}{}:
				faults.Go(func() {
					time.Sleep(loadTime / 2)
					s.crashServer(server, 1500*time.Millisecond)
				})
			default:
			}
		}
		server.weights.mu.Unlock()
	}
}

// TestStateSoak guards against instances and servers that stay on an older configuration or
// weight version, contexts shared with an isolated account, and memory without bound, while
// weight versions and configurations follow each other, control replicas end right after they
// acknowledged, engines restart under their IDs while they load, event polls are answered
// without end, and processes are stopped, reloaded, killed and frozen. Clients use their
// connections until they are closed.
func TestStateSoak(t *testing.T) {
	t.Parallel()
	c := soakSettingsFromEnv(t, stateSoakDuration)
	ctx, stop := context.WithCancel(t.Context())
	defer stop()
	var workers, clients, faults, state sync.WaitGroup
	defer func() { // a client that outlives a failed test ends the package
		stop()
		clients.Wait()
	}()
	s := &stateSoak{endless: make(map[*soakServer]string)}
	s.streamSoak = newStreamSoak(t, c, soakRoutes)
	s.intercept, s.adjust, s.keepsID = s.respond, s.runOnWeights, func() bool { return true }
	s.start(ctx, streamSoakServers, &workers)
	defer s.summary(c.seed)
	s.document, s.inSeries = stateDocument, true
	s.configure(ctx)
	for gateway := range c.gateways {
		clients.Go(func() { s.probe(ctx, gateway) })
		for range c.clients {
			clients.Go(func() { s.runClient(ctx, gateway, clientPause, nextRequest) })
		}
	}
	state.Go(func() { s.runState(ctx, rand.New(rand.NewPCG(c.seed, 4)), c.duration, &faults) })
	s.runDisturbances(ctx, rand.New(rand.NewPCG(c.seed, 2)), c.duration, &faults)
	state.Wait()
	faults.Wait()

	// Only backend servers are disturbed from here on.
	time.Sleep(contactTime)
	s.configure(ctx)
	s.awaitInForce(ctx)
	s.isolateQuietly(ctx)
	s.crashWhileLoading(&faults)
	s.nameVersion(ctx, true)
	named := time.Now()
	require.Eventually(t, s.settled, settledTime, 20*time.Millisecond, "all engines have the newest weights")
	t.Logf("all engines have the newest weights after %v", time.Since(named).Round(time.Millisecond))
	faults.Wait()
	require.Eventually(t, func() bool { return s.servedSince(time.Now().Add(-servedWindow)) }, recoveryTimeout, 200*time.Millisecond, "requests are served again")
	for _, g := range s.gateways {
		require.Less(t, g.residentBytes(), int64(maxGatewayMemory), "%s", g.name)
	}
	stop()
	clients.Wait()
	workers.Wait()
}
