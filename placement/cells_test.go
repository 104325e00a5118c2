package placement

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/require"
)

func members(prefix string, zones ...int) []Member {
	var list []Member
	for z, n := range zones {
		for i := range n {
			list = append(list, Member{ID: fmt.Sprintf("%s-%d-%d", prefix, z, i), Zone: fmt.Sprint("zone-", z)})
		}
	}
	return list
}

// Every server must be in the cell of some instance of its failure domain, instances
// of a cell must agree on it, and no cell may be too small.
func TestCellsCoverAllServers(t *testing.T) {
	tests := []struct {
		name               string
		instances, servers []Member
		wantCells          int
	}{
		{"30 before 90", members("e", 8, 8, 8, 6), members("s", 23, 23, 22, 22), 7},
		{"76 before 62", members("e", 13, 13, 13, 13, 12, 12), members("s", 11, 11, 10, 10, 10, 10), 6},
		{"760 before 6900", members("e", 380, 380), members("s", 3450, 3450), 152},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			cells := make(map[string]bool)
			covered := make(map[string]bool)
			for _, inst := range tt.instances {
				cell := CellServers(inst.ID, tt.instances, tt.servers)
				require.GreaterOrEqual(t, len(cell), minServersPerCell)
				cells[fmt.Sprint(cell)] = true
				for id := range cell {
					covered[id] = true
				}
			}
			require.Len(t, cells, tt.wantCells)
			require.Len(t, covered, len(tt.servers))
		})
	}
}

func TestNoCellsInSmallFleets(t *testing.T) {
	require.Nil(t, CellServers("e-0-0", members("e", 2, 1, 1, 1), members("s", 3, 3, 3, 3)))
	require.Nil(t, CellServers("e-0-0", members("e", 8, 8), members("s", 3, 30)), "too few servers in its failure domain")
	require.Nil(t, CellServers("unknown", members("e", 8, 8), members("s", 30, 30)))
}

// Losing a server may move at most one server across each border of a cell.
func TestCellsAreStableOnServerLoss(t *testing.T) {
	instances, servers := members("e", 40), members("s", 120)
	before := CellServers("e-0-20", instances, servers)
	for lost := range servers {
		without := append(append([]Member{}, servers[:lost]...), servers[lost+1:]...)
		moved := 0
		for id := range CellServers("e-0-20", instances, without) {
			if !before[id] {
				moved++
			}
		}
		require.LessOrEqual(t, moved, 2)
	}
}

func TestAssumedLoadOutsideCell(t *testing.T) {
	list := servers(4, func(l []Server) {
		l[0].PrefillTokens, l[1].PrefillTokens = 10_000, 30_000
		l[0].UsedMemoryTokens = 40_000
		l[3].PrefillTokens = 50_000
	})
	FillUnknownLoad(list, func(i int) bool { return i < 2 })
	require.Equal(t, []int{10_000, 30_000, 14_000, 50_000}, []int{list[0].PrefillTokens, list[1].PrefillTokens, list[2].PrefillTokens, list[3].PrefillTokens})
	require.Equal(t, 14_000, list[2].UsedMemoryTokens)
	FillUnknownLoad(list, func(int) bool { return false })
}
