package capacity

import (
	"os"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
)

func TestFit(t *testing.T) {
	tests := []struct {
		name   string
		points []Point
		x      float64
		want   float64
	}{
		{"one point gives a constant", []Point{{1, 7}}, 1000, 7},
		{"several points give a line", []Point{{0, 1}, {10, 21}, {20, 41}}, 100, 201},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			s := Slope{Points: tt.points}
			require.InDelta(t, tt.want, s.Fit().ValueAt(tt.x), 1e-9)
			require.InDelta(t, 1, s.Fit().RSquared, 1e-9)
		})
	}
}

func TestPlanMarksUnmeasuredAndOverBudgetRows(t *testing.T) {
	in := &Input{
		Size:   Size{Nodes: 760, Regions: 7, BackendServers: 6900, TrafficBudget: 18e3},
		Slopes: []Slope{{Name: SlopeMembershipTraffic, Points: []Point{{0, 0}, {10, 300}}}},
	}
	rows := Plan(in)
	require.True(t, rows[0].OverBudget(), "22.8 KB/s exceed the budget of 18 KB/s")
	require.False(t, rows[1].Measured)
	require.Contains(t, formatValue(&rows[1]), "not measured")
	require.Contains(t, formatBudget(&rows[0]), "broken")
}

// TestCapacityPageMatchesInput checks that the tables in docs/CAPACITY.md match
// their input, docs/capacity.yaml.
func TestCapacityPageMatchesInput(t *testing.T) {
	text, err := os.ReadFile("../docs/capacity.yaml")
	require.NoError(t, err)
	page, err := os.ReadFile("../docs/CAPACITY.md")
	require.NoError(t, err)
	in, err := Decode(text)
	require.NoError(t, err)
	var slopes, plan strings.Builder
	require.NoError(t, WriteSlopes(&slopes, in))
	require.NoError(t, WritePlan(&plan, Plan(in)))
	require.Contains(t, string(page), slopes.String())
	require.Contains(t, string(page), plan.String())
}

func TestDecodeRejectsInvalidInput(t *testing.T) {
	for _, text := range []string{"schema: other", "schema: " + SchemaVersion + "\nnodes: 3", "schema: " + SchemaVersion + "\nslopes: [{name: x}]"} {
		_, err := Decode([]byte(text))
		require.Error(t, err, text)
	}
}
