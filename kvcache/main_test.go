package kvcache

import (
	"flag"
	"os"
	"testing"
)

// Settings of the property test. A block is freed only after a lease, a write, a
// seal and the end of the read leases, so a schedule needs many steps.
const (
	scheduleSeed   = "7"
	scheduleChecks = "6000"
	scheduleSteps  = "100"
)

func TestMain(m *testing.M) {
	flag.Parse()
	setDefault := func(name, value string) {
		explicit := false
		flag.Visit(func(f *flag.Flag) { explicit = explicit || f.Name == name })
		if !explicit {
			_ = flag.Set(name, value) // these flags are defined by rapid
		}
	}
	setDefault("rapid.seed", scheduleSeed)
	setDefault("rapid.checks", scheduleChecks)
	setDefault("rapid.steps", scheduleSteps)
	setDefault("rapid.nofailfile", "true")
	os.Exit(m.Run())
}
