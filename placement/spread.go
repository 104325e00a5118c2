package placement

import "math"

// Variation returns the coefficient of variation of the loads of servers: the standard
// deviation divided by the mean; 0 without load.
func Variation(loads []float64) float64 {
	sum, squares := 0.0, 0.0
	for _, l := range loads {
		sum, squares = sum+l, squares+l*l
	}
	if sum == 0 {
		return 0
	}
	n := float64(len(loads))
	mean := sum / n
	return math.Sqrt(max(0, squares/n-mean*mean)) / mean
}
