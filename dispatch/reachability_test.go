package dispatch

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// pathTest is a service of which some servers are reachable.
type pathTest struct {
	servers []BackendState
	paths   ServicePaths
	now     time.Time
}

func newPathTest(n int) *pathTest {
	p := &pathTest{now: time.Unix(1000, 0)}
	for range n {
		p.servers = append(p.servers, NewBackendState(BackendInfo{}, p.now))
	}
	return p
}

func (p *pathTest) update() (c PathCount, changed bool) {
	for i := range p.servers {
		c.Add(&p.servers[i], p.now)
	}
	return c, p.paths.Update(&c, p.now)
}

func (p *pathTest) fail(from, to int) {
	for i := from; i < to; i++ {
		p.servers[i].Path.Failed(p.now)
	}
}

func (p *pathTest) request() *Request {
	return &Request{Paths: &p.paths, Now: p.now, Peers: make([]Peer, 3)}
}

// TestRequestsStayWhileServersAreReachable guards against requests that are passed on since some
// servers have failed.
func TestRequestsStayWhileServersAreReachable(t *testing.T) {
	p := newPathTest(8)
	p.fail(0, 6)
	_, changed := p.update()
	require.False(t, changed)
	require.Equal(t, -1, (&Policy{}).decidePeer(p.request(), 0))
}

// TestAllRequestsArePassedOnWithoutServers guards against an instance that keeps requests although
// it reaches no server, and against one that takes up all of them in the moment the cut ends.
func TestAllRequestsArePassedOnWithoutServers(t *testing.T) {
	p := newPathTest(8)
	p.fail(0, 8)
	_, changed := p.update()
	require.True(t, changed)
	passedOn := func() (n int) {
		for i := range 100 {
			if (&Policy{}).decidePeer(p.request(), float64(i)/100) >= 0 {
				n++
			}
		}
		return n
	}
	require.Equal(t, 100, passedOn())
	p.now = p.now.Add(time.Second)
	for i := range p.servers {
		p.servers[i].Path.Proven(p.now)
	}
	cutAt := p.now.Add(-time.Second)
	_, changed = p.update()
	require.True(t, changed)
	for _, age := range []time.Duration{0, 250, 500, 1000} {
		p.now = cutAt.Add(age * time.Millisecond)
		require.InDelta(t, 100-int(age)/10, passedOn(), 1)
	}
}

// TestFailedConnectionIsForgotten guards against a server that counts as unreachable for good since
// no request has been sent to it: without a cut a failure ages. In a cut of many servers, of which
// few are probed at a time, it does not while probes fail.
func TestFailedConnectionIsForgotten(t *testing.T) {
	p := newPathTest(8)
	p.fail(0, 6)
	p.now = p.now.Add(pathFailureTTL)
	c, _ := p.update()
	_, unreachable := c.Totals()
	require.Zero(t, unreachable)

	p.fail(0, 8)
	p.update()
	for range 5 {
		p.now = p.now.Add(pathFailureTTL / 2)
		p.fail(0, 1)
		p.update()
		require.True(t, p.paths.Cut())
	}
	p.now = p.now.Add(pathFailureTTL)
	p.update()
	require.False(t, p.paths.Cut(), "no probe has failed lately")
}

// TestSoundServersAreNotProbed guards against probes on a calm day, and after the end of single
// servers.
func TestSoundServersAreNotProbed(t *testing.T) {
	p := newPathTest(8)
	c, _ := p.update()
	require.False(t, c.ProbeDue(&p.servers[0], false, p.now))
	p.fail(0, 2)
	p.now = p.now.Add(time.Millisecond)
	p.servers[5].Responded(p.now)
	c, _ = p.update()
	for i := range p.servers {
		require.False(t, c.ProbeDue(&p.servers[i], false, p.now), "server %d", i)
	}
}

// TestServersAreProbedWhenConnectionsFail guards against a cut that is learned of only request by
// request: once connections to several servers have failed, and nothing has been heard since, the
// others are probed.
func TestServersAreProbedWhenConnectionsFail(t *testing.T) {
	p := newPathTest(8)
	p.now = p.now.Add(time.Millisecond)
	p.fail(0, 2)
	c, _ := p.update()
	require.True(t, c.ProbeDue(&p.servers[5], false, p.now))
	p.servers[5].Path.Probed(p.now)
	require.False(t, c.ProbeDue(&p.servers[5], false, p.now.Add(probeInterval/2)))
}

// TestResponseOnOldConnectionProvesNoPath guards against a server that counts as reachable because
// a connection from before the cut lives on.
func TestResponseOnOldConnectionProvesNoPath(t *testing.T) {
	p := newPathTest(1)
	opened := p.now
	p.now = p.now.Add(time.Second)
	p.fail(0, 1)
	p.servers[0].Path.Proven(opened)
	p.update()
	require.True(t, p.paths.Cut())
}

// TestPeersShareForwardedRequests guards against instances that all choose the same peer.
func TestPeersShareForwardedRequests(t *testing.T) {
	peers, chosen := make([]Peer, 4), make(map[int]int)
	for i := range 1000 {
		chosen[pickPeer(peers, float64(i)/1000)]++
	}
	for i := range peers {
		require.InDelta(t, 250, chosen[i], 5)
	}
	peers[2].Forwarded = 5
	for i := range 1000 {
		if pickPeer(peers, float64(i)/1000) == 2 {
			chosen[-1]++
		}
	}
	require.Zero(t, chosen[-1])
	require.Equal(t, -1, pickPeer(nil, 0.5))
}

// TestAcceptedConnectionThatBrokeIsDoubted guards against a partition that accepts connections and resets
// them later, and passes for a path as soon as it accepts the next one.
func TestAcceptedConnectionThatBrokeIsDoubted(t *testing.T) {
	p := newPathTest(3)
	p.fail(0, 3)
	c, _ := p.update()
	require.Zero(t, c.ProbeHold(), "connections are refused")

	p.servers[0].Path.Broken(p.now)
	c, _ = p.update()
	hold := c.ProbeHold()
	require.Positive(t, hold)
	p.servers[1].Path.Probed(p.now)
	require.False(t, c.ProbeDue(&p.servers[1], false, p.now.Add(hold-1)), "the probe before may be in progress")
	require.True(t, c.ProbeDue(&p.servers[1], false, p.now.Add(hold)))

	p.servers[0].Path.Proven(p.now.Add(1))
	c, _ = p.update()
	require.Zero(t, c.ProbeHold(), "a connection opened since has carried a response")

	p.servers[0].Path.Broken(p.now.Add(2))
	p.now = p.now.Add(2 + pathFailureTTL)
	c, _ = p.update()
	require.Zero(t, c.ProbeHold(), "long ago")
}

// TestOlderProbeEndsNoRest guards against requests to a server whose connections fail, because a probe that
// began before the last failure has ended well.
func TestOlderProbeEndsNoRest(t *testing.T) {
	now := time.Unix(1000, 0)
	b := NewBackendState(BackendInfo{}, now)
	b.Path.Broken(now.Add(time.Millisecond))
	b.Failed(true, now.Add(time.Millisecond))
	b.Reached(now, now.Add(2*time.Millisecond))
	require.True(t, b.CoolingDown(now.Add(2*time.Millisecond)))
	b.Reached(now.Add(2*time.Millisecond), now.Add(3*time.Millisecond))
	require.False(t, b.CoolingDown(now.Add(3*time.Millisecond)))
}
