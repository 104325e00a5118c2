package fleetview

import (
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/galenaarch/galenaarch/api/fleetv1"
	"github.com/galenaarch/galenaarch/registry"
)

// endedRetention is how long an endedServer is kept: control instances forget servers that are
// silent for as long.
const endedRetention = 2 * time.Minute

// endedServer is a server that drains or has ended by a control instance whose state is lost.
type endedServer struct {
	announcement *fleetv1.Announcement
	keptAt       time.Time
}

// keepEnded keeps what a control instance, whose state is about to be dropped, reported of
// servers that drain or have ended. A server tells one instance only that it ends, and others
// go on to list it as ready. The caller holds the lock.
func (v *View) keepEnded(s *source, now time.Time) {
	for _, a := range s.servers {
		if a.State == fleetv1.ServerState_SERVER_STATE_READY || !registry.Supersedes(a, v.ended[a.Server].announcement) {
			continue
		}
		kept := proto.CloneOf(a)
		kept.Silent = true // nobody knows
		v.ended[a.Server] = endedServer{kept, now}
	}
}

// mergeEnded merges the kept servers into the announcements of the control instances, and
// forgets old ones. The caller holds the lock.
func (v *View) mergeEnded(servers map[string]*fleetv1.Announcement, now time.Time) {
	for server, e := range v.ended {
		if now.Sub(e.keptAt) >= endedRetention {
			delete(v.ended, server)
			continue
		}
		mergeAnnouncement(servers, e.announcement)
	}
}
