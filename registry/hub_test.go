package registry

import (
	"log/slog"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/galenaarch/galenaarch/api/controlv1"
	"github.com/galenaarch/galenaarch/api/fleetv1"
)

// noDocuments is a control state without documents.
type noDocuments struct{}

// Published implements Documents.
func (noDocuments) Published() []*controlv1.PublishedDocument { return nil }

// Changed implements Documents.
func (noDocuments) Changed() <-chan struct{} { return nil }

// Members implements Documents.
func (noDocuments) Members() []string { return nil }

// TestCallersAreToldOfStoppingInstancesWhereNoOtherIsLeft: load pattern, all entry
// instances are restarted one after the other, faster than they finish their
// streams. For seconds none accepts callers.
func TestCallersAreToldOfStoppingInstancesWhereNoOtherIsLeft(t *testing.T) {
	h := NewHub(time.Second, noDocuments{}, slog.New(slog.DiscardHandler))
	say := func(name string, sequence uint64, accepting bool) {
		_, err := h.Sync(t.Context(), &fleetv1.SyncRequest{Self: &fleetv1.EntryInstance{Name: name, StartedUnixMs: 1, Sequence: sequence, Address: name, Accepting: accepting}})
		require.NoError(t, err)
	}
	say("e-1", 1, true)
	say("e-2", 1, true)
	say("e-1", 2, false)
	require.Equal(t, []string{"e-2"}, h.Accepting("", 0))
	say("e-2", 2, false)
	require.Equal(t, []string{"e-1", "e-2"}, h.Accepting("", 0))
}
