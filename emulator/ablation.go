package emulator

import (
	"fmt"
	"io"
	"math"

	"github.com/galenaarch/galenaarch/dispatch"
	"github.com/galenaarch/galenaarch/placement"
)

// WriteAblation plays a pattern with all mechanisms and without each of them in
// turn, over so many seeds, and writes the mean credit, its spread over the seeds,
// and what each mechanism is worth.
func WriteAblation(w io.Writer, p *Pattern, seeds int) error {
	all, spread, err := ablated(p, "", seeds)
	if err != nil {
		return err
	}
	if _, err := fmt.Fprintf(w, "%-14s %-18s %7s %7s %7s\n%-14s %-18s %7.3f %7.3f\n", "pattern", "without", "credit", "spread", "worth", p.Name, "nothing", all, spread); err != nil {
		return err
	}
	for _, name := range dispatch.MechanismNames() {
		credit, spread, err := ablated(p, name, seeds)
		if err != nil {
			return err
		}
		if _, err := fmt.Fprintf(w, "%-14s %-18s %7.3f %7.3f %7.3f\n", p.Name, name, credit, spread, all-credit); err != nil {
			return err
		}
	}
	return nil
}

// ablated is the mean credit without a mechanism, and its standard deviation.
func ablated(p *Pattern, name string, seeds int) (mean, spread float64, err error) {
	decisions, err := dispatch.Without(name)
	if err != nil {
		return 0, 0, err
	}
	square := 0.0
	for seed := range seeds {
		one := *p
		one.Seed = p.Seed + uint64(seed)
		share := Play(&one, Policy{Name: name, Scorer: placement.ExpectedTime{}, Decisions: decisions}).Share()
		mean, square = mean+share/float64(seeds), square+share*share/float64(seeds)
	}
	return mean, math.Sqrt(max(0, square-mean*mean)), nil
}
