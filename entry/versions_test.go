package entry

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/galenaarch/galenaarch/api/backend"
	"github.com/galenaarch/galenaarch/config"
	"github.com/galenaarch/galenaarch/config/routes"
	"github.com/galenaarch/galenaarch/fleet"
	"github.com/galenaarch/galenaarch/kvcache"
)

const swapServers = 12

func testPrompt(i int) *prompt {
	p := &prompt{deployment: &config.Deployment{Name: "quotes"}}
	p.scope = kvcache.Scope{ClientAccount: "garden", Deployment: "quotes"}
	p.setText(fmt.Sprintf("survey %d, a pond of 4 by 6 and its drawings", i), 4)
	return p
}

// eligibilityAt returns the eligibility after n servers have switched to the
// new version.
func eligibilityAt(n int) *eligibility {
	all := make([]*fleet.Server, 0, swapServers)
	for i := range swapServers {
		version := "v1"
		if i < n {
			version = "v2"
		}
		all = append(all, &fleet.Server{Announcement: backend.Announcement{
			Server: fmt.Sprint(i), Deployment: "quotes", WeightVersion: version,
		}})
	}
	return newEligibility(routes.NewTable().Current(), all)
}

// TestPromptSwitchesVersionOnce: as servers switch versions, each prompt moves
// from the old version to the new one once, and the share of prompts follows
// the share of servers.
func TestPromptSwitchesVersionOnce(t *testing.T) {
	const prompts = 600
	serving := []string{"v1", "v2"}
	for i := range prompts {
		previous := "v1"
		for n := range swapServers + 1 {
			version := chooseVersion(testPrompt(i), serving, eligibilityAt(n))
			require.False(t, previous == "v2" && version == "v1", "prompt %d returned to v1 with %d servers switched", i, n)
			previous = version
		}
		require.Equal(t, "v2", previous)
	}
	changed := 0
	for i := range prompts {
		if chooseVersion(testPrompt(i), serving, eligibilityAt(swapServers/2)) == "v2" {
			changed++
		}
	}
	require.InDelta(t, prompts/2, changed, prompts/10)
}

// TestBlockKeysDifferBetweenVersions: a prompt has no block key in common
// between two versions.
func TestBlockKeysDifferBetweenVersions(t *testing.T) {
	p := testPrompt(1)
	p.useVersion("v1")
	seen := make(map[kvcache.BlockKey]bool)
	for _, k := range p.blocks {
		seen[k] = true
	}
	require.NotEmpty(t, seen)
	old := p.scope.Salt()
	p.useVersion("v2")
	require.NotEqual(t, old, p.scope.Salt())
	for _, k := range p.blocks {
		require.False(t, seen[k])
	}
}
