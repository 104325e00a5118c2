package gateway

import (
	"context"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"golang.org/x/sys/unix"
)

// unresponsiveAddress returns an address that drops the first packets, as a machine
// that is off does: its listen backlog is full.
func unresponsiveAddress(t *testing.T) string {
	t.Helper()
	fd, err := unix.Socket(unix.AF_INET, unix.SOCK_STREAM, 0)
	require.NoError(t, err)
	t.Cleanup(func() { unix.Close(fd) })
	require.NoError(t, unix.Bind(fd, &unix.SockaddrInet4{Addr: [4]byte{127, 0, 0, 1}}))
	require.NoError(t, unix.Listen(fd, 0))
	name, err := unix.Getsockname(fd)
	require.NoError(t, err)
	address := (&net.TCPAddr{IP: net.IPv4(127, 0, 0, 1), Port: name.(*unix.SockaddrInet4).Port}).String()
	for range 4 {
		c, err := net.DialTimeout("tcp4", address, 50*time.Millisecond)
		if err != nil {
			return address
		}
		t.Cleanup(func() { c.Close() })
	}
	t.Fatal("the listen backlog does not fill")
	return ""
}

func TestPeerDialTimeoutIsBelowSYNRetransmission(t *testing.T) {
	const synRetransmission = time.Second // Linux's initial retransmission timeout
	ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+unresponsiveAddress(t), nil)
	require.NoError(t, err)
	startedAt := time.Now()
	_, err = peerClient().Do(req)
	require.Error(t, err)
	require.Less(t, time.Since(startedAt), synRetransmission)
}
