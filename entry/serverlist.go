package entry

import (
	"net/http"

	"github.com/galenaarch/galenaarch/api/backend"
)

// serveServers lists the backend servers known to this entry, for stewards and
// operators.
func (e *Entry) serveServers(w http.ResponseWriter, _ *http.Request) {
	list := backend.ServerList{Servers: []backend.Announcement{}}
	for _, s := range e.fleet.All() {
		list.Servers = append(list.Servers, s.Announcement)
	}
	writeJSON(w, list)
}

// ServerCount returns the number of currently announced backend servers.
func (e *Entry) ServerCount() int { return len(e.fleet.All()) }
