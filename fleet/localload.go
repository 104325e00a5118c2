package fleet

import (
	"math"
	"sync"
	"sync/atomic"
	"time"
)

// localLoad counts this entry's runs on a server.
type localLoad struct {
	// inFlight counts the current runs, batch the batch-class runs among them.
	inFlight atomic.Int64
	batch    atomic.Int64
	// dispatchesSinceReport counts the dispatches since the last load report.
	dispatchesSinceReport atomic.Int64
	// The pending counters hold the prompt tokens of runs that have not
	// produced their first token.
	pendingInteractive atomic.Int64
	pendingBatch       atomic.Int64
	// meanRunSeconds is the moving average of run durations, stored as the bits
	// of a float64.
	meanRunSeconds atomic.Uint64
}

// remoteLoad is the part of a server's load that is not this entry's own runs.
type remoteLoad struct {
	runs int64
	// tokens counts prompt tokens not yet computed.
	tokens int64
}

// SetLoad stores a load report and resets the count of dispatches since the
// last report. What exceeds this entry's own runs at this time becomes the remote
// part of the load.
func (s *Server) SetLoad(l Load) {
	l.remote = remoteLoad{
		runs:   max(0, int64(l.Running+l.Waiting)-s.InFlight()),
		tokens: max(0, int64(l.WaitingTokens)-s.PendingTokens()),
	}
	s.load.Store(&l)
	s.local.dispatchesSinceReport.Store(0)
}

// InFlight returns the number of this entry's runs on the server.
func (s *Server) InFlight() int64 { return s.local.inFlight.Load() }

// BatchInFlight returns the number of this entry's batch-class runs.
func (s *Server) BatchInFlight() int64 { return s.local.batch.Load() }

// DispatchesSinceReport returns the number of dispatches since the last report.
func (s *Server) DispatchesSinceReport() int64 { return s.local.dispatchesSinceReport.Load() }

// PendingTokens returns the prompt tokens of this entry's runs that have not
// produced their first token.
func (s *Server) PendingTokens() int64 {
	return s.local.pendingInteractive.Load() + s.local.pendingBatch.Load()
}

// Backlog is the estimated work ahead of a new run.
type Backlog struct {
	// Runs counts the runs on the server, from all entries.
	Runs int64
	// Tokens counts prompt tokens waiting to be computed. InteractiveTokens is
	// the part of them in the interactive class.
	Tokens            int64
	InteractiveTokens int64
	// MeanRunSeconds is the average duration of a run; 0 if unknown.
	MeanRunSeconds float64
}

// Backlog adds this entry's runs to those of the other entries. The load
// reported by the entries themselves is used if it is fresh; otherwise the
// remainder of the server's last report after subtracting this entry's runs.
func (s *Server) Backlog(now time.Time) Backlog {
	interactive, batch := s.local.pendingInteractive.Load(), s.local.pendingBatch.Load()
	remote := remoteLoad{}
	if p := s.PeerLoad(); !p.ReceivedAt.IsZero() && now.Sub(p.ReceivedAt) <= PeerLoadTTL {
		remote = remoteLoad{runs: p.InFlight, tokens: p.PendingTokens}
	} else if l := s.load.Load(); l != nil {
		remote = l.remote
	}
	b := Backlog{
		Runs:           s.InFlight() + remote.runs,
		Tokens:         interactive + batch + remote.tokens,
		MeanRunSeconds: math.Float64frombits(s.local.meanRunSeconds.Load()),
	}
	b.InteractiveTokens = interactive
	if local := interactive + batch; local > 0 {
		// Assumes that other entries have about the same class mix.
		b.InteractiveTokens += remote.tokens * interactive / local
	} else {
		b.InteractiveTokens += remote.tokens / 2
	}
	return b
}

// runTimeSmoothing is the weight of the latest run in the moving average of run
// durations.
const runTimeSmoothing = 0.1

// StartRun counts the dispatch of a run with the given number of prompt tokens to
// compute. The caller must call first at the first token and end when the run
// finishes.
func (s *Server) StartRun(tokens int64, batch bool) (first, end func()) {
	started := time.Now()
	pending := &s.local.pendingInteractive
	if batch {
		pending = &s.local.pendingBatch
		s.local.batch.Add(1)
	}
	s.local.inFlight.Add(1)
	s.local.dispatchesSinceReport.Add(1)
	pending.Add(tokens)
	first = sync.OnceFunc(func() { pending.Add(-tokens) })
	end = sync.OnceFunc(func() {
		first()
		s.local.inFlight.Add(-1)
		if batch {
			s.local.batch.Add(-1)
		}
		s.local.recordRunTime(time.Since(started).Seconds())
	})
	return first, end
}

// recordRunTime adds the duration of a run to the moving average.
func (l *localLoad) recordRunTime(seconds float64) {
	for {
		bits := l.meanRunSeconds.Load()
		mean := math.Float64frombits(bits)
		if bits == 0 {
			mean = seconds
		}
		next := mean + runTimeSmoothing*(seconds-mean)
		if l.meanRunSeconds.CompareAndSwap(bits, math.Float64bits(next)) {
			return
		}
	}
}
