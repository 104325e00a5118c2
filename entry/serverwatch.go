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
}

// watchServer returns a context that is canceled once the server is lost and no
// event has arrived for lostServerGrace after that.
func watchServer(ctx context.Context, server *fleet.Server) (context.Context, *serverWatch) {
	ctx, cancel := context.WithCancelCause(ctx)
	w := &serverWatch{ctx: ctx, cancel: cancel}
	w.unregister = context.AfterFunc(server.LostContext(), w.run)
	return ctx, w
}

// run cancels the attempt after a grace period without events.
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
		if w.events.Load() == before {
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
