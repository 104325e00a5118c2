package state

import (
	"bytes"
	"strings"

	"github.com/galenaarch/galenaarch/api/controlv1"
)

// publish offers a version of a named document. Invariant: the version held
// under a name never falls, and its content never changes.
func (s *State) publish(req *controlv1.PublishRequest) *controlv1.PublishResponse {
	offered := req.GetDocument()
	held := s.published[offered.GetName()]
	if held == nil || offered.GetVersion() > held.Version {
		s.published[offered.GetName()] = offered
		return &controlv1.PublishResponse{Outcome: controlv1.PublishOutcome_PUBLISH_OUTCOME_ACCEPTED, HeldVersion: offered.GetVersion()}
	}
	outcome := controlv1.PublishOutcome_PUBLISH_OUTCOME_OVERTAKEN
	if offered.Version == held.Version {
		outcome = controlv1.PublishOutcome_PUBLISH_OUTCOME_REPEATED
		if !bytes.Equal(offered.Content, held.Content) {
			outcome = controlv1.PublishOutcome_PUBLISH_OUTCOME_CONFLICT
		}
	}
	return &controlv1.PublishResponse{Outcome: outcome, HeldVersion: held.Version}
}

// Published returns the newest version of a document, or nil.
func (s *State) Published(name string) *controlv1.PublishedDocument { return s.published[name] }

// PublishedUnder returns the newest versions of all documents whose names
// begin with a prefix, sorted by name.
func (s *State) PublishedUnder(prefix string) []*controlv1.PublishedDocument {
	var list []*controlv1.PublishedDocument
	for _, name := range sortedKeys(s.published) {
		if strings.HasPrefix(name, prefix) {
			list = append(list, s.published[name])
		}
	}
	return list
}
