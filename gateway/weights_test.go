package gateway

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/galenaarch/galenaarch/api/fleetv1"
	"github.com/galenaarch/galenaarch/config/site"
)

// TestServersThatChangeTooLateGetNoPrompts: load pattern, a swap that takes longer
// than it should under load. No prompt goes to older weights so late that it might
// begin there after the time that users allow, however few servers have changed and
// whichever cell they are in.
func TestServersThatChangeTooLateGetNoPrompts(t *testing.T) {
	service := &site.Service{Name: "llm", Engine: &site.Engine{}}
	named := time.Unix(1000, 0)
	for _, within := range []time.Duration{4 * time.Second, 8 * time.Second, 20 * time.Second} {
		t.Run(within.String(), func(t *testing.T) { serversThatChangeTooLate(t, service, named, within) })
	}
}

func serversThatChangeTooLate(t *testing.T, service *site.Service, named time.Time, within time.Duration) {
	t.Helper()
	refused, overdue := time.Duration(refusedShare*float64(within)), time.Duration(overdueShare*float64(within))
	tests := []struct {
		name    string
		changed int
		after   time.Duration
		want    int
	}{
		{"at first all serve", 2, within / 8, 10},
		{"most have changed: the others are left out early", 6, refused, 6},
		{"few have changed: the others still carry the load", 2, refused, 10},
		{"few have changed, and it is late", 2, overdue, 2},
		{"none has changed", 0, time.Minute, 10},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			w := &world{weightsWithin: within, wanted: map[string]uint64{"m": 2}, named: map[string]time.Time{"m": named}}
			room := &room{}
			var all []*backend
			for n := range 10 {
				b := newBackend(&fleetv1.Announcement{Server: fmt.Sprint("i-", n)}, service, room, 0, named)
				b.learnWeights("m", 1)
				if n < tt.changed {
					b.learnWeights("m", 2)
				}
				all = append(all, b)
			}
			left := w.withoutOutdated("m", all, named.Add(tt.after))
			require.Len(t, left, tt.want)
			if tt.want < 10 {
				for _, b := range left {
					require.Equal(t, uint64(2), b.weightVersion("m"))
				}
			}
		})
	}
}
