package faults

import (
	"maps"
	"math/rand/v2"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/galenaarch/galenaarch/platform/platformtest"
)

// Parameters of the soaks with a part of prompts or with requests that crash servers. The
// settings of the stream soak hold; GALENA_SOAK is the time in which crashing requests arrive.
const (
	// baselineDuration is the time without disturbances at the start.
	baselineDuration = 5 * time.Second
	// ownEnds is the number of servers that end by themselves in a row.
	ownEnds = 7
	// Bounds of the time for which a server is down.
	minDowntime = 2 * time.Second
	maxDowntime = 4 * time.Second
	// quarantineReason is in the text of responses to requests with a quarantined part.
	quarantineReason = "quarantine"
)

// The users' bounds on requests that crash servers.
const (
	// maxCrashingRequests is how many requests with the cause may reach servers later than
	// contactTime after the last crash of those that the users count.
	maxCrashingRequests = 3
	// soundGrace is the time after it from which sound requests are served at least
	// minSoundShare as often as before. At least minSoundRequests of each are compared.
	soundGrace       = 2 * contactTime
	minSoundShare    = 0.5
	minSoundRequests = 20
)

// crashCause is a part of prompts or a request that crashes servers.
type crashCause struct {
	name string
	// counted is the number of crashes after which the users' bounds hold.
	counted int

	mu      sync.Mutex
	crashes []causedCrash
	// arrivals are the requests with the cause that reached servers.
	arrivals []arrival
}

// causedCrash is the crash of a server under a request with the cause.
type causedCrash struct {
	server string
	at     time.Time
}

// arrive records that a request with the cause reached a server.
func (c *crashCause) arrive(server *soakServer, r *platformtest.Request) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.arrivals = append(c.arrivals, arrival{server: server, id: r.ID, at: r.ReceivedAt})
}

// lastCounted returns the number of crashes and the time of the last one of those that are
// counted.
func (c *crashCause) lastCounted() (n int, last time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	n = len(c.crashes)
	if n > 0 {
		last = c.crashes[min(c.counted, n)-1].at
	}
	return n, last
}

// crashSoak runs the stream soak with servers that crash under requests.
type crashSoak struct {
	*streamSoak
	restarts sync.WaitGroup
	// clientsFrom is when clients began.
	clientsFrom time.Time
}

// crashed records the crash of a server under a cause and restarts it later.
func (c *crashSoak) crashed(server *soakServer, cause *crashCause) {
	server.mu.Lock()
	ended := server.state == ""
	server.state, server.leaving = "", true
	if !ended {
		server.endIncarnation(true)
	}
	id, n := server.id, server.incarnations
	server.mu.Unlock()
	if ended {
		return
	}
	d := c.begin(disturbance{name: "crash of " + id + " under " + cause.name, gateway: -1, window: contactTime})
	cause.mu.Lock()
	defer cause.mu.Unlock()
	cause.crashes = append(cause.crashes, causedCrash{id, time.Now()})
	c.restarts.Go(func() {
		defer c.end(d)
		c.restart(server, server.idOf(n), minDowntime+time.Duration(rand.Int64N(int64(maxDowntime-minDowntime))))
	})
}

// inTouch reports whether nothing but reloads happened to a gateway and nothing to the control
// replicas for contactTime before a time.
func (s *streamSoak) inTouch(gateway int, at time.Time) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return !slices.ContainsFunc(s.disturbances, func(d *disturbance) bool {
		reloaded := d.planned && d.window == contactTime
		return (d.gateway == gateway || d.control) && !reloaded && d.from.Before(at) && (d.to.IsZero() || d.to.Add(contactTime).After(at))
	})
}

// requestGroup selects requests.
type requestGroup func(r *clientRequest) bool

// servedShare returns which share of the requests of a group that were sent in a span were
// served, and their number.
func (s *streamSoak) servedShare(group, served requestGroup, from, to time.Time) (share float64, n int) {
	s.mu.Lock()
	outcomes := slices.Clone(s.outcomes)
	s.mu.Unlock()
	count := 0
	for _, r := range outcomes {
		if !group(r) || r.sentAt.Before(from) || r.sentAt.After(to) || !s.inTouch(r.gateway, r.sentAt) {
			continue
		}
		n++
		if served(r) {
			count++
		}
	}
	return float64(count) / float64(max(1, n)), n
}

// begun reports whether a stream began.
func begun(r *clientRequest) bool { return !r.firstEventAt.IsZero() }

// requireSound checks that sound requests sent in a span are served at least minSoundShare as
// often as in the baseline.
func (c *crashSoak) requireSound(name string, groups map[string]requestGroup, served requestGroup, from, to time.Time) {
	for _, group := range slices.Sorted(maps.Keys(groups)) {
		normal, n := c.servedShare(groups[group], served, c.clientsFrom, c.clientsFrom.Add(baselineDuration))
		share, m := c.servedShare(groups[group], served, from, to)
		c.t.Logf("%s, %s: %.3f of %d sound requests are served, %.3f of %d before", name, group, share, m, normal, n)
		if n >= minSoundRequests && m >= minSoundRequests && share < minSoundShare*normal {
			c.violation("%s, %s: %.3f of %d sound requests are served, %.3f of %d before", name, group, share, m, normal, n)
		}
	}
}

// requireNotQuarantined checks that no sound request was rejected as quarantined.
func (c *crashSoak) requireNotQuarantined(sound requestGroup) {
	c.mu.Lock()
	outcomes := slices.Clone(c.outcomes)
	c.mu.Unlock()
	for _, r := range outcomes {
		if sound(r) && strings.Contains(r.reason, quarantineReason) {
			c.violation("%s at %s: sound %s %s, prompt %s: %d %s", r.id, c.since(r.sentAt), r.method, r.path, r.header["X-Prompt-Prefix"], r.status, r.reason)
		}
	}
}

// requireBounded checks the number of requests with a cause that reached servers.
func (c *crashSoak) requireBounded(cause *crashCause) {
	cause.mu.Lock()
	crashes, arrivals := slices.Clone(cause.crashes), slices.Clone(cause.arrivals)
	cause.mu.Unlock()
	c.t.Logf("%s: %d crashes, %d requests with it reached servers", cause.name, len(crashes), len(arrivals))
	for i, crash := range crashes {
		c.t.Logf("crash %d at %s: %s", i+1, c.since(crash.at), crash.server)
	}
	if len(crashes) < cause.counted {
		return
	}
	last := crashes[cause.counted-1].at
	late, excused := 0, 0
	for _, a := range arrivals {
		if !a.at.After(last.Add(contactTime)) {
			continue
		}
		if !c.inTouch(gatewayOf(a.id), a.at) {
			excused++
			continue
		}
		late++
		a.server.mu.Lock()
		c.t.Logf("%s reached %s %.3f s after crash %d", a.id, a.server.id, a.at.Sub(last).Seconds(), cause.counted)
		a.server.mu.Unlock()
	}
	c.t.Logf("%s: %d requests reached servers later than %v after crash %d; %d more from gateways that were disrupted", cause.name, late, contactTime, cause.counted, excused)
	if late > maxCrashingRequests {
		c.violation("%s: %d requests reached servers later than %v after crash %d, %d are allowed", cause.name, late, contactTime, cause.counted, maxCrashingRequests)
	}
}

// endServers ends servers by themselves: some in a row, then all at once.
func (c *crashSoak) endServers(random *rand.Rand, servers []*soakServer) {
	var ends sync.WaitGroup
	for range ownEnds {
		server := servers[random.IntN(len(servers))]
		ends.Go(func() { c.crashServer(server, minFaultDuration+time.Duration(rand.Int64N(int64(time.Second)))) })
		time.Sleep(200*time.Millisecond + time.Duration(random.Int64N(int64(400*time.Millisecond))))
	}
	for _, server := range servers {
		ends.Go(func() { c.crashServer(server, time.Second) })
	}
	ends.Wait()
}

// serversOf returns the servers of a service.
func (s *streamSoak) serversOf(service string) []*soakServer {
	var servers []*soakServer
	for _, server := range s.all {
		if server.service == service {
			servers = append(servers, server)
		}
	}
	return servers
}
