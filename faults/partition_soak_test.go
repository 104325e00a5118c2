package faults

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"slices"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/galenaarch/galenaarch/platform/platformtest"
)

// Parameters of the soak in which gateways lose the paths to all servers.
const (
	partitionDuration = 18 * time.Second
	partitionGateways = 4
	partitionClients  = 4
	// Bounds of the time for which a cut lasts beyond contactTime, and the time between cuts.
	minCutTime = 1500 * time.Millisecond
	maxCutTime = 3 * time.Second
	cutPause   = 1200 * time.Millisecond
	// maxCutGateways leaves one gateway that reaches the servers while another restarts.
	maxCutGateways = 2
	// restartSettling is the time after a restart in which requests at a gateway do not count.
	restartSettling = time.Second
	// The users allow first tries at gateways that are cut off to be served this share as often
	// as others, or failedAllowance + 1 in failedPart of all to fail.
	minCutShare     = 2.0 / 3
	failedAllowance = 10
	failedPart      = 50
	streamEvents    = 8
)

// partitionDocument returns a version of a configuration with orders, reads and streams.
func partitionDocument(version int) string {
	timeout := 1500 + 100*(version%3)
	return fmt.Sprintf(`{"version":%d,"routes":[
 {"name":"once","host":"a.example","path_prefix":"/once/","kind":"non_idempotent","timeout_ms":%d,"target_latency_ms":300,"service":"desk","max_attempts":1,"public":true},
 {"name":"look","host":"a.example","path_prefix":"/look/","kind":"idempotent","timeout_ms":%[2]d,"target_latency_ms":300,"service":"desk","max_attempts":2,"public":true},
 {"name":"watch","host":"a.example","path_prefix":"/watch/","kind":"streaming","timeout_ms":4000,"target_latency_ms":300,"service":"desk","max_attempts":3,"resumable":true,"public":true}
],"services":[{"name":"desk","health_path":"/health","max_connections":200,"protocol":"h1","tls":false}],
"limits":{"max_header_bytes":16384,"max_body_bytes":65536,"header_timeout_ms":3000,"idle_timeout_ms":15000},"tenants":[]}`, version, timeout)
}

// partitionReply is the reply of a server to an order, a read or a stream.
func partitionReply(r *platformtest.Request) platformtest.Response {
	if !strings.HasPrefix(r.Target, "/watch/") {
		return randomReply(r)
	}
	reply := platformtest.Response{Status: http.StatusOK, Events: streamEvents, EventInterval: 15 * time.Millisecond}
	if rand.IntN(20) == 0 {
		reply.CloseAfterEvent = 1 + rand.IntN(streamEvents)
	}
	return reply
}

// maxRuns is the number of servers that may run a request, by the beginning of its path.
var maxRuns = map[string]int{"/once/": 1, "/look/": 2, "/watch/": 3}

// partitionRequest is a first try of a client.
type partitionRequest struct {
	gateway     int
	path, id    string
	sent, ended time.Time
	served      bool
	rejected    bool
	failure     string
}

// partitionCut is a time in which some gateways had no path to the servers.
type partitionCut struct {
	name       string
	gateways   []int
	began, end time.Time
}

// partitionSoak is a soak whose gateways have paths of their own to the servers.
type partitionSoak struct {
	*soak
	paths []*gatewayPaths

	mu       sync.Mutex
	runs     map[string]int
	requests []partitionRequest
	cuts     []partitionCut
	// downs are the times in which gateways were down, or had just started.
	downs []partitionCut
	wrong []string
}

// startPartitionSoak starts the processes; the gateways know the servers by the paths.
func startPartitionSoak(t *testing.T, seed uint64, gateways int) *partitionSoak {
	s := &partitionSoak{soak: startSoakOf(t, seed, soakControls, gateways), runs: make(map[string]int)}
	var controls []string
	for _, c := range s.controls {
		controls = append(controls, c.args[slices.Index(c.args, "-listen")+1])
	}
	for _, server := range s.servers {
		server.SetHandler(s.reply)
	}
	for _, g := range s.gateways {
		g.kill()
		paths := newGatewayPaths(t, controls)
		g.args[slices.Index(g.args, "-seeds")+1] = paths.seeds()
		s.paths = append(s.paths, paths)
		g.start()
	}
	return s
}

// reply counts the runs of each request.
func (s *partitionSoak) reply(r *platformtest.Request) platformtest.Response {
	reply := partitionReply(r)
	if !reply.NotExecuted && !r.Misdirected {
		s.mu.Lock()
		s.runs[r.ID]++
		s.mu.Unlock()
	}
	return reply
}

// operate announces the servers and publishes configurations in series, until the context ends.
func (s *partitionSoak) operate(ctx context.Context) {
	for version := 1; ctx.Err() == nil; version++ {
		for _, server := range s.servers {
			for _, replica := range rand.Perm(len(s.platformAddresses)) {
				if server.SendHeartbeat(ctx, s.platformAddresses[replica], version) {
					break
				}
			}
		}
		if version%4 == 1 {
			for tries := 0; tries < 20 && !platformtest.PublishDocument(ctx, s.platformAddresses[rand.IntN(len(s.platformAddresses))], partitionDocument(version)); tries++ {
				time.Sleep(50 * time.Millisecond)
			}
		}
		time.Sleep(announceInterval)
	}
}

// runClient sends requests to one gateway over connections that it keeps, until the context ends.
func (s *partitionSoak) runClient(ctx context.Context, gateway, client int) {
	transport := &http.Transport{DisableCompression: true}
	defer transport.CloseIdleConnections()
	kinds := []string{"/once/", "/once/", "/look/", "/look/", "/watch/"}
	for n := 0; ctx.Err() == nil; n++ {
		r := partitionRequest{gateway: gateway, path: kinds[rand.IntN(len(kinds))], id: fmt.Sprintf("p-%d-%d-%d", gateway, client, n), sent: time.Now()}
		s.exchange(ctx, transport, &r)
		r.ended = time.Now()
		s.mu.Lock()
		s.requests = append(s.requests, r)
		s.mu.Unlock()
		time.Sleep(time.Duration(5+rand.IntN(20)) * time.Millisecond)
	}
}

// exchange sends a request and examines the response.
func (s *partitionSoak) exchange(ctx context.Context, transport http.RoundTripper, r *partitionRequest) {
	ctx, cancel := context.WithTimeout(ctx, 5*time.Second)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+s.gatewayAddresses[r.gateway]+r.path+"x", io.NopCloser(strings.NewReader(r.id)))
	require.NoError(s.t, err)
	req.Host, req.ContentLength = platformtest.Host, int64(len(r.id))
	req.Header.Set("X-Request-Id", r.id)
	response, err := transport.RoundTrip(req)
	if err != nil {
		r.failure = err.Error()
		return
	}
	defer response.Body.Close()
	body, err := io.ReadAll(response.Body)
	r.rejected = response.StatusCode == http.StatusServiceUnavailable
	if r.served = response.StatusCode == http.StatusOK && err == nil; !r.served {
		r.failure = fmt.Sprint(response.StatusCode, " ", string(body[:min(len(body), 40)]), " ", err)
		return
	}
	want := "answer to " + r.id
	if r.path == "/watch/" {
		var events strings.Builder
		for n := 1; n <= streamEvents; n++ {
			fmt.Fprintf(&events, "id: %d\ndata: piece %d\n\n", n, n)
		}
		want = events.String()
	}
	if string(body) != want || response.Header.Get("X-Response-Seal") == "" {
		s.mu.Lock()
		s.wrong = append(s.wrong, fmt.Sprintf("%s %s: %q", r.path, r.id, body))
		s.mu.Unlock()
	}
}

// pathCuts are the ways in which the connections of a gateway behave in a cut.
var pathCuts = []struct {
	name string
	how  func(*platformtest.Path) error
}{
	{"refused", func(p *platformtest.Path) error { p.Refuse(false); return nil }},
	{"refused, old ones live on", func(p *platformtest.Path) error { p.Refuse(true); return nil }},
	{"reset", (*platformtest.Path).Reset},
	{"silent", (*platformtest.Path).Hang},
}

// cutInSeries cuts gateways off, some at a time, until the time is over.
func (s *partitionSoak) cutInSeries(until time.Time, random *rand.Rand) {
	for time.Now().Before(until) {
		how := pathCuts[random.IntN(len(pathCuts))]
		cut := partitionCut{name: how.name, gateways: random.Perm(len(s.gateways))[:1+random.IntN(maxCutGateways)], began: time.Now()}
		for _, g := range cut.gateways {
			s.paths[g].set(how.how)
		}
		time.Sleep(contactTime + minCutTime + time.Duration(random.Int64N(int64(maxCutTime-minCutTime))))
		cut.end = time.Now()
		for _, g := range cut.gateways {
			s.paths[g].set(nil)
		}
		s.mu.Lock()
		s.cuts = append(s.cuts, cut)
		s.mu.Unlock()
		time.Sleep(cutPause)
	}
}

// restartInSeries stops or kills one gateway at a time and starts it again.
func (s *partitionSoak) restartInSeries(until time.Time, random *rand.Rand) {
	for time.Now().Before(until) {
		time.Sleep(time.Duration(random.Int64N(int64(1500 * time.Millisecond))))
		index := random.IntN(len(s.gateways))
		down := partitionCut{name: "killed", gateways: []int{index}, began: time.Now()}
		g := s.gateways[index]
		if random.IntN(2) == 0 {
			down.name = "stopped"
			g.signal(syscall.SIGTERM)
			<-g.exited
			g.cmd = nil
		} else {
			g.kill()
		}
		g.start()
		g.waitReady()
		time.Sleep(restartSettling)
		down.end = time.Now()
		s.mu.Lock()
		s.downs = append(s.downs, down)
		s.mu.Unlock()
	}
}

// overlaps reports whether a request at a gateway was in progress in the time of a cut or restart.
func (c *partitionCut) overlaps(r *partitionRequest) bool {
	return slices.Contains(c.gateways, r.gateway) && r.sent.Before(c.end) && r.ended.After(c.began)
}

// checkShares compares how often first tries are served at the gateways of a cut and at the others.
func (s *partitionSoak) checkShares(cut *partitionCut) {
	var served, sent [2]int
	failures := make(map[string]int)
	for i := range s.requests {
		r := &s.requests[i]
		if r.sent.Before(cut.began.Add(contactTime)) || r.ended.After(cut.end) || slices.ContainsFunc(s.downs, func(d partitionCut) bool { return d.overlaps(r) }) {
			continue
		}
		group := 0
		if slices.Contains(cut.gateways, r.gateway) {
			group = 1
		}
		sent[group]++
		if r.served {
			served[group]++
		} else if group == 1 {
			failures[r.failure]++
		}
	}
	s.t.Logf("%s, gateways %v, %v: %d of %d first tries served there, %d of %d elsewhere; %v", cut.name, cut.gateways, cut.end.Sub(cut.began).Round(time.Millisecond), served[1], sent[1], served[0], sent[0], failures)
	if sent[0] == 0 || sent[1] == 0 {
		return
	}
	others, there := float64(served[0])/float64(sent[0]), float64(served[1])/float64(sent[1])
	failed := sent[1] - served[1]
	assert.False(s.t, there < minCutShare*others && failed > failedAllowance+(sent[0]+sent[1])/failedPart, "%s at gateways %v", cut.name, cut.gateways)
}

// check checks what the clients got and the servers ran.
func (s *partitionSoak) check() {
	s.mu.Lock()
	defer s.mu.Unlock()
	assert.Empty(s.t, s.wrong, "responses that are incomplete or belong to another request")
	counts := make(map[string]int)
	for i := range s.requests {
		r := &s.requests[i]
		counts[r.path]++
		assert.LessOrEqual(s.t, s.runs[r.id], maxRuns[r.path], "runs of %s %s", r.path, r.id)
		if r.rejected {
			assert.Zero(s.t, s.runs[r.id], "%s %s was rejected but ran", r.path, r.id)
		}
	}
	s.t.Logf("%v requests, %d cuts, %d restarts", counts, len(s.cuts), len(s.downs))
	for i := range s.cuts {
		s.checkShares(&s.cuts[i])
	}
}

// TestPartitionSoak cuts gateways off from all servers, one or two of four at a time, in all the
// ways in which connections behave, while clients use open connections, gateways are stopped and
// killed, and configurations follow each other. First tries at a gateway that is cut off are served
// as the users demand; requests run as often as their route allows, and not at all if they are
// rejected; streams and responses are whole or visibly cut.
func TestPartitionSoak(t *testing.T) {
	t.Parallel()
	c := soakSettingsFromEnv(t, partitionDuration)
	s := startPartitionSoak(t, c.seed, partitionGateways)
	ctx, stop := context.WithCancel(t.Context())
	defer stop()
	var workers, faults sync.WaitGroup
	workers.Go(func() { s.operate(ctx) })
	for _, g := range s.gateways {
		g.waitReady()
	}
	time.Sleep(restartSettling)
	for gateway := range s.gateways {
		for client := range partitionClients {
			workers.Go(func() { s.runClient(ctx, gateway, client) })
		}
	}
	until := time.Now().Add(c.duration - contactTime - maxCutTime)
	faults.Go(func() { s.cutInSeries(until, rand.New(rand.NewPCG(c.seed, 11))) })
	faults.Go(func() { s.restartInSeries(until, rand.New(rand.NewPCG(c.seed, 12))) })
	faults.Wait()
	stop()
	workers.Wait()
	s.check()
}
