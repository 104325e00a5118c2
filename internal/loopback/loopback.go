// Package loopback allocates loopback addresses for processes started on one
// machine: the demonstration and the tests.
//
// A port that the kernel chose for a listener is free again once that listener is
// closed, so an outgoing connection may take it before the intended process
// listens. The ports here lie below the kernel's ephemeral range, and each process
// allocates from its own block, so two processes never choose the same port.
package loopback

import (
	"fmt"
	"net"
	"sync"

	"github.com/rotisserie/eris"
)

// Layout of the port range.
const (
	portRangeStart = 20_000
	// portsPerBlock is the number of ports that one process reserves. The process
	// listens on the first port of its block until it exits, which reserves the
	// block.
	portsPerBlock = 600
	// maxPortBlocks keeps the range below 32768, where Linux's ephemeral ports
	// begin.
	maxPortBlocks = 20
)

// portBlock is the block that this process has reserved.
var portBlock struct {
	sync.Mutex
	// anchor listens on base, the first port of the block, to reserve it.
	anchor net.Listener
	base   int
	// next is the port that is tried next, as an offset from base+1.
	next int
}

// FreeAddress returns a loopback host:port that no process listens on now. It is not
// returned again before all other free ports of this process's block. It returns an
// error if all blocks are reserved or all ports of the block are in use.
func FreeAddress() (string, error) {
	portBlock.Lock()
	defer portBlock.Unlock()
	if err := reserveBlock(); err != nil {
		return "", err
	}
	for range portsPerBlock - 1 {
		port := portBlock.base + 1 + portBlock.next
		portBlock.next = (portBlock.next + 1) % (portsPerBlock - 1)
		if listener, err := listen(port); err == nil {
			listener.Close()
			return fmt.Sprintf("127.0.0.1:%d", port), nil
		}
	}
	return "", eris.Errorf("no free loopback port between %d and %d", portBlock.base+1, portBlock.base+portsPerBlock-1)
}

// reserveBlock reserves a block for this process if it has none. The caller must
// hold portBlock.
func reserveBlock() error {
	if portBlock.anchor != nil {
		return nil
	}
	for i := range maxPortBlocks {
		base := portRangeStart + i*portsPerBlock
		if listener, err := listen(base); err == nil {
			portBlock.anchor, portBlock.base = listener, base
			return nil
		}
	}
	return eris.Errorf("all %d loopback port blocks are in use", maxPortBlocks)
}

func listen(port int) (net.Listener, error) {
	return net.Listen("tcp", fmt.Sprintf("127.0.0.1:%d", port))
}
