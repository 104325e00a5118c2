package kernel

import (
	"flag"
	"runtime/debug"

	"github.com/galenaarch/galenaarch/kernel/settings"
)

// MemorySettings configures the garbage collector and the soft memory limit of
// the Go runtime.
type MemorySettings struct {
	// LimitMB is the memory available to the process in MB; 0 means unlimited.
	LimitMB int
	// GCPercent is the heap growth that triggers the next collection, in percent.
	GCPercent int
}

const (
	// programBytes is what the pages mapped from the program's file take. They count for the
	// process, but not for the Go runtime.
	programBytes = 20 << 20
	// runtimeMemoryShare is the fraction of the other memory that is given to the Go runtime. The
	// rest is for what the runtime does not account for, mainly socket buffers, and for what is
	// allocated beyond its soft limit while a collection is in progress.
	runtimeMemoryShare = 0.7
	// minRuntimeShare is the least fraction of all memory that is given to the Go runtime.
	minRuntimeShare = 0.5
)

// RegisterFlags implements settings.Set.
func (s *MemorySettings) RegisterFlags(fs *flag.FlagSet) {
	fs.IntVar(&s.LimitMB, "memory-mb", 0, "memory available to the process in MB; 0 for unlimited")
	fs.IntVar(&s.GCPercent, "gc-percent", 100, "heap growth between garbage collections in percent")
}

// Check implements settings.Set.
func (s *MemorySettings) Check(c *settings.Checker) {
	if s.LimitMB < 0 {
		c.Add("memory-mb", "%d MB must not be negative", s.LimitMB)
	}
	settings.Positive(c, "gc-percent", s.GCPercent, "percent")
}

// Apply sets the collector and the memory limit of this process.
func (s *MemorySettings) Apply() {
	debug.SetGCPercent(s.GCPercent)
	if s.LimitMB > 0 {
		debug.SetMemoryLimit(s.runtimeLimit())
	}
}

// runtimeLimit returns the soft memory limit of the Go runtime in bytes.
func (s *MemorySettings) runtimeLimit() int64 {
	limit := float64(s.LimitMB) * (1 << 20)
	return int64(max(minRuntimeShare*limit, runtimeMemoryShare*(limit-programBytes)))
}
