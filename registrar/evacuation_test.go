package registrar

import (
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/galenaarch/galenaarch/api/fleetv1"
	"github.com/galenaarch/galenaarch/fleetview"
)

func TestDomainsOfSettingsServersAndEntriesAreKnown(t *testing.T) {
	s := &fleetview.Snapshot{}
	require.Empty(t, knownDomains("", s))
	s.Servers = map[string]*fleetv1.Announcement{"i": {Zone: "c"}, "j": {}}
	s.Entries = map[string]*fleetv1.EntryInstance{"e": {Zone: "d"}}
	require.Equal(t, map[string]bool{"a": true, "b": true, "c": true, "d": true}, knownDomains("a, b", s))
}
