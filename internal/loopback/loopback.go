// Package loopback allocates loopback addresses for processes started on one
// machine: the demonstration and the tests.
//
// A port that the kernel chose for a listener is free again once that listener is
// closed, so an outgoing connection may take it before the intended process
// listens. The ports here lie below the kernel's ephemeral range, and each process
// allocates from its own blocks, so two processes never choose the same port.
//
// A test server that listens again on the port it had needs a host of its own: on
// 127.0.0.1 the kernel gives that port to others while the server is down.
package loopback

import (
	"errors"
	"fmt"
	"net"
	"sync"
	"syscall"
	"time"

	"github.com/rotisserie/eris"
)

// Times of RetryBind.
const (
	bindTimeout   = time.Second
	retryInterval = time.Millisecond
)

// Layout of the port range.
const (
	portRangeStart = 20_000
	// portsPerBlock is the number of ports that a process reserves at a time. It
	// listens on the first port of the block until it exits, which reserves the
	// block.
	portsPerBlock = 600
	// maxPortBlocks keeps the range below 32768, where Linux's ephemeral ports
	// begin.
	maxPortBlocks = 20
)

// ports are the ports that this process has reserved.
var ports struct {
	sync.Mutex
	// anchors listen on the first port of each block, to reserve it.
	anchors []net.Listener
	// next is the number of ports allocated, in the order of the blocks.
	next int
	// hosts is the number of hosts allocated.
	hosts int
}

// FreeAddress returns a host:port on 127.0.0.1 that no process listens on now. It is
// not returned again while a port or a block is left. It returns an error if all blocks
// are reserved and all ports of this process's blocks are in use.
func FreeAddress() (string, error) {
	ports.Lock()
	defer ports.Unlock()
	for restarted := false; ; {
		block, offset := ports.next/(portsPerBlock-1), ports.next%(portsPerBlock-1)
		if block == len(ports.anchors) {
			if err := reserveBlock(); err != nil {
				if restarted || block == 0 {
					return "", err
				}
				ports.next, restarted = 0, true
				continue
			}
		}
		ports.next++
		port := ports.anchors[block].Addr().(*net.TCPAddr).Port + 1 + offset
		if listener, err := listen(port); err == nil {
			listener.Close()
			return fmt.Sprintf("127.0.0.1:%d", port), nil
		}
	}
}

// FreeHost returns a loopback host that no other test server uses: not in this
// process, nor in another one that allocates here. It returns an error if all blocks
// are reserved or this process has no host left.
func FreeHost() (string, error) {
	ports.Lock()
	defer ports.Unlock()
	if len(ports.anchors) == 0 {
		if err := reserveBlock(); err != nil {
			return "", err
		}
	}
	if ports.hosts == 1<<16-1 {
		return "", eris.New("no free loopback host")
	}
	ports.hosts++
	block := (ports.anchors[0].Addr().(*net.TCPAddr).Port - portRangeStart) / portsPerBlock
	return fmt.Sprintf("127.%d.%d.%d", 1+block, ports.hosts>>8, ports.hosts&255), nil
}

// reserveBlock reserves another block for this process. The caller must hold ports.
func reserveBlock() error {
	for i := range maxPortBlocks {
		if listener, err := listen(portRangeStart + i*portsPerBlock); err == nil {
			ports.anchors = append(ports.anchors, listener)
			return nil
		}
	}
	return eris.Errorf("all %d loopback port blocks are in use", maxPortBlocks)
}

// ListenAgain listens on an address on which this process has closed a listener.
func ListenAgain(address string) (listener net.Listener, err error) {
	err = RetryBind(func() (err error) {
		listener, err = net.Listen("tcp4", address)
		return err
	})
	return listener, err
}

// RetryBind calls bind, which binds an address on which this process has closed a listener, until the address is free. A
// process that is being started holds copies of all descriptors until it executes its program.
func RetryBind(bind func() error) error {
	for giveUp := time.Now().Add(bindTimeout); ; time.Sleep(retryInterval) {
		if err := bind(); !errors.Is(err, syscall.EADDRINUSE) || time.Now().After(giveUp) {
			return err
		}
	}
}

func listen(port int) (net.Listener, error) {
	return net.Listen("tcp", fmt.Sprintf("127.0.0.1:%d", port))
}
