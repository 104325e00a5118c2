package entry

import (
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/galenaarch/galenaarch/kvcache"
)

func prefillPrompt(text string) *prompt {
	return &prompt{blocks: kvcache.TextBlocks(kvcache.Scope{Deployment: "d"}, text, 1)}
}

func TestPrefillsLongestMatch(t *testing.T) {
	f := newPrefills()
	first := prefillPrompt("aaaabbbbcccc")
	f.start(first)
	cases := []struct {
		name   string
		text   string
		blocks int
	}{
		{"identical", "aaaabbbbcccc", 3},
		{"longer", "aaaabbbbccccdddd", 3},
		{"common prefix", "aaaabbbbeeee", 2},
		{"common prefix too short", "aaaaeeeeffff", 0},
		{"no common prefix", "eeeeffffgggg", 0},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			other, blocks := f.longestMatch(prefillPrompt(c.text).blocks)
			require.Equal(t, c.blocks, blocks)
			require.Equal(t, c.blocks > 0, other != nil)
		})
	}
	other, _ := f.longestMatch(first.blocks)
	f.finish(first)
	f.finish(first)
	<-other.done
	require.Empty(t, f.blocks, "the index must be empty")
}
