// Command 7 shows streams that clients take up again and that don't go on: all processes of the core are
// killed and back within a second while servers of two software versions serve, and later one front is
// killed.
package main

import (
	"fmt"
	"net/http"
	"syscall"
	"time"

	"github.com/galenaarch/galenaarch/review/rig2"
)

const (
	servers  = 8
	events   = 40
	pause    = 290 * time.Millisecond
	deadline = 15 * time.Second
	// contact is contact_ms, down how long the core is down.
	contact = 3 * time.Second
	down    = 800 * time.Millisecond
)

func main() { rig2.Run("review/7", test) }

func test(w *rig2.World) (int, error) {
	var list []*rig2.Server
	for i := range servers {
		s := &rig2.Server{ID: fmt.Sprintf("i-%d", i+1), Service: "models", Address: w.Address(100+i, 8080), Zone: rig2.Zone(i), World: w}
		s.Handle = func(in *rig2.Incarnation, rw http.ResponseWriter, r *http.Request) {
			w.Log("server %s (%s) runs %s after event %q", in.ID, in.Software, r.Header.Get("X-Request-Id"), r.Header.Get("Last-Event-Id"))
			in.Stream(rw, r, events, pause)
		}
		list = append(list, s)
	}
	route := rig2.Route("review", "/review/", "streaming", "models", true, deadline, 2)
	route["target_latency_ms"], route["target_gap_ms"] = 800, 300
	if err := w.Start(5, 4, rig2.Config(1, route)); err != nil {
		return 0, err
	}
	for i, s := range list {
		if err := s.Start([]string{"v1", "v2"}[i%2], 0); err != nil {
			return 0, err
		}
	}
	time.Sleep(3 * time.Second)
	c := &rig2.Resumers{World: w, Path: "/review/1", Every: 80 * time.Millisecond, Deadline: deadline, Gap: 3200 * time.Millisecond}
	stop := make(chan struct{})
	go c.Run(stop)
	time.Sleep(15 * time.Second)
	if w.Trouble {
		for _, m := range w.Cores {
			m.Signal(syscall.SIGKILL)
		}
		time.Sleep(down)
		for _, m := range w.Cores {
			if err := m.Start(); err != nil {
				return 0, err
			}
		}
	}
	time.Sleep(contact + 300*time.Millisecond)
	victim := w.Fronts[0]
	c.Leave(victim)
	victim.Signal(syscall.SIGKILL)
	time.Sleep(4 * time.Second)
	close(stop)
	time.Sleep(13 * time.Second)
	return c.Judge()
}
