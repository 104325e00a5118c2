package emulator

import (
	"time"

	"github.com/galenaarch/galenaarch/dispatch"
	"github.com/galenaarch/galenaarch/placement"
	"github.com/galenaarch/galenaarch/retry"
)

// Settings of all simulated entry instances.
const (
	// responseTimeout is how long a retryable request waits for the response of a
	// server before it is sent to another one.
	responseTimeout = 700 * time.Millisecond
	// Parameters of the retry budget, see retry.NewWindow. The slack is divided among
	// the instances.
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
	// visibleFrom is the virtual time when the instance discovers the server,
	// leavingSince when the server reported that it is leaving, pauseEnd when the
	// pause that it asked for ends. The last two are 0 without such a report.
	visibleFrom            time.Duration
	leavingSince, pauseEnd time.Duration
	// rateLimit is the rate limit that the server last stated to the instance.
	rateLimit dispatch.StatedLimit
	permits   dispatch.Permits
}

// entryInstance simulates one entry instance. It makes its decisions with package
// dispatch, the code that the gateway uses.
type entryInstance struct {
	states      map[*server]*serverState
	retryBudget *retry.Window
	promptMix   placement.LengthMix
	queue       dispatch.WaitQueue
	// calls holds the waiting plain requests, told is what the instance last told the others
	// of its load at plain servers.
	calls          dispatch.WaitQueue
	returns        dispatch.ReturnLine
	told           map[*server]dispatch.Load
	prefillModel   dispatch.PrefillModel
	estimateErrors []dispatch.EstimateErrors
	retryScheduled bool
	// evidence is what the instance knows of parts that crash engines; telling is set
	// while it is about to tell the others.
	evidence dispatch.CrashEvidence
	telling  bool
	fleet    fleetMember
	// resetAt is the virtual time when the instance last lost its state.
	resetAt time.Duration
}

func newEntryInstance(p *Pattern, servers []*server) *entryInstance {
	e := &entryInstance{states: make(map[*server]*serverState), retryBudget: retry.NewWindow(retryBudgetWindow, retryBudgetRatio, retryBudgetSlack/float64(p.Entries)), estimateErrors: make([]dispatch.EstimateErrors, len(p.Kinds)), resetAt: -time.Hour}
	for _, s := range servers {
		e.states[s] = newServerState(s, 0)
	}
	return e
}

// newServerState returns the state of a server that the instance discovers at since.
func newServerState(s *server, since time.Duration) *serverState {
	announced := dispatch.BackendInfo{Slots: s.slots, Zone: s.domain}
	if s.engineConfig != nil {
		announced.MemoryTokens = s.engineConfig.MemoryTokens
	}
	return &serverState{BackendState: dispatch.NewBackendState(announced, toTime(since)), visibleFrom: since}
}

// available returns the servers that may receive requests: those that are discovered,
// not leaving and not paused, and rate-limited ones only with a permit.
func (e *entryInstance) available(servers []*server, at time.Duration, policy *dispatch.Policy) []*server {
	usable := make([]*server, 0, len(servers))
	for _, s := range servers {
		state := e.states[s]
		if state.visibleFrom <= at && !state.Leaving() && !toTime(at).Before(state.PausedUntil()) && (!policy.Enabled(dispatch.RateLimits) || state.mayUse(s, at)) {
			usable = append(usable, s)
		}
	}
	return usable
}

// mayUse reports whether the server's rate limit allows a request now. The instance asks
// for permits without delay.
func (s *serverState) mayUse(from *server, at time.Duration) bool {
	limit, now := s.rateLimit.RateLimit, toTime(at)
	if !limit.Limited || s.permits.Available(dispatch.Fallback{}, now) {
		return true
	}
	wanted := s.permits.Wanted(limit, now)
	if wanted == 0 {
		return false
	}
	granted, retryAfter := from.permitIssuer.Issue(limit, "", wanted, now)
	s.permits.Granted(granted, retryAfter, now, now)
	return granted > 0
}

// takePermit uses up a permit if the server states a rate limit.
func (s *serverState) takePermit(at time.Duration) {
	if s.rateLimit.Limited {
		s.permits.Take(dispatch.Fallback{}, toTime(at))
	}
}

// recordSignals records that a server reports with its response that it is leaving,
// asks for a pause or states a rate limit. The jitter, from 0 to 1, spreads the end of the pause.
func (e *entryInstance) recordSignals(s *server, rejected bool, at time.Duration, jitter float64) {
	state := e.states[s]
	leaving, pause := s.signals(at)
	from := state.rateLimit.RateLimit
	if limit := s.rateLimit(at); state.rateLimit.Observe(limit) {
		state.permits.LimitChanged(from, limit)
	}
	if leaving && !state.Leaving() {
		state.MarkLeaving()
		state.leavingSince = at
	}
	if rejected && pause > 0 {
		state.Pause(pause, toTime(at), jitter)
		state.pauseEnd = at + pause
	}
}
