package entry

import (
	"testing"

	"github.com/stretchr/testify/require"
	"google.golang.org/protobuf/proto"

	"github.com/galenaarch/galenaarch/api/memberv1"
	"github.com/galenaarch/galenaarch/fleet"
)

// FuzzItems applies arbitrary values as items published by other entries.
func FuzzItems(f *testing.F) {
	e := startEntry(f)
	e.announce("engine-1", "http://127.0.0.1:1")
	seeds := []proto.Message{
		&memberv1.ServerRecord{Announcement: []byte(`{"server":"a","url":"http://127.0.0.1:1","incarnation":1}`)},
		&memberv1.ServerLoads{Servers: []uint32{serverHash("engine-1")}, Running: []uint32{1}, Waiting: []uint32{2}, WaitingTokens: []uint32{3}},
		&memberv1.InFlight{Servers: []uint32{serverHash("engine-1")}, Runs: []uint32{1}},
		&memberv1.Demand{Needs: []*memberv1.AccountAmount{{Account: "a", Rate: 1 << 63, Stamp: -1}}, Loans: []*memberv1.AccountAmount{{Account: "a", Borrower: "entry-1", Stamp: 1}}},
	}
	for _, s := range seeds {
		raw, err := proto.Marshal(s)
		require.NoError(f, err)
		f.Add(raw)
	}
	f.Fuzz(func(t *testing.T, value []byte) {
		e.applyLoads(value)
		e.applyInFlight("entry-2", value)
		e.applyState("entry-2", value)
		e.applyDemand("entry-2", value)
		if record, ok := decodeServerRecord(value); ok {
			require.NotEmpty(t, record.Announcement.Server)
			require.LessOrEqual(t, record.State, fleet.StateLeaving)
		}
	})
}
