package weights

import (
	"context"
	"errors"
	"log/slog"
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

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
