package fleetview

import (
	"log/slog"
	"slices"
	"time"

	"github.com/galenaarch/galenaarch/api/controlv1"
)

// reportWait is the time in which other control instances may report a version before
// it is fetched in place of an older one. It spreads the fetches of many processes over
// all control instances.
const reportWait = 100 * time.Millisecond

// documentFetch tracks the newest known version of a document and the fetch
// that brings it.
type documentFetch struct {
	version uint64
	// reportedAt is when version was first reported.
	reportedAt time.Time
	// running is true while a goroutine fetches the document.
	running bool
	// reported wakes the fetch: another control instance has reported the newest known
	// version.
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

// awaitedDocuments lists the documents that control instances have reported and that are not
// released, sorted. The caller holds the lock.
func (v *View) awaitedDocuments(released map[string]*controlv1.PublishedDocument) (names []string) {
	for name := range v.fetches {
		if released[name] == nil {
			names = append(names, name)
		}
	}
	slices.Sort(names)
	return names
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

// storeDocument stores a document and returns since when a newer one than was stored had been
// known. Invariant: while this process runs, a document never reverts to an older version.
func (v *View) storeDocument(d *controlv1.PublishedDocument) (behind time.Duration) {
	v.mu.Lock()
	defer v.mu.Unlock()
	fetch := v.fetches[d.Name]
	if !fetch.behindSince.IsZero() {
		behind = time.Since(fetch.behindSince)
	}
	if stored := v.documents[d.Name]; stored != nil && d.Version <= stored.Version {
		v.fetchOutcomes[fetchNotNewer]++
		return behind
	}
	v.fetchOutcomes[fetchStored]++
	v.documents[d.Name] = d
	fetch.version = max(fetch.version, d.Version)
	if d.Version == fetch.version {
		fetch.behindSince = time.Time{}
	}
	v.publish()
	return behind
}
