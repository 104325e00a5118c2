package replog

import (
	"context"
	"log/slog"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rotisserie/eris"

	"github.com/galenaarch/galenaarch/api/consensusv1"
	"github.com/galenaarch/galenaarch/consensus"
	"github.com/galenaarch/galenaarch/storage"
)

// proposal is a command on its way into the log.
type proposal struct {
	command []byte
	// term is the one for which the command's time was taken.
	term uint64
	done chan outcome
}

// outcome is the result of a proposal.
type outcome struct {
	result any
	err    error
}

// anchor fixes the log's time in a leader's term: base at the moment from,
// counted on with the monotonic clock. Invariant: base is taken once all
// entries of earlier terms are applied, so time in the log never falls and
// runs no faster than the leader's clock.
type anchor struct {
	term uint64
	base int64
	from time.Time
}

func (a *anchor) now() int64 { return a.base + time.Since(a.from).Milliseconds() }

// knowledge is what other replicas may ask about, as of the last tick.
type knowledge struct {
	status   consensus.Status
	seenTerm map[string]uint64
}

// Group is a running replica of one log.
type Group struct {
	settings Settings
	machine  Machine
	logger   *slog.Logger
	store    *storage.Store
	id       string
	durable  consensus.Durable
	node     *consensus.Node
	net      *transport

	intake
	totals

	anchor  atomic.Pointer[anchor]
	known   atomic.Pointer[knowledge]
	failure atomic.Pointer[error]

	// addresses holds the base URL of each replica that identified itself, for
	// a replica whose log does not yet hold a membership.
	addresses sync.Map

	proposers proposers
	// leadership changes with the leader or the anchor.
	leadership signal

	stop context.CancelFunc
	wg   sync.WaitGroup
}

// Open opens the folder of a replica. The replica answers Identify from then
// on and works once it is started.
func Open(s Settings, machine Machine) (*Group, error) {
	if s.CompactEntries == 0 {
		s.CompactEntries = compactEntries
	}
	store, found, err := storage.OpenStore(s.Dir)
	if err != nil {
		return nil, eris.Wrapf(err, "open log of group %s", s.Group)
	}
	g := &Group{
		settings: s, machine: machine, logger: s.Logger.With(slog.String("group", s.Group)), store: store,
		intake: newIntake(),
	}
	g.durable = consensus.Durable{HardState: found.HardState, Snapshot: found.Snapshot, Entries: found.Entries}
	if err := g.identify(); err != nil {
		store.Close()
		return nil, err
	}
	if err := g.restore(); err != nil {
		store.Close()
		return nil, err
	}
	if err := g.rebuild(); err != nil {
		store.Close()
		return nil, err
	}
	return g, nil
}

// restore loads the newest snapshot into the machine.
func (g *Group) restore() error {
	var state []byte
	if r := g.store.Snapshot(); r != nil {
		var err error
		if state, err = r.ReadAll(); err != nil {
			return eris.Wrap(err, "read snapshot")
		}
	}
	return eris.Wrap(g.machine.Restore(state), "restore state")
}

// rebuild makes the core from what the disk holds.
func (g *Group) rebuild() error {
	node, err := consensus.New(consensus.Config{
		Group: g.settings.Group, ID: g.id, ElectionTicks: electionTicks, HeartbeatTicks: heartbeatTicks,
		MaxInflight: maxInflight, MaxAppendBytes: maxAppendBytes, MaxUncommittedBytes: maxUncommittedBytes,
		PromoteLag: promoteLag, Rand: rand.IntN,
	}, g.durable)
	if err != nil {
		return eris.Wrapf(err, "log in %s", g.settings.Dir)
	}
	g.node = node
	g.publish(nil)
	return nil
}

// Start joins the group and runs until Stop.
func (g *Group) Start(ctx context.Context) error {
	ctx, g.stop = context.WithCancel(ctx)
	g.net = newTransport(ctx, g.settings.Client)
	g.wg.Add(2)
	go g.apply(ctx)
	go func() {
		defer g.wg.Done()
		if err := g.join(ctx); err != nil {
			g.Fail(err)
			return
		}
		l := &loop{Group: g, ctx: ctx, seenTerm: make(map[string]uint64), pending: make(map[consensus.ReadID][]chan error), urls: make(map[string]string)}
		l.run(ctx)
	}()
	return nil
}

// Stop hands over the leadership, as far as that takes no long time, and ends
// the replica.
func (g *Group) Stop() {
	if g.stop != nil {
		g.handOver()
	}
	g.Kill()
}

// Fail stops the replica for an error of its disk or its core. What was not
// synced was not acknowledged.
func (g *Group) Fail(err error) {
	if g.failure.CompareAndSwap(nil, &err) {
		g.logger.Error("replica stopped", slog.Any("error", err))
	}
	g.proposers.release(ErrStopped)
	g.leadership.notify()
}

// Err says why the replica stopped, or nil.
func (g *Group) Err() error {
	if err := g.failure.Load(); err != nil {
		return *err
	}
	return nil
}

// publish copies what other goroutines may read.
func (g *Group) publish(seenTerm map[string]uint64) {
	k := &knowledge{status: g.node.Status(), seenTerm: make(map[string]uint64, len(seenTerm))}
	for id, term := range seenTerm {
		k.seenTerm[id] = term
	}
	g.known.Store(k)
}

// LeaderURL is the base URL of the leader, empty if unknown.
func (g *Group) LeaderURL() string {
	s := g.known.Load().status
	for _, m := range s.Membership.GetMembers() {
		if m.Id == s.Leader {
			return m.Url
		}
	}
	return ""
}

// Status is what the replica knew at the last tick.
func (g *Group) Status() consensus.Status { return g.known.Load().status }

// leading returns the leader's anchor, or says who leads. A leader that has
// just been elected is waited for.
func (g *Group) leading(ctx context.Context) (*anchor, error) {
	for {
		changed := g.leadership.wait()
		if err := g.Err(); err != nil {
			return nil, err
		}
		if a := g.anchor.Load(); a != nil {
			return a, nil
		}
		if g.known.Load().status.Role != consensus.RoleLeader {
			return nil, &NotLeaderError{LeaderURL: g.LeaderURL()}
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return nil, ctx.Err()
		}
	}
}

// Propose appends a command, which build encodes for a time in the log, and
// returns its result once it is committed and applied here.
func (g *Group) Propose(ctx context.Context, build func(nowMS int64) ([]byte, error)) (any, error) {
	a, err := g.leading(ctx)
	if err != nil {
		return nil, err
	}
	command, err := build(a.now())
	if err != nil {
		return nil, err
	}
	p := proposal{command: command, term: a.term, done: make(chan outcome, 1)}
	select {
	case g.proposals <- p:
	case <-ctx.Done():
		return nil, ctx.Err()
	}
	select {
	case o := <-p.done:
		return o.result, o.err
	case <-ctx.Done():
		return nil, ctx.Err()
	}
}

// Barrier returns once the machine holds every command that was committed
// before the call; the leader has then confirmed its quorum.
func (g *Group) Barrier(ctx context.Context) error {
	if _, err := g.leading(ctx); err != nil {
		return err
	}
	done := make(chan error, 1)
	select {
	case g.reads <- done:
	case <-ctx.Done():
		return ctx.Err()
	}
	select {
	case err := <-done:
		return err
	case <-ctx.Done():
		return ctx.Err()
	}
}

// Deliver takes a message from another replica; a full inbox drops it.
func (g *Group) Deliver(m *consensusv1.Message) {
	select {
	case g.inbox <- m:
	default:
	}
}

// call runs a function in the goroutine that owns the core.
func (g *Group) call(ctx context.Context, f func() error) error {
	done := make(chan error, 1)
	select {
	case g.calls <- func() { done <- f() }:
	case <-ctx.Done():
		return ctx.Err()
	}
	return <-done
}

// Name is the name of the group.
func (g *Group) Name() string { return g.settings.Group }

// Kill ends the replica as a crash would: nothing is handed over.
func (g *Group) Kill() {
	if g.stop != nil {
		g.stop()
		g.wg.Wait()
		g.net.wg.Wait()
	}
	g.store.Close()
}
