package weights

import (
	"context"
	"errors"
	"log/slog"
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/galenaarch/galenaarch/dispatch"
	"github.com/galenaarch/galenaarch/fleetview"
)

// fakeLeadership returns a term and an error that a test sets.
type fakeLeadership struct {
	term uint64
	err  error
}

func (l *fakeLeadership) ConfirmLeadership(context.Context) (uint64, error) { return l.term, l.err }
func (l *fakeLeadership) IsLeader() bool                                    { return l.term > 0 }

// orderRecorder records the orders it receives.
type orderRecorder struct{ orders []Order }

func (r *orderRecorder) Report(context.Context, Server) (*Report, error) {
	return &Report{}, errors.New("down")
}
func (r *orderRecorder) SendOrder(_ context.Context, _ Server, o Order) (OrderResult, error) {
	r.orders = append(r.orders, o)
	return OrderResult{Outcome: OutcomeAccepted}, nil
}

func newTestRunner(e EngineClient, leadership Leadership) *Runner {
	logger := slog.New(slog.DiscardHandler)
	return NewRunner("c1", 100*time.Millisecond, 8*time.Second, e, nil, leadership, fleetview.New(nil, nil, &http.Client{}, logger), nil, nil, nil, logger)
}

func TestNewLeaderWaitsForFormerLease(t *testing.T) {
	recorder, leadership := &orderRecorder{}, &fakeLeadership{term: 4}
	r := newTestRunner(recorder, leadership)
	task := Task{Step: StepSendOrder, Server: Server{ID: "s"}, Model: "m", Version: 2}
	r.sendOrder(context.Background(), task)
	require.Empty(t, recorder.orders)
	r.termStart -= r.formerLease + takeoverMargin
	r.sendOrder(context.Background(), task)
	require.Len(t, recorder.orders, 1)
	require.Equal(t, uint64(4), recorder.orders[0].FencingNumber, "the term is the fencing number, so no two leaders share one")

	leadership.term = 5 // leadership was lost and regained
	r.sendOrder(context.Background(), task)
	require.Len(t, recorder.orders, 1)
	leadership.err = errors.New("no quorum")
	r.termStart -= r.formerLease + takeoverMargin
	r.sendOrder(context.Background(), task)
	require.Len(t, recorder.orders, 1)
}

// slowLeadership delays its return until the confirmation has expired.
type slowLeadership struct{ fakeLeadership }

func (l *slowLeadership) ConfirmLeadership(context.Context) (uint64, error) {
	time.Sleep(confirmationTTL + 50*time.Millisecond)
	return l.term, nil
}

func TestExpiredConfirmationSendsNoOrder(t *testing.T) {
	recorder := &orderRecorder{}
	r := newTestRunner(recorder, &slowLeadership{fakeLeadership{term: 1}})
	r.term, r.termStart = 1, -time.Hour
	r.sendOrder(context.Background(), Task{Server: Server{ID: "s"}})
	require.Empty(t, recorder.orders)
}

// reportingEngine returns one report.
type reportingEngine struct {
	orderRecorder
	report Report
}

func (e *reportingEngine) Report(context.Context, Server) (*Report, error) { return &e.report, nil }

// A report of a version that was never requested is wrong. It must not count as that of an
// updated server, which would get no orders any more.
func TestReportAboveRequestedVersionIsNotRecorded(t *testing.T) {
	engine := &reportingEngine{report: Report{Versions: map[string]uint64{"m": 9, "other": 5}}}
	r := newTestRunner(engine, &fakeLeadership{term: 1})
	var recorded []map[string]uint64
	r.onVersions = func(_ string, _ int64, versions map[string]uint64) { recorded = append(recorded, versions) }
	r.onDirectives = func(string, int64, dispatch.Directives) {}
	server, requested := Server{ID: "s", Versions: map[string]uint64{"m": 1}}, map[string]uint64{"m": 2}
	tasks := r.plan.DueTasks([]Server{server}, requested, time.Now())
	require.Equal(t, StepPoll, tasks[0].Step)
	r.poll(t.Context(), tasks[0], requested)
	require.Empty(t, recorded)
	require.Contains(t, r.plan.reloads, server.incarnation())

	engine.report.Versions["m"] = 2
	r.poll(t.Context(), tasks[0], requested)
	require.Len(t, recorded, 1)
	require.NotContains(t, r.plan.reloads, server.incarnation())
}

// A server that rejects calls for a limited time and restarts meanwhile takes calls again:
// what its former process asked for does not delay the rollout.
func TestPauseEndsWhenServerRestarts(t *testing.T) {
	r := newTestRunner(&orderRecorder{}, &fakeLeadership{term: 1})
	r.onDirectives = func(string, int64, dispatch.Directives) {}
	former, restarted := Server{ID: "s", StartUnixMs: 1}, Server{ID: "s", StartUnixMs: 2}
	r.recordAvailability(Task{Server: former}, dispatch.Directives{}, &dispatch.RetryAfterError{RetryAfter: time.Minute})
	require.False(t, r.mayCall(former, time.Now()))
	require.True(t, r.mayCall(restarted, time.Now()))
}
