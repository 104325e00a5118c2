package faults

import (
	"context"
	"encoding/json"
	"math/rand/v2"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// Parameters of the soak with a quick series of configurations. The environment is that of
// the stream soak.
const (
	seriesDuration = 24 * time.Second
	seriesInterval = 400 * time.Millisecond
	// smallBodyLimit, in bytes, is below the size of most bodies, so that the limit shrinks
	// while larger ones are read.
	smallBodyLimit = 512
	// slowBodies is the share of requests, one in so many, whose body follows its header
	// after up to maxBodyDelay.
	slowBodies   = 4
	maxBodyDelay = time.Second
	// seriesParts is the number of kinds of changes that a version may contain.
	seriesParts = 5
)

// seriesDocument returns a version that takes away some of what requests in progress use: a
// route, the name of a route, a service with all of its servers, or a limit.
func seriesDocument(version int, random *rand.Rand, served []*soakRoute) (string, publishedConfig) {
	content, published := soakDocument(version, random, served)
	if version == 1 {
		return content, published
	}
	var document map[string]any
	if err := json.Unmarshal([]byte(content), &document); err != nil {
		panic(err) // soakDocument returns JSON
	}
	routes := document["routes"].([]any)
	switch random.IntN(seriesParts) {
	case 0:
		removed := random.IntN(len(routes))
		delete(published.routes, routes[removed].(map[string]any)["path_prefix"].(string))
		document["routes"] = append(routes[:removed:removed], routes[removed+1:]...)
	case 1:
		renamed := routes[random.IntN(len(routes))].(map[string]any)
		renamed["name"] = renamed["name"].(string) + "-renamed"
	case 2:
		document["limits"].(map[string]any)["max_body_bytes"], published.bodyLimit = smallBodyLimit, smallBodyLimit
	case 3:
		removeService(document, [...]string{engineService, plainService}[random.IntN(2)])
	}
	edited, err := json.Marshal(document)
	if err != nil {
		panic(err) // it was decoded from JSON
	}
	return string(edited), published
}

// replacements are the services that take over the routes of removed ones.
var replacements = map[string]string{engineService: otherEngineService, plainService: otherPlainService}

// removeService removes a service whose routes go to its replacement alone, if the document
// has that.
func removeService(document map[string]any, name string) {
	var kept []any
	hasReplacement := false
	for _, s := range document["services"].([]any) {
		service := s.(map[string]any)["name"]
		hasReplacement = hasReplacement || service == replacements[name]
		if service != name {
			kept = append(kept, s)
		}
	}
	if !hasReplacement {
		return
	}
	document["services"] = kept
	for _, r := range document["routes"].([]any) {
		route := r.(map[string]any)
		targets, _ := route["traffic_split"].([]any)
		for _, target := range targets {
			if target.(map[string]any)["service"] == name {
				delete(route, "traffic_split")
				route["service"] = replacements[name]
				break
			}
		}
	}
}

// TestStreamSoakInSeriesOfConfigurations guards against requests that end without a response
// because a configuration takes away what they use while they are read, wait, run or repeat.
// A configuration follows each seriesInterval, while servers fall silent, are replaced and
// crash, responses end with their connection, and processes are stopped and reloaded.
func TestStreamSoakInSeriesOfConfigurations(t *testing.T) {
	t.Parallel()
	c := soakSettingsFromEnv(t, seriesDuration)
	ctx, stop := context.WithCancel(t.Context())
	defer stop()
	var workers, clients, faults, series sync.WaitGroup
	defer func() { // a client that outlives a failed test ends the package
		stop()
		clients.Wait()
	}()
	s := startStreamSoak(ctx, t, c, soakRoutes, streamSoakServers, &workers)
	defer s.summary(c.seed)
	s.document, s.inSeries = seriesDocument, true
	for gateway := range c.gateways {
		for range c.clients {
			clients.Go(func() {
				s.runClient(ctx, gateway, clientPause, func(gateway, n int) *clientRequest {
					r := nextRequest(gateway, n)
					if rand.IntN(slowBodies) == 0 {
						r.bodyDelay = time.Duration(rand.Int64N(int64(maxBodyDelay)))
					}
					return r
				})
			})
		}
	}
	seriesCtx, endSeries := context.WithCancel(ctx)
	defer endSeries()
	series.Go(func() {
		for seriesCtx.Err() == nil {
			s.configure(ctx)
			select {
			case <-seriesCtx.Done():
			case <-time.After(seriesInterval):
			}
		}
	})
	s.runDisturbances(ctx, rand.New(rand.NewPCG(c.seed, 2)), c.duration, &faults)
	endSeries()
	series.Wait()
	faults.Wait()
	s.document = soakDocument
	s.configure(ctx)
	require.Eventually(t, func() bool { return s.servedSince(time.Now().Add(-servedWindow)) }, recoveryTimeout, 200*time.Millisecond, "requests are served again")
	stop()
	clients.Wait()
	workers.Wait()
}
