package fleetview

import (
	"time"

	"github.com/galenaarch/galenaarch/api/fleetv1"
)

const (
	// leavingTold is how long control instances are told of a server that leaves:
	// one that starts meanwhile knows nothing of it.
	leavingTold = time.Minute
	// mostLeaving bounds what is told at once.
	mostLeaving = 256
)

// leaving are the lives of servers that said to this process that they leave. It
// is guarded by the view's lock.
type leaving struct {
	lives []*fleetv1.ServerLife
	since []time.Time
}

// told are the lives that control instances are told of.
func (l *leaving) told(now time.Time) []*fleetv1.ServerLife {
	for len(l.since) > 0 && now.Sub(l.since[0]) > leavingTold {
		l.lives, l.since = l.lives[1:], l.since[1:]
	}
	return l.lives[:len(l.lives):len(l.lives)]
}

// Leaving tells all control instances, without waiting for the next poll, that one
// life of a server has said that it leaves.
func (v *View) Leaving(server string, born int64) {
	v.mu.Lock()
	defer v.mu.Unlock()
	if len(v.leaving.lives) >= mostLeaving {
		v.leaving.lives, v.leaving.since = v.leaving.lives[1:], v.leaving.since[1:]
	}
	v.leaving.lives = append(v.leaving.lives, &fleetv1.ServerLife{Server: server, BornUnixMs: born})
	v.leaving.since = append(v.leaving.since, time.Now())
	v.tell()
}
