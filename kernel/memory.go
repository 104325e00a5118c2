package kernel

import (
	"flag"
	"runtime/debug"

	"github.com/galenaarch/galenaarch/kernel/settings"
)

// MemorySettings bound the memory of the runtime.
type MemorySettings struct {
	// LimitMB is what the machine gives the process; MB, 0 for no bound.
	LimitMB int
	// GCPercent is the growth of the heap between two collections; percent.
	GCPercent int
}

// memoryShare is the part of the limit that the runtime may fill: the rest is
// for what it does not count, above all the buffers of sockets.
const memoryShare = 0.7

// RegisterFlags implements settings.Set.
func (s *MemorySettings) RegisterFlags(fs *flag.FlagSet) {
	fs.IntVar(&s.LimitMB, "memory-mb", 0, "memory of the process in MB; 0 for no bound")
	fs.IntVar(&s.GCPercent, "gc-percent", 100, "growth of the heap between two collections in percent")
}

// Check implements settings.Set.
func (s *MemorySettings) Check(c *settings.Checker) {
	if s.LimitMB < 0 {
		c.Add("memory-mb", "%d must not be below 0 MB", s.LimitMB)
	}
	settings.Positive(c, "gc-percent", s.GCPercent, "percent")
}

// Apply puts the bounds in force.
func (s *MemorySettings) Apply() {
	debug.SetGCPercent(s.GCPercent)
	if s.LimitMB > 0 {
		debug.SetMemoryLimit(int64(memoryShare * float64(s.LimitMB) * (1 << 20)))
	}
}
