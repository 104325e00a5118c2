// Package control implements the control service: a replicated, durable store
// for configuration, leases and records of non-idempotent calls.
package control

import (
	"context"
	"errors"
	"time"

	"github.com/twitchtv/twirp"

	"github.com/galenaarch/galenaarch/api/controlv1"
	"github.com/galenaarch/galenaarch/control/replog"
	"github.com/galenaarch/galenaarch/control/state"
)

// Log orders commands and applies them to the state. After an error the outcome
// is unknown: the command may still be applied.
type Log interface {
	// Propose appends a command and returns its result once it is committed
	// and applied.
	Propose(ctx context.Context, cmd *controlv1.Command) (*controlv1.Result, error)
	// Read is a linearizable read: it calls view with a state that includes
	// every command committed before the call. view must not retain the state,
	// but may retain the messages that it returns; those are immutable.
	Read(ctx context.Context, view func(*state.State)) error
	// ReadLocal calls view with the local state, which may be stale.
	ReadLocal(view func(*state.State))
	// ConfigChanged returns a channel that is closed when the next change of
	// configuration, routing, drains or published documents is accepted.
	ConfigChanged() <-chan struct{}
	// LeaderURL returns the base URL of the current leader, empty if unknown.
	LeaderURL() string
}

// Limits on request parameters. A longer wait is reduced to maxConfigWait.
const (
	maxLeaseTerm  = 5 * time.Minute
	maxConfigWait = 30 * time.Second
	maxNameBytes  = 256
)

// Server implements the twirp service Control over a Log.
type Server struct {
	log Log
}

// NewServer returns a server that uses the given log.
func NewServer(log Log) *Server { return &Server{log: log} }

// Interface guard.
var _ controlv1.Control = (*Server)(nil)

func (s *Server) propose(ctx context.Context, cmd *controlv1.Command) (*controlv1.Result, error) {
	result, err := s.log.Propose(ctx, cmd)
	if err != nil {
		return nil, unavailable(err)
	}
	return result, nil
}

// LeaderMetaKey is the metadata key of an "unavailable" error that holds the base
// URL of the leader.
const LeaderMetaKey = "leader"

func unavailable(err error) error {
	twirpErr := twirp.NewError(twirp.Unavailable, err.Error())
	var notLeader *replog.NotLeaderError
	if errors.As(err, &notLeader) && notLeader.LeaderURL != "" {
		return twirpErr.WithMeta(LeaderMetaKey, notLeader.LeaderURL)
	}
	return twirpErr
}

func checkName(field, value string) error {
	if value == "" {
		return twirp.RequiredArgumentError(field)
	}
	if len(value) > maxNameBytes {
		return twirp.InvalidArgumentError(field, "is too long")
	}
	return nil
}

func checkLeaseTerm(field string, ms uint32) error {
	if ms == 0 || time.Duration(ms)*time.Millisecond > maxLeaseTerm {
		return twirp.InvalidArgumentError(field, "must be above 0 and at most "+maxLeaseTerm.String())
	}
	return nil
}

// ApplyConfig implements controlv1.Control.
func (s *Server) ApplyConfig(ctx context.Context, req *controlv1.ApplyConfigRequest) (*controlv1.ApplyConfigResponse, error) {
	if err := checkName("environment", req.Environment); err != nil {
		return nil, err
	}
	if err := checkName("change_id", req.ChangeId); err != nil {
		return nil, err
	}
	result, err := s.propose(ctx, &controlv1.Command{Body: &controlv1.Command_ApplyConfig{ApplyConfig: req}})
	return result.GetApplyConfig(), err
}

// GetConfig implements controlv1.Control. The first read is linearizable. Later
// reads are local: a change that wakes the wait is already committed.
func (s *Server) GetConfig(ctx context.Context, req *controlv1.GetConfigRequest) (*controlv1.GetConfigResponse, error) {
	if err := checkName("environment", req.Environment); err != nil {
		return nil, err
	}
	wait := min(time.Duration(req.WaitMs)*time.Millisecond, maxConfigWait)
	changed := s.log.ConfigChanged()
	var response *controlv1.GetConfigResponse
	view := func(st *state.State) {
		response = st.Config(req.Environment, req.KnownRevision)
		if req.WithRouting {
			response.Routing = st.Routing(req.Environment, req.KnownRoutingEpoch)
		}
	}
	if err := s.log.Read(ctx, view); err != nil {
		return nil, unavailable(err)
	}
	deadline := time.NewTimer(wait)
	defer deadline.Stop()
	for response.Revision <= req.KnownRevision && response.Routing == nil && wait > 0 {
		select {
		case <-changed:
			changed = s.log.ConfigChanged()
			s.log.ReadLocal(view)
		case <-deadline.C:
			return response, nil
		case <-ctx.Done():
			return nil, unavailable(ctx.Err())
		}
	}
	return response, nil
}

// ReportApplied implements controlv1.Control.
func (s *Server) ReportApplied(ctx context.Context, req *controlv1.ReportAppliedRequest) (*controlv1.ReportAppliedResponse, error) {
	if err := checkName("instance", req.Instance); err != nil {
		return nil, err
	}
	if err := checkLeaseTerm("lease_ms", req.LeaseMs); err != nil {
		return nil, err
	}
	result, err := s.propose(ctx, &controlv1.Command{Body: &controlv1.Command_ReportApplied{ReportApplied: req}})
	return result.GetReportApplied(), err
}

// GetHistory implements controlv1.Control.
func (s *Server) GetHistory(ctx context.Context, req *controlv1.GetHistoryRequest) (*controlv1.GetHistoryResponse, error) {
	response := &controlv1.GetHistoryResponse{}
	err := s.log.Read(ctx, func(st *state.State) {
		response.Entries = st.History(req.Environment, int(req.Limit))
	})
	if err != nil {
		return nil, unavailable(err)
	}
	return response, nil
}

// GetStatus implements controlv1.Control.
func (s *Server) GetStatus(ctx context.Context, req *controlv1.GetStatusRequest) (*controlv1.GetStatusResponse, error) {
	var response *controlv1.GetStatusResponse
	err := s.log.Read(ctx, func(st *state.State) {
		response = st.Status(req.Environment)
	})
	if err != nil {
		return nil, unavailable(err)
	}
	response.Leader = s.log.LeaderURL()
	return response, nil
}

// AcquireLease implements controlv1.Control.
func (s *Server) AcquireLease(ctx context.Context, req *controlv1.AcquireLeaseRequest) (*controlv1.AcquireLeaseResponse, error) {
	if err := checkName("name", req.Name); err != nil {
		return nil, err
	}
	if err := checkName("holder", req.Holder); err != nil {
		return nil, err
	}
	if err := checkLeaseTerm("term_ms", req.TermMs); err != nil {
		return nil, err
	}
	result, err := s.propose(ctx, &controlv1.Command{Body: &controlv1.Command_AcquireLease{AcquireLease: req}})
	return result.GetAcquireLease(), err
}

// ReleaseLease implements controlv1.Control.
func (s *Server) ReleaseLease(ctx context.Context, req *controlv1.ReleaseLeaseRequest) (*controlv1.ReleaseLeaseResponse, error) {
	if err := checkName("name", req.Name); err != nil {
		return nil, err
	}
	result, err := s.propose(ctx, &controlv1.Command{Body: &controlv1.Command_ReleaseLease{ReleaseLease: req}})
	return result.GetReleaseLease(), err
}

// BeginCall implements controlv1.Control.
func (s *Server) BeginCall(ctx context.Context, req *controlv1.BeginCallRequest) (*controlv1.BeginCallResponse, error) {
	if err := checkName("client_account", req.ClientAccount); err != nil {
		return nil, err
	}
	if err := checkName("key", req.Key); err != nil {
		return nil, err
	}
	result, err := s.propose(ctx, &controlv1.Command{Body: &controlv1.Command_BeginCall{BeginCall: req}})
	return result.GetBeginCall(), err
}

// FinishCall implements controlv1.Control.
func (s *Server) FinishCall(ctx context.Context, req *controlv1.FinishCallRequest) (*controlv1.FinishCallResponse, error) {
	if err := checkName("client_account", req.ClientAccount); err != nil {
		return nil, err
	}
	if err := checkName("key", req.Key); err != nil {
		return nil, err
	}
	result, err := s.propose(ctx, &controlv1.Command{Body: &controlv1.Command_FinishCall{FinishCall: req}})
	return result.GetFinishCall(), err
}
