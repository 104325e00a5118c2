package consensus

import (
	"math"
	"math/bits"
	"testing"

	"github.com/stretchr/testify/require"
)

// The tests in this file compare the availability of majorities with that of the
// access quorums of Cho and Lin, "Cyclic Spring Protocol: a quorum-based approach
// for replica control" (Definitions 3.1 to 3.11 and Algorithm 3.1). They enumerate
// all up/down states of up to 7 replicas.

// isCometQuorum reports whether the up nodes of a ring of n nodes contain an m-comet
// circle for some m: m consecutive nodes, and no two neighbours on the circle more
// than m apart. It uses all up nodes, because that minimizes the gaps.
func isCometQuorum(n int, up uint) bool {
	if up == 0 {
		return false
	}
	run, gap := longestRun(n, up), largestGap(n, up)
	return run >= gap
}

func longestRun(n int, up uint) int {
	longest := 0
	for start := range n {
		length := 0
		for length < n && up>>((start+length)%n)&1 == 1 {
			length++
		}
		longest = max(longest, length)
	}
	return longest
}

// largestGap returns the largest distance between neighbouring up nodes.
func largestGap(n int, up uint) int {
	largest := 0
	for i := range n {
		if up>>i&1 == 0 {
			continue
		}
		distance := 1
		for up>>((i+distance)%n)&1 == 0 {
			distance++
		}
		largest = max(largest, distance)
	}
	return largest
}

func isMajority(n int, up uint) bool { return bits.OnesCount(up) > n/2 }

// availability returns the probability that the up nodes contain a quorum if each
// node is up with probability p.
func availability(n int, p float64, quorum func(int, uint) bool) float64 {
	sum := 0.0
	for up := range uint(1) << n {
		if quorum(n, up) {
			upNodes := bits.OnesCount(up)
			sum += math.Pow(p, float64(upNodes)) * math.Pow(1-p, float64(n-upNodes))
		}
	}
	return sum
}

// minimalSizes returns the smallest and the largest size of a minimal quorum, which
// contains no smaller quorum.
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

// TestMajorityIsAtLeastAsAvailableAsAccessQuorums asserts this for odd group sizes
// and logs the figures of all sizes. It also checks that the definitions are
// implemented correctly: any two access quorums intersect.
func TestMajorityIsAtLeastAsAvailableAsAccessQuorums(t *testing.T) {
	for _, n := range []int{3, 4, 5, 6, 7} {
		for a := range uint(1) << n {
			for b := range uint(1) << n {
				if isCometQuorum(n, a) && isCometQuorum(n, b) {
					require.NotZero(t, a&b, "n=%d: %b and %b do not intersect", n, a, b)
				}
			}
		}
		for _, p := range []float64{0.9, 0.95, 0.99, 0.999} {
			majorityAvailability, accessAvailability := availability(n, p, isMajority), availability(n, p, isCometQuorum)
			if n%2 == 1 {
				require.GreaterOrEqual(t, majorityAvailability, accessAvailability-1e-12, "n=%d p=%v", n, p)
			}
			t.Logf("n=%d p=%v: majority %.6f, access quorum %.6f", n, p, majorityAvailability, accessAvailability)
		}
		smallest, largest := minimalSizes(n, isCometQuorum)
		t.Logf("n=%d: majority %d, access quorums of %d to %d", n, n/2+1, smallest, largest)
		require.GreaterOrEqual(t, smallest, 1)
	}
}
