package replog

import (
	"context"
	"errors"
	"log/slog"
	"math/rand/v2"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rotisserie/eris"

	"github.com/galenaarch/galenaarch/api/consensusv1"
	"github.com/galenaarch/galenaarch/consensus"
	"github.com/galenaarch/galenaarch/storage"
)

// proposal is a command that waits to be appended to the log.
type proposal struct {
	command []byte
	// term is the leader's term in which the command was timestamped.
	term uint64
	done chan proposalResult
}

// proposalResult is the result of a proposal, or the reason of its failure.
type proposalResult struct {
	result any
	err    error
}

// termClock provides the log time during one leader's term. It starts at baseMS
// at the moment startedAt and advances with the monotonic clock. Invariant:
// baseMS is read after all entries of earlier terms are applied, so log time
// never decreases and runs no faster than the leader's clock.
type termClock struct {
	term      uint64
	baseMS    int64
	startedAt time.Time
}

func (c *termClock) now() int64 { return c.baseMS + time.Since(c.startedAt).Milliseconds() }

// sharedStatus is the state of the node that other goroutines may read, as of
// the last tick or leader change.
type sharedStatus struct {
	status    consensus.Status
	peerTerms map[string]uint64
}

// Group is a replica of one replicated log.
type Group struct {
	settings Settings
	machine  StateMachine
	logger   *slog.Logger
	store    *storage.Store
	id       string
	durable  consensus.DurableState
	node     *consensus.Node
	net      *transport

	queues
	counters
	newcomers newcomers
	// founder is true if this replica may bootstrap the group.
	founder bool
	// bootstrapped is set by the replica that bootstrapped the group, before its loop starts.
	bootstrapped bool
	stages       *startStages
	outage       outage
	refusedReads refusals

	// openedAt is the index of the last entry that was durable when the log was opened, or
	// the group was joined; appliedIndex is that of the last entry that the state machine
	// has applied.
	openedAt, appliedIndex atomic.Uint64

	termClock atomic.Pointer[termClock]
	shared    atomic.Pointer[sharedStatus]
	failure   atomic.Pointer[error]

	// addresses maps the ID of each replica that identified itself to its base
	// URL. It is used until the log contains a membership.
	addresses sync.Map

	pendingProposals pendingProposals
	// leaderChanged is notified when the leader or the term clock changes.
	leaderChanged broadcast

	stop context.CancelFunc
	wg   sync.WaitGroup
	// ended is closed once the loop has ended: nothing is executed from then on.
	ended chan struct{}
}

// Open opens the data directory of a replica. From then on the replica responds to
// Identify; it takes part in the group once it is started.
func Open(s Settings, machine StateMachine) (*Group, error) {
	if s.SnapshotThreshold == 0 {
		s.SnapshotThreshold = snapshotEntries
	}
	if s.Files == nil {
		s.Files = storage.OSFiles{}
	}
	logger := s.Logger.With(slog.String("group", s.Group))
	stages := newStartStages(logger)
	store, durable, err := storage.OpenStoreOn(s.Files, s.Dir)
	if err != nil {
		return nil, eris.Wrapf(err, "open log of group %s", s.Group)
	}
	g := &Group{settings: s, machine: machine, logger: logger, store: store, queues: newQueues(), stages: stages, ended: make(chan struct{})}
	if durable.LeftoversError != nil {
		g.logger.Warn("unfinished files remain", slog.Any("error", durable.LeftoversError))
	}
	g.durable = consensus.DurableState{HardState: durable.HardState, Snapshot: durable.Snapshot, Entries: durable.Entries}
	if err := g.loadIdentity(); err != nil {
		store.Close()
		return nil, err
	}
	if err := g.restoreSnapshot(); err != nil {
		store.Close()
		return nil, err
	}
	if err := g.createNode(); err != nil {
		store.Close()
		return nil, err
	}
	stages.reach(StageOpen)
	return g, nil
}

// restoreSnapshot loads the newest snapshot into the state machine.
func (g *Group) restoreSnapshot() error {
	var state []byte
	if r := g.store.LatestSnapshot(); r != nil {
		var err error
		if state, err = r.ReadAll(); err != nil {
			return eris.Wrap(err, "read snapshot")
		}
	}
	return eris.Wrap(g.machine.Restore(state), "restore state")
}

// createNode creates the consensus node from the durable state.
func (g *Group) createNode() error {
	node, err := consensus.New(consensus.Config{
		Group: g.settings.Group, ID: g.id, ElectionTicks: electionTicks, HeartbeatTicks: heartbeatTicks,
		MaxInflight: maxInflight, MaxAppendBytes: maxAppendBytes, MaxUncommittedBytes: maxUncommittedBytes,
		MaxPromotionLag: maxPromotionLag, Rand: rand.IntN,
	}, g.durable)
	if err != nil {
		return eris.Wrapf(err, "log in %s", g.settings.Dir)
	}
	g.node = node
	g.publishStatus(nil)
	g.openedAt.Store(g.Status().LastIndex)
	g.appliedIndex.Store(g.Status().SnapshotIndex)
	return nil
}

// CaughtUp reports whether the state machine includes every committed entry that was
// durable here when the log was opened. Entries behind the durable commit index are
// applied only once a leader has confirmed them, and until then the state may be older
// than what this replica has acknowledged.
func (g *Group) CaughtUp() bool {
	// A log that is shorter now was truncated: the entries removed were never committed.
	return g.appliedIndex.Load() >= min(g.openedAt.Load(), g.Status().LastIndex)
}

// Start starts to join the group in the background. The replica runs until ctx ends or
// Stop or Kill is called. It always returns nil; if joining fails, Err returns the
// reason.
func (g *Group) Start(ctx context.Context) error {
	ctx, g.stop = context.WithCancel(ctx)
	newClient := g.settings.NewPeerClient
	if newClient == nil {
		newClient = func() *http.Client { return g.settings.Client }
	}
	g.net = newTransport(ctx, newClient)
	g.wg.Add(2)
	go g.apply(ctx)
	go func() {
		defer g.wg.Done()
		defer close(g.ended)
		if err := g.join(ctx); err != nil {
			g.Fail(err)
			return
		}
		g.stages.reach(StageJoin)
		l := &loop{Group: g, ctx: ctx, peerTerms: make(map[string]uint64), pendingReads: make(map[consensus.ReadID][]chan error), peerURLs: make(map[string]string), leaderChangedAt: time.Now()}
		l.run(ctx)
	}()
	return nil
}

// Stop stops the replica. A leader first tries to transfer its leadership, for at most
// transferTimeout.
func (g *Group) Stop() {
	if g.stop != nil {
		g.TransferLeadership(context.Background())
	}
	g.Kill()
}

// Fail marks the replica as failed after a storage or consensus error and fails the
// pending proposals. Entries that were not synced were not acknowledged.
func (g *Group) Fail(err error) {
	if g.failure.CompareAndSwap(nil, &err) {
		g.logger.Error("replica failed", slog.Any("error", err))
	}
	g.pendingProposals.failAll(ErrStopped)
	g.leaderChanged.notify()
}

// Err returns the error that made the replica fail, or nil.
func (g *Group) Err() error {
	if err := g.failure.Load(); err != nil {
		return *err
	}
	return nil
}

// publishStatus updates the copy of the status that other goroutines read.
func (g *Group) publishStatus(peerTerms map[string]uint64) {
	s := &sharedStatus{status: g.node.Status(), peerTerms: make(map[string]uint64, len(peerTerms))}
	for id, term := range peerTerms {
		s.peerTerms[id] = term
	}
	g.shared.Store(s)
}

// LeaderURL returns the base URL of the leader, empty if unknown.
func (g *Group) LeaderURL() string {
	s := g.shared.Load().status
	for _, m := range s.Membership.GetMembers() {
		if m.Id == s.Leader {
			return m.Url
		}
	}
	return ""
}

// Status returns the status of the consensus node as of the last tick or leader
// change.
func (g *Group) Status() consensus.Status { return g.shared.Load().status }

// awaitLeadership returns the term clock if this replica is the leader, and a
// NotLeaderError otherwise. After an election it waits until the new leader's
// term clock has started.
func (g *Group) awaitLeadership(ctx context.Context) (*termClock, error) {
	for {
		changed := g.leaderChanged.wait()
		if err := g.Err(); err != nil {
			return nil, err
		}
		if clock := g.termClock.Load(); clock != nil {
			return clock, nil
		}
		if g.shared.Load().status.Role != consensus.RoleLeader {
			return nil, &NotLeaderError{LeaderURL: g.LeaderURL()}
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return nil, eris.Wrap(ctx.Err(), "wait for the leader to commit an entry of its term")
		}
	}
}

// Propose appends a command and returns its result once it is committed and
// applied on this replica. build encodes the command for the given log time.
func (g *Group) Propose(ctx context.Context, build func(nowMS int64) ([]byte, error)) (any, error) {
	clock, err := g.awaitLeadership(ctx)
	if err != nil {
		return nil, err
	}
	command, err := build(clock.now())
	if err != nil {
		return nil, err
	}
	p := proposal{command: command, term: clock.term, done: make(chan proposalResult, 1)}
	select {
	case g.proposals <- p:
	case <-ctx.Done():
		return nil, ctx.Err()
	}
	select {
	case r := <-p.done:
		return r.result, r.err
	case <-g.ended:
	case <-ctx.Done():
		return nil, ctx.Err()
	}
	select {
	case r := <-p.done: // before the loop ended
		return r.result, r.err
	default:
		return nil, ErrStopped
	}
}

// Barrier returns once the state machine includes every command committed
// before the call. This replica must be the leader and confirms that with a
// quorum.
func (g *Group) Barrier(ctx context.Context) error {
	reason, err := g.barrier(ctx)
	if err != nil {
		g.refusedReads.add(reason)
		return err
	}
	g.stages.reachRead()
	return nil
}

// barrier is Barrier with the reason of a failure.
func (g *Group) barrier(ctx context.Context) (RefusalReason, error) {
	if _, err := g.awaitLeadership(ctx); err != nil {
		return refusalReason(err), err
	}
	done := make(chan error, 1)
	select {
	case g.reads <- done:
	case <-ctx.Done():
		return RefusedUnconfirmed, errUnconfirmed(ctx)
	}
	select {
	case err := <-done:
		return refusalReason(err), err
	case <-g.ended:
		return RefusedFailed, ErrStopped
	case <-ctx.Done():
		return RefusedUnconfirmed, errUnconfirmed(ctx)
	}
}

func errUnconfirmed(ctx context.Context) error {
	return eris.Wrap(ctx.Err(), "wait for a majority to confirm the leader")
}

// refusalReason classifies an error of awaitLeadership or of a read.
func refusalReason(err error) RefusalReason {
	var notLeader *NotLeaderError
	switch {
	case errors.As(err, &notLeader) && notLeader.LeaderURL == "":
		return RefusedNoLeader
	case errors.As(err, &notLeader):
		return RefusedNotLeader
	case errors.Is(err, context.DeadlineExceeded), errors.Is(err, context.Canceled):
		return RefusedUncommitted
	default:
		return RefusedFailed
	}
}

// Deliver enqueues a message from another replica. It drops the message if the
// queue is full.
func (g *Group) Deliver(m *consensusv1.Message) {
	select {
	case g.inbox <- m:
	default:
	}
}

// runInLoop runs a function on the goroutine that owns the consensus node.
func (g *Group) runInLoop(ctx context.Context, f func() error) error {
	done := make(chan error, 1)
	select {
	case g.loopCalls <- func() { done <- f() }:
	case <-g.ended:
		return ErrStopped
	case <-ctx.Done():
		return ctx.Err()
	}
	return <-done
}

// Name returns the name of the group.
func (g *Group) Name() string { return g.settings.Group }

// Kill stops the replica without transferring leadership, and closes its store. It waits for
// a snapshot that is being written: the store that is opened next uses the same file.
func (g *Group) Kill() {
	if g.stop != nil {
		g.stop()
		g.wg.Wait()
		g.net.wg.Wait()
	}
	select {
	case f := <-g.snapshotsWritten:
		f.writer.Abort()
	default:
	}
	g.store.Close()
}
