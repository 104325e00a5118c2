package kernel

import (
	"testing"

	"github.com/stretchr/testify/require"
)

// TestMemoryLimitLeavesRoomBesideProgram guards against a process that exceeds the memory of its
// machine because its mapped program takes the room left beside the limit of the runtime.
func TestMemoryLimitLeavesRoomBesideProgram(t *testing.T) {
	for _, megabytes := range []int{80, 189, 280, 544} {
		s := MemorySettings{LimitMB: megabytes}
		left := int64(megabytes)<<20 - s.runtimeLimit() - programBytes
		require.GreaterOrEqual(t, left, int64(megabytes)<<20/5, "bytes left of %d MB", megabytes)
	}
	s := MemorySettings{LimitMB: 16}
	require.EqualValues(t, 8<<20, s.runtimeLimit())
}
