// Package loopback hands out loopback addresses for processes that are started
// on one machine: the demonstration and the tests.
//
// A port that the kernel picks for a listener is free again once that listener
// is closed, and may be taken by any outgoing connection before the process
// that it is meant for listens. The ports here are below the range that the
// kernel picks from, and of two processes each has a block of its own.
package loopback

import (
	"fmt"
	"net"
	"sync"

	"github.com/rotisserie/eris"
)

// The ports that are handed out.
const (
	firstPort = 20_000
	// blockPorts is the size of a process's block; its first port is held as
	// long as the process runs.
	blockPorts = 200
	// blocks end below 32768, where the kernel's own range begins on Linux.
	blocks = 60
)

var block struct {
	sync.Mutex
	anchor net.Listener
	base   int
	next   int
}

// Address returns an address, host:port, that no process listens at now. It is
// not handed out again before all others of this process's block were.
func Address() (string, error) {
	block.Lock()
	defer block.Unlock()
	if err := reserve(); err != nil {
		return "", err
	}
	for range blockPorts - 1 {
		port := block.base + 1 + block.next
		block.next = (block.next + 1) % (blockPorts - 1)
		if listener, err := listen(port); err == nil {
			listener.Close()
			return fmt.Sprintf("127.0.0.1:%d", port), nil
		}
	}
	return "", eris.Errorf("no free port from %d to %d", block.base+1, block.base+blockPorts-1)
}

// reserve takes a block for this process; the caller holds the lock.
func reserve() error {
	if block.anchor != nil {
		return nil
	}
	for i := range blocks {
		base := firstPort + i*blockPorts
		if listener, err := listen(base); err == nil {
			block.anchor, block.base = listener, base
			return nil
		}
	}
	return eris.Errorf("all %d blocks of ports are taken", blocks)
}

func listen(port int) (net.Listener, error) {
	return net.Listen("tcp", fmt.Sprintf("127.0.0.1:%d", port))
}
