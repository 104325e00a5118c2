package intake

import "golang.org/x/sys/unix"

// States of a connection that the peer has reset, or whose sending side it has closed, in
// include/net/tcp_states.h.
const (
	tcpClose     = 7
	tcpCloseWait = 8
)

// PeerLeft reports whether the peer has closed the connection, or its sending side. The socket knows
// before a read does. It is false if that is not known.
func (c *Conn) PeerLeft() bool {
	if c == nil {
		return false
	}
	left := false
	c.control(func(fd int) {
		if info, err := unix.GetsockoptTCPInfo(fd, unix.IPPROTO_TCP, unix.TCP_INFO); err == nil {
			left = info.State == tcpClose || info.State == tcpCloseWait
		}
	})
	return left
}
