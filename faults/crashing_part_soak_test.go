package faults

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/galenaarch/galenaarch/platform/platformtest"
)

// Parameters of the soak with a part that crashes servers. The settings of the stream soak
// hold; GALENA_SOAK is the time in which requests with the part arrive.
const (
	crashSoakDuration = 18 * time.Second
	// baselineDuration is the time without disturbances at the start, soundBreak that
	// between the servers that end by themselves and the part.
	baselineDuration = 5 * time.Second
	soundBreak       = 6 * time.Second
	// ownEnds is the number of servers that end by themselves in a row.
	ownEnds = 7
	// Bounds of the mean time between requests with the part, over all gateways.
	minCrashingInterval = 200 * time.Millisecond
	maxCrashingInterval = 1200 * time.Millisecond
	// Bounds of the time for which a server is down.
	minDowntime = 2 * time.Second
	maxDowntime = 4 * time.Second
	// longPart begins the prompts for which servers take longPromptDelay more to begin.
	longPart        = "long"
	longPromptDelay = 350 * time.Millisecond
	// quarantineReason is in the text of responses to requests with a quarantined part.
	quarantineReason = "quarantine"
	// sharedPart is the first part of sound requests, and of those that crash servers unless
	// the crashing part is the first.
	sharedPart = "shared"
)

// The users' bounds on requests with a part that crashes servers.
const (
	// crashesAllowed is the number of crashes after which the bounds hold.
	crashesAllowed = 5
	// maxCrashingRequests is how many requests with the part may reach servers later than
	// contactTime after the last of these crashes.
	maxCrashingRequests = 3
	// soundGrace is the time after it from which sound requests begin at least
	// minSoundShare as often as before. At least minSoundRequests of each are compared.
	soundGrace       = 2 * contactTime
	minSoundShare    = 0.5
	minSoundRequests = 20
)

// partCrash is the crash of a server under a part.
type partCrash struct {
	server string
	at     time.Time
}

// crashSoak runs the stream soak with a part that crashes servers.
type crashSoak struct {
	*streamSoak
	// part crashes the servers; first is set if it is the first of its prompts. route is
	// that of its requests.
	part     string
	first    bool
	route    *soakRoute
	restarts sync.WaitGroup

	mu      sync.Mutex
	crashes []partCrash
	// arrivals are the requests with the part that reached servers.
	arrivals []arrival
}

// crashUnder makes servers crash under the part, and take longer to begin a response to a
// long prompt.
func (c *crashSoak) crashUnder(server *soakServer, r *platformtest.Request, reply *platformtest.Response) {
	prefix := r.Header.Get("X-Prompt-Prefix")
	switch {
	case strings.Contains(prefix, fmt.Sprintf("%x:", c.part)):
		delay := 20*time.Millisecond + time.Duration(rand.Int64N(int64(150*time.Millisecond)))
		*reply = platformtest.Response{Status: http.StatusOK, Delay: delay, CloseDelimited: rand.IntN(4) == 0, Crash: true, OnCrash: func() { c.crashed(server) }}
		c.mu.Lock()
		defer c.mu.Unlock()
		c.arrivals = append(c.arrivals, arrival{server: server, id: r.ID, at: r.ReceivedAt})
	case strings.HasPrefix(prefix, fmt.Sprintf("%x:", longPart)):
		reply.Delay += longPromptDelay
	}
}

// crashed records the crash of a server and restarts it later.
func (c *crashSoak) crashed(server *soakServer) {
	server.mu.Lock()
	ended := server.state == ""
	server.state, server.leaving = "", true
	if !ended {
		server.ends = append(server.ends, serverEnd{time.Now(), true})
	}
	id, n := server.id, len(server.ends)
	server.mu.Unlock()
	if ended {
		return
	}
	d := c.begin(disturbance{name: "crash of " + id + " under the part", gateway: -1, window: contactTime})
	c.mu.Lock()
	defer c.mu.Unlock()
	c.crashes = append(c.crashes, partCrash{id, time.Now()})
	c.restarts.Go(func() {
		defer c.end(d)
		c.restart(server, n, minDowntime+time.Duration(rand.Int64N(int64(maxDowntime-minDowntime))))
	})
}

// soundRequest returns a sound request that shares its account and parts with those that
// crash servers.
func (c *crashSoak) soundRequest(gateway, n int) *clientRequest {
	r := newClientRequest(soakRoutes[rand.IntN(2)], gateway, n)
	r.events = 2 + rand.IntN(6)
	r.header["X-Api-Key"] = soakKey
	parts := []string{sharedPart, fmt.Sprintf("b%d", rand.IntN(3))}
	switch rand.IntN(6) {
	case 0, 3:
		parts = []string{longPart, sharedPart, "b0"}
	case 1:
		r.header["X-Api-Key"] = soakOther
	case 2:
		parts[0] = fmt.Sprintf("a%d", rand.IntN(3))
	}
	r.setPrompt(parts)
	return r
}

// crashingRequest returns a request with the part.
func (c *crashSoak) crashingRequest(gateway, n int) *clientRequest {
	r := newClientRequest(c.route, gateway, n)
	r.header["X-Api-Key"] = soakKey
	parts := []string{sharedPart, c.part, fmt.Sprintf("b%d", rand.IntN(3))}
	if c.first {
		parts[0], parts[1] = parts[1], parts[0]
	}
	r.setPrompt(parts)
	return r
}

// sound reports whether a request does not have the part.
func (c *crashSoak) sound(r *clientRequest) bool {
	return !strings.Contains(r.header["X-Prompt-Prefix"], fmt.Sprintf("%x:", c.part))
}

// soundGroups are the groups of sound requests that are compared with those before.
func (c *crashSoak) soundGroups() map[string]func(r *clientRequest) bool {
	sound := func(r *clientRequest) bool { return r.route == c.route && c.sound(r) }
	begins := func(r *clientRequest, part string) bool {
		return strings.HasPrefix(r.header["X-Prompt-Prefix"], fmt.Sprintf("%x:", part))
	}
	return map[string]func(r *clientRequest) bool{
		"same account":    func(r *clientRequest) bool { return sound(r) && r.header["X-Api-Key"] == soakKey },
		"same first part": func(r *clientRequest) bool { return sound(r) && begins(r, sharedPart) },
		"long prompt":     func(r *clientRequest) bool { return sound(r) && begins(r, longPart) },
	}
}

// inTouch reports whether nothing but reloads happened to a gateway for contactTime before a
// time.
func (s *streamSoak) inTouch(gateway int, at time.Time) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return !slices.ContainsFunc(s.disturbances, func(d *disturbance) bool {
		reloaded := d.planned && d.window == contactTime
		return d.gateway == gateway && !reloaded && d.from.Before(at) && (d.to.IsZero() || d.to.Add(contactTime).After(at))
	})
}

// beginShare returns which share of the requests of a group that were sent in a span began,
// and their number.
func (s *streamSoak) beginShare(group func(r *clientRequest) bool, from, to time.Time) (share float64, n int) {
	s.mu.Lock()
	outcomes := slices.Clone(s.outcomes)
	s.mu.Unlock()
	begun := 0
	for _, r := range outcomes {
		if !group(r) || r.sentAt.Before(from) || r.sentAt.After(to) || !s.inTouch(r.gateway, r.sentAt) {
			continue
		}
		n++
		if !r.firstEventAt.IsZero() {
			begun++
		}
	}
	return float64(begun) / float64(max(1, n)), n
}

// requireSound checks that sound requests sent in a span begin at least minSoundShare as
// often as in the baseline.
func (c *crashSoak) requireSound(name string, from, to time.Time) {
	for group, matches := range c.soundGroups() {
		normal, n := c.beginShare(matches, c.startedAt, c.startedAt.Add(baselineDuration))
		share, m := c.beginShare(matches, from, to)
		c.t.Logf("%s, %s: %.3f of %d sound requests begin, %.3f of %d before", name, group, share, m, normal, n)
		if n >= minSoundRequests && m >= minSoundRequests && share < minSoundShare*normal {
			c.violation("%s, %s: %.3f of %d sound requests begin, %.3f of %d before", name, group, share, m, normal, n)
		}
	}
}

// endServers ends servers by themselves: some in a row, then all of the service at once.
func (c *crashSoak) endServers(random *rand.Rand) {
	var engines []*soakServer
	for _, server := range c.all {
		if server.service == engineService {
			engines = append(engines, server)
		}
	}
	var ends sync.WaitGroup
	for range ownEnds {
		server := engines[random.IntN(len(engines))]
		ends.Go(func() { c.crashServer(server, minFaultDuration+time.Duration(rand.Int64N(int64(time.Second)))) })
		time.Sleep(200*time.Millisecond + time.Duration(random.Int64N(int64(400*time.Millisecond))))
	}
	for _, server := range engines {
		ends.Go(func() { c.crashServer(server, time.Second) })
	}
	ends.Wait()
}

// verifyCrashing checks the number of requests with the part that reached servers, and that
// sound ones are served.
func (c *crashSoak) verifyCrashing() {
	c.mu.Lock()
	crashes, arrivals := slices.Clone(c.crashes), slices.Clone(c.arrivals)
	c.mu.Unlock()
	c.t.Logf("part %q, first %t, route %s: %d crashes, %d requests with it reached servers", c.part, c.first, c.route.name, len(crashes), len(arrivals))
	if len(crashes) == 0 {
		c.violation("no server crashed under the part")
		return
	}
	for i, crash := range crashes {
		c.t.Logf("crash %d at %s: %s", i+1, c.since(crash.at), crash.server)
	}
	last := crashes[min(crashesAllowed, len(crashes))-1].at
	counted, excused := 0, 0
	for _, a := range arrivals {
		if len(crashes) < crashesAllowed || !a.at.After(last.Add(contactTime)) {
			continue
		}
		gateway := gatewayOf(a.id)
		if !c.inTouch(gateway, a.at) {
			excused++
			continue
		}
		counted++
		a.server.mu.Lock()
		c.t.Logf("%s reached %s %.3f s after crash %d", a.id, a.server.id, a.at.Sub(last).Seconds(), min(crashesAllowed, len(crashes)))
		a.server.mu.Unlock()
	}
	c.t.Logf("%d requests with the part reached servers later than %v after crash %d; %d more from gateways that were disrupted", counted, contactTime, crashesAllowed, excused)
	if counted > maxCrashingRequests {
		c.violation("%d requests with the part reached servers later than %v after crash %d, %d are allowed", counted, contactTime, crashesAllowed, maxCrashingRequests)
	}
	c.requireSound("while the part comes", last.Add(soundGrace), time.Now())
	c.streamSoak.mu.Lock()
	outcomes := slices.Clone(c.outcomes)
	c.streamSoak.mu.Unlock()
	for _, r := range outcomes {
		if c.sound(r) && strings.Contains(r.reason, quarantineReason) {
			c.violation("%s at %s: sound prompt %s: %d %s", r.id, c.since(r.sentAt), r.header["X-Prompt-Prefix"], r.status, r.reason)
		}
	}
}

// TestCrashingPartSoak guards against requests with a part that crashes servers that are sent
// on and on, and against sound requests of the same account or with the same other parts that
// are rejected with them, or after servers that ended by themselves. Gateways are killed,
// frozen, stopped and reloaded, servers fall silent and the configuration changes meanwhile.
func TestCrashingPartSoak(t *testing.T) {
	t.Parallel()
	settings := soakSettingsFromEnv(t, crashSoakDuration)
	ctx, stop := context.WithCancel(t.Context())
	defer stop()
	var workers, clients, faults sync.WaitGroup
	random := rand.New(rand.NewPCG(settings.seed, 4))
	c := &crashSoak{streamSoak: startStreamSoak(ctx, t, settings.seed, settings.gateways, &workers, settings.flags...), part: "crash", first: random.IntN(2) == 0, route: soakRoutes[random.IntN(2)]}
	defer c.summary(settings.seed)
	c.adjust, c.gatewaysOnly, c.startedAt = c.crashUnder, true, time.Now()
	for gateway := range settings.gateways {
		for range settings.clients {
			clients.Go(func() { c.runClient(ctx, gateway, clientPause, c.soundRequest) })
		}
	}
	time.Sleep(baselineDuration)
	c.endServers(random)
	ended := time.Now()
	time.Sleep(soundBreak)
	c.requireSound("after servers ended by themselves", ended.Add(soundGrace/2), time.Now())

	interval := minCrashingInterval + time.Duration(random.Int64N(int64(maxCrashingInterval-minCrashingInterval)))
	t.Logf("requests with the part every %v", interval.Round(time.Millisecond))
	for gateway := range settings.gateways {
		clients.Go(func() {
			c.runClient(ctx, gateway, 2*interval*time.Duration(settings.gateways), c.crashingRequest)
		})
	}
	for end := time.Now().Add(settings.duration); time.Now().Before(end); time.Sleep(300*time.Millisecond + time.Duration(random.Int64N(int64(1500*time.Millisecond)))) {
		switch random.IntN(6) {
		case 0:
			server := c.all[random.IntN(len(c.all))]
			faults.Go(func() { c.crashServer(server, time.Second) })
		case 1:
			c.silence(random)
		case 2:
			c.configure(ctx)
		default:
			c.inject(random, &faults)
		}
	}
	faults.Wait()
	require.Eventually(t, func() bool {
		share, n := c.beginShare(c.soundGroups()["same account"], time.Now().Add(-servedWindow), time.Now())
		return n >= minRouteRequests && share >= minServedShare
	}, recoveryTimeout, 200*time.Millisecond, "sound requests are served again")
	c.verifyCrashing()
	stop()
	clients.Wait()
	workers.Wait()
	c.restarts.Wait()
}
