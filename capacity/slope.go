// Package capacity estimates the resources the system needs at a given size. It
// extrapolates from lines fitted to measurements and compares the results with
// budgets.
package capacity

import (
	"bytes"
	"fmt"
	"slices"

	"github.com/goccy/go-yaml"
	"gonum.org/v1/gonum/stat"
)

// SchemaVersion is the only input schema that this build accepts.
const SchemaVersion = "galenaarch/capacity/v1"

// Point is one measurement: Y at size X.
type Point struct {
	X float64 `yaml:"x"`
	Y float64 `yaml:"y"`
}

// Slope is a measured relation between a quantity (Y) and a size (X).
type Slope struct {
	Name string `yaml:"name"`
	// Unit is the unit of Y, Per the unit of X.
	Unit string `yaml:"unit"`
	Per  string `yaml:"per"`
	// Command reproduces the measurement.
	Command string  `yaml:"command"`
	Points  []Point `yaml:"points"`
}

// Line is a linear fit: y = Intercept + Rate*x. RSquared is the coefficient of
// determination; 1 is a perfect fit.
type Line struct {
	Intercept float64
	Rate      float64
	RSquared  float64
}

// Fit returns the least-squares line through the points. A single point gives a
// constant.
func (s *Slope) Fit() Line {
	if len(s.Points) == 1 {
		return Line{Intercept: s.Points[0].Y, RSquared: 1}
	}
	x := make([]float64, len(s.Points))
	y := make([]float64, len(s.Points))
	for i, p := range s.Points {
		x[i], y[i] = p.X, p.Y
	}
	intercept, rate := stat.LinearRegression(x, y, nil, false)
	return Line{Intercept: intercept, Rate: rate, RSquared: stat.RSquared(x, y, nil, intercept, rate)}
}

// ValueAt returns the value of the line at x.
func (l Line) ValueAt(x float64) float64 { return l.Intercept + l.Rate*x }

// Size is the size of the installation to plan for.
type Size struct {
	// Nodes is the number of nodes that run the system.
	Nodes float64 `yaml:"nodes"`
	// ControlReplicas is the number of nodes dedicated to control.
	ControlReplicas float64 `yaml:"replicas"`
	// BackendServers is the number of backend servers.
	BackendServers float64 `yaml:"servers"`
	// Regions is the number of regions that contain backend servers.
	Regions float64 `yaml:"regions"`
	// FailureDomains is the number of failure domains that contain backend servers.
	FailureDomains float64 `yaml:"domains"`
	// RequestsPerSecond is the peak number of requests per second.
	RequestsPerSecond float64 `yaml:"requests_per_second"`
	// TokensPerSecond is the peak number of tokens per second.
	TokensPerSecond float64 `yaml:"tokens_per_second"`
	// Contexts is the number of recurring prompt contexts, each with
	// BlocksPerContext blocks.
	Contexts         float64 `yaml:"contexts"`
	BlocksPerContext float64 `yaml:"blocks_per_context"`
	// ClientAccounts is the number of client accounts.
	ClientAccounts float64 `yaml:"accounts"`
	// ChangesPerDay counts configuration changes, RestartsPerDay the instances
	// that are restarted, are replaced or fail.
	ChangesPerDay  float64 `yaml:"changes_per_day"`
	RestartsPerDay float64 `yaml:"restarts_per_day"`
	// NonIdempotentShare is the fraction of requests that must be executed at most
	// once.
	NonIdempotentShare float64 `yaml:"non_idempotent_share"`
	// CPUBudget is the CPU budget of a node for control work as a share of a core.
	CPUBudget float64 `yaml:"budget_core_share"`
	// MemoryBudget is the memory budget of a node for control work in bytes.
	MemoryBudget float64 `yaml:"budget_memory_bytes"`
	// TrafficBudget is the traffic budget of a node for control work in bytes per
	// second.
	TrafficBudget float64 `yaml:"budget_bytes_per_second"`
}

// Input is the content of a capacity file, from which a plan is computed: the size of
// the installation and the measured slopes.
type Input struct {
	Schema string  `yaml:"schema"`
	Size   Size    `yaml:"size"`
	Slopes []Slope `yaml:"slopes"`
}

// Decode parses and validates an input. Unknown fields are errors.
func Decode(text []byte) (*Input, error) {
	var in Input
	dec := yaml.NewDecoder(bytes.NewReader(text), yaml.Strict(), yaml.DisallowUnknownField())
	if err := dec.Decode(&in); err != nil {
		return nil, err
	}
	if in.Schema != SchemaVersion {
		return nil, fmt.Errorf("schema %q: expected %q", in.Schema, SchemaVersion)
	}
	for _, s := range in.Slopes {
		if s.Name == "" || s.Command == "" || len(s.Points) == 0 {
			return nil, fmt.Errorf("slope %q: name, command and points are required", s.Name)
		}
	}
	return &in, nil
}

// fitSlope returns the line fitted to the named slope, or false if the slope was
// not measured.
func (in *Input) fitSlope(name string) (Line, bool) {
	i := slices.IndexFunc(in.Slopes, func(s Slope) bool { return s.Name == name })
	if i < 0 {
		return Line{}, false
	}
	return in.Slopes[i].Fit(), true
}
