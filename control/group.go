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

// Times of the records of calls.
const (
	// DefaultCallRetention is longer than any client retries.
	DefaultCallRetention = 24 * time.Hour
	// beginLimit is longer than any call takes: one begun earlier without an
	// outcome was left by an entry that died.
	beginLimit  = 10 * time.Minute
	expireEvery = 10 * time.Second
	// singleStart bounds the start of a group of one.
	singleStart = 10 * time.Second
)

// GroupLog is a Log over a replicated group.
type GroupLog struct {
	group     *replog.Group
	machine   *machine
	retention time.Duration
	logger    *slog.Logger
	stop      context.CancelFunc
}

// Interface guards.
var (
	_ Log            = (*GroupLog)(nil)
	_ replog.Machine = (*machine)(nil)
)

// OpenGroupLog opens this replica's part of a group.
func OpenGroupLog(name string, s Settings, client *http.Client, logger *slog.Logger) (*GroupLog, error) {
	m := newMachine()
	rs := s.replog(name)
	rs.Logger, rs.Client = logger, client
	group, err := replog.Open(rs, m)
	if err != nil {
		return nil, err
	}
	return &GroupLog{group: group, machine: m, retention: s.CallRetention, logger: logger, stop: func() {}}, nil
}

// OpenSingleLog opens a group of one replica in a folder, starts it and waits
// until it serves.
func OpenSingleLog(name, dataDir string) (*GroupLog, error) {
	s := Settings{Instance: name, Listen: "127.0.0.1:0", DataDir: dataDir, CallRetention: DefaultCallRetention}
	l, err := OpenGroupLog(MainGroup, s, &http.Client{}, slog.New(slog.DiscardHandler))
	if err != nil {
		return nil, err
	}
	ctx, cancel := context.WithTimeout(context.Background(), singleStart)
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

// Start joins the group.
func (l *GroupLog) Start(ctx context.Context) error {
	ctx, l.stop = context.WithCancel(ctx)
	go l.expire(ctx)
	return l.group.Start(ctx)
}

// Close hands over the leadership and ends the replica.
func (l *GroupLog) Close() error {
	l.stop()
	l.group.Stop()
	return nil
}

// Ready says why the replica cannot serve, or nil.
func (l *GroupLog) Ready() error {
	if err := l.group.Err(); err != nil {
		return err
	}
	if l.group.Status().Leader == "" {
		return errors.New("no leader is known")
	}
	return nil
}

// Propose implements Log. The command gets the time of its receipt.
func (l *GroupLog) Propose(ctx context.Context, cmd *controlv1.Command) (*controlv1.Result, error) {
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
func (l *GroupLog) Read(ctx context.Context, view func(*state.State)) error {
	if err := l.group.Barrier(ctx); err != nil {
		return err
	}
	l.Peek(view)
	return nil
}

// Peek implements Log.
func (l *GroupLog) Peek(view func(*state.State)) {
	l.machine.mu.RLock()
	defer l.machine.mu.RUnlock()
	view(l.machine.state)
}

// ConfigChanged implements Log.
func (l *GroupLog) ConfigChanged() <-chan struct{} {
	l.machine.mu.RLock()
	defer l.machine.mu.RUnlock()
	return l.machine.changed
}

// Leader implements Log.
func (l *GroupLog) Leader() string { return l.group.LeaderURL() }

// Members lists the base URLs of the group's replicas.
func (l *GroupLog) Members() []string {
	var urls []string
	for _, m := range l.group.Status().Membership.GetMembers() {
		urls = append(urls, m.Url)
	}
	return urls
}

// Leads reports whether this replica believes that it leads.
func (l *GroupLog) Leads() bool { return l.group.Status().Role == consensus.RoleLeader }

// Confirm asks the quorum whether this replica leads and returns its term.
func (l *GroupLog) Confirm(ctx context.Context) (uint64, error) {
	if err := l.group.Barrier(ctx); err != nil {
		return 0, err
	}
	s := l.group.Status()
	if s.Role != consensus.RoleLeader {
		return 0, &replog.NotLeaderError{LeaderURL: l.group.LeaderURL()}
	}
	return s.Term, nil
}

// expire proposes, while this replica leads, to drop what has outlived its
// use. Dropping is a logged step, so that all replicas drop the same.
func (l *GroupLog) expire(ctx context.Context) {
	ticker := time.NewTicker(expireEvery)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		var now int64
		l.Peek(func(st *state.State) { now = st.NowMS() })
		attempt, cancel := context.WithTimeout(ctx, expireEvery)
		_, err := l.Propose(attempt, &controlv1.Command{Body: &controlv1.Command_ExpireCalls{ExpireCalls: &controlv1.ExpireCallsCommand{
			FinishedBeforeUnixMs: now - l.retention.Milliseconds(),
			BegunBeforeUnixMs:    now - beginLimit.Milliseconds(),
		}}})
		cancel()
		var other *replog.NotLeaderError
		if err != nil && !errors.As(err, &other) && ctx.Err() == nil {
			l.logger.Warn("call records not expired", slog.Any("error", err))
		}
	}
}

// machine is the control state behind the log.
type machine struct {
	mu      sync.RWMutex
	state   *state.State
	changed chan struct{}
}

func newMachine() *machine {
	return &machine{state: state.New(), changed: make(chan struct{})}
}

// Apply implements replog.Machine. A command that cannot be decoded changes
// nothing, at every replica alike.
func (m *machine) Apply(command []byte) any {
	var cmd controlv1.Command
	if err := proto.Unmarshal(command, &cmd); err != nil {
		return &controlv1.Result{}
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	result := m.state.Apply(&cmd)
	if result.GetApplyConfig().GetAccepted() || result.GetUpdateRouting().GetAccepted() || result.GetRequestDrain().GetAccepted() ||
		result.GetPublish().GetOutcome() == controlv1.PublishOutcome_PUBLISH_OUTCOME_ACCEPTED {
		m.notify()
	}
	return result
}

func (m *machine) notify() {
	close(m.changed)
	m.changed = make(chan struct{})
}

// Encode implements replog.Machine.
func (m *machine) Encode() ([]byte, error) {
	m.mu.RLock()
	defer m.mu.RUnlock()
	return m.state.Snapshot()
}

// Restore implements replog.Machine.
func (m *machine) Restore(data []byte) error {
	restored, err := state.Restore(data)
	if err != nil {
		return err
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	m.state = restored
	m.notify()
	return nil
}

// NowMS implements replog.Machine.
func (m *machine) NowMS() int64 {
	m.mu.RLock()
	defer m.mu.RUnlock()
	return m.state.NowMS()
}
