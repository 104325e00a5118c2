package priority

import (
	"slices"
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

// TestQueueOrderMatchesSortedList compares the queue with a sorted list under
// random pushes, pops and removals.
func TestQueueOrderMatchesSortedList(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		q := New(func(a, b int) bool { return a < b })
		var model []*Item[int]
		pushed := 0
		for range rapid.IntRange(0, 60).Draw(t, "steps") {
			switch {
			case len(model) == 0 || rapid.Bool().Draw(t, "push"):
				// Values are distinct, so exactly one order is correct.
				pushed++
				model = append(model, q.Push(rapid.IntRange(0, 1000).Draw(t, "value")*100+pushed))
			case rapid.Bool().Draw(t, "pop"):
				slices.SortStableFunc(model, func(a, b *Item[int]) int { return a.Value - b.Value })
				require.Equal(t, model[0].Value, q.Peek())
				require.Equal(t, model[0].Value, q.Pop())
				require.False(t, model[0].Queued())
				model = model[1:]
			default:
				i := rapid.IntRange(0, len(model)-1).Draw(t, "item")
				require.True(t, q.Remove(model[i]))
				require.False(t, q.Remove(model[i]), "item was removed already")
				model = slices.Delete(model, i, i+1)
			}
			require.Equal(t, len(model), q.Len())
		}
	})
	require.False(t, New(func(a, b int) bool { return a < b }).Remove(nil))
}
