package faults

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// Parameters of the soak that follows each request to its response. The environment is that
// of the stream soak.
const (
	unansweredDuration = 9 * time.Second
	// Bounds of the time between two configurations.
	minConfigInterval = 100 * time.Millisecond
	maxConfigInterval = 400 * time.Millisecond
	// Clients of each gateway that take up streams, and that open a connection for each
	// request.
	returningClients = 3
	openingClients   = 3
	// maxOpenBeforeRequest is the longest time between a connection and its first request.
	maxOpenBeforeRequest = 600 * time.Millisecond
	// maxReturnPause is the longest time between a stream and its take-up.
	maxReturnPause = 300 * time.Millisecond
	// maxReloads is the largest number of SIGHUPs in a series.
	maxReloads     = 4
	reloadInterval = 40 * time.Millisecond
	// minUnansweredServed is the least share of requests that are served while only planned
	// work disturbs, besides those that configurations or a stopping gateway reject: a pool
	// without room would reject requests that are lost otherwise.
	minUnansweredServed = 0.85
)

// unansweredSoak runs the soak with requests that crash servers and clients that return.
type unansweredSoak struct{ *requestSoak }

// nextKeyedRequest returns a random request on one of the routes, with a key if it needs one.
func nextKeyedRequest(gateway, n int) *clientRequest {
	r := newClientRequest(requestSoakRoutes[rand.IntN(len(requestSoakRoutes))], gateway, n)
	if r.route.keyed {
		r.setKey(soakKey)
	}
	return r
}

// runReturningClient leaves streams after some events and takes them up on new connections
// until they have ended or fail.
func (s *unansweredSoak) runReturningClient(ctx context.Context, gateway int) {
	for n := 0; ctx.Err() == nil; n++ {
		r := nextKeyedRequest(gateway, n)
		if !r.route.resumable {
			continue
		}
		for tries := 0; ctx.Err() == nil; tries++ {
			if left := r.events - r.after; left > 1 && rand.IntN(2) == 0 {
				r.leaveAfter = 1 + rand.IntN(left-1)
			}
			if s.exchangeOnce(ctx, r, 0); r.status != http.StatusOK || r.received == 0 || r.after+r.received >= r.events {
				break
			}
			time.Sleep(time.Duration(rand.Int64N(int64(maxReturnPause))))
			r = r.takeUp(r.gateway, tries)
		}
	}
}

// takeUp returns the request by which a client takes up a stream at a gateway. It names the
// attempt that brought the first event.
func (r *clientRequest) takeUp(gateway, tries int) *clientRequest {
	next := newClientRequest(r.route, gateway, tries)
	next.timeout, next.events, next.interval, next.after, next.writer = r.timeout, r.events, r.interval, r.after+r.received, r.writer
	next.header = make(map[string]string)
	for name, value := range r.header {
		next.header[name] = value
	}
	next.header["Last-Event-Id"] = fmt.Sprint(next.after)
	if r.after == 0 {
		next.header["Resumes"] = r.id
	}
	return next
}

// exchangeOnce sends a request on a connection of its own, which is open for a time before.
func (s *unansweredSoak) exchangeOnce(ctx context.Context, r *clientRequest, open time.Duration) {
	c, err := dialGateway(ctx, s.gatewayAddresses[r.gateway])
	if err != nil {
		time.Sleep(refusedPause)
		return
	}
	defer c.Close()
	time.Sleep(open)
	s.exchange(c, r)
	time.Sleep(r.pause(clientPause))
}

// startClients starts the clients of all gateways.
func (s *unansweredSoak) startClients(ctx context.Context, settings soakSettings, clients *sync.WaitGroup) {
	next := func(gateway, n int) *clientRequest {
		r := nextKeyedRequest(gateway, n)
		if rand.IntN(slowBodies) == 0 {
			r.bodyDelay = time.Duration(rand.Int64N(int64(maxBodyDelay)))
		}
		return r
	}
	for gateway := range settings.gateways {
		for range settings.clients {
			clients.Go(func() { s.runClient(ctx, gateway, clientPause, next) })
		}
		for range returningClients {
			clients.Go(func() { s.runReturningClient(ctx, gateway) })
		}
		for range openingClients {
			clients.Go(func() {
				for n := 0; ctx.Err() == nil; n++ {
					s.exchangeOnce(ctx, nextKeyedRequest(gateway, n), time.Duration(rand.Int64N(int64(maxOpenBeforeRequest))))
				}
			})
		}
	}
}

// configureInSeries publishes configurations until the context ends.
func (s *streamSoak) configureInSeries(ctx, requests context.Context) {
	for ctx.Err() == nil {
		s.configure(requests)
		select {
		case <-ctx.Done():
		case <-time.After(minConfigInterval + time.Duration(rand.Int64N(int64(maxConfigInterval-minConfigInterval)))):
		}
	}
}

// plan begins one piece of planned work, or a silence. At most one gateway stops at a time, so
// that the others have room.
func (s *unansweredSoak) plan(ctx context.Context, random *rand.Rand, stops chan struct{}, faults *sync.WaitGroup) {
	lasts := minFaultDuration + time.Duration(random.Int64N(int64(maxFaultDuration-minFaultDuration)))
	switch choice := random.IntN(10); {
	case choice < 3:
		s.silence(random)
	case choice < 5:
		server := s.all[random.IntN(len(s.all))]
		faults.Go(func() { s.replaceServer(ctx, server) })
	case choice < 8:
		index, kind := len(s.controls)+random.IntN(len(s.gateways)), []faultKind{faultStop, faultStopTwice}[random.IntN(2)]
		select {
		case stops <- struct{}{}:
			faults.Go(func() {
				defer func() { <-stops }()
				var stop sync.WaitGroup
				s.injectInto(index, kind, lasts, &stop)
				stop.Wait()
			})
		default:
		}
	default:
		index, n := random.IntN(len(s.controls)+len(s.gateways)), 1+random.IntN(maxReloads)
		faults.Go(func() {
			for range n {
				var reload sync.WaitGroup
				s.injectInto(index, faultReload, 0, &reload)
				reload.Wait()
				time.Sleep(reloadInterval)
			}
		})
	}
}

// servedWithRoom returns the share of requests that were served, of those that neither a
// configuration nor a stopping gateway may reject.
func (s *streamSoak) servedWithRoom() (share float64, n int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	servedCount := 0
	for _, r := range s.outcomes {
		if r.left || r.cause != nil || r.keyRemoved() || r.route == extraRoute || s.mayReject(r) || s.stopping(r) {
			continue
		}
		n++
		if served(r) {
			servedCount++
		}
	}
	return float64(servedCount) / float64(n), n
}

// TestRequestsAreAnsweredBesideConfigurations guards against requests that get neither a
// response nor a rejection. Configurations follow each other quickly, in a pool with room, at
// first beside planned work alone: gateways that stop, some of which get a second SIGTERM, and
// reload in series, servers that are replaced and sound ones that fall silent. Then servers
// crash, by themselves and under requests. Some clients keep their connections until the gateway
// closes them, some open one for each request, also while a gateway stops, and some take up
// streams.
func TestRequestsAreAnsweredBesideConfigurations(t *testing.T) {
	t.Parallel()
	settings := soakSettingsFromEnv(t, unansweredDuration)
	ctx, stop := context.WithCancel(t.Context())
	defer stop()
	var workers, clients, series, faults sync.WaitGroup
	defer func() { // a client that outlives a failed test ends the package
		stop()
		clients.Wait()
	}()
	random := rand.New(rand.NewPCG(settings.seed, 7))
	s := &unansweredSoak{&requestSoak{longCached: make(map[string]bool), causes: []*crashingRequest{newCrashingRequest(1, random)}}}
	s.crashSoak = &crashSoak{streamSoak: startStreamSoak(ctx, t, settings, requestSoakRoutes, requestSoakServers, &workers)}
	defer s.summary(settings.seed)
	s.document, s.inSeries, s.adjust = seriesDocument, true, s.crashUnder
	seriesCtx, endSeries := context.WithCancel(ctx)
	defer endSeries()
	s.startClients(ctx, settings, &clients)
	series.Go(func() { s.configureInSeries(seriesCtx, ctx) })

	began, stops := time.Now(), make(chan struct{}, 1)
	attacked := false
	for time.Since(began) < settings.duration {
		if calm := time.Since(began) < time.Duration(calmShare*float64(settings.duration)); !calm {
			if !attacked {
				share, n := s.servedWithRoom()
				t.Logf("%.3f of %d requests are served beside planned work", share, n)
				assert.Greater(t, share, minUnansweredServed, "the pool has room")
				attacked = true
				clients.Go(func() { s.attack(seriesCtx, s.causes[0], &clients) })
			}
			server, downtime := s.all[random.IntN(len(s.all))], minFaultDuration+time.Duration(random.Int64N(int64(maxFaultDuration)))
			if random.IntN(4) == 0 {
				faults.Go(func() { s.crashServer(server, downtime) })
			}
		}
		s.plan(ctx, random, stops, &faults)
		time.Sleep(100*time.Millisecond + time.Duration(random.Int64N(int64(300*time.Millisecond))))
	}
	endSeries()
	series.Wait()
	faults.Wait()
	s.document = soakDocument
	s.configure(ctx)
	require.Eventually(t, func() bool { return s.servedSince(time.Now().Add(-servedWindow)) }, recoveryTimeout, 200*time.Millisecond, "requests are served again")
	stop()
	clients.Wait()
	workers.Wait()
	s.restarts.Wait()
}
