package control

import (
	"context"
	"errors"
	"log/slog"
	"net/http"
	"sync"
	"time"

	"github.com/rotisserie/eris"
	"google.golang.org/protobuf/proto"

	"github.com/galenaarch/galenaarch/api/controlv1"
	"github.com/galenaarch/galenaarch/consensus"
	"github.com/galenaarch/galenaarch/control/replog"
	"github.com/galenaarch/galenaarch/control/state"
)

// Lifetimes of call records, and timeouts.
const (
	// DefaultCallRetention exceeds the time for which any client retries.
	DefaultCallRetention = 24 * time.Hour
	// maxCallDuration exceeds the duration of any call. A call that is older
	// and has no outcome was abandoned by an entry that crashed.
	maxCallDuration = 10 * time.Minute
	expiryInterval  = 10 * time.Second
	// singleStartTimeout bounds the start of a single-replica group.
	singleStartTimeout = 10 * time.Second
)

// ReplicatedLog implements Log on top of a replicated log.
type ReplicatedLog struct {
	group        *replog.Group
	stateMachine *stateMachine
	retention    time.Duration
	logger       *slog.Logger
	stop         context.CancelFunc
}

// Interface guards.
var (
	_ Log                 = (*ReplicatedLog)(nil)
	_ replog.StateMachine = (*stateMachine)(nil)
)

// OpenReplicatedLog opens this replica's log of the named group.
// newPeerClient returns a client with connections of its own.
func OpenReplicatedLog(name string, s Settings, newPeerClient func() *http.Client, logger *slog.Logger) (*ReplicatedLog, error) {
	m := newStateMachine()
	logSettings := s.replogSettings(name)
	logSettings.Logger, logSettings.Client, logSettings.NewPeerClient = logger, newPeerClient(), newPeerClient
	group, err := replog.Open(logSettings, m)
	if err != nil {
		return nil, err
	}
	return &ReplicatedLog{group: group, stateMachine: m, retention: s.CallRetention, logger: logger, stop: func() {}}, nil
}

// OpenSingleReplicaLog opens a single-replica group in a directory, starts it and
// waits until it serves requests.
func OpenSingleReplicaLog(name, dataDir string) (*ReplicatedLog, error) {
	s := Settings{Instance: name, Listen: "127.0.0.1:0", DataDir: dataDir, CallRetention: DefaultCallRetention}
	l, err := OpenReplicatedLog(MainGroup, s, func() *http.Client { return &http.Client{} }, slog.New(slog.DiscardHandler))
	if err != nil {
		return nil, err
	}
	ctx, cancel := context.WithTimeout(context.Background(), singleStartTimeout)
	defer cancel()
	if err := l.Start(context.Background()); err != nil {
		return nil, err
	}
	for ctx.Err() == nil {
		if err = l.group.Barrier(ctx); err == nil {
			return l, nil
		}
		time.Sleep(replog.TickInterval / 10)
	}
	return nil, errors.Join(err, l.Close())
}

// Start starts the replica and the expiry of old records.
func (l *ReplicatedLog) Start(ctx context.Context) error {
	ctx, l.stop = context.WithCancel(ctx)
	go l.expire(ctx)
	return l.group.Start(ctx)
}

// TransferLeadership transfers the leadership, if this replica is the leader, so that the group has
// a leader while it stops.
func (l *ReplicatedLog) TransferLeadership(ctx context.Context) { l.group.TransferLeadership(ctx) }

// Close stops the replica. A leader transfers its leadership first unless its context has ended. It
// always returns nil.
func (l *ReplicatedLog) Close() error {
	l.group.Stop()
	l.stop()
	return nil
}

// Ready returns nil, or the reason why the replica cannot serve.
func (l *ReplicatedLog) Ready() error {
	if err := l.group.Err(); err != nil {
		return err
	}
	if l.group.Status().Leader == "" {
		return errors.New("no leader is known")
	}
	return nil
}

// Propose implements Log. It stamps the command with the time of its receipt.
func (l *ReplicatedLog) Propose(ctx context.Context, cmd *controlv1.Command) (*controlv1.Result, error) {
	result, err := l.group.Propose(ctx, func(nowMS int64) ([]byte, error) {
		cmd.TimeUnixMs = nowMS
		cmd.WallUnixMs = time.Now().UnixMilli()
		data, err := proto.Marshal(cmd)
		return data, eris.Wrap(err, "encode command")
	})
	if err != nil {
		return nil, err
	}
	return result.(*controlv1.Result), nil
}

// Read implements Log.
func (l *ReplicatedLog) Read(ctx context.Context, view func(*state.State)) error {
	if err := l.group.Barrier(ctx); err != nil {
		return err
	}
	l.ReadLocal(view)
	return nil
}

// ReadLocal implements Log.
func (l *ReplicatedLog) ReadLocal(view func(*state.State)) {
	l.stateMachine.mu.RLock()
	defer l.stateMachine.mu.RUnlock()
	view(l.stateMachine.state)
}

// ConfigChanged implements Log.
func (l *ReplicatedLog) ConfigChanged() <-chan struct{} {
	l.stateMachine.mu.RLock()
	defer l.stateMachine.mu.RUnlock()
	return l.stateMachine.changed
}

// CaughtUp reports whether the local state includes every acknowledged command that this
// replica held when it was started. Before that, the state may be older than what a
// majority has acknowledged, even if a majority of the replicas is asked.
func (l *ReplicatedLog) CaughtUp() bool { return l.group.CaughtUp() }

// LeaderURL implements Log.
func (l *ReplicatedLog) LeaderURL() string { return l.group.LeaderURL() }

// MemberURLs returns the base URLs of the group's replicas.
func (l *ReplicatedLog) MemberURLs() []string {
	var urls []string
	for _, m := range l.group.Status().Membership.GetMembers() {
		urls = append(urls, m.Url)
	}
	return urls
}

// IsLeader reports whether this replica considers itself the leader. It does not
// ask the quorum, so the result may be stale.
func (l *ReplicatedLog) IsLeader() bool { return l.group.Status().Role == consensus.RoleLeader }

// ConfirmLeadership checks with a quorum that this replica is the leader and
// returns its term.
func (l *ReplicatedLog) ConfirmLeadership(ctx context.Context) (uint64, error) {
	if err := l.group.Barrier(ctx); err != nil {
		return 0, err
	}
	s := l.group.Status()
	if s.Role != consensus.RoleLeader {
		return 0, &replog.NotLeaderError{LeaderURL: l.group.LeaderURL()}
	}
	return s.Term, nil
}

// expire periodically proposes to delete expired records; only a leader's
// proposals are accepted. The deletion goes through the log, so that all
// replicas delete the same records.
func (l *ReplicatedLog) expire(ctx context.Context) {
	ticker := time.NewTicker(expiryInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		var now int64
		l.ReadLocal(func(st *state.State) { now = st.NowMS() })
		proposeCtx, cancel := context.WithTimeout(ctx, expiryInterval)
		_, err := l.Propose(proposeCtx, &controlv1.Command{Body: &controlv1.Command_ExpireCalls{ExpireCalls: &controlv1.ExpireCallsCommand{
			FinishedBeforeUnixMs: now - l.retention.Milliseconds(),
			BegunBeforeUnixMs:    now - maxCallDuration.Milliseconds(),
		}}})
		cancel()
		var notLeader *replog.NotLeaderError
		if err != nil && !errors.As(err, &notLeader) && ctx.Err() == nil {
			l.logger.Warn("failed to expire call records", slog.Any("error", err))
		}
	}
}

// stateMachine applies committed commands to the control state.
type stateMachine struct {
	// mu guards state and changed.
	mu    sync.RWMutex
	state *state.State
	// changed is closed at the next change and then replaced.
	changed chan struct{}
}

func newStateMachine() *stateMachine {
	return &stateMachine{state: state.New(), changed: make(chan struct{})}
}

// Apply executes an encoded command. An accepted change of configuration, routing,
// drains or published documents wakes those who wait on ConfigChanged. A command that
// cannot be decoded is skipped on every replica.
func (m *stateMachine) Apply(command []byte) any {
	var cmd controlv1.Command
	if err := proto.Unmarshal(command, &cmd); err != nil {
		return &controlv1.Result{}
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	result := m.state.Apply(&cmd)
	if result.GetApplyConfig().GetAccepted() || result.GetUpdateRouting().GetAccepted() || result.GetRequestDrain().GetAccepted() ||
		result.GetPublish().GetOutcome() == controlv1.PublishOutcome_PUBLISH_OUTCOME_ACCEPTED {
		m.notifyChanged()
	}
	return result
}

// wakeWaiting wakes those who wait on ConfigChanged.
func (m *stateMachine) wakeWaiting() {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.notifyChanged()
}

// notifyChanged closes the changed channel and replaces it. m.mu must be held.
func (m *stateMachine) notifyChanged() {
	close(m.changed)
	m.changed = make(chan struct{})
}

// Snapshot returns the encoded state.
func (m *stateMachine) Snapshot() ([]byte, error) {
	m.mu.RLock()
	defer m.mu.RUnlock()
	return m.state.Snapshot()
}

// Restore replaces the state by an encoded one.
func (m *stateMachine) Restore(data []byte) error {
	restored, err := state.Restore(data)
	if err != nil {
		return err
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	m.state = restored
	m.notifyChanged()
	return nil
}

// NowMS returns the log time of the last command; Unix milliseconds.
func (m *stateMachine) NowMS() int64 {
	m.mu.RLock()
	defer m.mu.RUnlock()
	return m.state.NowMS()
}
