package fleetview

import (
	"context"
	"log/slog"
	"math/bits"
	"math/rand/v2"
	"time"

	"github.com/galenaarch/galenaarch/api/controlv1"
	"github.com/galenaarch/galenaarch/api/fleetv1"
)

const (
	// fetchInterval is the pause between two fetches of a document: several
	// versions may be published within a second, and only the newest is needed.
	fetchInterval = 100 * time.Millisecond
	// fetchTimeout bounds one fetch; see responseLimit.
	fetchTimeout = time.Second
	// joinAfter is how long a fetch may take before one at another control instance joins it.
	// Invariant: while a majority of nine control instances delivers the content, one of them
	// is asked within 4 x joinAfter, which is within the time for a change to be in force.
	joinAfter = 400 * time.Millisecond
	// avoidTime is how long a control instance that failed to deliver a document in time is
	// asked only if no other can be.
	avoidTime = 10 * time.Second
	// maxBackoffDoublings limits the exponential backoff of fetches from one control
	// instance that failed.
	maxBackoffDoublings = 4
)

// fetchRun brings the newest known version of a document. Its fields are used by one goroutine.
type fetchRun struct {
	view     *View
	name     string
	reported chan struct{}
	// attempts holds those that have begun at each control instance, failedAt when the last
	// one failed, inProgress when the current one began.
	attempts   map[string]int
	failedAt   map[string]time.Time
	inProgress map[string]time.Time
	results    chan fetchResult
	failures   int
	// nextStart is when the next fetch may begin.
	nextStart time.Time
}

// fetchResult is the outcome of one fetch.
type fetchResult struct {
	source    *source
	document  *controlv1.PublishedDocument
	err       error
	startedAt time.Time
}

// fetchDocument fetches a document until its newest known version is stored. A control instance
// that takes long delays it by joinAfter only: another one is asked as well, and the first
// content counts.
func (v *View) fetchDocument(name string) {
	ctx, cancel := context.WithCancel(v.ctx)
	defer cancel()
	v.mu.Lock()
	reported := v.fetches[name].reported
	v.mu.Unlock()
	r := &fetchRun{
		view: v, name: name, reported: reported, attempts: make(map[string]int), failedAt: make(map[string]time.Time),
		inProgress: make(map[string]time.Time), results: make(chan fetchResult),
	}
	for {
		wait, finished := r.begin(ctx)
		if finished {
			return
		}
		timer := time.NewTimer(wait)
		select {
		case <-ctx.Done():
		case result := <-r.results:
			r.handle(result)
		case <-r.reported:
		case <-timer.C:
		}
		timer.Stop()
		if ctx.Err() != nil {
			return
		}
	}
}

// begin begins a fetch if one may begin now, and returns how long to wait for the next one. The
// run is finished once the newest known version is stored, or no control instance that reported
// it is left.
func (r *fetchRun) begin(ctx context.Context) (wait time.Duration, finished bool) {
	v := r.view
	v.mu.Lock()
	defer v.mu.Unlock()
	fetch, stored := v.fetches[r.name], v.documents[r.name]
	if stored != nil && stored.Version >= fetch.version {
		fetch.running = false
		return 0, true
	}
	now := time.Now()
	start := r.nextStart
	if stored != nil && len(r.inProgress) == 0 && r.failures == 0 {
		if reportedUntil := fetch.reportedAt.Add(reportWait); reportedUntil.After(start) {
			start = reportedUntil
		}
	}
	if now.Before(start) {
		return start.Sub(now), false
	}
	// A minority that does not respond must not keep the others from being asked.
	if 2*len(r.inProgress) > len(v.sources) {
		return maxRetryPause, false
	}
	s, startAt := r.pickSource(fetch.version, now)
	switch {
	case s == nil && len(r.inProgress) > 0:
		return maxRetryPause, false
	case s == nil:
		// The fetch starts again when a source reports the version.
		fetch.running, fetch.version = false, stored.GetVersion()
		return 0, true
	case now.Before(startAt):
		return startAt.Sub(now), false
	}
	r.attempts[s.url]++
	r.inProgress[s.url] = now
	r.nextStart = now.Add(joinAfter)
	go r.fetch(ctx, s, s.contentLimit.of(fetchTimeout))
	return joinAfter, false
}

// fetch requests the document from one control instance.
func (r *fetchRun) fetch(ctx context.Context, s *source, limit time.Duration) {
	result := fetchResult{source: s, startedAt: time.Now()}
	requestCtx, cancel := context.WithTimeout(ctx, limit)
	defer cancel()
	result.document, result.err = s.client.Document(requestCtx, &fleetv1.DocumentRequest{Name: r.name})
	if ctx.Err() == nil {
		r.view.noteContentTime(s, result.err, requestCtx.Err() != nil, time.Since(result.startedAt))
	}
	select {
	case r.results <- result:
	case <-ctx.Done():
	}
}

// handle applies the result of a fetch.
func (r *fetchRun) handle(result fetchResult) {
	v, s, now := r.view, result.source, time.Now()
	delete(r.inProgress, s.url)
	if result.err != nil {
		r.failedAt[s.url] = now
		// Another control instance that has not failed is asked at once.
		r.nextStart = now
		if r.failures++; bits.OnesCount(uint(r.failures)) == 1 {
			// Each doubling of the number of failures is logged.
			v.logger.Warn("document fetch failed", slog.String("document", r.name), slog.String("peer", s.url), slog.Int("failures", r.failures),
				slog.Int("in_progress", len(r.inProgress)), slog.Duration("took", now.Sub(result.startedAt)), slog.Any("error", result.err))
		}
		return
	}
	behind := v.storeDocument(result.document)
	v.logger.Info("document fetched", slog.String("document", r.name), slog.Uint64("version", result.document.Version), slog.String("peer", s.url), slog.Duration("took", now.Sub(result.startedAt)), slog.Duration("behind", behind))
	v.avoidSlower(r.inProgress, result.startedAt, now)
	r.failures = 0
	r.nextStart = now.Add(fetchInterval)
}

// pickSource selects the control instance to fetch from, and the time from which that may begin:
// among those that reported the version and are not asked already, at random one of the best by
// preferSource. It returns nil if there is none. The caller holds the view's lock.
func (r *fetchRun) pickSource(version uint64, now time.Time) (*source, time.Time) {
	var candidates []*source // equally good ones
	for _, s := range r.view.sources {
		if _, asked := r.inProgress[s.url]; asked || s.reportedVersions[r.name] < version {
			continue
		}
		switch {
		case len(candidates) == 0 || preferSource(s, candidates[0], r.attempts, now):
			candidates = append(candidates[:0], s)
		case !preferSource(candidates[0], s, r.attempts, now):
			candidates = append(candidates, s)
		}
	}
	if len(candidates) == 0 {
		return nil, time.Time{}
	}
	// The iteration order of a small map favors some of its entries.
	s := candidates[rand.IntN(len(candidates))]
	failedAt := r.failedAt[s.url]
	if failedAt.IsZero() {
		return s, now
	}
	return s, failedAt.Add(min(fetchInterval<<min(r.attempts[s.url], maxBackoffDoublings), maxRetryPause))
}

// preferSource prefers reachable sources, then those that deliver in time, then those with
// fewer attempts.
func preferSource(s, best *source, attempts map[string]int, now time.Time) bool {
	if s.unreachable != best.unreachable {
		return !s.unreachable
	}
	if slow, bestSlow := now.Before(s.avoidUntil), now.Before(best.avoidUntil); slow != bestSlow {
		return !slow
	}
	return attempts[s.url] < attempts[best.url]
}

// noteContentTime records how long a control instance took to send a document, or to fail.
func (v *View) noteContentTime(s *source, err error, timedOut bool, took time.Duration) {
	v.mu.Lock()
	defer v.mu.Unlock()
	switch {
	case err == nil:
		s.contentLimit.met(took, fetchTimeout)
		if took < joinAfter {
			s.avoidUntil = time.Time{}
		}
		return
	case timedOut:
		v.fetchOutcomes[fetchTimedOut]++
		s.contentLimit.exceeded()
	default:
		v.fetchOutcomes[fetchFailed]++
	}
	s.avoidUntil = time.Now().Add(avoidTime)
}

// avoidSlower records the control instances that were asked joinAfter before another one that has
// delivered since.
func (v *View) avoidSlower(asked map[string]time.Time, startedAt, now time.Time) {
	v.mu.Lock()
	defer v.mu.Unlock()
	for url, at := range asked {
		if s := v.sources[url]; s != nil && startedAt.Sub(at) >= joinAfter {
			s.avoidUntil = now.Add(avoidTime)
		}
	}
}
