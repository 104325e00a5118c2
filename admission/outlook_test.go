package admission

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

func TestJudge(t *testing.T) {
	const ms = time.Millisecond
	tests := []struct {
		name string
		o    Outlook
		want Verdict
	}{
		{"calm", Outlook{Objective: 800 * ms, Bears: 3200 * ms, InTurn: 200 * ms, Behind: 200 * ms}, InTurn},
		{"no objective", Outlook{InTurn: time.Hour, Behind: time.Hour}, InTurn},
		{"late anyway", Outlook{Objective: 800 * ms, Bears: 3200 * ms, InTurn: 900 * ms, Behind: 2 * time.Second}, Behind},
		{"its caller has waited before", Outlook{Waited: 700 * ms, Objective: 800 * ms, Bears: 3200 * ms, InTurn: 200 * ms, Behind: 200 * ms}, Behind},
		{"the estimate is not sure enough to refuse", Outlook{Objective: 800 * ms, Bears: 3200 * ms, InTurn: 3 * time.Second, Behind: 3900 * ms}, Behind},
		{"its caller will have left", Outlook{Objective: 800 * ms, Bears: 3200 * ms, InTurn: 3 * time.Second, Behind: 4100 * ms}, TurnAway},
		{"a caller that waits for ever", Outlook{Objective: 800 * ms, InTurn: time.Minute, Behind: time.Hour}, Behind},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) { require.Equal(t, tt.want, Judge(tt.o)) })
	}
}

// TestReturnsFollowTheLoad: load pattern, many callers at once. They come back
// when there is room, not together, and never at once.
func TestReturnsFollowTheLoad(t *testing.T) {
	o := Outlook{Objective: 800 * time.Millisecond, InTurn: 2800 * time.Millisecond}
	require.Equal(t, 2*time.Second, ComeBack(o, 0))
	require.Equal(t, 3*time.Second, ComeBack(o, 0.5))
	require.Equal(t, firstReturn, ComeBack(Outlook{}, 0))
	require.Equal(t, firstReturn+returnSpread/2, ComeBack(Outlook{}, 0.5))
	require.Equal(t, longestReturn, ComeBack(Outlook{InTurn: time.Hour}, 0.5))
}
