package dispatch

import (
	"strconv"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// Guards against streams that are joined because a version that began some is forgotten too
// early, or not known at all.
func TestOnlyVersionIsCertain(t *testing.T) {
	const within = 10 * time.Second
	now := time.Unix(1000, 0)
	ago := func(d time.Duration) time.Time { return now.Add(-d) }
	v1, v2, other := Software{"s", "v1"}, Software{"s", "v2"}, Software{"other", "v2"}
	tests := map[string]struct {
		seen       map[Software]time.Time
		serving    []Software
		knownSince time.Time
		want       string
		certain    bool
	}{
		"one version":                         {map[Software]time.Time{v1: ago(time.Hour)}, []Software{v1}, ago(time.Hour), "v1", true},
		"another service's version":           {map[Software]time.Time{v1: now, other: now}, []Software{v1, other}, ago(time.Hour), "v1", true},
		"two versions":                        {map[Software]time.Time{v1: now, v2: now}, []Software{v1, v2}, ago(time.Hour), "", false},
		"a version that ended just now":       {map[Software]time.Time{v1: now, v2: ago(within)}, []Software{v1}, ago(time.Hour), "", false},
		"a version that ended long ago":       {map[Software]time.Time{v1: now, v2: ago(within + 1)}, []Software{v1}, ago(time.Hour), "v1", true},
		"no server now":                       {map[Software]time.Time{v1: ago(time.Second)}, nil, ago(time.Hour), "v1", true},
		"no version":                          {nil, nil, ago(time.Hour), "", false},
		"known for too short a time":          {map[Software]time.Time{v1: now}, []Software{v1}, ago(within - 1), "", false},
		"known for just long enough":          {map[Software]time.Time{v1: now}, []Software{v1}, ago(within), "v1", true},
		"not known since when":                {map[Software]time.Time{v1: now}, []Software{v1}, time.Time{}, "", false},
		"an empty version is one, too":        {map[Software]time.Time{{"s", ""}: now}, []Software{{"s", ""}}, ago(time.Hour), "", true},
		"an empty version and one with name":  {map[Software]time.Time{{"s", ""}: now, v1: now}, []Software{v1, {"s", ""}}, ago(time.Hour), "", false},
		"all versions ended before the limit": {map[Software]time.Time{v1: ago(time.Minute)}, nil, ago(time.Hour), "", false},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			var h SoftwareHistory
			for s, at := range tt.seen {
				h.Seen(s, at)
			}
			serving := make(map[Software]bool)
			for _, s := range tt.serving {
				serving[s] = true
			}
			got, certain := NewSoftwareView(&h, serving, tt.knownSince).Only("s", within, now)
			require.Equal(t, tt.certain, certain)
			require.Equal(t, tt.want, got)
		})
	}
	_, certain := (*SoftwareView)(nil).Only("s", within, now)
	require.False(t, certain)
}

// Guards against histories that grow with every version name, and against ones that look
// complete after versions were removed.
func TestSoftwareHistoryIsBounded(t *testing.T) {
	begin := time.Unix(1000, 0)
	var h SoftwareHistory
	for n := range 2 * maxSoftware {
		h.Seen(Software{"s", strconv.Itoa(n)}, begin.Add(time.Duration(n)*time.Second))
	}
	require.Len(t, h.LastSeen(), maxSoftware)
	require.Equal(t, begin.Add((maxSoftware-1)*time.Second), h.IncompleteBefore())
	require.Equal(t, h.IncompleteBefore(), NewSoftwareView(&h, nil, begin).KnownSince)
	h.Forget(begin.Add(2 * maxSoftware * time.Second))
	require.Empty(t, h.LastSeen())
	h.Seen(Software{}, begin)
	require.Empty(t, h.LastSeen(), "a server that is not announced has no software")
}
