// Package health ejects backend servers whose calls fail and readmits them after the
// ejection time. A successful call only touches atomics; the state machine runs on
// failures and on the first success after one.
package health

import (
	"sync"
	"sync/atomic"
	"time"

	"github.com/qmuntal/stateless"
)

// Ejection parameters.
const (
	// ejectAfter is the number of consecutive failures that ejects a server.
	ejectAfter = 3
	// minEjection and maxEjection bound the ejection time, which doubles while the
	// server keeps failing.
	minEjection = 500 * time.Millisecond
	maxEjection = 30 * time.Second
)

// State is the health state of a server as seen by one entry instance.
type State string

// Health states.
const (
	// StateHealthy: calls succeed.
	StateHealthy State = "healthy"
	// StateEjected: calls failed; none is sent until the ejection ends.
	StateEjected State = "ejected"
	// StateProbing: the ejection ended; a single failure ejects again.
	StateProbing State = "probing"
)

type trigger string

const (
	triggerEject   trigger = "eject"
	triggerProbe   trigger = "probe"
	triggerRecover trigger = "recover"
)

// Server tracks the health of one backend server. The zero value is healthy. It is safe
// for concurrent use.
type Server struct {
	failures atomic.Int32
	// ejectedUntil is when the ejection ends, with its monotonic reading; nil if the server is
	// not ejected.
	ejectedUntil atomic.Pointer[time.Time]

	mu           sync.Mutex
	stateMachine *stateless.StateMachine
	ejectionTime time.Duration
}

func newStateMachine() *stateless.StateMachine {
	m := stateless.NewStateMachine(StateHealthy)
	m.Configure(StateHealthy).Permit(triggerEject, StateEjected).Ignore(triggerRecover).Ignore(triggerProbe)
	m.Configure(StateEjected).Permit(triggerProbe, StateProbing).Permit(triggerRecover, StateHealthy).Ignore(triggerEject)
	m.Configure(StateProbing).Permit(triggerEject, StateEjected).Permit(triggerRecover, StateHealthy).Ignore(triggerProbe)
	return m
}

// Usable reports whether calls may be sent now.
func (s *Server) Usable(now time.Time) bool {
	until := s.ejectedUntil.Load()
	return until == nil || !now.Before(*until)
}

// State returns the current health state.
func (s *Server) State(now time.Time) State {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.stateMachine == nil {
		return StateHealthy
	}
	s.probeIfDue(now)
	return s.stateMachine.MustState().(State)
}

// Succeeded records a call that got a response.
func (s *Server) Succeeded() {
	if s.failures.Load() == 0 {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.failures.Store(0)
	if s.stateMachine == nil {
		return
	}
	_ = s.stateMachine.Fire(triggerRecover) // permitted or ignored in every state
	s.ejectionTime = 0
	s.ejectedUntil.Store(nil)
}

// Failed records a call that got no response. An unreachable server is ejected at once,
// others after ejectAfter consecutive failures or the first one while probing.
func (s *Server) Failed(now time.Time, unreachable bool) {
	failures := s.failures.Add(1)
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.stateMachine == nil {
		s.stateMachine = newStateMachine()
	}
	s.probeIfDue(now)
	probing := s.stateMachine.MustState() == StateProbing
	if !unreachable && !probing && failures < ejectAfter {
		return
	}
	if s.stateMachine.MustState() == StateEjected {
		return
	}
	_ = s.stateMachine.Fire(triggerEject) // permitted in the other states
	s.ejectionTime = min(max(2*s.ejectionTime, minEjection), maxEjection)
	until := now.Add(s.ejectionTime)
	s.ejectedUntil.Store(&until)
}

func (s *Server) probeIfDue(now time.Time) {
	if s.stateMachine.MustState() == StateEjected && s.Usable(now) {
		_ = s.stateMachine.Fire(triggerProbe) // permitted in StateEjected
	}
}
