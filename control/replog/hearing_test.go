package replog

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/galenaarch/galenaarch/api/consensusv1"
)

func TestWhoMustBeHeardBeforeADiskIsTrusted(t *testing.T) {
	// heard is one voter's answer: who was asked, who answered and its role.
	type heard struct {
		asked, answered string
		leader          bool
	}
	tests := []struct {
		name   string
		heard  []heard
		waited time.Duration
		want   bool
	}{
		{"nobody", nil, time.Hour, false},
		{"a follower alone", []heard{{"b", "b", false}}, 0, false},
		{"a follower alone, the leader silent for long", []heard{{"b", "b", false}}, leaderWait, true},
		{"the leader", []heard{{"c", "c", true}}, 0, true},
		{"all others, none leads", []heard{{"b", "b", false}, {"c", "c", false}}, 0, true},
		{"the leader's address with another disk", []heard{{"c", "x", true}}, time.Hour, false},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			h := newHearing("a", &consensusv1.Membership{Members: []*consensusv1.Member{
				{Id: "a"}, {Id: "b"}, {Id: "c"}, {Id: "d", Learner: true},
			}}, leaderWait)
			for _, a := range tt.heard {
				h.take(a.asked, &consensusv1.IdentifyResponse{Id: a.answered, Leader: a.leader})
			}
			require.Equal(t, tt.want, h.enough(tt.waited))
		})
	}
}
