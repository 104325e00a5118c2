package control

import (
	"context"
	"fmt"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/galenaarch/galenaarch/api/controlv1"
	"github.com/galenaarch/galenaarch/control/client"
)

// processGroup runs a group of galena-control processes on loopback.
type processGroup struct {
	t       testing.TB
	binary  string
	args    [][]string
	urls    []string
	running []*exec.Cmd
}

func startProcesses(t testing.TB, count int) *processGroup {
	dir := t.TempDir()
	p := &processGroup{t: t, binary: filepath.Join(dir, "galena-control"), running: make([]*exec.Cmd, count)}
	build := exec.Command("go", "build", "-o", p.binary, "../cmd/galena-control")
	out, err := build.CombinedOutput()
	require.NoError(t, err, string(out))
	var replicas []string
	for i := range count {
		p.urls = append(p.urls, "http://"+freeAddress(t))
		replicas = append(replicas, fmt.Sprintf("control-%d=%s", i+1, p.urls[i]))
	}
	for i := range count {
		data := filepath.Join(dir, fmt.Sprint(i))
		p.args = append(p.args, []string{
			"-instance", fmt.Sprintf("control-%d", i+1), "-failure-domain", "d", "-data-dir", data,
			"-listen", strings.TrimPrefix(p.urls[i], "http://"), "-metrics-listen", freeAddress(t),
			"-replicas", strings.Join(replicas, ","), "-log-level", "warn", "-insecure-loopback",
		})
		p.start(i)
	}
	t.Cleanup(func() {
		for i := range p.running {
			p.kill(i)
		}
	})
	return p
}

func (p *processGroup) start(i int) {
	cmd := exec.Command(p.binary, p.args[i]...)
	cmd.Stdout, cmd.Stderr = os.Stderr, os.Stderr
	require.NoError(p.t, cmd.Start())
	p.running[i] = cmd
}

// kill sends SIGKILL and waits for the process to exit.
func (p *processGroup) kill(i int) {
	if p.running[i] == nil {
		return
	}
	_ = p.running[i].Process.Kill()
	_ = p.running[i].Wait() // always reports the signal
	p.running[i] = nil
}

func newBeginRequest(key string) *controlv1.BeginCallRequest {
	return &controlv1.BeginCallRequest{ClientAccount: "a", Key: key, BodyDigest: []byte("d"), Entry: "e", Server: "s", DispatchId: "d-" + key}
}

// TestAcknowledgedWritesSurviveKillingAllReplicas guards against acknowledging
// a write before it is durable: it kills all three replicas during writes and
// checks every acknowledged write after a restart.
func TestAcknowledgedWritesSurviveKillingAllReplicas(t *testing.T) {
	p := startProcesses(t, 3)
	c := client.New(p.urls, &http.Client{})
	ctx, cancel := context.WithTimeout(context.Background(), testTimeout)
	defer cancel()
	_, err := c.BeginCall(ctx, newBeginRequest("first"))
	require.NoError(t, err)

	writes, stop := context.WithCancel(ctx)
	acknowledged := make(chan string, 1<<16)
	done := make(chan struct{})
	go func() {
		defer close(done)
		for i := 0; writes.Err() == nil; i++ {
			key := fmt.Sprint("k", i)
			if _, err := c.BeginCall(writes, newBeginRequest(key)); err == nil {
				acknowledged <- key
			}
		}
	}()
	for len(acknowledged) < 200 && ctx.Err() == nil {
		time.Sleep(time.Millisecond)
	}
	for i := range p.running {
		p.kill(i)
	}
	stop()
	<-done
	for i := range p.running {
		p.start(i)
	}
	require.GreaterOrEqual(t, len(acknowledged), 200)
	for len(acknowledged) > 0 {
		key := <-acknowledged
		req := newBeginRequest(key)
		req.DispatchId = "another"
		r, err := c.BeginCall(ctx, req)
		require.NoError(t, err)
		require.Equal(t, controlv1.BeginOutcome_BEGIN_OUTCOME_IN_PROGRESS, r.Outcome, "%s was acknowledged", key)
	}
}
