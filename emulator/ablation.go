package emulator

import (
	"fmt"
	"io"
	"math"

	"github.com/galenaarch/galenaarch/dispatch"
	"github.com/galenaarch/galenaarch/placement"
)

// WriteAblation simulates a pattern with all mechanisms enabled and with each one
// disabled in turn, for the given number of seeds starting at the seed of the pattern.
// It writes the mean share of requests on time, its standard deviation over the seeds and
// the share that each mechanism adds.
func WriteAblation(w io.Writer, p *Pattern, seeds int) error {
	full, stddev, err := meanOnTimeWithout(p, "", seeds)
	if err != nil {
		return err
	}
	if _, err := fmt.Fprintf(w, "%-14s %-18s %7s %7s %7s\n%-14s %-18s %7.3f %7.3f\n", "pattern", "without", "on time", "spread", "gain", p.Name, "nothing", full, stddev); err != nil {
		return err
	}
	for _, name := range dispatch.MechanismNames() {
		onTime, stddev, err := meanOnTimeWithout(p, name, seeds)
		if err != nil {
			return err
		}
		if _, err := fmt.Fprintf(w, "%-14s %-18s %7.3f %7.3f %7.3f\n", p.Name, name, onTime, stddev, full-onTime); err != nil {
			return err
		}
	}
	return nil
}

// meanOnTimeWithout returns the mean share on time with one mechanism disabled, and
// its standard deviation over the seeds. An empty name disables none.
func meanOnTimeWithout(p *Pattern, name string, seeds int) (mean, stddev float64, err error) {
	decisions, err := dispatch.Without(name)
	if err != nil {
		return 0, 0, err
	}
	meanSquare := 0.0
	for seed := range seeds {
		seeded := *p
		seeded.Seed = p.Seed + uint64(seed)
		share := Simulate(&seeded, Policy{Name: name, Scorer: placement.ExpectedTime{}, Mechanisms: decisions}).OnTimeShare()
		mean, meanSquare = mean+share/float64(seeds), meanSquare+share*share/float64(seeds)
	}
	return mean, math.Sqrt(max(0, meanSquare-mean*mean)), nil
}
