package replog

import (
	"context"
	"crypto/rand"
	"encoding/hex"
	"fmt"
	"log/slog"
	"maps"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/rotisserie/eris"

	"github.com/galenaarch/galenaarch/api/consensusv1"
	"github.com/galenaarch/galenaarch/consensus"
)

// Time constants of joining a group.
const (
	identifyTimeout  = 2 * time.Second
	identifyInterval = 200 * time.Millisecond
	announceInterval = time.Second
	// foundingWait is how long the replica that bootstraps a group waits, once all seeds have
	// responded, for as many voters as the tolerated losses require if the seeds are all
	// replicas. Otherwise it waits until that many have announced themselves.
	foundingWait = 3 * time.Second
	// leaderWait is how long a starting replica waits for a response from the
	// leader, or from all other voters, before a majority suffices.
	leaderWait = 10 * time.Second
)

// bootstrapIndex is the log index of the snapshot that bootstraps a group.
const bootstrapIndex = 1

// idRandomBytes is the length of the random part of a replica ID.
const idRandomBytes = 4

// replicaName returns the configured name in a replica ID.
func replicaName(id string) string {
	name, _, _ := strings.Cut(id, "/")
	return name
}

// loadIdentity reads the replica ID from the data directory, or writes a new ID
// to an empty one. IDs of the same name are ordered by their creation time.
func (g *Group) loadIdentity() error {
	id, err := g.store.Identity()
	if err != nil {
		return err
	}
	if id == "" {
		if len(g.durable.Entries) > 0 || g.durable.Snapshot != nil {
			return eris.Errorf("%s holds a log without an identity", g.settings.Dir)
		}
		if g.settings.DynamicMembership && g.settings.MayBootstrap && g.isFirstSeed() {
			if err := g.store.MarkFounder(); err != nil {
				return err
			}
		}
		var random [idRandomBytes]byte
		if _, err := rand.Read(random[:]); err != nil {
			return eris.Wrap(err, "generate replica ID")
		}
		id = fmt.Sprintf("%s/%016x%s", g.settings.Name, time.Now().UnixNano(), hex.EncodeToString(random[:]))
		if err := g.store.SetIdentity(id); err != nil {
			return err
		}
	}
	if replicaName(id) != g.settings.Name {
		return eris.Errorf("%s belongs to replica %s", g.settings.Dir, replicaName(id))
	}
	g.id = id
	g.founder, err = g.store.IsFounder()
	return err
}

// isFirstSeed reports whether this replica is the first of the seeds.
func (g *Group) isFirstSeed() bool {
	return len(g.settings.Replicas) > 0 && g.settings.Replicas[0].URL == g.ownURL()
}

// ID returns the ID of this replica, which is unique to its data directory.
func (g *Group) ID() string { return g.id }

func (g *Group) ownURL() string {
	if g.settings.URL != "" {
		return g.settings.URL
	}
	for _, p := range g.settings.Replicas {
		if p.Name == g.settings.Name {
			return p.URL
		}
	}
	return ""
}

// join returns once this replica may take part in the group. A replica with a
// log first checks with a majority that its data directory is not older than
// what it acknowledged. One with an empty data directory joins as a learner,
// except for the first replica of the settings, which bootstraps the group if
// no other replica knows of one.
func (g *Group) join(ctx context.Context) error {
	if len(g.node.Membership().Members) > 0 {
		if err := g.checkDataDir(ctx); err != nil || !g.settings.DynamicMembership {
			return err
		}
		g.startAnnouncing(ctx)
		return nil
	}
	if !g.mayBootstrap() {
		g.startAnnouncing(ctx)
		return nil
	}
	var waitingSince time.Time
	delay := foundingDelay{since: time.Now(), nextLog: firstOutageLog}
	for ctx.Err() == nil {
		responses := g.identifyPeers(ctx, g.settings.Replicas)
		for _, r := range responses {
			if len(r.Membership.GetMembers()) > 0 {
				g.startAnnouncing(ctx)
				return nil
			}
		}
		if len(responses) == len(g.settings.Replicas)-1 {
			if waitingSince.IsZero() {
				waitingSince = time.Now()
			}
			founders := g.founders(responses)
			if len(founders) >= g.requiredVoters() || (g.seedsAreAll() && time.Since(waitingSince) >= foundingWait) {
				return g.found(ctx, founders)
			}
		}
		delay.observe(g, responses)
		sleepContext(ctx, identifyInterval)
	}
	return ctx.Err()
}

// fullSeeds is the number of seeds from which on there may be more replicas than seeds.
const fullSeeds = 3

// seedsAreAll reports whether the settings name all replicas of the first start.
func (g *Group) seedsAreAll() bool { return len(g.settings.Replicas) < fullSeeds }

// found bootstraps the group with the founders as its voters. Invariant: a group that may lose
// ToleratedLosses disks has that many voters, and as many again and one, before it acknowledges a
// change, unless fewer replicas exist. A majority of fewer voters may be lost with these disks.
func (g *Group) found(ctx context.Context, founders []*consensusv1.Member) error {
	if len(founders) < g.requiredVoters() {
		g.logger.Warn("group is bootstrapped with fewer voters than the tolerated losses require",
			slog.Int("voters", len(founders)), slog.Int("required", g.requiredVoters()))
	}
	if err := g.bootstrap(founders); err != nil {
		return err
	}
	if g.settings.DynamicMembership {
		g.startAnnouncing(ctx)
	}
	return nil
}

// requiredVoters is the number of voters with which the group survives the tolerated losses.
// Without dynamic membership, the settings list the voters.
func (g *Group) requiredVoters() int {
	if !g.settings.DynamicMembership {
		return len(g.settings.Replicas)
	}
	return max(len(g.settings.Replicas), g.settings.votersForLosses())
}

// founders lists this replica, the other seeds and, with dynamic membership, all replicas
// with an empty data directory that have identified themselves of late.
func (g *Group) founders(responses map[string]*consensusv1.IdentifyResponse) []*consensusv1.Member {
	members := []*consensusv1.Member{{Id: g.id, Url: g.ownURL()}}
	for _, p := range g.settings.Replicas {
		if r := responses[p.key()]; r != nil {
			members = append(members, &consensusv1.Member{Id: r.Id, Url: p.URL})
		}
	}
	if !g.settings.DynamicMembership {
		return members
	}
	for _, c := range g.newcomers.recent(time.Now()) {
		if !slices.ContainsFunc(members, func(m *consensusv1.Member) bool { return m.Url == c.url }) {
			members = append(members, &consensusv1.Member{Id: c.id, Url: c.url})
		}
	}
	return members
}

// newcomer is a replica with an empty data directory that has identified itself.
type newcomer struct {
	id, url string
	seenAt  time.Time
}

// newcomers holds the newcomers by URL.
type newcomers struct {
	// mu guards byURL.
	mu    sync.Mutex
	byURL map[string]newcomer
}

const (
	// newcomerMaxAge is the age from which a newcomer counts as gone. It exceeds the time
	// between two announcements of a replica to which a seed does not respond.
	newcomerMaxAge = identifyTimeout + 5*identifyInterval
	// maxNewcomers bounds the newcomers that are remembered.
	maxNewcomers = 64
)

// observe records that a replica has identified itself.
func (n *newcomers) observe(r *consensusv1.IdentifyRequest) {
	if r.Id == "" || r.Url == "" || r.LastIndex > 0 {
		return
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.byURL == nil {
		n.byURL = make(map[string]newcomer)
	}
	if _, known := n.byURL[r.Url]; !known && len(n.byURL) >= maxNewcomers {
		return
	}
	n.byURL[r.Url] = newcomer{id: r.Id, url: r.Url, seenAt: time.Now()}
}

// recent lists the newcomers that were seen within newcomerMaxAge, by URL.
func (n *newcomers) recent(now time.Time) []newcomer {
	n.mu.Lock()
	defer n.mu.Unlock()
	var list []newcomer
	for _, url := range slices.Sorted(maps.Keys(n.byURL)) {
		if now.Sub(n.byURL[url].seenAt) > newcomerMaxAge {
			delete(n.byURL, url)
			continue
		}
		list = append(list, n.byURL[url])
	}
	return list
}

// startAnnouncing runs announce in the background.
func (g *Group) startAnnouncing(ctx context.Context) {
	g.wg.Add(1)
	go g.announce(ctx)
}

// leaderWait returns the configured or default wait for the leader's response.
func (g *Group) leaderWait() time.Duration {
	if g.settings.LeaderWait == 0 {
		return leaderWait
	}
	return g.settings.LeaderWait
}

// mayBootstrap reports whether this replica may bootstrap the group. With dynamic membership
// that is the first seed of the first start, as long as it keeps its disk: also if it
// restarts before it has done so, when its settings no longer say so.
func (g *Group) mayBootstrap() bool {
	if g.settings.DynamicMembership {
		return g.founder
	}
	return g.settings.Replicas[0].Name == g.settings.Name
}

// isSelf reports whether a configured peer is this replica.
func (g *Group) isSelf(p Peer) bool {
	return p.Name == g.settings.Name || (p.Name == "" && p.URL == g.ownURL())
}

// key identifies a peer among responses by its name, or by its URL for a seed,
// which has no name.
func (p Peer) key() string {
	if p.Name == "" {
		return p.URL
	}
	return p.Name
}

func sleepContext(ctx context.Context, d time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(d):
	}
}

// bootstrap writes the initial membership of a new group. Invariant: a single
// replica does this once, and only after all other configured replicas
// responded that they know of no group.
func (g *Group) bootstrap(founders []*consensusv1.Member) error {
	m := &consensusv1.Membership{Members: founders}
	if err := g.machine.Restore(nil); err != nil {
		return eris.Wrap(err, "initial state")
	}
	state, err := g.machine.Snapshot()
	if err != nil {
		return eris.Wrap(err, "encode initial state")
	}
	meta := &consensusv1.SnapshotMeta{Index: bootstrapIndex, Term: 1, Membership: m, Bytes: uint64(len(state))}
	w, err := g.store.NewSnapshotWriter(meta)
	if err != nil {
		return err
	}
	if err := w.Write(state); err != nil {
		return err
	}
	if err := g.store.Compact(w, nil); err != nil {
		return err
	}
	g.durable = consensus.DurableState{Snapshot: meta}
	g.logger.Info("group bootstrapped", slog.Any("replicas", m.Members))
	g.bootstrapped = true
	return g.createNode()
}

// identifyPeers sends an identify request to the other replicas, records the URLs of
// those that respond and returns the responses by peer key. Peers that do not respond
// are left out.
func (g *Group) identifyPeers(ctx context.Context, peers []Peer) map[string]*consensusv1.IdentifyResponse {
	type peerResponse struct {
		key      string
		response *consensusv1.IdentifyResponse
	}
	responses := make(chan peerResponse, len(peers))
	requests := 0
	s := g.Status()
	req := &consensusv1.IdentifyRequest{
		Group: g.settings.Group, Name: g.settings.Name, Id: g.id, Url: g.ownURL(), Term: s.Term, LastIndex: s.LastIndex,
	}
	ctx, cancel := context.WithTimeout(ctx, identifyTimeout)
	defer cancel()
	for _, p := range peers {
		if g.isSelf(p) {
			continue
		}
		requests++
		go func() {
			r, err := consensusv1.NewConsensusProtobufClient(p.URL, g.settings.Client).Identify(ctx, req)
			if err != nil {
				r = nil
			}
			responses <- peerResponse{p.key(), r}
		}()
	}
	byKey := make(map[string]*consensusv1.IdentifyResponse)
	for range requests {
		if r := <-responses; r.response != nil {
			byKey[r.key] = r.response
			g.addresses.Store(r.response.Id, r.response.Url)
		}
	}
	return byKey
}

// checkDataDir verifies with the other voters that the data directory holds
// everything that this replica has acknowledged.
func (g *Group) checkDataDir(ctx context.Context) error {
	if g.settings.LeaderWait < 0 {
		return nil
	}
	s := g.Status()
	check := newDataDirCheck(g.id, s.Membership, g.leaderWait())
	startedAt := time.Now()
	for ctx.Err() == nil {
		for id, r := range g.identifyPeers(ctx, check.peers) {
			if r.SeenTerm > s.Term || r.SeenIndex > s.LastIndex {
				return eris.Wrapf(ErrStaleDataDir, "term %d and entry %d on disk, %s has seen term %d and entry %d", s.Term, s.LastIndex, id, r.SeenTerm, r.SeenIndex)
			}
			check.addResponse(id, r)
		}
		if check.sufficient(time.Since(startedAt)) {
			return nil
		}
		sleepContext(ctx, identifyInterval)
	}
	return ctx.Err()
}

// announce periodically asks the other replicas to admit this one until it is a
// member, or to found a group with it. With dynamic membership it continues as long as the replica runs, so
// that one that was removed after a long silence is admitted again.
func (g *Group) announce(ctx context.Context) {
	defer g.wg.Done()
	learnedPeers := make(map[string]Peer)
	for interval := identifyInterval; ctx.Err() == nil; sleepContext(ctx, interval) {
		s := g.Status()
		if len(s.Membership.Members) > 0 {
			interval = announceInterval
			if !g.settings.DynamicMembership {
				return
			}
			if s.Leader != "" {
				continue
			}
		}
		for _, r := range g.identifyPeers(ctx, g.knownPeers(s.Membership, learnedPeers)) {
			for _, m := range r.Membership.GetMembers() {
				learnedPeers[m.Url] = Peer{URL: m.Url}
			}
		}
	}
}

// knownPeers returns the seeds and all members seen so far, since the seeds may
// no longer exist when a replica returns.
func (g *Group) knownPeers(m *consensusv1.Membership, learnedPeers map[string]Peer) []Peer {
	peers := g.settings.Replicas
	if !g.settings.DynamicMembership {
		return peers
	}
	peers = slices.Clone(peers)
	add := func(p Peer) {
		if !slices.ContainsFunc(peers, func(q Peer) bool { return q.URL == p.URL }) {
			peers = append(peers, p)
		}
	}
	for _, r := range m.GetMembers() {
		add(Peer{URL: r.Url})
	}
	for _, url := range slices.Sorted(maps.Keys(learnedPeers)) {
		add(learnedPeers[url])
	}
	return peers
}

// Identify responds to a replica that starts or announces itself. It returns this
// replica's identity, the membership, and the term and index that it has seen of the
// other replica. It also records the other replica's URL, and on the leader adds that
// replica as a learner if it may join.
func (g *Group) Identify(ctx context.Context, r *consensusv1.IdentifyRequest) *consensusv1.IdentifyResponse {
	shared := g.shared.Load()
	s := shared.status
	if r.Id != "" && r.Url != "" {
		g.addresses.Store(r.Id, r.Url)
	}
	g.newcomers.observe(r)
	if s.Role == consensus.RoleLeader {
		g.admit(ctx, r)
	}
	response := &consensusv1.IdentifyResponse{
		Id: g.id, Url: g.ownURL(), SeenTerm: shared.peerTerms[r.Id], Leader: s.Role == consensus.RoleLeader,
	}
	if len(s.Membership.GetMembers()) > 0 {
		response.Membership = s.Membership
	}
	// Only committed entries count as seen: others may have been overwritten
	// since.
	response.SeenIndex = min(s.MatchIndex[r.Id], s.CommitIndex)
	return response
}

// admit adds a replica as a learner if it may join.
func (g *Group) admit(ctx context.Context, r *consensusv1.IdentifyRequest) {
	if !g.canAdmit(r) {
		return
	}
	if err := g.AddReplica(ctx, r.Id, r.Url); err != nil {
		g.logger.Info("failed to admit replica", slog.String("replica", r.Id), slog.Any("error", err))
	}
}

// canAdmit reports whether a replica may join as a learner. That is one with an
// empty data directory that replaces an older member of the same name, and with
// dynamic membership also one with a new name or one that was removed.
func (g *Group) canAdmit(r *consensusv1.IdentifyRequest) bool {
	if r.Id == "" || replicaName(r.Id) != r.Name || (r.LastIndex > 0 && !g.settings.DynamicMembership) {
		return false
	}
	replaces := false
	for _, m := range g.Status().Membership.Members {
		if m.Id == r.Id {
			return false
		}
		if replicaName(m.Id) == r.Name {
			if m.Id > r.Id {
				return false
			}
			replaces = true
		}
	}
	return replaces || g.settings.DynamicMembership
}
