package loopback

import (
	"net"
	"strconv"
	"testing"

	"github.com/stretchr/testify/require"
)

// TestAddressesAreOutsideTheKernelsRange: an address that an outgoing
// connection may take before its process listens made a start fail.
func TestAddressesAreOutsideTheKernelsRange(t *testing.T) {
	seen := make(map[string]bool)
	for range blockPorts - 1 {
		address, err := Address()
		require.NoError(t, err)
		require.False(t, seen[address], "handed out twice")
		seen[address] = true
		_, text, err := net.SplitHostPort(address)
		require.NoError(t, err)
		port, err := strconv.Atoi(text)
		require.NoError(t, err)
		require.GreaterOrEqual(t, port, firstPort)
		require.Less(t, port, 32768)
	}
}

func TestAddressesInUseAreNotHandedOut(t *testing.T) {
	first, err := Address()
	require.NoError(t, err)
	listener, err := net.Listen("tcp", first)
	require.NoError(t, err)
	defer listener.Close()
	for range 2 * blockPorts {
		address, err := Address()
		require.NoError(t, err)
		require.NotEqual(t, first, address)
	}
}

func TestAnotherProcessHasAnotherBlock(t *testing.T) {
	_, err := Address()
	require.NoError(t, err)
	_, err = net.Listen("tcp", block.anchor.Addr().String())
	require.Error(t, err, "the block's first port is held")
}
