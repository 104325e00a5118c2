package control

import (
	"context"

	"github.com/twitchtv/twirp"

	"github.com/galenaarch/galenaarch/api/controlv1"
)

// maxRoutesPerRequest bounds the server routes in one request.
const maxRoutesPerRequest = 4096

// UpdateRouting implements controlv1.Control.
func (s *Server) UpdateRouting(ctx context.Context, req *controlv1.UpdateRoutingRequest) (*controlv1.UpdateRoutingResponse, error) {
	if err := checkName("environment", req.Environment); err != nil {
		return nil, err
	}
	if err := checkName("deployment", req.Deployment); err != nil {
		return nil, err
	}
	if len(req.Upserts)+len(req.Removes) > maxRoutesPerRequest {
		return nil, twirp.InvalidArgumentError("upserts", "too many marks in one request")
	}
	for _, m := range req.Upserts {
		if err := checkName("upserts.server", m.Server); err != nil {
			return nil, err
		}
	}
	result, err := s.propose(ctx, &controlv1.Command{Body: &controlv1.Command_UpdateRouting{UpdateRouting: req}})
	return result.GetUpdateRouting(), err
}

// RequestDrain implements controlv1.Control.
func (s *Server) RequestDrain(ctx context.Context, req *controlv1.RequestDrainRequest) (*controlv1.RequestDrainResponse, error) {
	if err := checkName("environment", req.Environment); err != nil {
		return nil, err
	}
	if err := checkName("drain.name", req.Drain.GetName()); err != nil {
		return nil, err
	}
	if req.Drain.Target == controlv1.DrainTarget_DRAIN_TARGET_UNSPECIFIED {
		return nil, twirp.InvalidArgumentError("drain.target", "expected server, instance or failure domain")
	}
	if req.Drain.MaxLost < 0 || req.Drain.MaxLost > 1 {
		return nil, twirp.InvalidArgumentError("drain.max_lost", "expected a share from 0 to 1")
	}
	result, err := s.propose(ctx, &controlv1.Command{Body: &controlv1.Command_RequestDrain{RequestDrain: req}})
	return result.GetRequestDrain(), err
}
