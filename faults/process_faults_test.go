package faults

import (
	"math/rand/v2"
	"slices"
	"sync"
	"syscall"
	"time"
)

// faultKind is a fault or planned work of a process.
type faultKind int

const (
	faultKill faultKind = iota
	faultStop
	// faultStopTwice sends a second SIGTERM while the process stops, which changes nothing.
	faultStopTwice
	faultFreeze
	faultReload
	faultKinds
)

var faultNames = [...]string{"kill", "stop", "stop twice", "freeze", "reload"}

// String implements fmt.Stringer.
func (k faultKind) String() string { return faultNames[k] }

// Bounds of a fault's duration.
const (
	minFaultDuration = 200 * time.Millisecond
	maxFaultDuration = 2700 * time.Millisecond
)

// processFaults injects faults that overlap into control replicas and gateways.
type processFaults struct {
	*soak
	// kinds are the kinds to inject; empty for all.
	kinds []faultKind
	// gatewaysOnly spares the control replicas.
	gatewaysOnly bool
	// observe is called when a fault begins and when it ends, with the index of the
	// process among control replicas and gateways.
	observe func(index int, kind faultKind, ended bool)

	mu   sync.Mutex
	busy map[int]bool
}

// claim reserves a process for a fault.
func (f *processFaults) claim(index int) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.busy == nil {
		f.busy = make(map[int]bool)
	}
	claimed := !f.busy[index]
	f.busy[index] = true
	return claimed
}

func (f *processFaults) release(index int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.busy[index] = false
}

// process returns a control replica or gateway by its index.
func (f *processFaults) process(index int) *process {
	if index < len(f.controls) {
		return f.controls[index]
	}
	return f.gateways[index-len(f.controls)]
}

// gatewayIndex returns the gateway that has an index among control replicas and gateways.
func (f *processFaults) gatewayIndex(index int) (gateway int, ok bool) {
	return index - len(f.controls), index >= len(f.controls)
}

// inject kills, stops, freezes or reloads a random process in the background, unless a fault
// occurs to it already.
func (f *processFaults) inject(random *rand.Rand, faults *sync.WaitGroup) {
	index := random.IntN(len(f.controls) + len(f.gateways))
	kind, lasts := faultKind(random.IntN(int(faultKinds))), minFaultDuration+time.Duration(random.Int64N(int64(maxFaultDuration-minFaultDuration)))
	if len(f.kinds) > 0 && !slices.Contains(f.kinds, kind) {
		kind = f.kinds[random.IntN(len(f.kinds))]
	}
	if f.gatewaysOnly && index < len(f.controls) {
		return
	}
	f.injectInto(index, kind, lasts, faults)
}

// injectInto injects a fault into a process in the background, unless one occurs to it already.
func (f *processFaults) injectInto(index int, kind faultKind, lasts time.Duration, faults *sync.WaitGroup) {
	if !f.claim(index) {
		return
	}
	faults.Go(func() {
		defer f.release(index)
		f.happened("%s: %v for %v", f.process(index).name, kind, lasts.Round(time.Millisecond))
		f.observe(index, kind, false)
		defer f.observe(index, kind, true)
		f.process(index).undergo(kind, lasts)
	})
}

// undergo carries out a fault and returns when the process runs again.
func (p *process) undergo(kind faultKind, lasts time.Duration) {
	switch kind {
	case faultKill:
		p.kill()
		time.Sleep(lasts)
		p.start()
	case faultStop, faultStopTwice:
		_ = p.cmd.Process.Signal(syscall.SIGTERM)
		if kind == faultStopTwice {
			time.Sleep(lasts / 4)
			_ = p.cmd.Process.Signal(syscall.SIGTERM) // the process may have exited
		}
		<-p.exited
		p.cmd = nil
		p.start()
	case faultFreeze:
		_ = p.cmd.Process.Signal(syscall.SIGSTOP)
		time.Sleep(lasts)
		_ = p.cmd.Process.Signal(syscall.SIGCONT)
	case faultReload:
		_ = p.cmd.Process.Signal(syscall.SIGHUP)
	}
}
