package faults

import (
	"context"
	"fmt"
	"math"
	"math/rand/v2"
	"net/http"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"

	"github.com/galenaarch/galenaarch/platform/platformtest"
)

// Parameters of the soak with requests that crash servers.
const (
	requestSoakDuration = 18 * time.Second
	// endsBreak is the time between the servers that end by themselves and the requests.
	endsBreak = soundGrace + 1500*time.Millisecond
	// requestCrashes is the number of crashes after which the users' bounds on a request
	// hold.
	requestCrashes = 3
	// maxCauses is the largest number of requests that crash servers.
	maxCauses = 3
	// Bounds of the mean time between two times at which such a request comes, over all
	// gateways. Clients that retry at once send it up to maxRetriesAtOnce times more.
	minRequestInterval = 200 * time.Millisecond
	maxRequestInterval = 3 * time.Second
	maxRetriesAtOnce   = 3
	// startSpread is the time in which the requests begin to come.
	startSpread = 2 * time.Second
	// Bounds of a server's time before the response headers, and of the time between the
	// last bytes that it sends and its crash.
	maxCrashingDelay = 150 * time.Millisecond
	minCrashDelay    = time.Millisecond
	maxCrashDelay    = 30 * time.Millisecond
	// Bounds of the break between disturbances, and of that between faults of control
	// replicas, after which no gateway is in touch for contactTime.
	minDisturbanceBreak = 300 * time.Millisecond
	maxDisturbanceBreak = 1500 * time.Millisecond
	minControlBreak     = 6 * time.Second
	maxControlBreak     = 14 * time.Second
	// gatewaysPerFault is the number of gateways for each of which one fault is added to
	// those injected at once.
	gatewaysPerFault = 20
)

// Routes with plain requests that need an account key.
var (
	keyedPostRoute = &soakRoute{name: "order", kind: "non_idempotent", services: []string{plainService, otherPlainService}, maxAttempts: 1, keyed: true, minTimeout: 2500 * time.Millisecond, maxTimeout: 4 * time.Second}
	keyedGetRoute  = &soakRoute{name: "read", kind: "idempotent", services: []string{plainService, otherPlainService}, maxAttempts: 2, keyed: true, minTimeout: 2500 * time.Millisecond, maxTimeout: 4 * time.Second}
)

// requestSoakRoutes are the routes of the soak. The requests that crash servers are those of
// all but extraRoute.
var requestSoakRoutes = append(slices.Clone(soakRoutes), keyedPostRoute, keyedGetRoute)

// requestSoakServers is the number of servers of each service.
var requestSoakServers = map[string]int{engineService: 6, otherEngineService: 3, plainService: 4, otherPlainService: 3}

// crashingRequest is a request that crashes servers. It is the same each time but for its ID.
type crashingRequest struct {
	*crashCause
	route *soakRoute
	// key is empty on routes that need none.
	method, path, key string
	// parts are those of its prompt, nil on routes without prompts; the last one is its own.
	parts    []string
	content  string
	events   int
	interval time.Duration
	// every is the mean time between two times at which it comes. retries is how often its
	// client retries at once.
	every   time.Duration
	retries int
}

// newCrashingRequest returns a random request that crashes servers.
func newCrashingRequest(n int, random *rand.Rand) *crashingRequest {
	x := &crashingRequest{method: http.MethodPost}
	for x.route = extraRoute; x.route == extraRoute; {
		x.route = requestSoakRoutes[random.IntN(len(requestSoakRoutes))]
	}
	if !x.route.prompt && x.route.kind != "non_idempotent" && random.IntN(3) > 0 {
		x.method = http.MethodGet
	}
	x.path = fmt.Sprintf("%sthing%d", x.route.prefix(), n)
	if random.IntN(3) == 0 {
		x.path += fmt.Sprintf("?page=%d", random.IntN(100))
	}
	if x.route.prompt || x.route.keyed {
		x.key = soakKey
	}
	if x.route.prompt {
		x.parts = []string{sharedPart, "b0", fmt.Sprint("own-", n)}
		if random.IntN(2) == 0 {
			x.parts = append([]string{longPart}, x.parts...)
		}
	}
	if x.method == http.MethodPost {
		x.content = fmt.Sprintf("request %d %s", n, strings.Repeat("x", random.IntN(1500)))
	}
	if x.route.stream() {
		x.events, x.interval = 2+random.IntN(10), time.Duration(10+random.IntN(50))*time.Millisecond
	}
	spread := math.Log(float64(maxRequestInterval) / float64(minRequestInterval))
	x.every = time.Duration(float64(minRequestInterval) * math.Exp(random.Float64()*spread))
	if random.IntN(2) == 0 {
		x.retries = 1 + random.IntN(maxRetriesAtOnce)
	}
	x.crashCause = &crashCause{counted: requestCrashes, name: fmt.Sprintf("%s %s with %d bytes, %d parts, %d events, every %v, %d retries at once",
		x.method, x.path, len(x.content), len(x.parts), x.events, x.every.Round(time.Millisecond), x.retries)}
	return x
}

// request returns the request for a gateway.
func (x *crashingRequest) request(gateway, n int) *clientRequest {
	r := newClientRequest(x.route, gateway, n)
	r.cause, r.method, r.path, r.content, r.events, r.interval = x.crashCause, x.method, x.path, x.content, x.events, x.interval
	r.setKey(x.key)
	if len(x.parts) > 0 {
		r.setWholePrompt(x.parts)
	}
	return r
}

// setKey sets or removes the account key.
func (r *clientRequest) setKey(key string) {
	delete(r.header, "X-Api-Key")
	if key != "" {
		r.header["X-Api-Key"] = key
	}
}

// requestSoak runs the stream soak with requests that crash servers.
type requestSoak struct {
	*crashSoak
	causes []*crashingRequest
	// longCached holds the incarnations of servers that have read the long part. The
	// embedded mu guards it.
	longCached map[string]bool
}

// crashUnder makes servers crash under the requests, and take longer to begin a response to the
// first long prompt that they read.
func (c *requestSoak) crashUnder(server *soakServer, r *platformtest.Request, reply *platformtest.Response) {
	c.mu.Lock()
	sent := c.sent[r.ID]
	if strings.HasPrefix(r.Header.Get("X-Prompt-Prefix"), fmt.Sprintf("%x:", longPart)) && !r.Misdirected && !reply.NotExecuted && !c.longCached[server.Server.ID] {
		c.longCached[server.Server.ID] = true
		reply.Delay += longPromptDelay
	}
	c.mu.Unlock()
	if sent.cause == nil {
		return
	}
	sent.cause.arrive(server, r)
	if r.Misdirected || reply.NotExecuted {
		return
	}
	reply.Crash, reply.OnCrash = true, func() { c.crashed(server, sent.cause) }
	reply.CrashDelay = minCrashDelay + time.Duration(rand.Int64N(int64(maxCrashDelay-minCrashDelay)))
	reply.Delay = max(0, time.Duration(rand.Int64N(int64(2*maxCrashingDelay)))-maxCrashingDelay)
	reply.CrashStage = platformtest.CrashStage(rand.IntN(3))
	if reply.CrashStage == platformtest.CrashAfterEvent {
		reply.CrashEvent = 1 + rand.IntN(max(1, reply.Events))
		if reply.Events == 0 {
			reply.CrashStage = platformtest.CrashInBody
		}
	}
}

// soundRequest returns a request that does not crash servers and shares what it can with one
// that does.
func (c *requestSoak) soundRequest(gateway, n int) *clientRequest {
	x := c.causes[rand.IntN(len(c.causes))]
	r := newClientRequest(x.route, gateway, n)
	if x.route.prompt || x.route.keyed {
		r.setKey([]string{x.key, x.key, soakOther}[rand.IntN(3)])
	}
	if r.route.stream() {
		r.events = 2 + rand.IntN(6)
	}
	parts := slices.Clone(x.parts[:max(0, len(x.parts)-1)])
	switch rand.IntN(8) {
	case 0, 1: // all but the body
		r.path = x.path
		r.setKey(x.key)
		if x.route.prompt {
			r.setPrompt(parts)
		}
	case 2: // the parts
		if x.route.prompt {
			r.setPrompt(parts)
		}
	case 3: // all but the account
		if x.key != "" {
			r.method, r.path, r.content = x.method, x.path, x.content
			r.setKey(soakOther)
			if x.route.prompt {
				r.setWholePrompt(x.parts)
			}
		}
	case 4: // another request that comes often
		r.path, r.content = x.route.prefix()+"often", "often"
		r.setKey(x.key)
		if x.route.prompt {
			r.setWholePrompt(append(parts, "often"))
		}
	case 5, 6: // a GET that comes often
		route := []*soakRoute{soakRoutes[4], keyedGetRoute}[rand.IntN(2)]
		r = newClientRequest(route, gateway, n)
		r.method, r.path = http.MethodGet, route.prefix()+"often"
		if route.keyed {
			r.setKey(soakKey)
		}
	default:
		r = newClientRequest(requestSoakRoutes[rand.IntN(len(requestSoakRoutes))], gateway, n)
		if r.route.keyed {
			r.setKey([]string{soakKey, soakOther}[rand.IntN(2)])
		}
	}
	return r
}

// sound reports whether a request does not crash servers. One with a key that configurations
// remove may be rejected.
func sound(r *clientRequest) bool { return r.cause == nil && !r.keyRemoved() }

// soundGroups are the groups of sound requests that are compared with those before.
func (c *requestSoak) soundGroups() map[string]requestGroup {
	groups := map[string]requestGroup{
		"GET that comes often": func(r *clientRequest) bool {
			return sound(r) && r.method == http.MethodGet && strings.HasSuffix(r.path, "/often")
		},
	}
	for i, x := range c.causes {
		name := func(group string) string { return fmt.Sprintf("%s as request %d", group, i+1) }
		groups[name("same route")] = func(r *clientRequest) bool { return sound(r) && r.route == x.route }
		groups[name("same path and account")] = func(r *clientRequest) bool {
			return sound(r) && r.path == x.path && r.header["X-Api-Key"] == x.key
		}
		if x.key != "" {
			groups[name("same account")] = func(r *clientRequest) bool { return sound(r) && r.route == x.route && r.header["X-Api-Key"] == x.key }
		}
		if x.route.prompt {
			groups[name("same first part")] = func(r *clientRequest) bool {
				return sound(r) && r.route == x.route && strings.HasPrefix(r.header["X-Prompt-Prefix"], fmt.Sprintf("%x:", x.parts[0]))
			}
		}
	}
	return groups
}

// served reports whether a request was served, or a stream began.
func served(r *clientRequest) bool {
	if r.route.stream() {
		return begun(r)
	}
	return r.complete && r.status == http.StatusOK
}

// attack sends a crashing request again and again to random gateways.
func (c *requestSoak) attack(ctx context.Context, x *crashingRequest, clients *sync.WaitGroup) {
	for n := 0; ctx.Err() == nil; n++ {
		clients.Go(func() {
			for try := 0; try <= x.retries && ctx.Err() == nil; try++ {
				c.sendCrashing(ctx, x, n*(maxRetriesAtOnce+1)+try)
			}
		})
		select {
		case <-ctx.Done():
		case <-time.After(x.every/2 + time.Duration(rand.Int64N(int64(x.every)))):
		}
	}
}

// sendCrashing sends a crashing request to a random gateway that accepts connections.
func (c *requestSoak) sendCrashing(ctx context.Context, x *crashingRequest, n int) {
	for _, gateway := range rand.Perm(len(c.gatewayAddresses)) {
		connection, err := dialGateway(ctx, c.gatewayAddresses[gateway])
		if err != nil {
			continue
		}
		r := x.request(gateway, n)
		c.exchange(connection, r)
		connection.Close()
		if r.complete && r.status == http.StatusOK {
			c.violation("%s at %s: a complete response, but its servers crash", r.id, c.since(r.sentAt))
		}
		return
	}
}

// resetConnections resets the connections of a gateway to the servers.
func (c *requestSoak) resetConnections(gateway int) {
	c.happened("connections of gateway %d are reset", gateway)
	d := c.begin(disturbance{name: fmt.Sprint("reset of connections of gateway ", gateway), gateway: gateway, window: contactTime})
	defer c.end(d)
	for _, server := range c.all {
		server.ResetConnections(func(r *platformtest.Request) bool { return strings.HasPrefix(r.ID, fmt.Sprintf("g%d-", gateway)) })
	}
}

// disturbWhileCrashing disturbs the system for a time.
func (c *requestSoak) disturbWhileCrashing(ctx context.Context, random *rand.Rand, duration time.Duration, faults *sync.WaitGroup) {
	between := func(least, most time.Duration) time.Duration {
		return least + time.Duration(random.Int64N(int64(most-least)))
	}
	end, nextControl := time.Now().Add(duration), time.Now().Add(between(0, maxControlBreak))
	for time.Now().Before(end) {
		if time.Now().After(nextControl) {
			kind := []faultKind{faultKill, faultStop, faultFreeze}[random.IntN(3)]
			c.injectInto(random.IntN(len(c.controls)), kind, between(minFaultDuration, maxFaultDuration), faults)
			nextControl = time.Now().Add(between(minControlBreak, maxControlBreak))
		}
		switch random.IntN(8) {
		case 0:
			server := c.all[random.IntN(len(c.all))]
			faults.Go(func() { c.crashServer(server, time.Second) })
		case 1, 2:
			c.silence(random)
		case 3:
			for range 1 + random.IntN(maxConfigBurst) {
				c.configure(ctx)
				time.Sleep(between(0, maxConfigPause))
			}
		case 4:
			c.resetConnections(random.IntN(len(c.gateways)))
		default:
			for range 1 + len(c.gateways)/gatewaysPerFault {
				c.inject(random, faults)
			}
		}
		time.Sleep(between(minDisturbanceBreak, maxDisturbanceBreak))
	}
}

// maxConfigPause is the longest pause between configurations in quick succession.
const maxConfigPause = 300 * time.Millisecond

// recovered reports whether at least minServedShare of the sound requests on the routes of the
// crashing ones that were sent in the last servedWindow were served.
func (c *requestSoak) recovered() bool {
	for _, x := range c.causes {
		onRoute := func(r *clientRequest) bool { return sound(r) && r.route == x.route }
		share, n := c.servedShare(onRoute, served, time.Now().Add(-servedWindow), time.Now())
		if n < minRouteRequests || share < minServedShare {
			return false
		}
	}
	return true
}

// verify checks the number of crashing requests that reached servers, and that sound ones are
// served.
func (c *requestSoak) verify() {
	var last time.Time
	for _, x := range c.causes {
		c.requireBounded(x.crashCause)
		n, at := x.lastCounted()
		if n == 0 {
			c.violation("%s: no server crashed", x.name)
		}
		if at.After(last) {
			last = at
		}
	}
	c.requireSound("while crashing requests come", c.soundGroups(), served, last.Add(soundGrace), time.Now())
	c.requireNotQuarantined(sound)
}

// TestCrashingRequestSoak guards against requests that crash servers and are sent on and on,
// and against sound requests that are rejected since they share the path, the account, the
// parts of the prompt, or the servers with them. Gateways are killed, frozen, stopped and
// reloaded, control replicas are restarted, servers end by themselves and fall silent,
// connections are reset and the configuration changes meanwhile.
func TestCrashingRequestSoak(t *testing.T) {
	t.Parallel()
	settings := soakSettingsFromEnv(t, requestSoakDuration)
	ctx, stop := context.WithCancel(t.Context())
	defer stop()
	var workers, clients, faults sync.WaitGroup
	defer func() { // a client that outlives a failed test ends the package
		stop()
		clients.Wait()
	}()
	random := rand.New(rand.NewPCG(settings.seed, 5))
	c := &requestSoak{longCached: make(map[string]bool)}
	for n := range 1 + random.IntN(maxCauses) {
		c.causes = append(c.causes, newCrashingRequest(n+1, random))
	}
	c.crashSoak = &crashSoak{streamSoak: startStreamSoak(ctx, t, settings, requestSoakRoutes, requestSoakServers, &workers)}
	defer c.summary(settings.seed)
	c.adjust, c.gatewaysOnly, c.clientsFrom = c.crashUnder, true, time.Now()
	for gateway := range settings.gateways {
		for range settings.clients {
			clients.Go(func() { c.runClient(ctx, gateway, clientPause, c.soundRequest) })
		}
	}
	time.Sleep(baselineDuration)
	c.endServers(random, c.serversOf(c.causes[0].route.services[0]))
	ended := time.Now()
	time.Sleep(endsBreak)
	c.requireSound("after servers ended by themselves", c.soundGroups(), served, ended.Add(soundGrace), time.Now())

	for i, x := range c.causes {
		t.Logf("request %d: %s", i+1, x.name)
		start := time.Duration(random.Int64N(int64(startSpread)))
		clients.Go(func() {
			time.Sleep(start)
			c.attack(ctx, x, &clients)
		})
	}
	c.disturbWhileCrashing(ctx, random, settings.duration, &faults)
	faults.Wait()
	if !assert.Eventually(t, c.recovered, recoveryTimeout, 200*time.Millisecond, "sound requests are served again") {
		c.violation("sound requests are not served again")
	}
	c.verify()
	stop()
	clients.Wait()
	workers.Wait()
	c.restarts.Wait()
}
