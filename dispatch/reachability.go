package dispatch

import "time"

// Parameters of reachability.
const (
	// pathFailureTTL is how long a failed connection counts if nothing shows otherwise.
	pathFailureTTL = 2 * time.Second
	// minReachableShare is the share of a service's servers below which an instance passes
	// requests on to others: so few servers cannot take what was meant for all.
	minReachableShare = 0.25
	// pathRecovery is the time over which an instance takes up the servers again after a cut.
	pathRecovery = time.Second
	// unreachableServers is the number of servers that a request finds unreachable before it
	// is passed on although others may be reachable.
	unreachableServers = 2
	// probeInterval is the time between probes of one unreachable server, stallProbeInterval
	// that between probes of a silent one.
	probeInterval      = 250 * time.Millisecond
	stallProbeInterval = time.Second
	// brokenPathHold is how long a connection must live to show that a server is reachable, while
	// accepted connections to servers of its service have broken, and brokenProbeInterval the time
	// between probes of one server then.
	brokenPathHold      = 500 * time.Millisecond
	brokenProbeInterval = 500 * time.Millisecond
)

// Reachability is whether an instance can open connections to one incarnation of a server, by
// what its own connections showed. Responses on old connections show nothing: these may live
// on while new ones are refused.
type Reachability struct{ failedAt, brokenAt, provenAt, probedAt time.Time }

// Failed records a connection that was not accepted when it was opened, or broke before a
// response.
func (r *Reachability) Failed(at time.Time) {
	if at.After(r.failedAt) {
		r.failedAt = at
	}
}

// Broken is Failed for a connection that was accepted: that the next one is accepted shows nothing.
func (r *Reachability) Broken(at time.Time) {
	r.Failed(at)
	if at.After(r.brokenAt) {
		r.brokenAt = at
	}
}

// Proven records that a connection opened at the given time carried a response, or was accepted and
// has lived for PathCount.ProbeHold.
func (r *Reachability) Proven(opened time.Time) {
	if opened.After(r.provenAt) {
		r.provenAt = opened
	}
}

// Probed records a probe that begins.
func (r *Reachability) Probed(now time.Time) { r.probedAt = now }

// unreachable reports whether the last connection failed, within pathFailureTTL unless
// failures are kept.
func (r *Reachability) unreachable(now time.Time, keep bool) bool {
	return r.failedAt.After(r.provenAt) && (keep || now.Sub(r.failedAt) < pathFailureTTL)
}

// broken reports whether an accepted connection has broken within pathFailureTTL and none was proven since.
func (r *Reachability) broken(now time.Time) bool {
	return r.brokenAt.After(r.provenAt) && now.Sub(r.brokenAt) < pathFailureTTL
}

// PathCount counts the servers of a service by reachability.
type PathCount struct {
	servers, unreachable, kept int
	// broken is set if an accepted connection to a server has broken.
	broken bool
	// lastFailure and lastHeard are the newest of all servers.
	lastFailure, lastHeard time.Time
}

// Add counts a server.
func (c *PathCount) Add(b *BackendState, now time.Time) {
	c.servers++
	if b.Path.unreachable(now, false) {
		c.unreachable++
	}
	if b.Path.unreachable(now, true) {
		c.kept++
	}
	c.broken = c.broken || b.Path.broken(now)
	if b.Path.failedAt.After(c.lastFailure) {
		c.lastFailure = b.Path.failedAt
	}
	if b.lastHeard.After(c.lastHeard) {
		c.lastHeard = b.lastHeard
	}
}

// Totals returns the number of servers, and of those that are unreachable.
func (c *PathCount) Totals() (servers, unreachable int) { return c.servers, c.unreachable }

// ServicePaths is what an instance knows of its paths to the servers of one service.
type ServicePaths struct {
	// cut is set while nearly no server is reachable, cutAt is when that was last so.
	cut   bool
	cutAt time.Time
	share float64
}

// Update records a count and reports whether the service has become cut, or is no longer.
//
// Failures do not age while the service is cut and a probe has failed recently: of many
// servers only few are probed.
func (s *ServicePaths) Update(c *PathCount, now time.Time) (changed bool) {
	unreachable := c.unreachable
	if s.cut && now.Sub(c.lastFailure) < pathFailureTTL {
		unreachable = c.kept
	}
	s.share = 1
	if c.servers > 0 {
		s.share = 1 - float64(unreachable)/float64(c.servers)
	}
	cut := s.share < minReachableShare
	if cut {
		s.cutAt = now
	}
	changed, s.cut = cut != s.cut, cut
	return changed
}

// Cut reports whether nearly no server of the service is reachable.
func (s *ServicePaths) Cut() bool { return s.cut }

// forwardShare returns the share of requests to pass on to other instances: all but the
// reachable share in a cut, and less and less of them for pathRecovery after it.
func (s *ServicePaths) forwardShare(now time.Time) float64 {
	if s.cutAt.IsZero() {
		return 0
	}
	recovering := 1 - float64(now.Sub(s.cutAt))/float64(pathRecovery)
	if s.cut {
		recovering = 1 - s.share/minReachableShare
	}
	return max(0, recovering)
}

// ProbeDue reports whether a connection is to be opened to a server in order to learn whether
// it is reachable: to each unreachable one in a cut or close to it, to a silent one, and to the
// others if connections to several have failed and no server has responded since.
func (c *PathCount) ProbeDue(b *BackendState, stalled bool, now time.Time) bool {
	age := now.Sub(b.Path.probedAt)
	if b.Path.unreachable(now, true) {
		interval := probeInterval
		if c.broken {
			interval = brokenProbeInterval
		}
		return age >= interval && 2*c.kept >= c.servers
	}
	if stalled && b.awaitingFirstByte > 0 {
		return age >= stallProbeInterval
	}
	suspect := c.unreachable >= min(unreachableServers, c.servers) && c.lastFailure.After(c.lastHeard)
	return suspect && age >= 2*probeInterval && now.Sub(b.Path.provenAt) >= 2*probeInterval
}

// ProbeHold returns how long the connection of a probe must live to show that the server is
// reachable; 0 if it is enough that the server accepts it.
//
// Invariant: once accepted connections have broken before a response, an accepted one proves no path,
// as what is sent on it may have run. A partition may reset connections at any time.
func (c *PathCount) ProbeHold() time.Duration {
	if c.broken {
		return brokenPathHold
	}
	return 0
}

// Peer is another entry instance that may serve a request in place of this one.
type Peer struct {
	// SameDomain is set for instances in the own failure domain, which is often cut as a whole.
	SameDomain bool
	// Forwarded is the number of requests that this instance has in progress there.
	Forwarded int
}

// peerCost is what passing a request to a peer costs, in requests in progress.
func peerCost(p *Peer) float64 {
	cost := float64(p.Forwarded)
	if p.SameDomain {
		cost += 0.5
	}
	return cost
}

// pickPeer returns the cheaper one of two peers chosen by draw in [0, 1); -1 if there is none.
// Instances that choose the cheapest of all would send to the same one.
func pickPeer(peers []Peer, draw float64) int {
	n := len(peers)
	if n == 0 {
		return -1
	}
	first := min(n-1, int(draw*float64(n)))
	second := (first + 1 + int(draw*float64(n)*float64(n-1))%max(1, n-1)) % n
	if peerCost(&peers[second]) < peerCost(&peers[first]) {
		return second
	}
	return first
}

// decidePeer returns the peer that gets the request instead of a server, -1 for none.
func (p *Policy) decidePeer(req *Request, draw float64) int {
	if len(req.Peers) == 0 || !p.Enabled(PeerForwarding) {
		return -1
	}
	share := 0.0
	if req.Paths != nil {
		share = req.Paths.forwardShare(req.Now)
	}
	if req.Unreachable >= unreachableServers || (req.Unreachable > 0 && req.Exhausted) {
		share = 1
	}
	if draw >= share {
		return -1
	}
	return pickPeer(req.Peers, draw/share)
}
