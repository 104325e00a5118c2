package contexts

import (
	"testing"

	"github.com/stretchr/testify/require"
)

// Operators empty the failure domain of a store: what it holds is still fetched, and nothing more is
// saved there.
func TestNothingIsSavedInEmptiedDomain(t *testing.T) {
	stores := []*HolderState{store("s:1", "a", 1<<20), store("s:2", "b", 1<<10)}
	stores[0].held[part("held", 1200).Key] = 1200
	to := target
	to.Emptied = func(domain string) bool { return domain == "a" }
	plan := Plan(stores, partList(part("held", 1200), part("new", 1000)), to, start)
	require.Equal(t, []string{"s:1", ""}, plan.Fetch)
	require.Equal(t, []string{"", "s:2"}, plan.Save)
	to.Emptied = func(domain string) bool { return true }
	require.Equal(t, 1, Plan(stores, partList(part("other", 1000)), to, start).UnsavedParts)
	require.Len(t, stores, 2)
}
