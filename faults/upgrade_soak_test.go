package faults

import (
	"context"
	"math/rand/v2"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// Parameters of the upgrade soak. GALENA_SOAK_PRODUCTION names the commit of the older build;
// the others are those of the stream soak.
const (
	upgradeSoakDuration = 28 * time.Second
	// productionCommit is an earlier state of this repository, with which the current one must be
	// able to run side by side.
	productionCommit = "43d4cdd33d27"
	// upgradePause is the longest pause between the replacements of two processes.
	upgradePause = 400 * time.Millisecond
	// upgradeReadyTimeout is how long a replaced gateway may take until the next one is stopped.
	upgradeReadyTimeout = 5 * time.Second
)

// buildCommit builds the binaries of a commit and returns their folder. It skips the test where
// the sources have no history, as in an archive of a release.
func buildCommit(t *testing.T, commit string) string {
	t.Helper()
	if out, err := exec.Command("git", "-C", "..", "cat-file", "-e", commit+"^{commit}").CombinedOutput(); err != nil {
		t.Skipf("commit %s is not in the history of these sources: %s", commit, out)
	}
	sources, binaries := t.TempDir(), t.TempDir()
	archive := filepath.Join(sources, "sources.tar")
	for _, command := range []*exec.Cmd{
		exec.Command("git", "-C", "..", "archive", "--format=tar", "-o", archive, commit),
		exec.Command("tar", "-x", "-C", sources, "-f", archive),
		exec.Command("go", "build", "-C", sources, "-o", binaries, "./cmd/galena-control", "./cmd/galena-gateway"),
	} {
		out, err := command.CombinedOutput()
		require.NoError(t, err, string(out))
	}
	return binaries
}

// replaceBuild stops a process and starts it again from another folder of binaries, once no other
// fault occurs to it. It waits until a gateway is ready, but not for ever: faults go on.
func (s *streamSoak) replaceBuild(ctx context.Context, index int, dir string) {
	for !s.claim(index) {
		select {
		case <-ctx.Done():
			return
		case <-time.After(pollInterval):
		}
	}
	defer s.release(index)
	p := s.process(index)
	s.happened("%s: replaced by the build in %s", p.name, filepath.Base(dir))
	s.observe(index, faultStop, false)
	_ = p.cmd.Process.Signal(syscall.SIGTERM) // it has not exited: the index is claimed
	<-p.exited
	p.path = filepath.Join(dir, filepath.Base(p.path))
	p.start()
	s.observe(index, faultStop, true)
	for began := time.Now(); p.ready != "" && ctx.Err() == nil && time.Since(began) < upgradeReadyTimeout && !respondsOK(ctx, p.ready); {
		time.Sleep(pollInterval)
	}
}

// replaceBuilds replaces all processes one after the other by each of the builds in turn, until the
// context ends.
func (s *streamSoak) replaceBuilds(ctx context.Context, random *rand.Rand, builds []string) (replaced int) {
	for round := 0; ; round++ {
		for _, index := range random.Perm(len(s.controls) + len(s.gateways)) {
			select {
			case <-ctx.Done():
				return replaced
			case <-time.After(time.Duration(random.Int64N(int64(upgradePause)))):
			}
			s.replaceBuild(ctx, index, builds[round%len(builds)])
			replaced++
		}
	}
}

// TestUpgradeSoak guards against builds that do not understand each other's messages or data: a day
// begins with an older one, and processes are replaced one after the other by the current build, and
// back, beside everything that the stream soak does. Clients use their connections until these are
// closed, half of them also after a response that announces that.
func TestUpgradeSoak(t *testing.T) {
	t.Parallel()
	c := soakSettingsFromEnv(t, upgradeSoakDuration)
	commit := productionCommit
	if v := os.Getenv("GALENA_SOAK_PRODUCTION"); v != "" {
		commit = v
	}
	current, err := buildBinaries()
	require.NoError(t, err, current)
	older := buildCommit(t, commit)
	ctx, stop := context.WithCancel(t.Context())
	defer stop()
	var workers, clients, faults, upgrades sync.WaitGroup
	defer func() { // a client that outlives a failed test ends the package
		stop()
		clients.Wait()
	}()
	s := newStreamSoakFrom(t, older, c, soakRoutes)
	s.ignoreClose = true
	s.start(ctx, streamSoakServers, &workers)
	defer s.summary(c.seed)
	for gateway := range c.gateways {
		for range c.clients {
			clients.Go(func() { s.runClient(ctx, gateway, clientPause, nextRequest) })
		}
	}
	upgradeCtx, endUpgrades := context.WithCancel(ctx)
	defer endUpgrades()
	replaced := 0
	upgrades.Go(func() {
		replaced = s.replaceBuilds(upgradeCtx, rand.New(rand.NewPCG(c.seed, 4)), []string{current, older})
	})
	s.runDisturbances(ctx, rand.New(rand.NewPCG(c.seed, 2)), c.duration, &faults)
	endUpgrades()
	upgrades.Wait()
	faults.Wait()
	// A gateway takes up to its grace period: of many processes, only some can be replaced in turn.
	atLeast := min(len(s.controls)+len(s.gateways)/2, 1+int(c.duration/(gracePeriod+upgradePause)))
	require.GreaterOrEqual(t, replaced, atLeast, "processes are replaced")
	require.Eventually(t, func() bool { return s.servedSince(time.Now().Add(-servedWindow)) }, recoveryTimeout, 200*time.Millisecond, "requests are served again")
	stop()
	clients.Wait()
	workers.Wait()
}
