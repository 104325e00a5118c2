package intake

import "golang.org/x/sys/unix"

// tcpEstablished is the state of a connection that neither side has closed, in include/net/tcp_states.h.
const tcpEstablished = 1

// PeerLeft reports whether the peer has closed the connection, or its sending side. The socket knows
// before a read does. It is false if that is not known.
func (c *Conn) PeerLeft() bool {
	if c == nil {
		return false
	}
	left := false
	c.control(func(fd int) {
		if info, err := unix.GetsockoptTCPInfo(fd, unix.IPPROTO_TCP, unix.TCP_INFO); err == nil {
			left = info.State != tcpEstablished
		}
	})
	return left
}
