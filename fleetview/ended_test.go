package fleetview

import (
	"errors"
	"log/slog"
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/galenaarch/galenaarch/api/fleetv1"
)

// What a server said of its end must outlive the control instance that it told: another one,
// which it told before that it was ready, goes on to list it so.
func TestEndOfServerOutlivesControlInstance(t *testing.T) {
	const (
		ready    = fleetv1.ServerState_SERVER_STATE_READY
		draining = fleetv1.ServerState_SERVER_STATE_DRAINING
		gone     = fleetv1.ServerState_SERVER_STATE_GONE
	)
	announcement := func(state fleetv1.ServerState, bornMs int64, sequence uint64) *fleetv1.Announcement {
		return &fleetv1.Announcement{Server: "i-1", BornUnixMs: bornMs, Sequence: sequence, Service: "desk", Address: "127.0.0.1:9", State: state}
	}
	losses := map[string]func(v *View, told *source){
		"restarted": func(v *View, told *source) {
			v.applyResponse(told, &fleetv1.SyncResponse{Feed: told.feed + 1}, time.Now())
		},
		"unreachable": func(v *View, told *source) {
			told.lastResponse = time.Now().Add(-2 * staleTimeout)
			v.handleFailure(told, errors.New("unreachable"))
		},
		"removed": func(v *View, told *source) {
			told.lastListed = time.Now().Add(-2 * removeTimeout)
			v.handleFailure(told, errors.New("unreachable"))
		},
	}
	for _, end := range []fleetv1.ServerState{draining, gone} {
		for name, lose := range losses {
			t.Run(end.String()+", "+name, func(t *testing.T) {
				v := New(nil, nil, http.DefaultClient, slog.New(slog.DiscardHandler))
				for _, url := range []string{"before", "told"} {
					v.sources[url] = &source{url: url, cancel: func() {}, servers: make(map[string]*fleetv1.Announcement), reportedVersions: make(map[string]uint64), lastListed: time.Now()}
				}
				before, told := v.sources["before"], v.sources["told"]
				v.applyResponse(before, &fleetv1.SyncResponse{Feed: 1, Announcements: []*fleetv1.Announcement{announcement(ready, 1, 5)}}, time.Now())
				v.applyResponse(told, &fleetv1.SyncResponse{Feed: 1, Announcements: []*fleetv1.Announcement{announcement(end, 1, 6)}}, time.Now())
				require.Equal(t, end, v.Current().Servers["i-1"].State)
				lose(v, told)
				require.Equal(t, end, v.Current().Servers["i-1"].State, "it has not said that it is ready since")
				v.applyResponse(before, &fleetv1.SyncResponse{Feed: 1, Announcements: []*fleetv1.Announcement{announcement(ready, 2, 1)}}, time.Now())
				require.Equal(t, ready, v.Current().Servers["i-1"].State, "it has started again")
			})
		}
	}
}
