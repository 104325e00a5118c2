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

// newSoftwareView returns a view that has just begun to poll control instances.
func newSoftwareView(urls ...string) *View {
	v := New(nil, nil, http.DefaultClient, slog.New(slog.DiscardHandler))
	for _, url := range urls {
		v.sources[url] = &source{url: url, cancel: func() {}, servers: make(map[string]*fleetv1.Announcement), reportedVersions: make(map[string]uint64), lastListed: time.Now(), addedAt: time.Now()}
	}
	return v
}

// reportSoftware applies a response with the history of a control instance and one server.
func reportSoftware(v *View, url string, feed uint64, history time.Duration, a *fleetv1.Announcement, older ...*fleetv1.SoftwareVersion) {
	r := &fleetv1.SyncResponse{Feed: feed, Software: older, SoftwareHistoryMs: uint64(history.Milliseconds())}
	if a != nil {
		r.Announcements = []*fleetv1.Announcement{a}
	}
	v.applyResponse(v.sources[url], r, time.Now())
}

func serverOf(software string, born int64, state fleetv1.ServerState) *fleetv1.Announcement {
	return &fleetv1.Announcement{Server: "i-1", BornUnixMs: born, Sequence: uint64(born), Service: "desk", Address: "127.0.0.1:9", Software: software, State: state}
}

const (
	readyState  = fleetv1.ServerState_SERVER_STATE_READY
	resumeRange = 10 * time.Second
)

// Guards against streams that are joined because an instance that has just started takes the one
// version that it knows for the only one: a control instance has not responded, has restarted
// itself, or knows of a version that ended just before.
func TestOneKnownVersionIsNoProofWithoutHistory(t *testing.T) {
	only := func(v *View) bool {
		_, ok := v.Current().Software.Only("desk", resumeRange, time.Now())
		return ok
	}
	v := newSoftwareView("a", "b")
	reportSoftware(v, "a", 1, time.Hour, serverOf("v1", 1, readyState))
	require.False(t, only(v), "b has not responded")
	reportSoftware(v, "b", 1, time.Second, nil)
	require.False(t, only(v), "b has just started")
	v.sources["b"].softwareKnownSince = time.Now().Add(-resumeRange) // later
	reportSoftware(v, "a", 1, time.Hour, serverOf("v1", 1, readyState))
	require.True(t, only(v))

	v = newSoftwareView("a")
	reportSoftware(v, "a", 1, time.Hour, serverOf("v1", 1, readyState), &fleetv1.SoftwareVersion{Service: "desk", Software: "v0", AgeMs: 1000})
	require.False(t, only(v), "v0 ended a second before")

	v = newSoftwareView("a", "down")
	reportSoftware(v, "a", 1, time.Hour, serverOf("v1", 1, readyState))
	v.sources["down"].addedAt = time.Now().Add(-resumeRange - relocationTime) // later
	reportSoftware(v, "a", 1, time.Hour, serverOf("v1", 1, readyState))
	require.True(t, only(v), "the servers of an instance that does not respond are announced elsewhere")
}

// Guards against streams that are joined because a version is forgotten with the server, or with
// the control instance, that told of it.
func TestVersionOutlivesItsServer(t *testing.T) {
	ends := map[string]func(v *View){
		"another incarnation": func(v *View) { reportSoftware(v, "a", 1, time.Hour, serverOf("v2", 2, readyState)) },
		"ended": func(v *View) {
			reportSoftware(v, "a", 1, time.Hour, serverOf("v1", 1, fleetv1.ServerState_SERVER_STATE_GONE))
		},
		"control instance restarted": func(v *View) {
			reportSoftware(v, "a", 2, 0, nil)
		},
		"control instance unreachable": func(v *View) {
			v.sources["a"].lastResponse = time.Now().Add(-2 * staleTimeout)
			v.handleFailure(v.sources["a"], errors.New("unreachable"))
		},
		"control instance removed": func(v *View) {
			v.sources["a"].lastListed = time.Now().Add(-2 * removeTimeout)
			v.handleFailure(v.sources["a"], errors.New("unreachable"))
		},
	}
	for name, end := range ends {
		t.Run(name, func(t *testing.T) {
			v := newSoftwareView("a")
			reportSoftware(v, "a", 1, time.Hour, serverOf("v1", 1, readyState))
			end(v)
			at := time.Now()
			found := false
			for _, s := range v.Current().Software.Versions["desk"] {
				if s.Version == "v1" {
					found = true
					require.False(t, s.Serving)
					require.WithinDuration(t, at, s.LastSeen, time.Second)
				}
			}
			require.True(t, found)
		})
	}
}
