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

// leader is a leadership that a test sets.
type leader struct {
	term uint64
	err  error
}

func (l *leader) Confirm(context.Context) (uint64, error) { return l.term, l.err }
func (l *leader) Leads() bool                             { return l.term > 0 }

// recorder takes orders.
type recorder struct{ orders []Order }

func (r *recorder) Report(context.Context, Server) (*Report, error) {
	return &Report{}, errors.New("down")
}
func (r *recorder) Order(_ context.Context, _ Server, o Order) (OrderAnswer, error) {
	r.orders = append(r.orders, o)
	return OrderAnswer{Outcome: OutcomeAccepted}, nil
}

func newTestRunner(e Engines, l Leadership) *Runner {
	logger := slog.New(slog.DiscardHandler)
	return NewRunner("c1", 100*time.Millisecond, 8*time.Second, e, nil, l, fleetview.New(nil, nil, &http.Client{}, logger), nil, nil, nil, logger)
}

func TestNewLeaderWaitsOutTheLeaseOfTheFormerOne(t *testing.T) {
	engines, l := &recorder{}, &leader{term: 4}
	r := newTestRunner(engines, l)
	task := Task{Step: StepOrder, Server: Server{ID: "s"}, Model: "m", Version: 2}
	r.order(context.Background(), task)
	require.Empty(t, engines.orders)
	r.since -= r.lease + takeOverMargin
	r.order(context.Background(), task)
	require.Len(t, engines.orders, 1)
	require.Equal(t, uint64(4), engines.orders[0].Fence, "the term is the fence: no two holders share one")

	l.term = 5 // it lost the right and has it again
	r.order(context.Background(), task)
	require.Len(t, engines.orders, 1)
	l.err = errors.New("no quorum")
	r.since -= r.lease + takeOverMargin
	r.order(context.Background(), task)
	require.Len(t, engines.orders, 1)
}

// slowLeader stands still after the quorum has answered.
type slowLeader struct{ leader }

func (l *slowLeader) Confirm(context.Context) (uint64, error) {
	time.Sleep(confirmLife + 50*time.Millisecond)
	return l.term, nil
}

func TestConfirmationThatIsOldIsNotActedUpon(t *testing.T) {
	engines := &recorder{}
	r := newTestRunner(engines, &slowLeader{leader{term: 1}})
	r.term, r.since = 1, -time.Hour
	r.order(context.Background(), Task{Server: Server{ID: "s"}})
	require.Empty(t, engines.orders)
}
