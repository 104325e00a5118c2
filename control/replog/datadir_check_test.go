package replog

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/galenaarch/galenaarch/api/consensusv1"
)

func TestResponsesRequiredToTrustDataDir(t *testing.T) {
	// response is one voter's response: the ID to which the request was sent,
	// the ID that responded and whether it leads.
	type response struct {
		requestedID, respondedID string
		isLeader                 bool
	}
	tests := []struct {
		name      string
		responses []response
		waited    time.Duration
		want      bool
	}{
		{"no response", nil, time.Hour, false},
		{"one follower", []response{{"b", "b", false}}, 0, false},
		{"one follower, no response from the leader within the wait", []response{{"b", "b", false}}, leaderWait, true},
		{"the leader", []response{{"c", "c", true}}, 0, true},
		{"all others, no leader", []response{{"b", "b", false}, {"c", "c", false}}, 0, true},
		{"another replica at the leader's address", []response{{"c", "x", true}}, time.Hour, false},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			check := newDataDirCheck("a", &consensusv1.Membership{Members: []*consensusv1.Member{
				{Id: "a"}, {Id: "b"}, {Id: "c"}, {Id: "d", Learner: true},
			}}, leaderWait)
			for _, r := range tt.responses {
				check.addResponse(r.requestedID, &consensusv1.IdentifyResponse{Id: r.respondedID, Leader: r.isLeader})
			}
			require.Equal(t, tt.want, check.sufficient(tt.waited))
		})
	}
}
