package loopback

import (
	"net"
	"strconv"
	"testing"

	"github.com/stretchr/testify/require"
)

// TestAddressesAvoidEphemeralPortRange guards against a failed start: an outgoing
// connection could take an ephemeral port before the intended process listened.
func TestAddressesAvoidEphemeralPortRange(t *testing.T) {
	seen := make(map[string]bool)
	for range portsPerBlock - 1 {
		address, err := FreeAddress()
		require.NoError(t, err)
		require.False(t, seen[address], "address allocated twice")
		seen[address] = true
		_, portText, err := net.SplitHostPort(address)
		require.NoError(t, err)
		port, err := strconv.Atoi(portText)
		require.NoError(t, err)
		require.GreaterOrEqual(t, port, portRangeStart)
		require.Less(t, port, 32768)
	}
}

func TestAddressesInUseAreSkipped(t *testing.T) {
	first, err := FreeAddress()
	require.NoError(t, err)
	listener, err := net.Listen("tcp", first)
	require.NoError(t, err)
	defer listener.Close()
	for range 2 * portsPerBlock {
		address, err := FreeAddress()
		require.NoError(t, err)
		require.NotEqual(t, first, address)
	}
}

// TestAddressesAreNotReused guards against a process that cannot listen again: while it
// was down its address was given to another.
func TestAddressesAreNotReused(t *testing.T) {
	seen := make(map[string]bool)
	for range 3 * portsPerBlock {
		address, err := FreeAddress()
		require.NoError(t, err)
		require.False(t, seen[address], "%s allocated twice", address)
		seen[address] = true
	}
}

func TestHostsAreNotReused(t *testing.T) {
	seen := make(map[string]bool)
	for range 600 {
		host, err := FreeHost()
		require.NoError(t, err)
		require.False(t, seen[host], "%s allocated twice", host)
		require.NotEqual(t, "127.0.0.1", host)
		require.True(t, net.ParseIP(host).IsLoopback(), host)
		seen[host] = true
	}
}

func TestPortBlocksAreExclusiveToProcess(t *testing.T) {
	_, err := FreeAddress()
	require.NoError(t, err)
	for _, anchor := range ports.anchors {
		_, err = net.Listen("tcp", anchor.Addr().String())
		require.Error(t, err, "the block's first port is in use")
	}
}
