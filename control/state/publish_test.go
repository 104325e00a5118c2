package state

import (
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/galenaarch/galenaarch/api/controlv1"
)

func publishVersion(s *State, name string, version uint64, content string) *controlv1.PublishResponse {
	return s.Apply(&controlv1.Command{Body: &controlv1.Command_Publish{Publish: &controlv1.PublishRequest{
		Document: &controlv1.PublishedDocument{Name: name, Version: version, Content: []byte(content)},
	}}}).GetPublish()
}

func TestHighestDocumentVersionIsStored(t *testing.T) {
	s := New()
	steps := []struct {
		version uint64
		content string
		outcome controlv1.PublishOutcome
		stored  uint64
	}{
		{5, "a", controlv1.PublishOutcome_PUBLISH_OUTCOME_ACCEPTED, 5},
		{5, "a", controlv1.PublishOutcome_PUBLISH_OUTCOME_REPEATED, 5},
		{5, "b", controlv1.PublishOutcome_PUBLISH_OUTCOME_CONFLICT, 5},
		{4, "b", controlv1.PublishOutcome_PUBLISH_OUTCOME_OVERTAKEN, 5},
		{9, "c", controlv1.PublishOutcome_PUBLISH_OUTCOME_ACCEPTED, 9},
	}
	for _, step := range steps {
		r := publishVersion(s, "site", step.version, step.content)
		require.Equal(t, step.outcome, r.Outcome)
		require.Equal(t, step.stored, r.HeldVersion)
	}
	publishVersion(s, "weights/m", 2, "")
	require.Equal(t, "c", string(s.Published("site").Content))
	require.Len(t, s.PublishedWithPrefix("weights/"), 1)

	data, err := s.Snapshot()
	require.NoError(t, err)
	restored, err := Restore(data)
	require.NoError(t, err)
	require.Equal(t, uint64(9), restored.Published("site").Version)
	require.Equal(t, controlv1.PublishOutcome_PUBLISH_OUTCOME_CONFLICT, publishVersion(restored, "site", 9, "d").Outcome)
}
