package faults

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"

	"github.com/galenaarch/galenaarch/platform/platformtest"
)

// Parameters of the soak with servers that fall silent and connections that stay open. The
// environment is that of the stream soak, GALENA_SOAK_SILENCE for the longest silence of a server,
// GALENA_SOAK_ROUTES for the number of routes that configurations have besides those in use,
// GALENA_SOAK_HOLDERS for the number of connections to each gateway that hold memory, and
// GALENA_SOAK_PATHS: with "peers", gateways lose the paths to each other for a time, with "servers"
// each reaches only some services, and pairs that need each other stop together.
const (
	silentServersDuration = 3 * time.Second
	// maxSoundSilence is the longest silence of a sound server.
	maxSoundSilence = 1600 * time.Millisecond
	// longIdle is the longest time for which idle clients wait for a disturbance, and
	// maxEarlyOpen the longest between a connection and its first request.
	longIdle     = 6 * time.Second
	maxEarlyOpen = 4 * time.Second
	// maxAfterDisturbance is the longest time between a disturbance and the request that an
	// idle client sends for it.
	maxAfterDisturbance = 30 * time.Millisecond
	// connectionCalls is the number of connections for calls to each control replica, and
	// callLimit the time of a call.
	connectionCalls = 3
	callLimit       = 3 * time.Second
	// sparseServedWindow is the window of the check that requests are served again: most clients
	// send few requests.
	sparseServedWindow = 4 * time.Second
	// exitSlack is how long after the exit of a process its clients may see the end of their
	// connections.
	exitSlack = 100 * time.Millisecond
	// heldBytes are sent of a body that holds memory, below the usual limit of bodies.
	heldBytes = 60000
)

// clientKind is how a client of the soak uses its connections.
type clientKind int

const (
	keptClient clientKind = iota
	idleClient
	earlyClient
	slowClient
	http10Client
	expectClient
	halfClosingClient
	clientKinds
)

var clientKindNames = [...]string{"kept", "idle", "early", "slow", "HTTP/1.0", "expecting", "half-closing"}

// String implements fmt.Stringer.
func (k clientKind) String() string { return clientKindNames[k] }

// silentServersSoak records how each connection ends.
type silentServersSoak struct {
	*streamSoak

	// wakeMu guards wake, by process and by -1 for configurations: it is closed with each
	// disturbance.
	wakeMu sync.Mutex
	wake   map[int]chan struct{}

	endsMu sync.Mutex
	// ends counts the ends of connections, calls the outcomes of calls to control replicas, and
	// requestsOf the requests by kind of client and status.
	ends, calls, requestsOf map[string]int
	cutBesideSilence        int
	longestSilence          time.Duration
	// paths are those of the gateways, if GALENA_SOAK_PATHS is set; stopsPairs is set if each
	// stops together with its partner.
	paths      []*gatewayPaths
	stopsPairs bool
}

// disturbed returns a channel that is closed with the next disturbance of a process, or with the
// next configuration for -1.
func (s *silentServersSoak) disturbed(index int) <-chan struct{} {
	s.wakeMu.Lock()
	defer s.wakeMu.Unlock()
	if s.wake[index] == nil {
		s.wake[index] = make(chan struct{})
	}
	return s.wake[index]
}

func (s *silentServersSoak) announceDisturbance(index int) {
	s.wakeMu.Lock()
	defer s.wakeMu.Unlock()
	if c := s.wake[index]; c != nil {
		close(c)
		delete(s.wake, index)
	}
}

func (s *silentServersSoak) count(counts map[string]int, format string, values ...any) {
	s.endsMu.Lock()
	defer s.endsMu.Unlock()
	counts[fmt.Sprintf(format, values...)]++
}

// phaseOf returns the phase of a process at a time, a gateway or a control replica.
func (s *silentServersSoak) phaseOf(index int, at time.Time) string {
	name := s.process(index).name
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, d := range s.disturbances {
		if !strings.HasSuffix(d.name, " of "+name) || d.window != stopWindow || d.from.After(at) {
			continue
		}
		switch {
		case d.to.IsZero():
			return "stopping"
		case d.to.Add(exitSlack).After(at):
			return "exited"
		}
	}
	return "running"
}

// runClient uses connections to a gateway as a kind of client until the context ends.
func (s *silentServersSoak) runClient(ctx context.Context, gateway int, kind clientKind) {
	for n := 0; ctx.Err() == nil; {
		c, o, err := dialObserved(ctx, s.gatewayAddresses[gateway], kind == slowClient)
		if err != nil {
			time.Sleep(refusedPause)
			continue
		}
		c.ignoresClose = kind == keptClient || kind == idleClient
		if kind == earlyClient {
			sleepUnless(ctx, time.Duration(rand.Int64N(int64(maxEarlyOpen))))
		}
		for reusable := true; reusable && ctx.Err() == nil; n++ {
			if kind == idleClient {
				s.awaitDisturbance(ctx, gateway)
			}
			r := kind.request(gateway, n)
			r.connection = o
			o.endedUnread() // the request is sent in any case
			o.begin()
			reusable = s.exchange(c, r)
			if r.complete {
				o.finish()
			}
			s.noteRequest(r, kind)
			reusable = reusable && kind != halfClosingClient && (kind != earlyClient || rand.IntN(3) > 0)
			if kind != idleClient || !reusable {
				sleepUnless(ctx, r.pause(clientPause))
			}
		}
		c.Close()
		s.noteEnd(gateway, c, o)
	}
}

// request returns a random request as a kind of client sends it.
func (k clientKind) request(gateway, n int) *clientRequest {
	r := nextKeyedRequest(gateway, n)
	switch k {
	case slowClient:
		r.behavior.fillerBytes = slowFillerBytes
	case http10Client:
		r.behavior.http10 = true
	case expectClient:
		r.behavior.expectContinue = true
	case halfClosingClient:
		r.behavior.halfClose, r.behavior.patient = true, n%2 == 0
	}
	return r
}

func sleepUnless(ctx context.Context, d time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(d):
	}
}

// awaitDisturbance waits for a disturbance of a gateway or for a configuration, at most for
// longIdle, and then for a short time.
func (s *silentServersSoak) awaitDisturbance(ctx context.Context, gateway int) {
	configured := s.disturbed(-1)
	if rand.IntN(3) > 0 {
		configured = nil
	}
	select {
	case <-ctx.Done():
	case <-s.disturbed(len(s.controls) + gateway):
	case <-configured:
	case <-time.After(time.Duration(rand.Int64N(int64(longIdle)))):
	}
	sleepUnless(ctx, time.Duration(rand.Int64N(int64(maxAfterDisturbance))))
}

// noteEnd counts the end of a connection.
func (s *silentServersSoak) noteEnd(gateway int, c *connection, o *observedConn) {
	phase := s.phaseOf(len(s.controls)+gateway, o.endedAt)
	in := "idle"
	if o.inRequest {
		in = "in a request"
	}
	switch {
	case c.closeAnnounced:
		in += ", as announced,"
	case o.inRequest && o.endedAt.Before(o.begunAt):
		in = "before a request"
	}
	s.count(s.ends, "connection %s ended by %s, instance %s", in, o.endedBy, phase)
	if in == "in a request" && phase == "running" && o.endedBy != "client" {
		s.t.Logf("%s: gateway %d ended a request without a response, sent at %s; %s", s.since(o.endedAt), gateway, s.since(o.begunAt), o.describe(time.Now()))
	}
}

// noteRequest counts a request, and logs a stream that was cut beside a silence of its server.
func (s *silentServersSoak) noteRequest(r *clientRequest, kind clientKind) {
	s.count(s.requestsOf, "%v client: %d", kind, r.status)
	if r.complete || r.left || r.wroteAt.IsZero() || r.status != http.StatusOK {
		return
	}
	s.mu.Lock()
	silent := slices.ContainsFunc(s.arrivals[r.id], func(a arrival) bool {
		a.server.mu.Lock()
		defer a.server.mu.Unlock()
		return a.server.silentUntil.After(r.endedAt.Add(-s.longestSilence))
	})
	excuse, history := s.excuse(r), ""
	if silent {
		history = s.history(r)
	}
	s.mu.Unlock()
	if !silent {
		return
	}
	s.endsMu.Lock()
	s.cutBesideSilence++
	s.endsMu.Unlock()
	s.t.Logf("%s: cut beside a silence of its server (%s)\n%s%s", r.id, excuse, history, s.gatewayLog(r))
}

// pauseInResponse makes a server pause in its body, or add the filler that a request asks for.
func (s *silentServersSoak) pauseInResponse(server *soakServer, r *platformtest.Request, reply *platformtest.Response) {
	s.mu.Lock()
	sent := s.sent[r.ID]
	s.mu.Unlock()
	if reply.NotExecuted || r.Misdirected {
		return
	}
	if reply.Events > 0 {
		reply.EventData += sent.filler()
		return
	}
	reply.Body += sent.filler()
	if rand.IntN(3) > 0 {
		return
	}
	half := len(reply.Body) / 2
	if !reply.OmitLength {
		reply.Header = map[string]string{"Content-Length": strconv.Itoa(len(reply.Body))}
	}
	reply.OmitLength = true // the header states the length, and the connection ends with the response
	reply.Body, reply.After = reply.Body[:half], reply.Body[half:]
	reply.AfterDelay = minSilence + time.Duration(rand.Int64N(int64(maxSoundSilence-minSilence)))
	server.occupy(time.Now().Add(reply.Delay + reply.AfterDelay))
}

// runCalls reads the configuration and announces a draining server at a control replica, on kept
// connections.
func (s *silentServersSoak) runCalls(ctx context.Context, control int, server *platformtest.Server) {
	var c *connection
	var o *observedConn
	for n := 1; ctx.Err() == nil; n++ {
		if c == nil {
			var err error
			if c, o, err = dialObserved(ctx, s.platformAddresses[control], false); err != nil {
				c = nil
				time.Sleep(refusedPause)
				continue
			}
		}
		select {
		case <-ctx.Done():
		case <-s.disturbed(control):
			sleepUnless(ctx, time.Duration(rand.Int64N(int64(maxAfterDisturbance))))
		case <-time.After(time.Duration(rand.Int64N(int64(300 * time.Millisecond)))):
		}
		call := fmt.Sprintf("GET /config HTTP/1.1\r\nHost: %s\r\n\r\n", s.platformAddresses[control])
		if n%2 == 0 {
			body := fmt.Sprintf(`{"service":%q,"address":%q,"zone":"zone-a","version":%q,"slots":64,"state":"draining","cold_left_ms":0,"sequence":%d,"born":1}`, plainService, server.Address, firstSoftware, n)
			call = fmt.Sprintf("PUT /instances/%s HTTP/1.1\r\nHost: %s\r\nContent-Length: %d\r\n\r\n%s", server.ID, s.platformAddresses[control], len(body), body)
		}
		if !s.callControl(c, o, control, call) {
			c.Close()
			c = nil
		}
	}
	if c != nil {
		c.Close()
	}
}

// callControl sends a call and reports whether the connection can be used again.
func (s *silentServersSoak) callControl(c *connection, o *observedConn, control int, call string) (reusable bool) {
	method, _, _ := strings.Cut(call, " ")
	o.begin()
	if _, err := io.WriteString(c, call); err != nil {
		s.count(s.calls, "call not sent")
		return false
	}
	wroteAt := time.Now()
	_ = c.SetReadDeadline(wroteAt.Add(callLimit)) // a closed connection fails the read
	response, err := c.readResponse()
	if err == nil {
		_, err = io.Copy(io.Discard, response.Body)
	}
	if err == nil {
		o.finish()
		s.count(s.calls, "%s answered with %d", method, response.StatusCode)
		return true // used until the replica has closed it
	}
	took, phase := time.Since(wroteAt), s.phaseOf(control, time.Now())
	switch {
	case took >= callLimit:
		s.count(s.calls, "%s without a response within %v, replica %s", method, callLimit, phase)
	case took <= lossSlack:
		s.count(s.calls, "%s ended at once without a response, replica %s", method, phase)
	default:
		s.violation("%s to control-%d, %s: ended after %v without a response: %v; %s", method, control, phase, took, err, o.describe(time.Now()))
	}
	return false
}

// plan begins one silence or one piece of planned work. The channels bound the gateways and the
// control replicas that stop at a time.
func (s *silentServersSoak) plan(ctx context.Context, random *rand.Rand, gatewayStops, controlStops chan struct{}, faults *sync.WaitGroup) {
	lasts := minFaultDuration + time.Duration(random.Int64N(int64(maxFaultDuration-minFaultDuration)))
	choice, kind := random.IntN(12), []faultKind{faultStop, faultStopTwice}[random.IntN(2)]
	control, gateway, reloaded := random.IntN(len(s.controls)), len(s.controls)+random.IntN(len(s.gateways)), random.IntN(len(s.controls)+len(s.gateways))
	server, reloads := s.all[random.IntN(len(s.all))], 1+random.IntN(maxReloads)
	stop := func(index int, stops chan struct{}) {
		select {
		case stops <- struct{}{}:
			faults.Go(func() {
				defer func() { <-stops }()
				var stopped sync.WaitGroup
				s.injectInto(index, kind, lasts, &stopped)
				if gateway, ok := s.gatewayIndex(index); ok && s.stopsPairs && gateway^1 < len(s.gateways) {
					s.injectInto(len(s.controls)+(gateway^1), kind, lasts, &stopped)
				}
				stopped.Wait()
			})
		default:
		}
	}
	switch {
	case choice < 5:
		s.silenceUpTo(s.longestSilence, random)
	case choice < 6:
		faults.Go(func() { s.replaceServer(ctx, server) })
	case choice < 9:
		stop(gateway, gatewayStops)
	case choice < 10:
		stop(control, controlStops)
	default:
		faults.Go(func() {
			for range reloads {
				var reload sync.WaitGroup
				s.injectInto(reloaded, faultReload, 0, &reload)
				reload.Wait()
				time.Sleep(reloadInterval)
			}
		})
	}
}

// Values of GALENA_SOAK_PATHS.
const (
	pathsToPeers   = "peers"
	pathsToServers = "servers"
)

// narrowPaths restarts the gateways with paths of their own. They lead to the other gateways, or do
// not lead to the engines for every second gateway, and to the other servers for the rest.
func (s *silentServersSoak) narrowPaths(which string) {
	var controls []string
	for _, c := range s.controls {
		controls = append(controls, c.args[slices.Index(c.args, "-listen")+1])
	}
	for i, g := range s.gateways {
		g.kill()
		paths := newGatewayPaths(s.t, controls)
		switch which {
		case pathsToPeers:
			paths.toPeers = true
		case pathsToServers:
			paths.unreachable = func(service string) bool { return isEngine(service) == (i%2 == 0) }
			s.stopsPairs = true
		default:
			s.t.Fatalf("GALENA_SOAK_PATHS: %q is not known", which)
		}
		g.args[slices.Index(g.args, "-seeds")+1] = paths.seeds()
		s.paths = append(s.paths, paths)
		g.start()
	}
}

// cutPeersInSeries cuts gateways off from the others, one at a time, until the context ends.
func (s *silentServersSoak) cutPeersInSeries(ctx context.Context, random *rand.Rand) {
	for ctx.Err() == nil {
		how, gateway := pathCuts[random.IntN(len(pathCuts))], random.IntN(len(s.paths))
		d := s.begin(disturbance{name: fmt.Sprintf("paths of gateway-%d to others: %s", gateway, how.name), gateway: -1, window: contactTime})
		s.paths[gateway].set(how.how)
		sleepUnless(ctx, minFaultDuration+time.Duration(random.Int64N(int64(maxFaultDuration-minFaultDuration))))
		s.paths[gateway].set(nil)
		s.end(d)
		sleepUnless(ctx, time.Duration(random.Int64N(int64(cutPause))))
	}
}

// withManyRoutes adds routes that no request uses to a configuration.
func withManyRoutes(content string, n int) string {
	if n == 0 {
		return content
	}
	var document map[string]any
	if err := json.Unmarshal([]byte(content), &document); err != nil {
		panic(err) // seriesDocument returns JSON
	}
	service := document["services"].([]any)[0].(map[string]any)["name"]
	for i := range n {
		document["routes"] = append(document["routes"].([]any), map[string]any{
			"name": fmt.Sprint("many-", i), "host": platformtest.Host, "path_prefix": fmt.Sprintf("/many-%d/", i), "kind": "idempotent",
			"timeout_ms": 3000, "target_latency_ms": 300, "service": service, "max_attempts": 2, "public": true,
		})
	}
	edited, err := json.Marshal(document)
	if err != nil {
		panic(err) // it was decoded from JSON
	}
	return string(edited)
}

// logCounts logs how connections, requests and calls ended.
func (s *silentServersSoak) logCounts() {
	s.endsMu.Lock()
	defer s.endsMu.Unlock()
	for _, counts := range []map[string]int{s.requestsOf, s.ends, s.calls} {
		var names []string
		for name := range counts {
			names = append(names, name)
		}
		slices.Sort(names)
		for _, name := range names {
			s.t.Logf("%6d %s", counts[name], name)
		}
	}
	s.t.Logf("%d streams cut beside a silence of their servers", s.cutBesideSilence)
}

// logServedSince logs the requests of each route that were sent since a time, by their status.
func (s *silentServersSoak) logServedSince(from time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	counts := make(map[string]int)
	for _, r := range s.outcomes {
		if r.sentAt.After(from) {
			counts[fmt.Sprintf("%s %d", r.route.name, r.status)]++
		}
	}
	s.t.Logf("requests that ended since %s, by route and status: %v", s.since(from), counts)
}

// holdMemory holds the beginning of a body at a gateway again and again, until the context ends.
func (s *silentServersSoak) holdMemory(ctx context.Context, gateway int) {
	for n := 0; ctx.Err() == nil; n++ {
		c, err := dialGateway(ctx, s.gatewayAddresses[gateway])
		if err == nil {
			release := context.AfterFunc(ctx, func() { c.Close() })
			_, _ = fmt.Fprintf(c, "POST /look/x HTTP/1.1\r\nHost: %s\r\nX-Request-Id: holder-%d-%d\r\nContent-Length: %d\r\n\r\n%s", platformtest.Host, gateway, n, heldBytes+1, strings.Repeat("x", heldBytes))
			_, _ = c.reader.ReadByte() // whatever ends the request
			release()
			c.Close()
		}
		sleepUnless(ctx, time.Duration(rand.Int64N(int64(longIdle/10))))
	}
}

// startClients starts the clients of all gateways and those of the control replicas.
func (s *silentServersSoak) startClients(ctx context.Context, settings soakSettings, clients *sync.WaitGroup) {
	for gateway := range settings.gateways {
		for n := range max(settings.clients, int(clientKinds)) {
			clients.Go(func() { s.runClient(ctx, gateway, clientKind(n%int(clientKinds))) })
		}
		for range settings.holders {
			clients.Go(func() { s.holdMemory(ctx, gateway) })
		}
	}
	for control := range settings.controls {
		for n := range connectionCalls {
			server := platformtest.New(s.t, fmt.Sprintf("i-draining-%d-%d", control, n))
			clients.Go(func() { s.runCalls(ctx, control, server) })
		}
	}
}

// TestRequestsToSilentServersAreNotEndedByPlannedWork guards against requests that end without a
// response, and streams that are cut, while their sound servers are silent and configurations,
// stops and reloads follow each other. Clients keep connections until the process is gone.
func TestRequestsToSilentServersAreNotEndedByPlannedWork(t *testing.T) {
	t.Parallel()
	settings := soakSettingsFromEnv(t, silentServersDuration)
	ctx, stop := context.WithCancel(t.Context())
	defer stop()
	var workers, clients, series, faults sync.WaitGroup
	defer func() { // a client that outlives a failed test ends the package
		stop()
		clients.Wait()
	}()
	random := rand.New(rand.NewPCG(settings.seed, 8))
	s := &silentServersSoak{wake: make(map[int]chan struct{}), ends: make(map[string]int), calls: make(map[string]int), requestsOf: make(map[string]int)}
	s.streamSoak = newStreamSoak(t, settings, requestSoakRoutes)
	s.adjust = s.pauseInResponse
	if s.longestSilence = maxSoundSilence; settings.silence > 0 {
		s.longestSilence = settings.silence
	}
	if settings.paths != "" {
		s.narrowPaths(settings.paths)
	}
	s.start(ctx, requestSoakServers, &workers)
	defer s.summary(settings.seed)
	defer s.logCounts()
	observe := s.observe
	s.observe = func(index int, kind faultKind, ended bool) {
		observe(index, kind, ended)
		s.announceDisturbance(index)
	}
	s.document, s.inSeries = func(version int, random *rand.Rand, served []*soakRoute) (string, publishedConfig) {
		s.announceDisturbance(-1)
		content, published := seriesDocument(version, random, served)
		return withManyRoutes(content, settings.manyRoutes), published
	}, true
	seriesCtx, endSeries := context.WithCancel(ctx)
	defer endSeries()
	s.startClients(ctx, settings, &clients)
	series.Go(func() { s.configureInSeries(seriesCtx, ctx) })
	if settings.paths == pathsToPeers {
		series.Go(func() { s.cutPeersInSeries(seriesCtx, rand.New(rand.NewPCG(settings.seed, 13))) })
	}

	gatewayStops, controlStops := make(chan struct{}, max(1, settings.gateways/3)), make(chan struct{}, max(1, (settings.controls-1)/2))
	for began := time.Now(); time.Since(began) < settings.duration; {
		s.plan(ctx, random, gatewayStops, controlStops, &faults)
		time.Sleep(50*time.Millisecond + time.Duration(random.Int64N(int64(200*time.Millisecond))))
	}
	endSeries()
	series.Wait()
	faults.Wait()
	share, n := s.servedWithRoom()
	t.Logf("%.3f of %d requests are served beside planned work", share, n)
	assert.GreaterOrEqual(t, share, minServedShare, "requests are served")
	s.document = soakDocument
	s.configure(ctx)
	if !assert.Eventually(t, func() bool { return s.servedSince(time.Now().Add(-sparseServedWindow)) }, recoveryTimeout, 200*time.Millisecond, "requests are served again") {
		s.logServedSince(time.Now().Add(-sparseServedWindow))
	}
	stop()
	clients.Wait()
	workers.Wait()
}
