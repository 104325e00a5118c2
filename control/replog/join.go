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
	"time"

	"github.com/rotisserie/eris"

	"github.com/galenaarch/galenaarch/api/consensusv1"
	"github.com/galenaarch/galenaarch/consensus"
)

// Times of joining.
const (
	askTimeout    = 2 * time.Second
	askInterval   = 200 * time.Millisecond
	announceEvery = time.Second
	// leaderWait is how long a starting replica waits to hear from the leader,
	// or from all other voters, before a majority is enough.
	leaderWait = 10 * time.Second
)

// foundingIndex is the place of the snapshot that begins a group.
const foundingIndex = 1

// identityBytes is the random part of an identity.
const identityBytes = 4

// nameOf is the settings' name of a replica's identity.
func nameOf(id string) string {
	name, _, _ := strings.Cut(id, "/")
	return name
}

// identify reads the identity of the folder, or gives an empty one a new
// identity. Identities of one name rise with the time of their making.
func (g *Group) identify() error {
	id, err := g.store.Identity()
	if err != nil {
		return err
	}
	if id == "" {
		if len(g.durable.Entries) > 0 || g.durable.Snapshot != nil {
			return eris.Errorf("%s holds a log without an identity", g.settings.Dir)
		}
		var random [identityBytes]byte
		if _, err := rand.Read(random[:]); err != nil {
			return eris.Wrap(err, "random part of identity")
		}
		id = fmt.Sprintf("%s/%016x%s", g.settings.Name, time.Now().UnixNano(), hex.EncodeToString(random[:]))
		if err := g.store.SetIdentity(id); err != nil {
			return err
		}
	}
	if nameOf(id) != g.settings.Name {
		return eris.Errorf("%s belongs to replica %s", g.settings.Dir, nameOf(id))
	}
	g.id = id
	return nil
}

// ID is the identity of this replica's disk.
func (g *Group) ID() string { return g.id }

func (g *Group) url() string {
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

// join returns once this replica may take part. A replica with a log first
// hears from a majority that its disk is not older than what it acknowledged.
// One with an empty disk takes part as a new replica that has no vote, but for
// the first of the settings, which founds the group if nobody knows of one.
func (g *Group) join(ctx context.Context) error {
	if len(g.node.Membership().Members) > 0 {
		if err := g.checkDisk(ctx); err != nil || !g.settings.Open {
			return err
		}
		g.beginAnnouncing(ctx)
		return nil
	}
	if !g.founder() {
		g.beginAnnouncing(ctx)
		return nil
	}
	for ctx.Err() == nil {
		answers := g.askAll(ctx, g.settings.Replicas)
		for _, a := range answers {
			if len(a.Membership.GetMembers()) > 0 {
				g.beginAnnouncing(ctx)
				return nil
			}
		}
		if len(answers) == len(g.settings.Replicas)-1 {
			if err := g.found(answers); err != nil {
				return err
			}
			if g.settings.Open {
				g.beginAnnouncing(ctx)
			}
			return nil
		}
		pause(ctx, askInterval)
	}
	return ctx.Err()
}

func (g *Group) beginAnnouncing(ctx context.Context) {
	g.wg.Add(1)
	go g.announce(ctx)
}

// leaderWait is how long a starting replica waits for the leader's word.
func (g *Group) leaderWait() time.Duration {
	if g.settings.LeaderWait == 0 {
		return leaderWait
	}
	return g.settings.LeaderWait
}

// founder reports whether this replica is the one that may found the group.
func (g *Group) founder() bool {
	if g.settings.Open {
		return g.settings.MayFound && len(g.settings.Replicas) > 0 && g.settings.Replicas[0].URL == g.url()
	}
	return g.settings.Replicas[0].Name == g.settings.Name
}

// isSelf reports whether a peer of the settings is this replica.
func (g *Group) isSelf(p Peer) bool {
	return p.Name == g.settings.Name || (p.Name == "" && p.URL == g.url())
}

// key names a peer among answers: seeds have no names.
func (p Peer) key() string {
	if p.Name == "" {
		return p.URL
	}
	return p.Name
}

func pause(ctx context.Context, d time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(d):
	}
}

// found writes the membership of a new group. Invariant: one replica alone
// does this, once, and only if all others answered that they know of no group.
func (g *Group) found(answers map[string]*consensusv1.IdentifyResponse) error {
	m := &consensusv1.Membership{Members: []*consensusv1.Member{{Id: g.id, Url: g.url()}}}
	for _, p := range g.settings.Replicas[1:] {
		m.Members = append(m.Members, &consensusv1.Member{Id: answers[p.key()].Id, Url: p.URL})
	}
	if err := g.machine.Restore(nil); err != nil {
		return eris.Wrap(err, "initial state")
	}
	state, err := g.machine.Encode()
	if err != nil {
		return eris.Wrap(err, "encode initial state")
	}
	meta := &consensusv1.SnapshotMeta{Index: foundingIndex, Term: 1, Membership: m, Bytes: uint64(len(state))}
	w, err := g.store.NewSnapshot(meta)
	if err != nil {
		return err
	}
	if err := w.Write(state); err != nil {
		return err
	}
	if err := g.store.Compact(w, nil); err != nil {
		return err
	}
	g.durable = consensus.Durable{Snapshot: meta}
	g.logger.Info("group founded", slog.Any("replicas", m.Members))
	return g.rebuild()
}

// askAll asks the other replicas who they are; the answers are by name.
func (g *Group) askAll(ctx context.Context, peers []Peer) map[string]*consensusv1.IdentifyResponse {
	type answer struct {
		name     string
		response *consensusv1.IdentifyResponse
	}
	answers := make(chan answer, len(peers))
	asked := 0
	s := g.Status()
	req := &consensusv1.IdentifyRequest{
		Group: g.settings.Group, Name: g.settings.Name, Id: g.id, Url: g.url(), Term: s.Term, LastIndex: s.Last,
	}
	ctx, cancel := context.WithTimeout(ctx, askTimeout)
	defer cancel()
	for _, p := range peers {
		if g.isSelf(p) {
			continue
		}
		asked++
		go func() {
			r, err := consensusv1.NewConsensusProtobufClient(p.URL, g.settings.Client).Identify(ctx, req)
			if err != nil {
				r = nil
			}
			answers <- answer{p.key(), r}
		}()
	}
	found := make(map[string]*consensusv1.IdentifyResponse)
	for range asked {
		if a := <-answers; a.response != nil {
			found[a.name] = a.response
			g.addresses.Store(a.response.Id, a.response.Url)
		}
	}
	return found
}

// checkDisk asks the voters what they know this replica to have acknowledged.
func (g *Group) checkDisk(ctx context.Context) error {
	if g.settings.LeaderWait < 0 {
		return nil
	}
	s := g.Status()
	hearing := newHearing(g.id, s.Membership, g.leaderWait())
	began := time.Now()
	for ctx.Err() == nil {
		for id, a := range g.askAll(ctx, hearing.peers) {
			if a.SeenTerm > s.Term || a.SeenIndex > s.Last {
				return eris.Wrapf(ErrOldDisk, "term %d and entry %d on disk, %s has seen term %d and entry %d", s.Term, s.Last, id, a.SeenTerm, a.SeenIndex)
			}
			hearing.take(id, a)
		}
		if hearing.enough(time.Since(began)) {
			return nil
		}
		pause(ctx, askInterval)
	}
	return ctx.Err()
}

// announce asks the other replicas to take this one in, until it belongs to
// the group. In an open group it goes on for as long as the replica lives: one
// that was dropped after a long silence is taken in again.
func (g *Group) announce(ctx context.Context) {
	defer g.wg.Done()
	learned := make(map[string]Peer)
	for ctx.Err() == nil {
		pause(ctx, announceEvery)
		s := g.Status()
		if len(s.Membership.Members) > 0 {
			if !g.settings.Open {
				return
			}
			if s.Leader != "" {
				continue
			}
		}
		for _, a := range g.askAll(ctx, g.acquaintances(s.Membership, learned)) {
			for _, m := range a.Membership.GetMembers() {
				learned[m.Url] = Peer{URL: m.Url}
			}
		}
	}
}

// acquaintances are the seeds and all members that were ever heard of: seeds
// may be gone when a replica comes back.
func (g *Group) acquaintances(m *consensusv1.Membership, learned map[string]Peer) []Peer {
	peers := g.settings.Replicas
	if !g.settings.Open {
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
	for _, url := range slices.Sorted(maps.Keys(learned)) {
		add(learned[url])
	}
	return peers
}

// Identify answers another replica that starts.
func (g *Group) Identify(ctx context.Context, r *consensusv1.IdentifyRequest) *consensusv1.IdentifyResponse {
	k := g.known.Load()
	s := k.status
	if r.Id != "" && r.Url != "" {
		g.addresses.Store(r.Id, r.Url)
	}
	if s.Role == consensus.RoleLeader {
		g.takeIn(ctx, r)
	}
	response := &consensusv1.IdentifyResponse{
		Id: g.id, Url: g.url(), SeenTerm: k.seenTerm[r.Id], Leader: s.Role == consensus.RoleLeader,
	}
	if len(s.Membership.GetMembers()) > 0 {
		response.Membership = s.Membership
	}
	// An entry counts as seen if it is committed; others may have been
	// replaced since.
	response.SeenIndex = min(s.Match[r.Id], s.Commit)
	return response
}

// takeIn makes a replica with an emptied disk a learner in place of the one of
// its name.
func (g *Group) takeIn(ctx context.Context, r *consensusv1.IdentifyRequest) {
	if !g.admissible(r) {
		return
	}
	if err := g.AddReplica(ctx, r.Id, r.Url); err != nil {
		g.logger.Info("replica not yet taken in", slog.String("replica", r.Id), slog.Any("error", err))
	}
}

// admissible reports whether an asking replica may become a learner: one that
// begins with an empty folder in the place of an older one of its name, and in
// an open group also one of a new name or one that was dropped.
func (g *Group) admissible(r *consensusv1.IdentifyRequest) bool {
	if r.Id == "" || nameOf(r.Id) != r.Name || (r.LastIndex > 0 && !g.settings.Open) {
		return false
	}
	replaces := false
	for _, m := range g.Status().Membership.Members {
		if m.Id == r.Id {
			return false
		}
		if nameOf(m.Id) == r.Name {
			if m.Id > r.Id {
				return false
			}
			replaces = true
		}
	}
	return replaces || g.settings.Open
}
