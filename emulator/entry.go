package emulator

import (
	"time"

	"github.com/galenaarch/galenaarch/dispatch"
	"github.com/galenaarch/galenaarch/placement"
	"github.com/galenaarch/galenaarch/retry"
)

// Settings of all entry instances in the model.
const (
	// answerTimeout is how long a repeatable request waits for a server that does
	// not answer before it is sent to another one.
	answerTimeout = 700 * time.Millisecond
	// The retry budget limits the retries of all instances together.
	retryBudgetWindow = 10 * time.Second
	retryBudgetRatio  = 0.16
	retryBudgetSlack  = 40
	// queueRetryInterval is the time between routing attempts of a queued prompt.
	queueRetryInterval = 40 * time.Millisecond
)

// epoch is the start of virtual time, for functions that take a time.Time.
var epoch = time.Unix(1_000_000, 0)

// toTime converts virtual time to a time.Time.
func toTime(at time.Duration) time.Time { return epoch.Add(at) }

// serverState is what an entry instance knows about one server.
type serverState struct {
	dispatch.BackendState
	// visibleFrom is when the instance discovers the server. drainingSince is when
	// the server reported that it is draining, pauseEnd when its requested pause
	// ends; 0 if it reported neither.
	visibleFrom             time.Duration
	drainingSince, pauseEnd time.Duration
}

// entryInstance makes the decisions of one entry instance with the code that the
// gateway uses; see package dispatch.
type entryInstance struct {
	states         map[*server]*serverState
	retryBudget    *retry.Window
	promptMix      placement.LengthMix
	queue          dispatch.WaitQueue
	prefillModel   dispatch.PrefillModel
	estimateErrors []dispatch.EstimateErrors
	retryScheduled bool
	// resetAt is when the instance last lost its state.
	resetAt time.Duration
}

func newEntryInstance(p *Pattern, servers []*server) *entryInstance {
	e := &entryInstance{states: make(map[*server]*serverState), retryBudget: retry.NewWindow(retryBudgetWindow, retryBudgetRatio, retryBudgetSlack/float64(p.Entries)), estimateErrors: make([]dispatch.EstimateErrors, len(p.Kinds)), resetAt: -time.Hour}
	for _, s := range servers {
		e.states[s] = newServerState(s, 0)
	}
	return e
}

func newServerState(s *server, since time.Duration) *serverState {
	announced := dispatch.BackendInfo{Slots: s.slots}
	if s.engineConfig != nil {
		announced.MemoryTokens = s.engineConfig.MemoryTokens
	}
	return &serverState{BackendState: dispatch.NewBackendState(announced, toTime(since)), visibleFrom: since}
}

// available returns the servers that may receive requests: discovered,
// not draining and not paused.
func (e *entryInstance) available(servers []*server, at time.Duration) []*server {
	usable := make([]*server, 0, len(servers))
	for _, s := range servers {
		state := e.states[s]
		if state.visibleFrom <= at && !state.Leaving() && !toTime(at).Before(state.PausedUntil()) {
			usable = append(usable, s)
		}
	}
	return usable
}

// recordSignals records a drain or a pause that a server reports with an answer.
func (e *entryInstance) recordSignals(s *server, refused bool, at time.Duration, spread float64) {
	state := e.states[s]
	draining, pause := s.signals(at)
	if draining && !state.Leaving() {
		state.MarkLeaving()
		state.drainingSince = at
	}
	if refused && pause > 0 {
		state.Pause(pause, toTime(at), spread)
		state.pauseEnd = at + pause
	}
}
