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
		{"low load", Outlook{Objective: 800 * ms, Bears: 3200 * ms, InTurn: 200 * ms, Behind: 200 * ms}, InTurn},
		{"no objective", Outlook{InTurn: time.Hour, Behind: time.Hour}, InTurn},
		{"misses the objective in arrival order", Outlook{Objective: 800 * ms, Bears: 3200 * ms, InTurn: 900 * ms, Behind: 2 * time.Second}, Behind},
		{"earlier wait counts", Outlook{Waited: 700 * ms, Objective: 800 * ms, Bears: 3200 * ms, InTurn: 200 * ms, Behind: 200 * ms}, Behind},
		{"estimate within the reject margin", Outlook{Objective: 800 * ms, Bears: 3200 * ms, InTurn: 3 * time.Second, Behind: 3900 * ms}, Behind},
		{"caller gives up before the response", Outlook{Objective: 800 * ms, Bears: 3200 * ms, InTurn: 3 * time.Second, Behind: 4100 * ms}, TurnAway},
		{"caller without a timeout", Outlook{Objective: 800 * ms, InTurn: time.Minute, Behind: time.Hour}, Behind},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) { require.Equal(t, tt.want, Judge(tt.o)) })
	}
}

// In a burst, rejected callers must return when there is room, neither at once nor
// together.
func TestRetryDelayFollowsLoad(t *testing.T) {
	o := Outlook{Objective: 800 * time.Millisecond, InTurn: 2800 * time.Millisecond}
	require.Equal(t, 2*time.Second, ComeBack(o, 0))
	require.Equal(t, 3*time.Second, ComeBack(o, 0.5))
	require.Equal(t, minRetryAfter, ComeBack(Outlook{}, 0))
	require.Equal(t, minRetryAfter+minRetryJitter/2, ComeBack(Outlook{}, 0.5))
	require.Equal(t, maxRetryAfter, ComeBack(Outlook{InTurn: time.Hour}, 0.5))
}
