package loopback

import (
	"net"
	"strconv"
	"syscall"
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

// TestReservedAddressIsKeptBetweenListeners guards against a server that cannot restart at its
// address because an outgoing connection was given the port meanwhile.
func TestReservedAddressIsKeptBetweenListeners(t *testing.T) {
	other, err := net.Listen("tcp4", "127.0.0.1:0")
	require.NoError(t, err)
	defer other.Close()
	reserved, release, err := Reserve()
	require.NoError(t, err)
	local, err := net.ResolveTCPAddr("tcp4", reserved)
	require.NoError(t, err)
	connect := func() error {
		c, err := (&net.Dialer{LocalAddr: local}).Dial("tcp4", other.Addr().String())
		if err == nil {
			c.Close()
		}
		return err
	}
	for range 3 {
		listener, err := net.Listen("tcp4", reserved)
		require.NoError(t, err)
		require.NoError(t, listener.Close())
		require.ErrorIs(t, connect(), syscall.EADDRINUSE)
	}
	release()
	require.NoError(t, connect(), "after the release")
}

func TestPortBlockIsExclusiveToProcess(t *testing.T) {
	_, err := FreeAddress()
	require.NoError(t, err)
	_, err = net.Listen("tcp", portBlock.anchor.Addr().String())
	require.Error(t, err, "the block's first port is in use")
}
