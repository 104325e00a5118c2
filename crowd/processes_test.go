package crowd

import (
	"context"
	"errors"
	"fmt"
	"io/fs"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/galenaarch/galenaarch/internal/loopback"
	"github.com/galenaarch/galenaarch/platform/platformtest"
)

// Timeouts of the harness. They end a test that hangs and measure nothing.
const (
	readyTimeout  = 30 * time.Second
	answerTimeout = 20 * time.Second
	pollInterval  = 20 * time.Millisecond
)

var buildBinaries = sync.OnceValues(func() (string, error) {
	dir, err := os.MkdirTemp("", "galena-crowd-")
	if err != nil {
		return "", err
	}
	out, err := exec.Command("go", "build", "-o", dir, "../cmd/galena-control", "../cmd/galena-gateway").CombinedOutput()
	if err != nil {
		return string(out), err
	}
	return dir, nil
})

// TestMain removes the built binaries after the tests.
func TestMain(m *testing.M) {
	code := m.Run()
	if dir, err := buildBinaries(); err == nil {
		_ = os.RemoveAll(dir)
	}
	os.Exit(code)
}

// process is a process of the system.
type process struct {
	t       *testing.T
	path    string
	args    []string
	logPath string
	cmd     *exec.Cmd
	exited  chan struct{}
}

func (p *process) start() {
	p.t.Helper()
	log, err := os.OpenFile(p.logPath, os.O_APPEND|os.O_CREATE|os.O_WRONLY, 0o600)
	require.NoError(p.t, err)
	defer log.Close()
	p.cmd = exec.Command(p.path, p.args...)
	p.cmd.Stdout, p.cmd.Stderr = log, log
	require.NoError(p.t, p.cmd.Start())
	exited := make(chan struct{})
	p.exited = exited
	go func(cmd *exec.Cmd) {
		_ = cmd.Wait() // the tests look at the process itself
		close(exited)
	}(p.cmd)
}

// stop kills the process.
func (p *process) stop() {
	_ = p.cmd.Process.Kill() // it may have exited already
	<-p.exited
}

func (p *process) alive() bool {
	select {
	case <-p.exited:
		return false
	default:
		return true
	}
}

// peakBytes returns the largest resident memory since the last call of resetPeak.
func (p *process) peakBytes() int64 {
	p.t.Helper()
	status, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", p.cmd.Process.Pid))
	require.NoError(p.t, err)
	for line := range strings.Lines(string(status)) {
		if value, ok := strings.CutPrefix(line, "VmHWM:"); ok {
			kilobytes, err := strconv.ParseInt(strings.Fields(value)[0], 10, 64)
			require.NoError(p.t, err)
			return kilobytes << 10
		}
	}
	p.t.Fatal("no VmHWM in /proc")
	return 0
}

// resetPeak makes the present resident memory the largest one.
func (p *process) resetPeak() {
	p.t.Helper()
	require.NoError(p.t, os.WriteFile(fmt.Sprintf("/proc/%d/clear_refs", p.cmd.Process.Pid), []byte("5"), 0))
}

func (p *process) descriptors() int {
	p.t.Helper()
	entries, err := os.ReadDir(fmt.Sprintf("/proc/%d/fd", p.cmd.Process.Pid))
	if errors.Is(err, fs.ErrNotExist) {
		return 0
	}
	require.NoError(p.t, err)
	return len(entries)
}

// system is a control instance, an entry instance and a backend server.
type system struct {
	t                *testing.T
	control, gateway *process
	server           *platformtest.Server
	// Addresses of the listeners.
	clients, readiness, peers, gatewayMetrics      string
	controlRPC, surface, directory, controlMetrics string
	stopHeartbeats                                 context.CancelFunc
}

// startSystem starts the processes with memoryMB and a document with maxBodyBytes.
func startSystem(t *testing.T) *system {
	t.Helper()
	dir, err := buildBinaries()
	require.NoError(t, err, dir)
	free := func() string {
		address, err := loopback.FreeAddress()
		require.NoError(t, err)
		return address
	}
	s := &system{
		t: t, clients: free(), readiness: free(), peers: free(), gatewayMetrics: free(),
		controlRPC: free(), surface: free(), directory: free(), controlMetrics: free(),
	}
	data := t.TempDir()
	memory := fmt.Sprint(memoryMB)
	s.control = &process{t: t, path: filepath.Join(dir, "galena-control"), logPath: filepath.Join(data, "control.log"), args: []string{
		"-instance", "control-0", "-failure-domain", "zone-a", "-listen", s.controlRPC, "-metrics-listen", s.controlMetrics, "-seeds", s.controlRPC,
		"-data-dir", data, "-trusted-network", "-trust-folder", "-found", "-tolerated-losses", "0", "-memory-mb", memory,
		"-surface", "platform", "-surface-listen", s.surface, "-directory-listen", s.directory, "-announce-interval", "300ms",
	}}
	s.gateway = &process{t: t, path: filepath.Join(dir, "galena-gateway"), logPath: filepath.Join(data, "gateway.log"), args: []string{
		"-instance", "gateway-0", "-failure-domain", "zone-a", "-dialect", "platform", "-listen", s.clients, "-ready-listen", s.readiness,
		"-peer-listen", s.peers, "-metrics-listen", s.gatewayMetrics, "-seeds", s.controlRPC, "-memory-mb", memory,
	}}
	s.server = platformtest.New(t, "i-0")
	s.server.SetHandler(func(r *platformtest.Request) platformtest.Response {
		return platformtest.Response{Status: http.StatusOK, Body: "answer to " + r.ID}
	})
	s.start()
	return s
}

// start starts both processes and waits until a request is served.
func (s *system) start() {
	s.t.Helper()
	s.control.start()
	s.t.Cleanup(s.control.stop)
	s.gateway.start()
	s.t.Cleanup(s.gateway.stop)
	ctx, stop := context.WithCancel(s.t.Context())
	s.stopHeartbeats = stop
	go s.sendHeartbeats(ctx)
	document := strings.Replace(platformtest.Document(1), `"max_body_bytes":65536`, fmt.Sprintf(`"max_body_bytes":%d`, maxBodyBytes), 1)
	document = strings.Replace(document, `"timeout_ms":1500`, fmt.Sprintf(`"timeout_ms":%d`, routeTimeout.Milliseconds()), -1)
	require.Eventually(s.t, func() bool { return platformtest.PublishDocument(ctx, s.surface, document) }, readyTimeout, pollInterval)
	require.True(s.t, s.serves("start"), s.logs())
}

// sendHeartbeats announces the backend server until the context ends.
func (s *system) sendHeartbeats(ctx context.Context) {
	for sequence := 1; ctx.Err() == nil; sequence++ {
		s.server.SendHeartbeat(ctx, s.surface, sequence)
		select {
		case <-ctx.Done():
		case <-time.After(300 * time.Millisecond):
		}
	}
}

// serves reports whether one ordinary request of a client is served. A request that is refused,
// or whose connection breaks, is sent again.
func (s *system) serves(id string) bool {
	for end := time.Now().Add(answerTimeout); time.Now().Before(end); time.Sleep(pollInterval) {
		response, err := platformtest.Send(s.t.Context(), s.clients, platformtest.IdempotentPrefix+"x", id, 5*time.Second)
		if err == nil && response.Status == http.StatusOK && response.Body == "answer to "+id {
			return true
		}
	}
	return false
}

// answers reports whether a listener answers one ordinary request, also one for an unknown path.
func answers(ctx context.Context, address, path string) bool {
	client := &http.Client{Transport: &http.Transport{DisableKeepAlives: true}, Timeout: 5 * time.Second}
	for end := time.Now().Add(answerTimeout); time.Now().Before(end); time.Sleep(pollInterval) {
		request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address+path, nil)
		if err != nil {
			return false
		}
		response, err := client.Do(request)
		if err != nil {
			continue
		}
		response.Body.Close()
		if response.StatusCode != http.StatusServiceUnavailable {
			return true
		}
	}
	return false
}

// logs returns the ends of the processes' logs.
func (s *system) logs() string {
	var text strings.Builder
	for _, p := range []*process{s.control, s.gateway} {
		log, _ := os.ReadFile(p.logPath) // only used in messages
		text.WriteString(p.logPath + ":\n" + string(log[max(0, len(log)-400):]) + "\n")
	}
	return text.String()
}

// restart replaces a process that has ended.
func (s *system) restart(p *process) {
	s.t.Helper()
	if !p.alive() {
		p.start()
		require.True(s.t, s.serves("restart"), s.logs())
	}
}

// terminate asks the process to drain.
func (p *process) terminate() { _ = p.cmd.Process.Signal(syscall.SIGTERM) }

// dial connects to a listener.
func dial(address string) (net.Conn, error) { return net.DialTimeout("tcp4", address, time.Second) }
