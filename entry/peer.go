package entry

import (
	"net/http"

	"github.com/galenaarch/galenaarch/api/answersv1"
	"github.com/galenaarch/galenaarch/membership"
)

// peerRoutes returns the handler for other entries. Every twirp service of the
// inter-entry protocol is mounted under its path prefix.
func (e *Entry) peerRoutes() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /peer/v1/servers", e.serveServers)
	answersServer := answersv1.NewAnswersServer(&answersService{e})
	mux.Handle(answersServer.PathPrefix(), answersServer)
	mux.Handle(membership.PathPrefix, e.node.HTTPHandler())
	mux.Handle(e.catalogue.Handler())
	return mux
}
