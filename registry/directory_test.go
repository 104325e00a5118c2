package registry

import (
	"context"
	"fmt"
	"log/slog"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/galenaarch/galenaarch/api/fleetv1"
)

// pollingFleet are entry instances that poll a hub.
type pollingFleet struct {
	t    *testing.T
	hub  *Hub
	ends map[string]context.CancelFunc
}

func newPollingFleet(t *testing.T) *pollingFleet {
	return &pollingFleet{t: t, hub: NewHub(time.Second, noDocuments{}, slog.New(slog.DiscardHandler)), ends: make(map[string]context.CancelFunc)}
}

// start starts an entry instance, whose address is its name, in place of one that runs.
func (f *pollingFleet) start(name string, startedMS int64, accepting bool) {
	if end := f.ends[name]; end != nil {
		end()
	}
	ctx, cancel := context.WithCancel(f.t.Context())
	f.ends[name] = cancel
	self := &fleetv1.EntryInstance{Name: name, StartedUnixMs: startedMS, Sequence: 1, Address: name, Accepting: accepting}
	go func() {
		for ctx.Err() == nil {
			_, _ = f.hub.Sync(ctx, &fleetv1.SyncRequest{Self: self}) // it fails only at the end of ctx
			time.Sleep(100 * time.Millisecond)
		}
	}()
	synctest.Wait()
}

// kill ends entry instances at once.
func (f *pollingFleet) kill(names ...string) {
	for _, name := range names {
		f.ends[name]()
	}
	synctest.Wait()
}

// end ends all entry instances, with their pauses between polls.
func (f *pollingFleet) end() {
	for _, end := range f.ends {
		end()
	}
	time.Sleep(time.Second)
}

func names(from, to int) (list []string) {
	for n := from; n <= to; n++ {
		list = append(list, fmt.Sprint("e-", n))
	}
	return list
}

// Guards against all clients being sent to the few entry instances that are left when most lose power at
// once: they get many times their load until the others are listed again, and streams resumed there are lost.
func TestFewEntriesLeftAreNotListedAlone(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newPollingFleet(t)
		for _, name := range names(1, 9) {
			f.start(name, 1, true)
		}
		require.Equal(t, names(1, 9), f.hub.AcceptingAddresses("", 0))
		f.kill(names(3, 9)...)
		time.Sleep(entryPollGrace + 200*time.Millisecond)
		require.Equal(t, names(1, 9), f.hub.AcceptingAddresses("", 0), "two of nine are left")
		f.start("e-3", 2, false)
		require.NotContains(t, f.hub.AcceptingAddresses("", 0), "e-3", "it is back, and not ready")
		f.start("e-3", 3, true)
		require.Equal(t, names(1, 3), f.hub.AcceptingAddresses("", 0), "three of nine are enough")
		f.kill("e-2", "e-3")
		time.Sleep(entryPollGrace + 200*time.Millisecond)
		require.Equal(t, names(1, 9), f.hub.AcceptingAddresses("", 0))
		time.Sleep(lostListingTime)
		require.Equal(t, names(1, 1), f.hub.AcceptingAddresses("", 0), "the others have not come back")
		f.kill("e-1")
		f.start("e-2", 3, false)
		time.Sleep(entryPollGrace + 200*time.Millisecond)
		require.Equal(t, names(2, 2), f.hub.AcceptingAddresses("", 0), "half are left: one starts, one is lost")
		f.end()
	})
}

// Guards against entry instances that are listed although they are gone: those that have stopped as planned, and
// a part of them that has ended.
func TestEndedEntriesAreNotListed(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newPollingFleet(t)
		for _, name := range names(1, 8) {
			f.start(name, 1, true)
		}
		f.kill(names(3, 8)[:5]...)
		time.Sleep(entryPollGrace + 200*time.Millisecond)
		require.Equal(t, []string{"e-1", "e-2", "e-8"}, f.hub.AcceptingAddresses("", 0), "three of eight are left")
		f.kill("e-2", "e-8")
		time.Sleep(lostListingTime)
		f.start("e-2", 2, true)
		for _, name := range names(3, 8) {
			f.start(name, 2, false) // they stop, and finish their streams
		}
		f.kill(names(3, 8)...)
		time.Sleep(entryPollGrace + 200*time.Millisecond)
		require.Equal(t, names(1, 2), f.hub.AcceptingAddresses("", 0), "the others have stopped accepting before they ended")
		f.end()
	})
}
