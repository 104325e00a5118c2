package emulator

import (
	"time"

	"github.com/galenaarch/galenaarch/dispatch"
	"github.com/galenaarch/galenaarch/placement"
	"github.com/galenaarch/galenaarch/retry"
)

// Rules of all entry instances in the model.
const (
	// patience is how long a repeatable request waits for a server that says
	// nothing.
	patience = 700 * time.Millisecond
	// budgetSpan, budgetRatio and budgetSlack bound repeats of all instances.
	budgetSpan  = 10 * time.Second
	budgetRatio = 0.16
	budgetSlack = 40
	// holdStep is after how long a prompt that waits is judged anew.
	holdStep = 40 * time.Millisecond
)

// epoch is the zero of virtual time where decisions take a time.Time.
var epoch = time.Unix(1_000_000, 0)

// clock is a virtual time as decisions take it.
func clock(at time.Duration) time.Time { return epoch.Add(at) }

// known is what an entry instance knows of one server.
type known struct {
	dispatch.BackendState
	// since is from when it has heard of the server; told is when the server told
	// it that it leaves, paused until when it wants nothing, 0 for neither.
	since        time.Duration
	told, paused time.Duration
}

// entry drives the decisions of one entry instance, as the gateway does with
// sockets: see dispatch.
type entry struct {
	beliefs map[*server]*known
	budget  *retry.Window
	mix     placement.LengthMix
	line    dispatch.WaitQueue
	reader  dispatch.PrefillModel
	errors  []dispatch.EstimateErrors
	looked  bool
	// began is when it last began to know nothing.
	began time.Duration
}

func newEntry(p *Pattern, servers []*server) *entry {
	e := &entry{beliefs: make(map[*server]*known), budget: retry.NewWindow(budgetSpan, budgetRatio, budgetSlack/float64(p.Entries)), errors: make([]dispatch.EstimateErrors, len(p.Kinds)), began: -time.Hour}
	for _, s := range servers {
		e.beliefs[s] = newKnown(s, 0)
	}
	return e
}

func newKnown(s *server, since time.Duration) *known {
	announced := dispatch.BackendInfo{Slots: s.slots}
	if s.engines != nil {
		announced.MemoryTokens = s.engines.MemoryTokens
	}
	return &known{BackendState: dispatch.NewBackendState(announced, clock(since)), since: since}
}

// servers are those of a list that may be asked.
func (e *entry) servers(list []*server, at time.Duration) []*server {
	usable := make([]*server, 0, len(list))
	for _, s := range list {
		b := e.beliefs[s]
		if b.since <= at && !b.Leaving() && !clock(at).Before(b.PausedUntil()) {
			usable = append(usable, s)
		}
	}
	return usable
}

// hear takes what a server says with an answer.
func (e *entry) hear(s *server, refused bool, at time.Duration, spread float64) {
	b := e.beliefs[s]
	leaves, pause := s.says(at)
	if leaves && !b.Leaving() {
		b.MarkLeaving()
		b.told = at
	}
	if refused && pause > 0 {
		b.Pause(pause, clock(at), spread)
		b.paused = at + pause
	}
}
