package faults

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/galenaarch/galenaarch/platform/platformtest"
)

// Shape of the soak. GALENA_SOAK sets its length (a duration) and
// GALENA_SOAK_SEED its seed.
const (
	soakLength   = 12 * time.Second
	soakControls = 3
	soakGateways = 2
	soakServers  = 4
	soakCallers  = 8
	// troubleEvery lies between two troubles, frozenFor is how long a process is
	// stopped: longer than the control group's election.
	troubleEvery = 1200 * time.Millisecond
	frozenFor    = 1500 * time.Millisecond
	announceGap  = 300 * time.Millisecond
	// soakRecovery is the time after the last trouble within which all requests
	// are served again: what the users allow after a loss of all machines.
	soakRecovery = 12 * time.Second
)

// soak is the forwarding system as processes, with servers, an operator and
// callers that check every answer.
type soak struct {
	t        *testing.T
	random   *rand.Rand
	controls []*process
	surfaces []string
	gateways []*process
	callers  []string
	servers  []*platformtest.Server

	number atomic.Int64
	mu     sync.Mutex
	// runs counts how often each request that may run once was run.
	runs    map[string]int
	refused []string
	served  int
	wrong   []string
	// acknowledged is the newest version of the document that was accepted.
	acknowledged int
}

func startSoak(t *testing.T, seed uint64) *soak {
	t.Helper()
	dir, err := build()
	require.NoError(t, err, dir)
	s := &soak{t: t, random: rand.New(rand.NewPCG(seed, 1)), runs: make(map[string]int)}
	var inner []string
	for range soakControls {
		inner = append(inner, address(t))
	}
	seeds, data := strings.Join(inner, ","), t.TempDir()
	common := func() []string {
		return []string{"-seeds", seeds, "-failure-domain", "zone-a", "-metrics-listen", address(t)}
	}
	for i, listen := range inner {
		name := fmt.Sprint("control-", i)
		s.surfaces = append(s.surfaces, address(t))
		s.controls = append(s.controls, &process{t: t, name: name, path: filepath.Join(dir, "galena-control"), log: filepath.Join(data, name+".log"), args: append([]string{
			"-instance", name, "-listen", listen, "-data-dir", dataDir(t, data, name), "-trusted-network", "-trust-folder", "-found",
			"-surface", "platform", "-surface-listen", s.surfaces[i], "-directory-listen", address(t), "-announce-interval", announceGap.String(),
		}, common()...)})
	}
	for i := range soakGateways {
		name, ready := fmt.Sprint("gateway-", i), address(t)
		s.callers = append(s.callers, address(t))
		s.gateways = append(s.gateways, &process{t: t, name: name, path: filepath.Join(dir, "galena-gateway"), log: filepath.Join(data, name+".log"), ready: "http://" + ready + "/ready", args: append([]string{
			"-instance", name, "-dialect", "platform", "-listen", s.callers[i], "-ready-listen", ready, "-peer-listen", address(t),
		}, common()...)})
	}
	for i := range soakServers {
		server := platformtest.New(t, fmt.Sprint("i-", i))
		server.Reply(s.replies(server.ID))
		s.servers = append(s.servers, server)
	}
	for _, p := range append(append([]*process{}, s.controls...), s.gateways...) {
		p.start()
		t.Cleanup(p.kill)
	}
	return s
}

// replies is what a server does: mostly what it should. It notes what it runs.
func (s *soak) replies(server string) func(*platformtest.Request) platformtest.Reply {
	return func(r *platformtest.Request) platformtest.Reply {
		reply := reply(r)
		if expected := r.Header.Get("X-Expect-Instance"); reply.NotRun || (expected != "" && expected != server) || !strings.HasPrefix(r.Target, "/once/") {
			return reply
		}
		s.mu.Lock()
		defer s.mu.Unlock()
		s.runs[r.Header.Get("X-Request-Id")]++
		return reply
	}
}

func reply(r *platformtest.Request) platformtest.Reply {
	body := "answer to " + r.Header.Get("X-Request-Id")
	ok := platformtest.Reply{Status: http.StatusOK, Body: body, Delay: time.Duration(rand.IntN(20)) * time.Millisecond}
	switch rand.IntN(60) {
	case 0:
		return platformtest.Reply{Drop: true}
	case 1:
		ok.Cut = true
	case 2:
		ok.WrongID = true
	case 3:
		ok.Extra = true
	case 4:
		return platformtest.Reply{Status: http.StatusServiceUnavailable, NotRun: true, Body: "full"}
	case 5:
		ok.Hangup = true
	}
	return ok
}

// operate announces servers and offers documents until the context ends.
func (s *soak) operate(ctx context.Context) {
	for n := 1; ctx.Err() == nil; n++ {
		for _, server := range s.servers {
			body := fmt.Sprintf(`{"service":"desk","address":"%s","zone":"zone-a","version":"v1","slots":64,"state":"ready","cold_left_ms":0,"sequence":%d,"born":1}`, server.Address, n)
			for _, at := range rand.Perm(soakControls) {
				if s.put(ctx, "http://"+s.surfaces[at]+"/instances/"+server.ID, body) == http.StatusOK {
					break
				}
			}
		}
		if n%5 == 1 {
			s.offer(ctx, n)
		}
		time.Sleep(announceGap)
	}
}

// offer sends a document until it is acknowledged, as operators do.
func (s *soak) offer(ctx context.Context, version int) {
	body := fmt.Sprintf(soakDocument, version)
	for tries := 0; tries < 20 && ctx.Err() == nil; tries++ {
		at := rand.IntN(soakControls)
		if s.put(ctx, "http://"+s.surfaces[at]+"/config", body) == http.StatusOK {
			s.mu.Lock()
			s.acknowledged = max(s.acknowledged, version)
			s.mu.Unlock()
			return
		}
		time.Sleep(50 * time.Millisecond)
	}
}

const soakDocument = `{"version":%d,"routes":[
 {"name":"once","host":"a.example","path_prefix":"/once/","kind":"non_idempotent","timeout_ms":1500,"target_latency_ms":300,"priority":0,"service":"desk","max_attempts":1,"public":true},
 {"name":"look","host":"a.example","path_prefix":"/look/","kind":"idempotent","timeout_ms":1500,"target_latency_ms":300,"priority":0,"service":"desk","max_attempts":2,"public":true}
],"services":[{"name":"desk","health_path":"/health","max_connections":200,"protocol":"h1","tls":false}],
"limits":{"max_header_bytes":16384,"max_body_bytes":65536,"header_timeout_ms":3000,"idle_timeout_ms":15000},"tenants":[]}`

// put returns the status, 0 if there was no answer.
func (s *soak) put(ctx context.Context, url, body string) int {
	ctx, cancel := context.WithTimeout(ctx, time.Second)
	defer cancel()
	r, err := http.NewRequestWithContext(ctx, http.MethodPut, url, strings.NewReader(body))
	if err != nil {
		return 0
	}
	response, err := http.DefaultClient.Do(r)
	if err != nil {
		return 0
	}
	defer response.Body.Close()
	_, _ = io.Copy(io.Discard, response.Body) // the status says enough
	return response.StatusCode
}

// call sends one request on a connection of its own and checks the answer.
func (s *soak) call(ctx context.Context) {
	id, kind := fmt.Sprint("r-", s.number.Add(1)), []string{"once", "look"}[rand.IntN(2)]
	ctx, cancel := context.WithTimeout(ctx, 2*time.Second)
	defer cancel()
	r, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+s.callers[rand.IntN(soakGateways)]+"/"+kind+"/x", bytes.NewReader([]byte(id)))
	if err != nil {
		return
	}
	r.Host, r.Close = "a.example", true
	r.Header.Set("X-Request-Id", id)
	r.Header.Set("X-Deadline-Ms", "1500")
	response, err := http.DefaultTransport.RoundTrip(r)
	if err != nil {
		return // the instance was killed, or is frozen: nothing is promised
	}
	defer response.Body.Close()
	body, err := io.ReadAll(response.Body)
	s.mu.Lock()
	defer s.mu.Unlock()
	switch {
	case response.StatusCode == http.StatusServiceUnavailable || response.StatusCode == http.StatusTooManyRequests:
		s.refused = append(s.refused, id)
	case response.StatusCode == http.StatusOK && err == nil:
		s.served++
		if string(body) != "answer to "+id || response.Header.Get("X-Response-Seal") == "" {
			s.wrong = append(s.wrong, id+": "+string(body))
		}
	case response.StatusCode == http.StatusUnauthorized || response.StatusCode == http.StatusNotFound:
		s.wrong = append(s.wrong, id+": status "+strconv.Itoa(response.StatusCode))
	}
}

// trouble does one thing to one process.
func (s *soak) trouble() {
	all := append(append([]*process{}, s.controls...), s.gateways...)
	p := all[s.random.IntN(len(all))]
	switch s.random.IntN(3) {
	case 0:
		s.t.Logf("kill %s", p.name)
		p.kill()
		p.start()
	case 1:
		s.t.Logf("freeze %s", p.name)
		p.signal(syscall.SIGSTOP)
		time.Sleep(frozenFor)
		p.signal(syscall.SIGCONT)
	case 2:
		s.t.Log("kill the control group")
		for _, c := range s.controls {
			c.kill()
		}
		for _, c := range s.controls {
			c.start()
		}
	}
}

// check holds what reached the servers against what callers were told.
func (s *soak) check() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for id, n := range s.runs {
		require.LessOrEqual(s.t, n, 1, "%s ran more than once", id)
	}
	for _, id := range s.refused {
		require.Zero(s.t, s.runs[id], "%s was refused, and ran", id)
	}
	require.Empty(s.t, s.wrong, "answers that are not the request's")
	require.Positive(s.t, s.served)
	s.t.Logf("%d requests, %d served, %d refused, document %d acknowledged", s.number.Load(), s.served, len(s.refused), s.acknowledged)
}

// TestForwardingSoak kills and freezes the processes of the forwarding system
// under load. Whatever happens, a request that may run once reaches one server
// at most beyond those that said that they did not run it, one that was refused
// has not run, an answer is the request's own and whole, and no acknowledged
// document is lost.
func TestForwardingSoak(t *testing.T) {
	length, seed := soakLength, uint64(1)
	if v := os.Getenv("GALENA_SOAK"); v != "" {
		var err error
		length, err = time.ParseDuration(v)
		require.NoError(t, err)
	}
	if v := os.Getenv("GALENA_SOAK_SEED"); v != "" {
		var err error
		seed, err = strconv.ParseUint(v, 10, 64)
		require.NoError(t, err)
	}
	s := startSoak(t, seed)
	ctx, stop := context.WithCancel(t.Context())
	defer stop()
	var busy sync.WaitGroup
	busy.Go(func() { s.operate(ctx) })
	for _, g := range s.gateways {
		g.await()
	}
	for range soakCallers {
		busy.Go(func() {
			for ctx.Err() == nil {
				s.call(ctx)
				time.Sleep(5 * time.Millisecond)
			}
		})
	}
	for end := time.Now().Add(length); time.Now().Before(end); time.Sleep(troubleEvery) {
		s.trouble()
	}
	require.Eventually(t, s.recovered, soakRecovery, 200*time.Millisecond)
	stop()
	busy.Wait()
	s.check()
	s.readBack()
}

// recovered reports whether twenty requests in a row are served.
func (s *soak) recovered() bool {
	s.mu.Lock()
	before := s.served
	s.mu.Unlock()
	for range 20 {
		s.call(s.t.Context())
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.served-before >= 20
}

// readBack holds the document that control returns against the newest that it
// acknowledged.
func (s *soak) readBack() {
	s.t.Helper()
	var got struct {
		Version int `json:"version"`
	}
	require.Eventually(s.t, func() bool {
		response, err := http.Get("http://" + s.surfaces[0] + "/config")
		if err != nil {
			return false
		}
		defer response.Body.Close()
		return response.StatusCode == http.StatusOK && json.NewDecoder(response.Body).Decode(&got) == nil
	}, soakRecovery, 200*time.Millisecond)
	require.GreaterOrEqual(s.t, got.Version, s.acknowledged)
}
