// Command 8 shows streams that clients take up again and that don't go on: one front freezes, and a
// release begins before its clients give their streams up.
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
	events   = 30
	pause    = 150 * time.Millisecond
	deadline = 5 * time.Second
	// gap is how long clients wait for an event: two seconds, four times the objective or eight times
	// the pause, whichever is longest. frozen is how long the front stands still.
	gap    = 2 * time.Second
	frozen = 3500 * time.Millisecond
)

func main() { rig2.Run("review/8", test) }

func test(w *rig2.World) (int, error) {
	server := func(i int) *rig2.Server {
		s := &rig2.Server{ID: fmt.Sprintf("i-%d", i+1), Service: "models", Address: w.Address(100+i, 8080), Zone: rig2.Zone(i), World: w}
		s.Handle = func(in *rig2.Incarnation, rw http.ResponseWriter, r *http.Request) {
			w.Log("server %s (%s) runs %s after event %q", in.ID, in.Software, r.Header.Get("X-Request-Id"), r.Header.Get("Last-Event-Id"))
			in.Stream(rw, r, events, pause)
		}
		return s
	}
	if err := w.Start(5, 4, rig2.Config(1, rig2.Route("note", "/note/", "streaming", "models", true, deadline, 2))); err != nil {
		return 0, err
	}
	for i := range servers {
		if err := server(i).Start("v1", 0); err != nil {
			return 0, err
		}
	}
	time.Sleep(3 * time.Second)
	c := &rig2.Resumers{World: w, Path: "/note/1", Every: 20 * time.Millisecond, Deadline: deadline, Gap: gap}
	stop := make(chan struct{})
	go c.Run(stop)
	time.Sleep(20 * time.Second)
	victim := w.Fronts[0]
	if w.Trouble {
		c.Leave(victim)
		victim.Signal(syscall.SIGSTOP)
	}
	time.Sleep(500 * time.Millisecond)
	// A release begins: a server with the next version starts, all others go on.
	if err := server(servers).Start("v2", 0); err != nil {
		return 0, err
	}
	time.Sleep(frozen - 500*time.Millisecond)
	if w.Trouble {
		victim.Signal(syscall.SIGCONT)
	}
	time.Sleep(2 * time.Second)
	close(stop)
	time.Sleep(6 * time.Second)
	return c.Judge()
}
