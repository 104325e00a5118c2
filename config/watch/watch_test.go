package watch

import (
	"log/slog"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/galenaarch/galenaarch/api/controlv1"
	"github.com/galenaarch/galenaarch/config"
	"github.com/galenaarch/galenaarch/control/state"
	"github.com/galenaarch/galenaarch/examples"
)

const environment = "haddon-trial"

// applyConfig applies a change to a control state, which must accept it.
func applyConfig(t *testing.T, st *state.State, request *controlv1.ApplyConfigRequest) {
	t.Helper()
	request.Environment, request.ExpectedRevision = environment, st.Revision(environment)
	response := st.Apply(&controlv1.Command{Body: &controlv1.Command_ApplyConfig{ApplyConfig: request}}).GetApplyConfig()
	require.True(t, response.Accepted, response.Reason)
}

// newState returns a control state at revision 1.
func newState(t *testing.T) *state.State {
	t.Helper()
	document, err := config.Decode(examples.HaddonPryce)
	require.NoError(t, err)
	items, err := config.Items(document)
	require.NoError(t, err)
	st := state.New()
	applyConfig(t, st, &controlv1.ApplyConfigRequest{Upserts: items})
	return st
}

func newWatcher() *Watcher {
	return New(nil, Instance{Environment: environment}, slog.New(slog.DiscardHandler))
}

func applyResponse(t *testing.T, w *Watcher, response *controlv1.GetConfigResponse) bool {
	t.Helper()
	applied, err := w.Apply(response)
	require.NoError(t, err)
	return applied
}

// TestDeltasBetweenInstances covers instances that update each other with full
// documents and deltas.
func TestDeltasBetweenInstances(t *testing.T) {
	st := newState(t)
	first := newWatcher()
	require.True(t, applyResponse(t, first, st.Config(environment, 0)))
	second := newWatcher()
	require.True(t, applyResponse(t, second, first.DeltaSince(0)), "an instance without configuration gets the full document")

	applyConfig(t, st, &controlv1.ApplyConfigRequest{Removes: []*controlv1.ConfigKey{{Kind: config.KindClientAccount, Name: "landscapers"}}})
	delta := st.Config(environment, 1)
	require.False(t, delta.Full)
	require.True(t, applyResponse(t, first, delta))
	require.True(t, applyResponse(t, second, first.DeltaSince(1)))
	require.Nil(t, second.View().Account("landscapers"))
	require.Zero(t, second.baseRevision()-2)
	require.Equal(t, first.store.digest, second.store.digest)

	require.False(t, applyResponse(t, first, st.Config(environment, 1)), "a repeated revision is ignored")
	require.Nil(t, first.DeltaSince(2), "no newer revision is applied")
}

// TestStaleAndDiscontinuousRevisionsAreIgnored guards against reverting to an
// older revision and against applying a delta with a gap before it.
func TestStaleAndDiscontinuousRevisionsAreIgnored(t *testing.T) {
	st := newState(t)
	w := newWatcher()
	stale := st.Config(environment, 0)
	applyConfig(t, st, &controlv1.ApplyConfigRequest{Removes: []*controlv1.ConfigKey{{Kind: config.KindClientAccount, Name: "landscapers"}}})
	require.True(t, applyResponse(t, w, st.Config(environment, 0)))
	require.False(t, applyResponse(t, w, stale), "an older full document is ignored")
	require.EqualValues(t, 2, w.View().Revision)
	require.False(t, applyResponse(t, w, &controlv1.GetConfigResponse{Revision: 9, BaseRevision: 5}), "a delta that starts after the applied revision is ignored")
}

// TestDigestMismatchIsRepaired guards against a lost item: the digests differ,
// the full document is requested and replaces the damaged one.
func TestDigestMismatchIsRepaired(t *testing.T) {
	st := newState(t)
	w := newWatcher()
	require.True(t, applyResponse(t, w, st.Config(environment, 0)))
	delete(w.store.items, itemKey{config.KindClientAccount, "landscapers"})
	w.store.digest = config.Digest(w.store.list())
	require.False(t, applyResponse(t, w, st.Config(environment, w.baseRevision())))
	require.Zero(t, w.baseRevision(), "the full document is requested")
	require.Nil(t, w.DeltaSince(0), "a damaged document is not sent to other instances")
	require.True(t, applyResponse(t, w, st.Config(environment, 0)))
	require.NotNil(t, w.View().Account("landscapers"))
	require.EqualValues(t, 1, w.baseRevision())
}
