package dispatch

import (
	"slices"
	"strconv"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
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

// Guards against streams that are joined because a version is taken for the first one that is not, or may not
// have been for other instances.
func TestFirstVersionIsCertain(t *testing.T) {
	now := time.Unix(1000, 0)
	ago := func(d time.Duration) time.Time { return now.Add(-d) }
	v1, v2, v3 := Software{"s", "v1"}, Software{"s", "v2"}, Software{"s", "v3"}
	type use struct {
		first, last time.Duration // before now
	}
	tests := map[string]struct {
		seen       map[Software]use
		knownSince time.Time
		want       string
		next       time.Duration
		newer      []Software
	}{
		"one version":                            {map[Software]use{v1: {time.Hour, 0}}, ago(time.Hour), "v1", 0, nil},
		"a newer one":                            {map[Software]use{v1: {time.Hour, 0}, v2: {time.Second, 0}}, ago(time.Hour), "v1", time.Second, []Software{v2}},
		"two newer ones":                         {map[Software]use{v1: {time.Hour, 0}, v2: {9 * time.Second, 0}, v3: {time.Second, 0}}, ago(time.Hour), "v1", 9 * time.Second, []Software{v2, v3}},
		"others may have seen them in one order": {map[Software]use{v1: {time.Minute, 0}, v2: {time.Minute - VersionGap + 1, 0}}, ago(time.Hour), "", 0, []Software{v2}},
		"others may have seen them in any order": {map[Software]use{v1: {time.Minute, 0}, v2: {time.Minute - VersionGap/2, 0}}, ago(time.Hour), "", 0, nil},
		"seen before all was known":              {map[Software]use{v1: {time.Minute, 0}, v2: {30 * time.Second, 0}}, ago(30*time.Second + VersionGap - 1), "", 0, []Software{v2}},
		"seen after all was known":               {map[Software]use{v1: {time.Minute, 0}, v2: {30 * time.Second, 0}}, ago(30*time.Second + VersionGap), "v1", 30 * time.Second, []Software{v2}},
		"not known since when":                   {map[Software]use{v1: {time.Hour, 0}}, time.Time{}, "", 0, nil},
		"the first one has ended":                {map[Software]use{v1: {time.Hour, softwareMemory}, v2: {time.Minute, 0}}, ago(time.Hour), "v1", time.Minute, []Software{v2}},
		"others may still take it for the first": {map[Software]use{v1: {time.Hour, softwareMemory + 1}, v2: {time.Minute, 0}}, ago(time.Hour), "v2", 0, []Software{v2}},
		"the first one has ended long ago":       {map[Software]use{v1: {time.Hour, softwareMemory + VersionGap + 1}, v2: {time.Minute, 0}}, ago(time.Hour), "v2", 0, nil},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			var h SoftwareHistory
			serving := make(map[Software]bool)
			for s, u := range tt.seen {
				h.SeenSince(s, ago(u.first), ago(u.last))
				serving[s] = u.last == 0
			}
			v := NewSoftwareView(&h, serving, tt.knownSince)
			first, next, ok := v.First("s", now)
			require.Equal(t, tt.want != "", ok)
			require.Equal(t, tt.want, first.Version)
			if tt.next != 0 {
				require.Equal(t, ago(tt.next), next)
			}
			for s := range tt.seen {
				newer, _ := v.IsNewer(s, now)
				require.Equal(t, slices.Contains(tt.newer, s), newer, s.Version)
			}
		})
	}
	newer, olderServes := (&SoftwareView{Versions: map[string][]SoftwareVersion{"s": {{Version: "v1", Serving: true}}}}).IsNewer(v2, now)
	require.True(t, newer, "a version that is not listed")
	require.False(t, olderServes)
}

// Guards against streams that are joined because an instance that began one without a stored record, and one at which it is
// taken up, differ on which version was the first: one has just started, hears later, or a version ends and returns.
func TestInstancesAgreeOnFirstVersion(t *testing.T) {
	const tick, length = 500 * time.Millisecond, 300
	rapid.Check(t, func(t *rapid.T) {
		begin := time.Unix(1000, 0)
		versions := []Software{{"s", "v1"}, {"s", "v2"}, {"s", "v3"}}
		// The second control instance restarts, and forgets.
		controls, restarts := make([]SoftwareHistory, 2), rapid.IntRange(0, length).Draw(t, "restarts")
		type instance struct {
			history    SoftwareHistory
			starts     int
			knownSince time.Time
			// late is how many ticks later than the control instance it hears.
			late int
		}
		instances := make([]instance, 3)
		for i := range instances {
			instances[i].starts = rapid.IntRange(0, length/2).Draw(t, "starts")
			instances[i].late = rapid.IntRange(0, int(VersionGap/2/tick)-1).Draw(t, "late")
		}
		serves := make([]map[Software]bool, length)
		for n := range serves {
			serves[n] = make(map[Software]bool)
		}
		for _, s := range versions {
			for range rapid.IntRange(1, 2).Draw(t, "uses") {
				from := rapid.IntRange(0, length-1).Draw(t, "from")
				lasts := rapid.IntRange(1, length).Draw(t, "lasts")
				for n := from; n < min(length, from+lasts); n++ {
					serves[n][s] = true
				}
			}
		}
		// begun holds for each tick the versions whose streams may have begun without a stored record.
		begun := make([]map[Software]bool, length)
		for n := range length {
			now := begin.Add(time.Duration(n) * tick)
			if n == restarts {
				controls[1] = SoftwareHistory{}
			}
			for s := range serves[n] {
				controls[0].Seen(s, now)
				controls[1].Seen(s, now)
			}
			begun[n] = make(map[Software]bool)
			for i := range instances {
				at := &instances[i]
				if n < at.starts {
					continue
				}
				heard := serves[max(0, n-at.late)]
				merge := func(s Software, last time.Time) {
					for i := range controls {
						if c := &controls[i]; !c.LastSeen()[s].IsZero() {
							at.history.Merge(SoftwareVersion{Version: s.Version, FirstSeen: c.FirstSeen(s), UsedSince: c.UsedSince(s), LastSeen: last}, s.Service)
						}
					}
				}
				if n == at.starts {
					at.knownSince = begin
					if n >= restarts {
						at.knownSince = begin.Add(time.Duration(restarts) * tick)
					}
					heard = serves[n]
					for s, last := range controls[0].LastSeen() {
						merge(s, last)
					}
				}
				for s := range heard {
					merge(s, now)
				}
				view := NewSoftwareView(&at.history, heard, at.knownSince)
				for s := range heard {
					if newer, _ := view.IsNewer(s, now); !newer && serves[n][s] {
						begun[n][s] = true
					}
				}
				// A stream is taken up by what the control instance knows then.
				for s := range serves[n] {
					merge(s, now)
				}
				first, _, ok := NewSoftwareView(&at.history, serves[n], at.knownSince).First("s", now)
				for age := 0; ok && age < min(n, int(softwareMemory/tick)-2*int(VersionGap/tick)); age++ {
					for s := range begun[n-age] {
						if s.Version != first.Version {
							t.Fatalf("instance %d takes a stream of %s for one of %s at tick %d, %d after its begin", i, s.Version, first.Version, n, age)
						}
					}
				}
			}
		}
	})
}
