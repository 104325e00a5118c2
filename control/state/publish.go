package state

import (
	"bytes"
	"slices"
	"strings"

	"github.com/galenaarch/galenaarch/api/controlv1"
)

// publish stores a version of a named document if it is newer than the stored
// one. Invariant: the version stored under a name never decreases, and the
// content of a version never changes.
func (s *State) publish(req *controlv1.PublishRequest) *controlv1.PublishResponse {
	offered := req.GetDocument()
	stored := s.published[offered.GetName()]
	if stored == nil || offered.GetVersion() > stored.Version {
		s.published[offered.GetName()] = s.accept(offered, stored)
		return &controlv1.PublishResponse{Outcome: controlv1.PublishOutcome_PUBLISH_OUTCOME_ACCEPTED, HeldVersion: offered.GetVersion()}
	}
	outcome := controlv1.PublishOutcome_PUBLISH_OUTCOME_OVERTAKEN
	if offered.Version == stored.Version {
		outcome = controlv1.PublishOutcome_PUBLISH_OUTCOME_REPEATED
		if !bytes.Equal(offered.Content, stored.Content) {
			outcome = controlv1.PublishOutcome_PUBLISH_OUTCOME_CONFLICT
		}
	}
	return &controlv1.PublishResponse{Outcome: outcome, HeldVersion: stored.Version}
}

// maxEarlierVersions bounds the versions of a document that are listed with the newest one.
const maxEarlierVersions = 16

// accept returns a document with the time of its acceptance, and those of the versions before.
func (s *State) accept(offered, stored *controlv1.PublishedDocument) *controlv1.PublishedDocument {
	accepted := &controlv1.PublishedDocument{Name: offered.GetName(), Version: offered.GetVersion(), Content: offered.GetContent(), AcceptedUnixMs: s.nowMS}
	if stored != nil {
		accepted.Earlier = append(slices.Clone(stored.Earlier), &controlv1.AcceptedVersion{Version: stored.Version, AcceptedUnixMs: stored.AcceptedUnixMs})
		accepted.Earlier = accepted.Earlier[max(0, len(accepted.Earlier)-maxEarlierVersions):]
	}
	return accepted
}

// Published returns the newest version of a document, or nil if there is none.
func (s *State) Published(name string) *controlv1.PublishedDocument { return s.published[name] }

// PublishedWithPrefix returns the newest versions of all documents whose names
// start with a prefix, sorted by name.
func (s *State) PublishedWithPrefix(prefix string) []*controlv1.PublishedDocument {
	var list []*controlv1.PublishedDocument
	for _, name := range sortedKeys(s.published) {
		if strings.HasPrefix(name, prefix) {
			list = append(list, s.published[name])
		}
	}
	return list
}
