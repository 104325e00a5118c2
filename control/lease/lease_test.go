package lease

import (
	"context"
	"errors"
	"log/slog"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/galenaarch/galenaarch/api/controlv1"
	"github.com/galenaarch/galenaarch/control/state"
)

const term = 3 * time.Second

// fakeControl serves leases from an in-memory state. It can delay responses,
// drop them, or act as partitioned from the holder.
type fakeControl struct {
	controlv1.Control
	mu               sync.Mutex
	state            *state.State
	started          time.Time
	delay            time.Duration
	partitioned      bool
	dropNextResponse bool
}

var errPartitioned = errors.New("partitioned")

func newFakeControl() *fakeControl { return &fakeControl{state: state.New(), started: time.Now()} }

func (control *fakeControl) AcquireLease(_ context.Context, r *controlv1.AcquireLeaseRequest) (*controlv1.AcquireLeaseResponse, error) {
	control.mu.Lock()
	defer control.mu.Unlock()
	if control.partitioned {
		return nil, errPartitioned
	}
	now := time.Since(control.started).Milliseconds() + 1
	response := control.state.Apply(&controlv1.Command{TimeUnixMs: now, Body: &controlv1.Command_AcquireLease{AcquireLease: r}}).GetAcquireLease()
	time.Sleep(control.delay)
	if control.dropNextResponse {
		control.dropNextResponse = false
		return nil, errPartitioned
	}
	return response, nil
}

func (control *fakeControl) ReleaseLease(_ context.Context, r *controlv1.ReleaseLeaseRequest) (*controlv1.ReleaseLeaseResponse, error) {
	control.mu.Lock()
	defer control.mu.Unlock()
	return control.state.Apply(&controlv1.Command{Body: &controlv1.Command_ReleaseLease{ReleaseLease: r}}).GetReleaseLease(), nil
}

func TestTermIsCountedFromSendTime(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		control := newFakeControl()
		control.delay = time.Second
		sent := time.Now()
		grant, err := NewHolder(control, "l", "a", term).AcquireOrRenew(t.Context())
		require.NoError(t, err)
		require.True(t, grant.Deadline().Before(sent.Add(term)), "the term is shortened by the clock drift")
		require.False(t, grant.Valid(sent.Add(term)))
	})
}

func TestGrantExpiresBeforeNextHolderAcquires(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		control := newFakeControl()
		first, second := NewHolder(control, "l", "a", term), NewHolder(control, "l", "b", term)
		firstGrant, err := first.AcquireOrRenew(t.Context())
		require.NoError(t, err)
		for {
			secondGrant, err := second.AcquireOrRenew(t.Context())
			if err == nil {
				require.Greater(t, secondGrant.FencingNumber, firstGrant.FencingNumber)
				break
			}
			require.ErrorIs(t, err, ErrHeld)
			time.Sleep(10 * time.Millisecond)
		}
		require.Nil(t, first.Grant(time.Now()))
		_, err = first.AcquireOrRenew(t.Context())
		require.ErrorIs(t, err, ErrHeld)
	})
}

func TestAcquireIsRetriedAfterLostResponse(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		control := newFakeControl()
		control.dropNextResponse = true
		h := NewHolder(control, "l", "a", term)
		_, err := h.AcquireOrRenew(t.Context())
		require.ErrorIs(t, err, errPartitioned)
		require.Nil(t, h.Grant(time.Now()))
		grant, err := h.AcquireOrRenew(t.Context())
		require.NoError(t, err, "the retry returns the same grant and does not conflict with the first attempt")
		require.EqualValues(t, 1, grant.FencingNumber)
	})
}

// TestRunReportsEachChange checks the sequence of grants that Run reports:
// acquired, lost during a partition, acquired with a higher fencing number,
// released at the end.
func TestRunReportsEachChange(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		control := newFakeControl()
		h := NewHolder(control, "l", "a", term)
		ctx, cancel := context.WithCancel(t.Context())
		var numbers []uint64
		done := make(chan struct{})
		go func() {
			defer close(done)
			h.Run(ctx, slog.New(slog.DiscardHandler), func(grant *Grant) {
				if grant == nil {
					numbers = append(numbers, 0)
					return
				}
				numbers = append(numbers, grant.FencingNumber)
			})
		}()
		setPartitioned := func(partitioned bool) {
			control.mu.Lock()
			defer control.mu.Unlock()
			control.partitioned = partitioned
		}
		time.Sleep(2 * term)
		setPartitioned(true)
		time.Sleep(2 * term)
		setPartitioned(false)
		time.Sleep(term)
		cancel()
		<-done
		require.Equal(t, []uint64{1, 0, 2, 0}, numbers)
		other, err := NewHolder(control, "l", "b", term).AcquireOrRenew(t.Context())
		require.NoError(t, err, "the lease was released")
		require.EqualValues(t, 3, other.FencingNumber)
	})
}
