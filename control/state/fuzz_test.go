package state

import (
	"testing"

	"github.com/stretchr/testify/require"
	"google.golang.org/protobuf/proto"

	"github.com/galenaarch/galenaarch/api/controlv1"
)

// FuzzApply applies arbitrary decodable commands. Apply must not panic, log time
// must not decrease, and the state must remain encodable.
func FuzzApply(f *testing.F) {
	seeds := []*controlv1.Command{
		{TimeUnixMs: 5, Body: &controlv1.Command_ApplyConfig{ApplyConfig: &controlv1.ApplyConfigRequest{Environment: "e", Upserts: []*controlv1.ConfigItem{{Kind: "store", Name: "s", Body: []byte(`{"name":"s"}`)}}}}},
		{TimeUnixMs: 5, Body: &controlv1.Command_BeginCall{BeginCall: &controlv1.BeginCallRequest{ClientAccount: "a", Key: "k"}}},
		{TimeUnixMs: 5, Body: &controlv1.Command_AcquireLease{AcquireLease: &controlv1.AcquireLeaseRequest{Name: "l", Holder: "h", TermMs: 10}}},
		{TimeUnixMs: 5, Body: &controlv1.Command_UpdateRouting{UpdateRouting: &controlv1.UpdateRoutingRequest{Environment: "e", Deployment: "d"}}},
		{TimeUnixMs: 5, Body: &controlv1.Command_RequestDrain{RequestDrain: &controlv1.RequestDrainRequest{Environment: "e"}}},
		{TimeUnixMs: 1 << 60, Body: &controlv1.Command_ExpireCalls{ExpireCalls: &controlv1.ExpireCallsCommand{FinishedBeforeUnixMs: 1 << 60, BegunBeforeUnixMs: 1 << 60}}},
	}
	for _, c := range seeds {
		data, err := proto.Marshal(c)
		require.NoError(f, err)
		f.Add(data)
	}
	f.Fuzz(func(t *testing.T, data []byte) {
		var cmd controlv1.Command
		if proto.Unmarshal(data, &cmd) != nil {
			return
		}
		s := New()
		beginCall(s, 1, "a", "k", "d", "b")
		s.Apply(&cmd)
		require.GreaterOrEqual(t, s.NowMS(), int64(1))
		_, err := s.Snapshot()
		require.NoError(t, err)
	})
}
