package faults

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"slices"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/galenaarch/galenaarch/platform/platformtest"
)

// Parameters of the soak with brittle servers.
const (
	brittleSoakDuration = 16 * time.Second
	brittleSoakGateways = 5
	brittleSoakClients  = 8
	// brittleTime is how long the servers are brittle at a time, from contactTime on with short
	// queues; brittlePause is the time between two.
	brittleTime  = contactTime + 4*time.Second
	brittlePause = 1500 * time.Millisecond
	brittleSlots = 4
	brittleQueue = 16
	// Bounds of the time for which a request runs, and of a server's restart.
	minBrittleWork    = 40 * time.Millisecond
	maxBrittleWork    = 120 * time.Millisecond
	minBrittleRestart = time.Second
	maxBrittleRestart = 3 * time.Second
	// rejectionSpan is the time in which a server counts its rejections.
	rejectionSpan = time.Second
	// The users allow allowedFalls + 1 in fallsPart of a service's servers to fall over in one
	// time in which they are brittle.
	allowedFalls = 2
	fallsPart    = 10
	// Bounds of the time between two faults.
	minBrittleFaultPause = 500 * time.Millisecond
	maxBrittleFaultPause = 2500 * time.Millisecond
)

// brittleBackend is a server with slots and a queue that falls over when it has to reject more
// than maxRejections requests in rejectionSpan, while it is brittle. Requests whose callers leave
// run on.
type brittleBackend struct {
	*platformtest.Server
	soak *brittleSoak

	mu sync.Mutex
	// starts and ends are when the requests at the server begin and end to run.
	starts, ends  []time.Time
	queue         int
	brittle       bool
	maxRejections int
	// rejected are the last rejections, with the gateways that sent the requests.
	rejected             []rejectedArrival
	rejections, restarts int
	down                 bool
}

// rejectedArrival is a request that a server had no room for.
type rejectedArrival struct {
	at      time.Time
	gateway int
}

// state returns the requests that run and wait, and drops those that have ended. The caller holds
// b.mu.
func (b *brittleBackend) state(now time.Time) (running, waiting int) {
	for i := len(b.ends) - 1; i >= 0; i-- {
		if !b.ends[i].After(now) {
			b.starts, b.ends = slices.Delete(b.starts, i, i+1), slices.Delete(b.ends, i, i+1)
		}
	}
	for _, at := range b.starts {
		if at.After(now) {
			waiting++
		}
	}
	return len(b.starts) - waiting, waiting
}

// nextStart returns when one more request begins to run. The caller holds b.mu and has called state.
func (b *brittleBackend) nextStart(now time.Time) time.Time {
	if len(b.ends) < brittleSlots {
		return now
	}
	ends := slices.SortedFunc(slices.Values(b.ends), time.Time.Compare)
	return ends[len(ends)-brittleSlots]
}

// reply runs a request, or rejects it.
func (b *brittleBackend) reply(r *platformtest.Request) platformtest.Response {
	b.mu.Lock()
	defer b.mu.Unlock()
	reply := platformtest.Response{Status: http.StatusOK, Body: "answer to " + r.ID, HeaderAtEnd: b.header}
	if r.Misdirected {
		return reply
	}
	now := time.Now()
	if running, waiting := b.state(now); running >= brittleSlots && waiting >= b.queue {
		b.reject(rejectedArrival{now, gatewayOf(r.ID)})
		reply.Status, reply.NotExecuted, reply.Body = http.StatusServiceUnavailable, true, "full"
		return reply
	}
	start := b.nextStart(now)
	end := start.Add(minBrittleWork + time.Duration(rand.Int64N(int64(maxBrittleWork-minBrittleWork))))
	b.starts, b.ends = append(b.starts, start), append(b.ends, end)
	reply.Delay = end.Sub(now)
	return reply
}

// header returns what the server states about itself.
func (b *brittleBackend) header() map[string]string {
	b.mu.Lock()
	defer b.mu.Unlock()
	running, waiting := b.state(time.Now())
	h := map[string]string{"X-Server-Load": fmt.Sprintf("%d,%d,%d", running, waiting, brittleSlots)}
	if b.brittle {
		h["Server-Brittle"] = fmt.Sprint(b.maxRejections)
	}
	return h
}

// reject counts a rejection; the server falls over with one too many. The caller holds b.mu.
func (b *brittleBackend) reject(r rejectedArrival) {
	b.rejections++
	b.rejected = append(slices.DeleteFunc(b.rejected, func(x rejectedArrival) bool { return r.at.Sub(x.at) >= rejectionSpan }), r)
	if b.down || !b.brittle || len(b.rejected) <= b.maxRejections {
		return
	}
	b.down = true
	b.restarts++
	b.soak.fell(b.ID, b.rejected)
	id := fmt.Sprintf("%s-%d", b.ID, b.restarts)
	b.soak.falls.Go(func() {
		b.Crash()
		b.mu.Lock()
		b.starts, b.ends, b.rejected = nil, nil, nil
		b.mu.Unlock()
		time.Sleep(minBrittleRestart + time.Duration(rand.Int64N(int64(maxBrittleRestart-minBrittleRestart))))
		assert.NoError(b.soak.t, b.Restart(id))
		b.mu.Lock()
		defer b.mu.Unlock()
		b.down = false
	})
}

// brittleSoak is a soak whose servers are brittle at times.
type brittleSoak struct {
	*processFaults
	backends []*brittleBackend
	falls    sync.WaitGroup

	mu sync.Mutex
	// faults are the faults of gateways; counted are the falls since the servers became brittle
	// for which gateways in touch were to blame, excused the others.
	faults           []brittleFault
	counted, excused int
	served, rejected int
	wrong            []string
}

// brittleFault is a fault of a gateway; to is zero while it goes on.
type brittleFault struct {
	gateway  int
	from, to time.Time
}

// inTouch reports whether a gateway had no fault for contactTime. The caller holds s.mu.
func (s *brittleSoak) inTouch(gateway int, at time.Time) bool {
	return !slices.ContainsFunc(s.faults, func(f brittleFault) bool {
		return f.gateway == gateway && f.from.Before(at) && (f.to.IsZero() || f.to.Add(contactTime).After(at))
	})
}

// fell counts the fall of a server: that of gateways in touch, if they sent most of what it
// rejected. Faults of control replicas excuse nothing.
func (s *brittleSoak) fell(server string, rejected []rejectedArrival) {
	s.mu.Lock()
	defer s.mu.Unlock()
	inTouch, by := 0, make(map[int]int)
	for _, r := range rejected {
		by[r.gateway]++
		if r.gateway >= 0 && s.inTouch(r.gateway, r.at) {
			inTouch++
		}
	}
	counts := 2*inTouch > len(rejected)
	if counts {
		s.counted++
	} else {
		s.excused++
	}
	s.t.Logf("%s falls over: %d rejections, by gateway %v, %d of gateways in touch; counts: %v", server, len(rejected), by, inTouch, counts)
}

// observeFault records the faults of gateways.
func (s *brittleSoak) observeFault(index int, kind faultKind, ended bool) {
	gateway, ok := s.gatewayIndex(index)
	if !ok || kind == faultReload {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if !ended {
		s.faults = append(s.faults, brittleFault{gateway: gateway, from: time.Now()})
		return
	}
	for i := range s.faults {
		if f := &s.faults[i]; f.gateway == gateway && f.to.IsZero() {
			f.to = time.Now()
		}
	}
}

// startBrittleSoak starts the processes and waits until they serve.
func startBrittleSoak(ctx context.Context, t *testing.T, seed uint64, gateways int, workers *sync.WaitGroup) *brittleSoak {
	s := &brittleSoak{processFaults: &processFaults{soak: startSoakOf(t, seed, soakControls, gateways)}}
	s.observe = s.observeFault
	for _, server := range s.servers {
		b := &brittleBackend{Server: server, soak: s, queue: brittleQueue}
		s.backends = append(s.backends, b)
		server.SetHandler(b.reply)
	}
	workers.Go(func() { s.operate(ctx) })
	for _, g := range s.gateways {
		g.waitReady()
	}
	return s
}

// operate announces the servers and publishes configurations until the context ends.
func (s *brittleSoak) operate(ctx context.Context) {
	for version := 1; ctx.Err() == nil; version++ {
		for _, b := range s.backends {
			b.mu.Lock()
			down := b.down
			b.mu.Unlock()
			for _, replica := range rand.Perm(len(s.platformAddresses)) {
				if down || b.Announce(ctx, s.platformAddresses[replica], platformtest.Heartbeat{Service: platformtest.Service, State: "ready", Born: 1, Sequence: version, Slots: brittleSlots}) {
					break
				}
			}
		}
		if version%5 == 1 {
			s.submitDocument(ctx, version)
		}
		time.Sleep(announceInterval)
	}
}

// runClient sends requests to one gateway, one after the other.
func (s *brittleSoak) runClient(ctx context.Context, gateway int) {
	client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 1}}
	for n := 0; ctx.Err() == nil; n++ {
		id := fmt.Sprintf("g%d-%d-%d", gateway, rand.Uint32(), n)
		requestCtx, cancel := context.WithTimeout(ctx, 2*time.Second)
		// No two requests are alike: one that comes again is quarantined if servers end under it.
		path := []string{platformtest.AtMostOncePrefix, platformtest.IdempotentPrefix}[rand.IntN(2)]
		response, err := platformtest.SendWith(requestCtx, client, s.gatewayAddresses[gateway], path+id, id, requestMaxWait)
		cancel()
		s.mu.Lock()
		switch {
		case err != nil || response == nil:
		case response.Status == http.StatusOK:
			s.served++
			if response.Body != "answer to "+id || !response.Sealed {
				s.wrong = append(s.wrong, id+": "+response.Body)
			}
		default:
			s.rejected++
		}
		s.mu.Unlock()
		time.Sleep(time.Duration(5+rand.IntN(20)) * time.Millisecond)
	}
}

// beBrittle makes the servers brittle for brittleTime and returns the falls that count.
func (s *brittleSoak) beBrittle(random *rand.Rand) (counted int) {
	s.mu.Lock()
	s.counted, s.excused, s.served, s.rejected = 0, 0, 0, 0
	s.mu.Unlock()
	for _, b := range s.backends {
		b.mu.Lock()
		b.brittle, b.maxRejections, b.rejections = true, 1+random.IntN(8), 0
		b.mu.Unlock()
	}
	time.Sleep(contactTime)
	for _, b := range s.backends {
		b.mu.Lock()
		b.queue = random.IntN(3)
		b.mu.Unlock()
	}
	time.Sleep(brittleTime - contactTime)
	rejections := 0
	for _, b := range s.backends {
		b.mu.Lock()
		b.brittle, b.queue = false, brittleQueue
		rejections += b.rejections
		b.mu.Unlock()
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.t.Logf("brittle for %v: %d served, %d rejected, %d rejections at servers, %d falls that count, %d excused", brittleTime, s.served, s.rejected, rejections, s.counted, s.excused)
	assert.Positive(s.t, s.served)
	return s.counted
}

// TestBrittleServersSoak guards against gateways that together send brittle servers more than they
// have room for, so that they fall over, while processes are killed, stopped, frozen and reloaded.
func TestBrittleServersSoak(t *testing.T) {
	t.Parallel()
	c := soakSettingsFromEnv(t, brittleSoakDuration)
	ctx, stop := context.WithCancel(t.Context())
	defer stop()
	var workers, faults sync.WaitGroup
	s := startBrittleSoak(ctx, t, c.seed, brittleSoakGateways, &workers)
	for gateway := range s.gateways {
		for range brittleSoakClients {
			workers.Go(func() { s.runClient(ctx, gateway) })
		}
	}
	random := rand.New(rand.NewPCG(c.seed, 13))
	until := time.Now().Add(c.duration)
	faults.Go(func() {
		random := rand.New(rand.NewPCG(c.seed, 14))
		var injected sync.WaitGroup
		defer injected.Wait()
		for time.Now().Before(until) {
			time.Sleep(minBrittleFaultPause + time.Duration(random.Int64N(int64(maxBrittleFaultPause-minBrittleFaultPause))))
			s.inject(random, &injected)
		}
	})
	for time.Now().Add(brittleTime).Before(until) {
		counted := s.beBrittle(random)
		assert.LessOrEqual(t, counted, allowedFalls+len(s.backends)/fallsPart, "servers that fell over in one time in which they are brittle")
		time.Sleep(brittlePause)
	}
	faults.Wait()
	s.falls.Wait()
	stop()
	workers.Wait()
	s.mu.Lock()
	defer s.mu.Unlock()
	require.Empty(t, s.wrong, "responses that are incomplete or belong to another request")
}
