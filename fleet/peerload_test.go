package fleet

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

func TestPeerLoadSumsLiveEntries(t *testing.T) {
	start := time.Unix(1000, 0)
	s := &Server{}
	require.Zero(t, s.PeerLoad())
	s.SetPeerLoad("entry-1", PeerLoad{InFlight: 2, PendingTokens: 100, ReceivedAt: start})
	s.SetPeerLoad("entry-2", PeerLoad{InFlight: 3, PendingTokens: 50, ReceivedAt: start.Add(time.Second)})
	require.Equal(t, PeerLoad{InFlight: 5, PendingTokens: 150, ReceivedAt: start.Add(time.Second)}, s.PeerLoad())

	s.SetPeerLoad("entry-1", PeerLoad{InFlight: 1, ReceivedAt: start.Add(2 * time.Second)})
	require.Equal(t, int64(4), s.PeerLoad().InFlight, "a newer report replaces the same entry's older one")

	later := start.Add(2 * time.Second).Add(2 * PeerLoadTTL)
	s.SetPeerLoad("entry-3", PeerLoad{InFlight: 7, ReceivedAt: later})
	require.Equal(t, PeerLoad{InFlight: 7, ReceivedAt: later}, s.PeerLoad(), "expired reports are not counted")
}
