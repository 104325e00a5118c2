package dispatch

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

func part(name string) PromptPart { return PromptPart{"chat", name} }

func run(n int) ServerRun { return ServerRun{fmt.Sprint("server-", n), int64(n)} }

// crashed lets a server end under requests whose responses had begun.
func crashed(e *CrashEvidence, n int, at time.Time, parts ...string) {
	suspects := make([]Suspect, len(parts))
	for i, p := range parts {
		suspects[i] = Suspect{part(p), true}
	}
	e.Interrupted(run(n), suspects, at)
	e.Ended(run(n), at)
}

func isBlocked(e *CrashEvidence, at time.Time, parts ...string) bool {
	var all []PromptPart
	for _, p := range parts {
		all = append(all, part(p))
	}
	_, _, blocked := e.Blocked(all, nil, at)
	return blocked
}

// TestPartThatCrashesServersIsQuarantined guards against a part that ends one server
// after the other.
func TestPartThatCrashesServersIsQuarantined(t *testing.T) {
	var e CrashEvidence
	require.True(t, e.Empty(start))
	for n := range 3 {
		require.False(t, isBlocked(&e, start.Add(time.Duration(n)*time.Second), "bad", "sound"))
		crashed(&e, n, start.Add(time.Duration(n)*time.Second), "bad", fmt.Sprint("rare-", n))
	}
	require.True(t, isBlocked(&e, start.Add(3*time.Second), "sound", "bad"))
	require.False(t, isBlocked(&e, start.Add(3*time.Second), "sound", "rare-1"))
}
