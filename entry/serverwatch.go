package entry

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/galenaarch/galenaarch/fleet"
	"github.com/galenaarch/galenaarch/relay"
)

// serverWatch aborts an attempt on a server that was lost, well before
// maxTokenGap expires.
type serverWatch struct {
	ctx        context.Context
	cancel     context.CancelCauseFunc
	unregister func() bool
	events     atomic.Uint64
	// mayMove reports whether another server may take over the attempt, given the number
	// of its events so far. A server that is lost may go on.
	mayMove func(events uint64) bool
}

// watchServer returns a context that is canceled once the server is lost, no event has
// arrived for lostServerGrace after that, and mayMove allows it.
func watchServer(ctx context.Context, server *fleet.Server, mayMove func(events uint64) bool) (context.Context, *serverWatch) {
	ctx, cancel := context.WithCancelCause(ctx)
	w := &serverWatch{ctx: ctx, cancel: cancel, mayMove: mayMove}
	w.unregister = context.AfterFunc(server.LostContext(), w.run)
	return ctx, w
}

// run cancels the attempt after a grace period without events if it may move.
func (w *serverWatch) run() {
	ticker := time.NewTicker(lostServerGrace)
	defer ticker.Stop()
	for {
		before := w.events.Load()
		select {
		case <-w.ctx.Done():
			return
		case <-ticker.C:
		}
		if w.events.Load() == before && w.mayMove(before) {
			w.cancel(relay.ErrServerUnresponsive)
			return
		}
	}
}

// recordEvent notes that an event has arrived.
func (w *serverWatch) recordEvent() { w.events.Add(1) }

func (w *serverWatch) stop() {
	w.unregister()
	w.cancel(nil)
}
