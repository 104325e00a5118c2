// Package faults runs the system's own binaries under load and kills, pauses and
// drains them.
package faults

import (
	"context"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/galenaarch/galenaarch/internal/loopback"
)

// Timeouts of the test harness.
const (
	readyTimeout = 30 * time.Second
	pollInterval = 10 * time.Millisecond
)

var buildBinaries = sync.OnceValues(func() (string, error) {
	dir, err := os.MkdirTemp("", "galena-faults-")
	if err != nil {
		return "", err
	}
	out, err := exec.Command("go", "build", "-o", dir, "../cmd/galena-control", "../cmd/galena-entry", "../cmd/galena-steward", "../cmd/galena-standin", "../cmd/galena-gateway").CombinedOutput()
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

// process is a process of the system that can be restarted.
type process struct {
	t    testing.TB
	name string
	path string
	args []string
	// ready is a URL that returns status 200 once the process is ready; empty for none.
	ready   string
	logPath string
	cmd     *exec.Cmd
	exited  chan error
}

func (p *process) start() {
	p.t.Helper()
	log, err := os.OpenFile(p.logPath, os.O_APPEND|os.O_CREATE|os.O_WRONLY, 0o600)
	require.NoError(p.t, err)
	defer log.Close()
	p.cmd = exec.Command(p.path, p.args...)
	p.cmd.Stdout, p.cmd.Stderr = log, log
	require.NoError(p.t, p.cmd.Start())
	p.exited = make(chan error, 1)
	go func(cmd *exec.Cmd, exited chan<- error) { exited <- cmd.Wait() }(p.cmd, p.exited)
}

func (p *process) signal(s syscall.Signal) {
	p.t.Helper()
	require.NoError(p.t, p.cmd.Process.Signal(s), p.name)
}

// kill sends SIGKILL and waits for the process to exit.
func (p *process) kill() {
	if p.cmd == nil {
		return
	}
	_ = p.cmd.Process.Kill() // the process may have exited already
	<-p.exited
	p.cmd = nil
}

// drain sends SIGTERM, waits for the process to exit and returns how long that took.
func (p *process) drain(limit time.Duration) time.Duration {
	p.t.Helper()
	startedAt := time.Now()
	p.signal(syscall.SIGTERM)
	select {
	case err := <-p.exited:
		require.NoError(p.t, err, p.name)
	case <-time.After(limit):
		p.t.Fatalf("%s did not exit within %v", p.name, limit)
	}
	p.cmd = nil
	return time.Since(startedAt)
}

// waitReady waits until the process is ready. It returns at once if the process has no
// ready URL.
func (p *process) waitReady() {
	p.t.Helper()
	if p.ready == "" {
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), readyTimeout)
	defer cancel()
	for {
		if respondsOK(ctx, p.ready) {
			return
		}
		select {
		case <-ctx.Done():
			log, _ := os.ReadFile(p.logPath) // used only in the message
			p.t.Fatalf("%s did not become ready; end of its log:\n%s", p.name, logTail(log))
		case <-time.After(pollInterval):
		}
	}
}

func logTail(text []byte) string { return string(text[max(0, len(text)-2000):]) }

func respondsOK(ctx context.Context, url string) bool {
	ctx, cancel := context.WithTimeout(ctx, time.Second)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		return false
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return false
	}
	resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

// freeAddress returns a free loopback address.
func freeAddress(t testing.TB) string {
	t.Helper()
	free, err := loopback.FreeAddress()
	require.NoError(t, err)
	return free
}

func dataDir(t testing.TB, root, name string) string {
	t.Helper()
	dir := filepath.Join(root, name)
	require.NoError(t, os.MkdirAll(dir, 0o700))
	return dir
}
