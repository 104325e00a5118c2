package consensus

import (
	"math"
	"math/bits"
	"testing"

	"github.com/stretchr/testify/require"
)

// The tests of this file weigh the access quorums of Cho and Lin, "Cyclic
// Spring Protocol: a quorum-based approach for replica control" (Definitions
// 3.1 to 3.11 and Algorithm 3.1), against majorities, by going through all
// states of up to 7 replicas.

// comet reports whether nodes of an n-ring contain an m-comet circle for some
// m: m consecutive nodes, and no two neighbours on the circle more than m
// apart. All up nodes are taken, which makes the gaps as small as they get.
func comet(n int, up uint) bool {
	if up == 0 {
		return false
	}
	run, gap := longestRun(n, up), largestGap(n, up)
	return run >= gap
}

func longestRun(n int, up uint) int {
	best := 0
	for start := range n {
		length := 0
		for length < n && up>>((start+length)%n)&1 == 1 {
			length++
		}
		best = max(best, length)
	}
	return best
}

// largestGap is the largest distance between neighbouring up nodes.
func largestGap(n int, up uint) int {
	best := 0
	for i := range n {
		if up>>i&1 == 0 {
			continue
		}
		d := 1
		for up>>((i+d)%n)&1 == 0 {
			d++
		}
		best = max(best, d)
	}
	return best
}

func majorityUp(n int, up uint) bool { return bits.OnesCount(up) > n/2 }

// availability sums the probability of the states that hold a quorum.
func availability(n int, p float64, quorum func(int, uint) bool) float64 {
	sum := 0.0
	for up := range uint(1) << n {
		if quorum(n, up) {
			k := bits.OnesCount(up)
			sum += math.Pow(p, float64(k)) * math.Pow(1-p, float64(n-k))
		}
	}
	return sum
}

// smallest and largest sizes of quorums none of whose parts is a quorum.
func minimalSizes(n int, quorum func(int, uint) bool) (smallest, largest int) {
	smallest = n
	for up := range uint(1) << n {
		if !quorum(n, up) {
			continue
		}
		minimal := true
		for i := range n {
			if up>>i&1 == 1 && quorum(n, up&^(1<<i)) {
				minimal = false
			}
		}
		if minimal {
			smallest = min(smallest, bits.OnesCount(up))
			largest = max(largest, bits.OnesCount(up))
		}
	}
	return smallest, largest
}

// TestMajorityIsAtLeastAsAvailableAsAccessQuorums at the sizes of a group. It
// also checks the reading of the definitions: any two access quorums meet.
func TestMajorityIsAtLeastAsAvailableAsAccessQuorums(t *testing.T) {
	for _, n := range []int{3, 4, 5, 6, 7} {
		for a := range uint(1) << n {
			for b := range uint(1) << n {
				if comet(n, a) && comet(n, b) {
					require.NotZero(t, a&b, "n=%d: %b and %b do not meet", n, a, b)
				}
			}
		}
		for _, p := range []float64{0.9, 0.95, 0.99, 0.999} {
			ours, theirs := availability(n, p, majorityUp), availability(n, p, comet)
			if n%2 == 1 {
				require.GreaterOrEqual(t, ours, theirs-1e-12, "n=%d p=%v", n, p)
			}
			t.Logf("n=%d p=%v: majority %.6f, access quorum %.6f", n, p, ours, theirs)
		}
		smallest, largest := minimalSizes(n, comet)
		t.Logf("n=%d: majority %d, access quorums of %d to %d", n, n/2+1, smallest, largest)
		require.GreaterOrEqual(t, smallest, 1)
	}
}
