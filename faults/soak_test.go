package faults

import (
	"context"
	"fmt"
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

// Parameters of the soak test. GALENA_SOAK sets its duration, GALENA_SOAK_SEED its
// random seed. The logs of processes are kept in new directories in GALENA_SOAK_LOGS, if set.
const (
	soakDuration = 12 * time.Second
	soakControls = 3
	soakGateways = 2
	soakServers  = 4
	soakClients  = 8
	// faultInterval is the time between two faults. freezeDuration is how long a process
	// is frozen; it exceeds the election timeout of the control group.
	faultInterval    = 1200 * time.Millisecond
	freezeDuration   = 1500 * time.Millisecond
	announceInterval = 300 * time.Millisecond
	// recoveryTimeout is the time after the last fault within which requests must be
	// served again. It is the limit that the users set for the loss of all machines.
	recoveryTimeout = 12 * time.Second
	// recoveryRequests are sent to check the recovery, and at least minServedShare of
	// them must be served. The users require at least a quarter.
	recoveryRequests = 20
	minServedShare   = 0.5
	requestMaxWait   = 1500 * time.Millisecond
)

// soak runs control replicas and gateways as processes, with backend servers, an operator
// and clients that check every response.
type soak struct {
	t                 *testing.T
	random            *rand.Rand
	controls          []*process
	platformAddresses []string
	gateways          []*process
	gatewayAddresses  []string
	servers           []*platformtest.Server

	requestCount atomic.Int64
	mu           sync.Mutex
	// executions counts the executions of each request that must run at most once.
	executions       map[string]int
	refused          []string
	served           int
	invalidResponses []string
	// lastAcknowledged is the newest document version that was acknowledged.
	lastAcknowledged int

	startedAt  time.Time
	timelineMu sync.Mutex
	// timeline holds what happened to processes and servers.
	timeline []string
}

// since returns a time as seconds since the start.
func (s *soak) since(at time.Time) string {
	if at.IsZero() {
		return "-"
	}
	return fmt.Sprintf("%.3f", at.Sub(s.startedAt).Seconds())
}

// happened adds to the timeline. It is logged at the end of the test, so that violations come first in its output,
// but at once if the test is verbose.
func (s *soak) happened(format string, values ...any) {
	text := s.since(time.Now()) + " " + fmt.Sprintf(format, values...)
	if testing.Verbose() {
		s.t.Log(text)
		return
	}
	s.timelineMu.Lock()
	defer s.timelineMu.Unlock()
	s.timeline = append(s.timeline, text)
}

// logTimeline logs the timeline.
func (s *soak) logTimeline() {
	s.timelineMu.Lock()
	defer s.timelineMu.Unlock()
	if len(s.timeline) > 0 {
		s.t.Logf("timeline:\n%s", strings.Join(s.timeline, "\n"))
	}
}

// startSoak starts the processes. The flags are added to those of the gateways.
func startSoak(t *testing.T, seed uint64, flags ...string) *soak {
	t.Helper()
	return startSoakOf(t, seed, soakControls, soakGateways, flags...)
}

// startSoakOf is startSoak with a number of control replicas and of gateways.
func startSoakOf(t *testing.T, seed uint64, controls, gateways int, flags ...string) *soak {
	t.Helper()
	dir, err := buildBinaries()
	require.NoError(t, err, dir)
	return startSoakFrom(t, dir, seed, controls, gateways, flags...)
}

// startSoakFrom is startSoakOf with the folder of the binaries.
func startSoakFrom(t *testing.T, dir string, seed uint64, controls, gateways int, flags ...string) *soak {
	t.Helper()
	var err error
	s := &soak{t: t, random: rand.New(rand.NewPCG(seed, 1)), executions: make(map[string]int), startedAt: time.Now()}
	t.Cleanup(s.logTimeline)
	var controlAddresses []string
	for range controls {
		controlAddresses = append(controlAddresses, freeAddress(t))
	}
	seeds, data := strings.Join(controlAddresses, ","), t.TempDir()
	logs := data
	if kept := os.Getenv("GALENA_SOAK_LOGS"); kept != "" {
		logs, err = os.MkdirTemp(kept, t.Name()+"-*")
		require.NoError(t, err)
		t.Logf("logs are in %s", logs)
	}
	commonArgs := func(address func() string) []string {
		return []string{"-seeds", seeds, "-failure-domain", "zone-a", "-metrics-listen", address()}
	}
	for i, listen := range controlAddresses {
		name := fmt.Sprint("control-", i)
		s.platformAddresses = append(s.platformAddresses, freeAddress(t))
		s.controls = append(s.controls, &process{t: t, name: name, path: filepath.Join(dir, "galena-control"), logPath: filepath.Join(logs, name+".log"), args: append([]string{
			"-instance", name, "-listen", listen, "-data-dir", dataDir(t, data, name), "-trusted-network", "-trust-folder", "-found",
			"-surface", "platform", "-surface-listen", s.platformAddresses[i], "-directory-listen", freeAddress(t), "-announce-interval", announceInterval.String(),
		}, commonArgs(func() string { return freeAddress(t) })...)})
	}
	for i := range gateways {
		address := func() string { return onLoopbackHost(freeAddress(t), i/gatewaysPerHost) }
		name, ready := fmt.Sprint("gateway-", i), address()
		s.gatewayAddresses = append(s.gatewayAddresses, address())
		s.gateways = append(s.gateways, &process{t: t, name: name, path: filepath.Join(dir, "galena-gateway"), logPath: filepath.Join(logs, name+".log"), ready: "http://" + ready + "/ready", args: append([]string{
			"-instance", name, "-dialect", "platform", "-listen", s.gatewayAddresses[i], "-ready-listen", ready, "-peer-listen", address(),
		}, append(commonArgs(address), flags...)...)})
	}
	for i := range soakServers {
		server := platformtest.New(t, fmt.Sprint("i-", i))
		server.SetHandler(s.serverReply)
		s.servers = append(s.servers, server)
	}
	for _, p := range append(append([]*process{}, s.controls...), s.gateways...) {
		p.start()
		t.Cleanup(p.kill)
	}
	return s
}

// gatewaysPerHost is the number of gateways whose ports a test process has.
const gatewaysPerHost = 40

// onLoopbackHost moves an address to another loopback host, on which the ports of this
// process are free again; host 0 is 127.0.0.1.
func onLoopbackHost(address string, host int) string {
	return fmt.Sprintf("127.0.0.%d%s", 1+host, strings.TrimPrefix(address, "127.0.0.1"))
}

// serverReply returns a mostly successful reply and counts executions.
func (s *soak) serverReply(r *platformtest.Request) platformtest.Response {
	reply := randomReply(r)
	if reply.NotExecuted || r.Misdirected || !strings.HasPrefix(r.Target, platformtest.AtMostOncePrefix) {
		return reply
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.executions[r.ID]++
	return reply
}

func randomReply(r *platformtest.Request) platformtest.Response {
	ok := platformtest.Response{Status: http.StatusOK, Body: "answer to " + r.ID, Delay: time.Duration(rand.IntN(20)) * time.Millisecond}
	switch rand.IntN(60) {
	case 0:
		return platformtest.Response{CloseWithoutResponse: true}
	case 1:
		ok.TruncateBody = true
	case 2:
		ok.WrongRequestID = true
	case 3:
		ok.UnsolicitedResponse = true
	case 4:
		return platformtest.Response{Status: http.StatusServiceUnavailable, NotExecuted: true, Body: "full"}
	case 5:
		ok.CloseAfterResponse = true
	}
	return ok
}

// runOperator announces backend servers and submits documents until the context ends.
func (s *soak) runOperator(ctx context.Context) {
	for version := 1; ctx.Err() == nil; version++ {
		for _, server := range s.servers {
			for _, replica := range rand.Perm(soakControls) {
				if server.SendHeartbeat(ctx, s.platformAddresses[replica], version) {
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

// submitDocument retries a document until it is acknowledged, at most 20 times.
func (s *soak) submitDocument(ctx context.Context, version int) {
	for tries := 0; tries < 20 && ctx.Err() == nil; tries++ {
		if platformtest.PublishConfig(ctx, s.platformAddresses[rand.IntN(soakControls)], version) {
			s.mu.Lock()
			s.lastAcknowledged = max(s.lastAcknowledged, version)
			s.mu.Unlock()
			return
		}
		time.Sleep(50 * time.Millisecond)
	}
}

// sendRequest sends one request, checks the response and reports whether the request was
// served.
func (s *soak) sendRequest(ctx context.Context) bool {
	id, path := fmt.Sprint("r-", s.requestCount.Add(1)), []string{platformtest.AtMostOncePrefix, platformtest.IdempotentPrefix}[rand.IntN(2)]
	ctx, cancel := context.WithTimeout(ctx, 2*time.Second)
	defer cancel()
	response, err := platformtest.Send(ctx, s.gatewayAddresses[rand.IntN(len(s.gatewayAddresses))], path+"x", id, requestMaxWait)
	if response == nil {
		return false // the instance was killed or is frozen, so no response is guaranteed
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	switch {
	case response.NotExecuted():
		s.refused = append(s.refused, id)
	case response.Status == http.StatusUnauthorized || response.Status == http.StatusNotFound:
		s.invalidResponses = append(s.invalidResponses, id+": status "+strconv.Itoa(response.Status))
	case response.Status == http.StatusOK && err == nil:
		s.served++
		if response.Body != "answer to "+id || !response.Sealed {
			s.invalidResponses = append(s.invalidResponses, id+": "+response.Body)
		}
		return true
	}
	return false
}

// injectFault kills or freezes a random process, or kills the whole control group.
func (s *soak) injectFault() {
	processes := append(append([]*process{}, s.controls...), s.gateways...)
	target := processes[s.random.IntN(len(processes))]
	switch s.random.IntN(3) {
	case 0:
		s.happened("kill %s", target.name)
		target.kill()
		target.start()
	case 1:
		s.happened("freeze %s", target.name)
		target.signal(syscall.SIGSTOP)
		time.Sleep(freezeDuration)
		target.signal(syscall.SIGCONT)
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

// verifyExecutions compares the executions at the servers with the outcomes reported to
// the clients.
func (s *soak) verifyExecutions() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for id, n := range s.executions {
		require.LessOrEqual(s.t, n, 1, "%s ran more than once", id)
	}
	for _, id := range s.refused {
		require.Zero(s.t, s.executions[id], "%s was refused but ran", id)
	}
	require.Empty(s.t, s.invalidResponses, "responses that are incomplete or belong to another request")
	require.Positive(s.t, s.served)
	s.t.Logf("%d requests, %d served, %d refused, last acknowledged document %d", s.requestCount.Load(), s.served, len(s.refused), s.lastAcknowledged)
}

// TestForwardingSoak kills and freezes control replicas and gateways under load. Under
// all faults, a request that must run at most once is executed by at most one server,
// not counting servers that reported it as not run; a refused request has not run; a
// response is complete and belongs to its request; and no acknowledged document is lost.
func TestForwardingSoak(t *testing.T) {
	duration, seed := soakDuration, uint64(1)
	if v := os.Getenv("GALENA_SOAK"); v != "" {
		var err error
		duration, err = time.ParseDuration(v)
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
	var workers sync.WaitGroup
	workers.Go(func() { s.runOperator(ctx) })
	for _, g := range s.gateways {
		g.waitReady()
	}
	for range soakClients {
		workers.Go(func() {
			for ctx.Err() == nil {
				s.sendRequest(ctx)
				time.Sleep(5 * time.Millisecond)
			}
		})
	}
	for end := time.Now().Add(duration); time.Now().Before(end); time.Sleep(faultInterval) {
		s.injectFault()
	}
	require.Eventually(t, s.recovered, recoveryTimeout, 200*time.Millisecond)
	stop()
	workers.Wait()
	s.verifyExecutions()
	s.verifyDocument()
}

// recovered reports whether at least minServedShare of recoveryRequests consecutive
// requests are served. The servers fail about one request in fifteen on purpose.
func (s *soak) recovered() bool {
	served := 0
	for range recoveryRequests {
		if s.sendRequest(s.t.Context()) {
			served++
		}
	}
	return float64(served) >= minServedShare*recoveryRequests
}

// verifyDocument checks that the control group returns a document at least as new as
// the last acknowledged one.
func (s *soak) verifyDocument() {
	s.t.Helper()
	var version int
	require.Eventually(s.t, func() bool {
		var err error
		version, err = platformtest.ConfigVersion(s.t.Context(), s.platformAddresses[0])
		return err == nil
	}, recoveryTimeout, 200*time.Millisecond)
	require.GreaterOrEqual(s.t, version, s.lastAcknowledged)
}
