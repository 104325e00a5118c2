package control

import (
	"context"

	"github.com/twitchtv/twirp"

	"github.com/galenaarch/galenaarch/api/controlv1"
	"github.com/galenaarch/galenaarch/control/state"
)

// Publish implements controlv1.Control.
func (s *Server) Publish(ctx context.Context, req *controlv1.PublishRequest) (*controlv1.PublishResponse, error) {
	if err := checkName("document.name", req.Document.GetName()); err != nil {
		return nil, err
	}
	if req.Document.Version == 0 {
		return nil, twirp.InvalidArgumentError("document.version", "must be above 0")
	}
	result, err := s.propose(ctx, &controlv1.Command{Body: &controlv1.Command_Publish{Publish: req}})
	return result.GetPublish(), err
}

// GetPublished implements controlv1.Control.
func (s *Server) GetPublished(ctx context.Context, req *controlv1.GetPublishedRequest) (*controlv1.GetPublishedResponse, error) {
	if err := checkName("name", req.Name); err != nil {
		return nil, err
	}
	response := &controlv1.GetPublishedResponse{}
	err := s.log.Read(ctx, func(st *state.State) { response.Document = st.Published(req.Name) })
	if err != nil {
		return nil, unavailable(err)
	}
	return response, nil
}
