package fleetview

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/galenaarch/galenaarch/api/controlv1"
	"github.com/galenaarch/galenaarch/dispatch"
)

// Guards against time limits of weight versions that start anew with a process, or depend on its clock while it runs.
func TestWeightTargetsCountFromAcceptance(t *testing.T) {
	now := time.UnixMilli(1_000_000_000)
	ago := func(d time.Duration) time.Time { return now.Add(-d) }
	document := func(accepted ...time.Time) *controlv1.PublishedDocument {
		d := &controlv1.PublishedDocument{}
		for i, at := range accepted {
			ms := int64(0)
			if !at.IsZero() {
				ms = at.UnixMilli()
			}
			if i < len(accepted)-1 {
				d.Earlier = append(d.Earlier, &controlv1.AcceptedVersion{Version: uint64(i + 2), AcceptedUnixMs: ms})
			} else {
				d.Version, d.AcceptedUnixMs = uint64(i+2), ms
			}
		}
		return d
	}
	const longest = 16 * time.Second
	tests := map[string]struct {
		known   dispatch.WeightTargets
		d       *controlv1.PublishedDocument
		started time.Time
		want    dispatch.WeightTargets
	}{
		"seen as it is published":    {nil, document(ago(time.Hour)), ago(time.Minute), dispatch.WeightTargets{{Version: 2, Since: now}}},
		"known":                      {dispatch.WeightTargets{{Version: 2, Since: ago(3 * time.Second)}}, document(now), ago(time.Minute), dispatch.WeightTargets{{Version: 2, Since: ago(3 * time.Second)}}},
		"just started":               {nil, document(ago(7*time.Second), ago(time.Second)), ago(time.Second), dispatch.WeightTargets{{Version: 2, Since: ago(7 * time.Second)}, {Version: 3, Since: ago(time.Second)}}},
		"just started, long ago":     {nil, document(ago(time.Hour)), ago(time.Second), dispatch.WeightTargets{{Version: 2, Since: ago(longest)}}},
		"its clock is behind":        {nil, document(now.Add(time.Hour)), ago(time.Second), dispatch.WeightTargets{{Version: 2, Since: now}}},
		"accepted by an older build": {nil, document(time.Time{}), ago(time.Second), dispatch.WeightTargets{{Version: 2, Since: now}}},
		"some were missed": {
			dispatch.WeightTargets{{Version: 2, Since: ago(9 * time.Second)}}, document(ago(9*time.Second), ago(5*time.Second), ago(time.Second)), ago(time.Minute),
			dispatch.WeightTargets{{Version: 2, Since: ago(9 * time.Second)}, {Version: 3, Since: ago(5 * time.Second)}, {Version: 4, Since: now}},
		},
		"some were missed, clocks differ": {
			dispatch.WeightTargets{{Version: 2, Since: ago(9 * time.Second)}}, document(ago(time.Hour), ago(time.Hour), ago(time.Hour)), ago(time.Minute),
			dispatch.WeightTargets{{Version: 2, Since: ago(9 * time.Second)}, {Version: 3, Since: ago(9 * time.Second)}, {Version: 4, Since: now}},
		},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			require.Equal(t, tt.want, WeightTargets(tt.known, tt.d, tt.started, now, longest))
		})
	}
}
