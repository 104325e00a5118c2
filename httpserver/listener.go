package httpserver

import (
	"errors"
	"net"
	"net/http"
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
	for end := time.Now().Add(AcceptTimeout); !stopListening(l) && time.Now().Before(end); {
		time.Sleep(acceptPollInterval)
	}
	if err := l.Close(); !errors.Is(err, net.ErrClosed) { // http.Server closes one that accepts nothing
		return err
	}
	return nil
}

// stopListening makes a listener refuse connections if its queue is empty. It returns false if
// the queue is not. If the queue is not known, nothing is done.
//
// Close alone takes effect only once the accepting goroutine has run, and until then connections
// join the queue.
func stopListening(l net.Listener) (done bool) {
	c, ok := l.(syscall.Conn)
	if !ok {
		return true
	}
	raw, err := c.SyscallConn()
	if err != nil {
		return true
	}
	done = true
	_ = raw.Control(func(fd uintptr) { // fails if the listener is closed
		info, err := unix.GetsockoptTCPInfo(int(fd), unix.IPPROTO_TCP, unix.TCP_INFO)
		if err != nil {
			return
		}
		// For a listening socket, Unacked is the length of the queue.
		if done = info.Unacked == 0; done {
			_ = unix.Shutdown(int(fd), unix.SHUT_RD) // the listener is closed anyway
		}
	})
	return done
}

// IsClosed reports whether a server has stopped serving because it or its listener was closed.
func IsClosed(err error) bool {
	return errors.Is(err, http.ErrServerClosed) || errors.Is(err, net.ErrClosed) || errors.Is(err, syscall.EINVAL) // accept on a socket that was shut down
}
