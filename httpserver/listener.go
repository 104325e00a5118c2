package httpserver

import (
	"net"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

const (
	// AcceptTimeout is how long CloseListener waits for connections to be accepted.
	AcceptTimeout      = 50 * time.Millisecond
	acceptPollInterval = time.Millisecond
)

// CloseListener closes a listener that is being served once the connections in its queue have
// been accepted, at most AcceptTimeout later. Closing resets the ones in the queue, whose clients
// may have sent requests. A connection in its handshake can still be reset.
func CloseListener(l net.Listener) error {
	for end := time.Now().Add(AcceptTimeout); queuedConnections(l) > 0 && time.Now().Before(end); {
		time.Sleep(acceptPollInterval)
	}
	return l.Close()
}

// queuedConnections returns the number of connections of a listener that have not been accepted;
// 0 if it is not known.
func queuedConnections(l net.Listener) (n uint32) {
	c, ok := l.(syscall.Conn)
	if !ok {
		return 0
	}
	raw, err := c.SyscallConn()
	if err != nil {
		return 0
	}
	_ = raw.Control(func(fd uintptr) { // fails if the listener is closed
		// For a listening socket, Unacked is the length of the queue.
		if info, err := unix.GetsockoptTCPInfo(int(fd), unix.IPPROTO_TCP, unix.TCP_INFO); err == nil {
			n = info.Unacked
		}
	})
	return n
}
