// Package state is the deterministic state machine behind the replicated log.
// It uses no clock, disk or network; each command carries its time.
package state

import (
	"github.com/galenaarch/galenaarch/api/controlv1"
)

// Limits on the size of the state.
const (
	// maxHistory bounds the accepted changes in the history of an environment.
	maxHistory = 1000
	// maxChangeIDs bounds the change IDs kept per environment to recognize
	// retries.
	maxChangeIDs = 20000
	// maxTombstones bounds the removals kept per environment to compute deltas.
	maxTombstones = 4096
	// maxCallsPerAccount bounds the call records of one client account, so
	// that a single account cannot use up maxCalls.
	maxCallsPerAccount = 50000
	// maxCalls bounds the call records of all client accounts. Beyond it each
	// account may still have reservedCallsPerAccount records.
	maxCalls                = 500_000
	reservedCallsPerAccount = 16
	// maxAnswerBytesPerAccount and maxAnswerBytesTotal bound the saved answers.
	maxAnswerBytesPerAccount = 8 << 20
	maxAnswerBytesTotal      = 128 << 20
	// MaxAnswerBytes bounds one saved answer; a longer one is not saved.
	MaxAnswerBytes = 64 << 10
)

// State is the complete control state. It is not safe for concurrent use.
type State struct {
	nowMS int64
	// wallMS is the leader's wall clock time of the last command, for display
	// only; Unix milliseconds.
	wallMS       int64
	environments map[string]*environment
	leases       map[string]*controlv1.LeaseStatus
	lastFencing  uint64
	calls        map[string]*accountCalls
	callCount    uint64
	answerBytes  int
	expiryQueues expiryQueues
	// published holds the newest version of each named document.
	published map[string]*controlv1.PublishedDocument
}

// New returns an empty state.
func New() *State {
	return &State{
		environments: make(map[string]*environment),
		leases:       make(map[string]*controlv1.LeaseStatus),
		calls:        make(map[string]*accountCalls),
		published:    make(map[string]*controlv1.PublishedDocument),
	}
}

// NowMS returns the log time of the last applied command; Unix milliseconds.
func (s *State) NowMS() int64 { return s.nowMS }

// Apply executes one committed command. It is deterministic: states that apply
// the same commands in the same order are equal and return equal results.
func (s *State) Apply(cmd *controlv1.Command) *controlv1.Result {
	// Log time never decreases, so a new leader whose clock is behind cannot
	// revive an expired lease.
	s.nowMS = max(s.nowMS, cmd.TimeUnixMs)
	s.wallMS = cmd.WallUnixMs
	switch body := cmd.Body.(type) {
	case *controlv1.Command_ApplyConfig:
		return result(s.environment(body.ApplyConfig.Environment).apply(body.ApplyConfig, s))
	case *controlv1.Command_ReportApplied:
		return result(s.environment(body.ReportApplied.Environment).report(body.ReportApplied, s.nowMS))
	case *controlv1.Command_AcquireLease:
		return result(s.acquireLease(body.AcquireLease))
	case *controlv1.Command_ReleaseLease:
		return result(s.releaseLease(body.ReleaseLease))
	case *controlv1.Command_BeginCall:
		return result(s.beginCall(body.BeginCall))
	case *controlv1.Command_FinishCall:
		return result(s.finishCall(body.FinishCall))
	case *controlv1.Command_UpdateRouting:
		return result(s.updateRouting(body.UpdateRouting))
	case *controlv1.Command_RequestDrain:
		return result(s.environment(body.RequestDrain.Environment).requestDrain(body.RequestDrain, s.nowMS))
	case *controlv1.Command_Publish:
		return result(s.publish(body.Publish))
	case *controlv1.Command_ExpireCalls:
		s.expire(body.ExpireCalls)
	}
	return &controlv1.Result{}
}

// result wraps a response in the matching variant of Result.
func result(response any) *controlv1.Result {
	switch r := response.(type) {
	case *controlv1.ApplyConfigResponse:
		return &controlv1.Result{Body: &controlv1.Result_ApplyConfig{ApplyConfig: r}}
	case *controlv1.ReportAppliedResponse:
		return &controlv1.Result{Body: &controlv1.Result_ReportApplied{ReportApplied: r}}
	case *controlv1.AcquireLeaseResponse:
		return &controlv1.Result{Body: &controlv1.Result_AcquireLease{AcquireLease: r}}
	case *controlv1.ReleaseLeaseResponse:
		return &controlv1.Result{Body: &controlv1.Result_ReleaseLease{ReleaseLease: r}}
	case *controlv1.BeginCallResponse:
		return &controlv1.Result{Body: &controlv1.Result_BeginCall{BeginCall: r}}
	case *controlv1.FinishCallResponse:
		return &controlv1.Result{Body: &controlv1.Result_FinishCall{FinishCall: r}}
	case *controlv1.UpdateRoutingResponse:
		return &controlv1.Result{Body: &controlv1.Result_UpdateRouting{UpdateRouting: r}}
	case *controlv1.RequestDrainResponse:
		return &controlv1.Result{Body: &controlv1.Result_RequestDrain{RequestDrain: r}}
	case *controlv1.PublishResponse:
		return &controlv1.Result{Body: &controlv1.Result_Publish{Publish: r}}
	}
	return &controlv1.Result{}
}

func (s *State) environment(name string) *environment {
	e, ok := s.environments[name]
	if !ok {
		e = newEnvironment(name)
		s.environments[name] = e
	}
	return e
}
