package entry

import (
	"math/rand/v2"
	"net/http"
	"time"

	"github.com/galenaarch/galenaarch/api/refusal"
	"github.com/galenaarch/galenaarch/directory"
	"github.com/galenaarch/galenaarch/membership"
)

// maxRefusalEntries bounds the alternative entries listed in a refusal.
const maxRefusalEntries = 3

// maxAnnounceEntries bounds the entries listed for a backend server.
const maxAnnounceEntries = 5

func newRandom() *rand.Rand { return rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())) }

// serveDirectory returns the entries that a client should use, in order of
// preference.
func (e *Entry) serveDirectory(w http.ResponseWriter, r *http.Request, _ requestInfo) *refusal.Error {
	entries := directory.Rank(e.directoryCandidates(time.Now()), r.URL.Query().Get(directory.QueryFailureDomain), newRandom())
	if len(entries) == 0 {
		return refusal.New(refusal.CodeConfigNotCurrent, "rank entries", "no entry is known to take new work")
	}
	writeJSON(w, directory.Response{Entries: entries, TTLMS: e.directoryTTL().Milliseconds()})
	return nil
}

func (e *Entry) directoryTTL() time.Duration {
	if e.settings.DirectoryTTL > 0 {
		return e.settings.DirectoryTTL
	}
	return directory.DefaultTTL
}

// withAlternatives adds other entries to a refusal: those that accept new work
// or, if this entry sees none, those it has lost contact with.
func (e *Entry) withAlternatives(refused *refusal.Error) *refusal.Error {
	refused.Entries = e.otherEntryURLs(e.directoryCandidates(time.Now()))
	if len(refused.Entries) == 0 {
		var unseen []directory.Candidate
		for _, m := range e.node.Unreachable() {
			unseen = append(unseen, directory.Candidate{Member: m})
		}
		refused.Entries = e.otherEntryURLs(unseen)
	}
	return refused
}

func (e *Entry) otherEntryURLs(candidates []directory.Candidate) []string {
	var urls []string
	for _, other := range directory.Rank(candidates, e.settings.FailureDomain, newRandom()) {
		if other.Instance != e.settings.Instance && len(urls) < maxRefusalEntries {
			urls = append(urls, other.URL)
		}
	}
	return urls
}

// announceURLs returns the URLs at which backend servers may announce, starting
// with this entry unless it is draining.
func (e *Entry) announceURLs() []string {
	region := membership.RegionOf(e.settings.FailureDomain)
	var own, others []string
	for _, m := range e.node.Members() {
		switch {
		case m.Draining || m.Region != region:
		case m.Instance == e.settings.Instance:
			own = append(own, m.BackendURL)
		default:
			others = append(others, m.BackendURL)
		}
	}
	rand.Shuffle(len(others), func(i, j int) { others[i], others[j] = others[j], others[i] })
	list := append(own, others...)
	return list[:min(len(list), maxAnnounceEntries)]
}
