package fleetview

import (
	"log/slog"
	"net/http"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/galenaarch/galenaarch/api/fleetv1"
)

// An instance that stops while it applies its first document must not be listed as accepting
// clients: it decides that it accepts them, stops, and reports its decision.
func TestStoppingInstanceIsNotListedAgain(t *testing.T) {
	v := New(nil, &fleetv1.EntryInstance{Name: "e"}, http.DefaultClient, slog.New(slog.DiscardHandler))
	v.StopAccepting()
	v.SetAccepting(true)
	require.False(t, v.self.Accepting)
}
