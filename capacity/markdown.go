package capacity

import (
	"fmt"
	"io"
	"math"
)

// WriteSlopes writes the measured slopes as a Markdown table.
func WriteSlopes(w io.Writer, in *Input) error {
	if _, err := fmt.Fprint(w, "| slope | points | fit | command |\n| --- | --- | --- | --- |\n"); err != nil {
		return err
	}
	for i := range in.Slopes {
		s := &in.Slopes[i]
		line := s.Fit()
		points := ""
		for _, p := range s.Points {
			points += fmt.Sprintf("%s: %s; ", formatNumber(p.X), formatNumber(p.Y))
		}
		fit := fmt.Sprintf("%s + %s · %s, R² %.3f", formatNumber(line.Intercept), formatNumber(line.Rate), s.Per, line.RSquared)
		if _, err := fmt.Fprintf(w, "| %s (%s) | %s | %s | `%s` |\n", s.Name, s.Unit, points, fit, s.Command); err != nil {
			return err
		}
	}
	return nil
}

// WritePlan writes the rows of a plan as a Markdown table.
func WritePlan(w io.Writer, rows []Row) error {
	if _, err := fmt.Fprint(w, "| role | what | value | unit | budget | carried by |\n| --- | --- | --- | --- | --- | --- |\n"); err != nil {
		return err
	}
	for i := range rows {
		r := &rows[i]
		if _, err := fmt.Fprintf(w, "| %s | %s | %s | %s | %s | %s |\n", r.Role, r.Resource, formatValue(r), r.Unit, formatBudget(r), r.Mechanism); err != nil {
			return err
		}
	}
	return nil
}

func formatBudget(r *Row) string {
	switch {
	case r.Budget == 0:
		return "none"
	case !r.Measured:
		return formatNumber(r.Budget)
	case r.OverBudget():
		return formatNumber(r.Budget) + ", **broken**"
	}
	return formatNumber(r.Budget) + ", held"
}

func formatValue(r *Row) string {
	if !r.Measured {
		return "not measured"
	}
	return formatNumber(r.Value)
}

// formatNumber formats numbers of at least 1000 without decimals and smaller ones
// with three significant digits.
func formatNumber(v float64) string {
	if math.Abs(v) >= 1000 {
		return fmt.Sprintf("%.0f", v)
	}
	return fmt.Sprintf("%.3g", v)
}
