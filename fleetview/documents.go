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
	// reportWait is the time in which other control instances may report a version before
	// it is fetched in place of an older one. It spreads the fetches of many processes over
	// all control instances.
	reportWait = 100 * time.Millisecond
	// fetchTimeout bounds one fetch.
	fetchTimeout = time.Second
	// maxBackoffDoublings limits the exponential backoff after consecutive
	// failed fetches.
	maxBackoffDoublings = 4
)

// documentFetch tracks the newest known version of a document and the fetch
// that brings it.
type documentFetch struct {
	version uint64
	// reportedAt is when version was first reported.
	reportedAt time.Time
	// running is true while a goroutine fetches the document.
	running bool
	// reported wakes the fetch while it waits to try again: another control instance has
	// reported the newest known version.
	reported chan struct{}
	// behindSince is when a version above the stored one was first reported; zero while
	// the newest reported version is stored.
	behindSince time.Time
}

// NewestVersion returns the newest version of a document that a control instance has reported,
// whether or not this process has it; 0 for none.
func (v *View) NewestVersion(name string) uint64 {
	v.mu.Lock()
	defer v.mu.Unlock()
	if fetch := v.fetches[name]; fetch != nil {
		return fetch.version
	}
	return 0
}

// checkQuorum records whether a majority of the control instances has reported
// documents since this process started, and reports whether that has just become true.
// One that has reported none may not have caught up with what it holds.
// Invariant: before that, no document is released. An acknowledged document is
// held by a majority, but a single instance may be far behind: a process that
// starts and reaches that instance first would apply an older document, with
// account keys and servers that have since been withdrawn. The caller holds the
// lock.
func (v *View) checkQuorum() bool {
	if v.quorumReached {
		return false
	}
	responded := 0
	for url := range v.members {
		if s := v.sources[url]; s != nil && len(s.reportedVersions) > 0 {
			responded++
		}
	}
	// Without a member list the group has a single instance, which has
	// responded.
	v.quorumReached = 2*responded > len(v.members) || len(v.members) == 0
	if v.quorumReached {
		v.logger.Info("majority of control instances has responded, releasing documents", slog.Int("answered", responded), slog.Int("members", len(v.members)))
	}
	return v.quorumReached
}

// releasedDocuments returns the documents that may be applied. A document is
// released once its newest known version is stored; from then on the stored
// version is returned, even if a newer one is known. The caller holds the lock.
func (v *View) releasedDocuments() map[string]*controlv1.PublishedDocument {
	documents := make(map[string]*controlv1.PublishedDocument)
	if !v.quorumReached {
		return documents
	}
	for name, d := range v.documents {
		if fetch := v.fetches[name]; fetch == nil || d.Version >= fetch.version {
			v.released[name] = true
		}
		if v.released[name] {
			documents[name] = d
		}
	}
	return documents
}

// noteVersion records that a version exists and starts to fetch it. The caller
// holds the lock.
func (v *View) noteVersion(s *source, name string, version uint64) {
	fetch := v.fetches[name]
	if fetch == nil {
		fetch = &documentFetch{reported: make(chan struct{}, 1)}
		v.fetches[name] = fetch
	}
	s.reportedVersions[name] = max(s.reportedVersions[name], version)
	if version >= fetch.version {
		select {
		case fetch.reported <- struct{}{}:
		default: // a wake-up is pending
		}
	}
	if version <= fetch.version {
		return
	}
	fetch.version, fetch.reportedAt = version, time.Now()
	if fetch.behindSince.IsZero() {
		fetch.behindSince = fetch.reportedAt
	}
	v.logger.Info("document version reported", slog.String("document", name), slog.Uint64("version", version), slog.Uint64("stored", v.documents[name].GetVersion()), slog.String("peer", s.url))
	if !fetch.running {
		fetch.running = true
		go v.fetchDocument(name)
	}
}

// knownVersions returns the versions above which a control instance is to report its
// documents: those that this process holds, or that the same instance has reported.
// Invariant: a version that only another instance has reported is not known here. That
// instance may fall silent before the content is fetched, and without further reports
// there would be no other source. Until a majority has reported, each instance is to report
// also what is held already. The caller holds the lock.
func (v *View) knownVersions(s *source) map[string]uint64 {
	versions := make(map[string]uint64, len(v.fetches))
	for name := range v.fetches {
		versions[name] = s.reportedVersions[name]
		if v.quorumReached {
			versions[name] = max(versions[name], v.documents[name].GetVersion())
		}
	}
	return versions
}

// fetchDocument fetches a document until its newest known version is stored.
func (v *View) fetchDocument(name string) {
	attempts := make(map[string]int)
	failures := 0
	for v.ctx.Err() == nil {
		if failures == 0 {
			sleep(v.ctx, v.reportWaitLeft(name))
		}
		s := v.pickSource(name, attempts)
		if s == nil {
			return
		}
		attempts[s.url]++
		startedAt := time.Now()
		d, err := v.requestDocument(s, name)
		if err == nil {
			v.logger.Info("document fetched", slog.String("document", name), slog.Uint64("version", d.Version), slog.String("peer", s.url), slog.Duration("took", time.Since(startedAt)))
			v.storeDocument(d)
			failures = 0
		} else if failures++; bits.OnesCount(uint(failures)) == 1 {
			// Each doubling of the number of failures is logged.
			v.logger.Warn("document fetch failed", slog.String("document", name), slog.String("peer", s.url), slog.Int("failures", failures), slog.Any("error", err))
		}
		v.awaitRetry(name, failures)
	}
}

// reportWaitLeft returns how long other control instances may still report the newest known
// version before it is fetched; 0 if no version is stored.
func (v *View) reportWaitLeft(name string) time.Duration {
	v.mu.Lock()
	defer v.mu.Unlock()
	if v.documents[name] == nil {
		return 0
	}
	return reportWait - time.Since(v.fetches[name].reportedAt)
}

func sleep(ctx context.Context, d time.Duration) {
	if d <= 0 {
		return
	}
	select {
	case <-ctx.Done():
	case <-time.After(d):
	}
}

// awaitRetry waits for the time of the next fetch. After a failure it ends early if another
// control instance reports the version.
func (v *View) awaitRetry(name string, failures int) {
	var reported chan struct{}
	if failures > 0 {
		v.mu.Lock()
		reported = v.fetches[name].reported
		v.mu.Unlock()
	}
	select {
	case <-v.ctx.Done():
	case <-reported:
	case <-time.After(min(fetchInterval<<min(failures, maxBackoffDoublings), maxRetryPause)):
	}
}

// pickSource selects the control instance to fetch a document from: among those
// that reported the newest version, one with the fewest attempts, at random. It
// returns nil, which ends the fetch, if that version is stored or no source
// that reported it is left.
func (v *View) pickSource(name string, attempts map[string]int) *source {
	v.mu.Lock()
	defer v.mu.Unlock()
	fetch := v.fetches[name]
	var candidates []*source // equally good ones
	if stored := v.documents[name]; stored == nil || stored.Version < fetch.version {
		for _, s := range v.sources {
			if s.reportedVersions[name] < fetch.version {
				continue
			}
			switch {
			case len(candidates) == 0 || preferSource(s, candidates[0], attempts):
				candidates = append(candidates[:0], s)
			case !preferSource(candidates[0], s, attempts):
				candidates = append(candidates, s)
			}
		}
	}
	if len(candidates) == 0 {
		fetch.running = false
		if stored := v.documents[name]; stored == nil || stored.Version < fetch.version {
			// The fetch starts again when a source reports the version.
			fetch.version = stored.GetVersion()
		}
		return nil
	}
	// The iteration order of a small map favors some of its entries.
	return candidates[rand.IntN(len(candidates))]
}

// preferSource prefers reachable sources, then those with fewer attempts.
func preferSource(s, best *source, attempts map[string]int) bool {
	if s.unreachable != best.unreachable {
		return !s.unreachable
	}
	return attempts[s.url] < attempts[best.url]
}

func (v *View) requestDocument(s *source, name string) (*controlv1.PublishedDocument, error) {
	ctx, cancel := context.WithTimeout(v.ctx, fetchTimeout)
	defer cancel()
	return s.client.Document(ctx, &fleetv1.DocumentRequest{Name: name})
}

// storeDocument stores a document. Invariant: while this process runs, a
// document never reverts to an older version.
func (v *View) storeDocument(d *controlv1.PublishedDocument) {
	v.mu.Lock()
	defer v.mu.Unlock()
	if stored := v.documents[d.Name]; stored != nil && d.Version <= stored.Version {
		return
	}
	v.documents[d.Name] = d
	fetch := v.fetches[d.Name]
	fetch.version = max(fetch.version, d.Version)
	if d.Version == fetch.version {
		fetch.behindSince = time.Time{}
	}
	v.publish()
}
