package gateway

import (
	"log/slog"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/galenaarch/galenaarch/api/fleetv1"
	"github.com/galenaarch/galenaarch/config/site"
	"github.com/galenaarch/galenaarch/dispatch"
	"github.com/galenaarch/galenaarch/fleetview"
)

// Guards against streams that are refused, or joined, because the time in which their client may
// return is taken for shorter or longer than it is, or for another one than elsewhere.
func TestResumeTimeFollowsLongestRoute(t *testing.T) {
	stream := func(timeout time.Duration, resumable bool) site.Route {
		return site.Route{Kind: site.KindStream, Resumable: resumable, Timeout: timeout}
	}
	for name, tt := range map[string]struct {
		routes []site.Route
		want   time.Duration
	}{
		"no route":               {nil, minResumeTime},
		"short":                  {[]site.Route{stream(time.Second, true)}, minResumeTime},
		"longest of several":     {[]site.Route{stream(5*time.Second, true), stream(10*time.Second, true)}, 20 * time.Second},
		"not resumable":          {[]site.Route{stream(5*time.Second, true), stream(20*time.Second, false)}, 10 * time.Second},
		"no stream":              {[]site.Route{{Kind: site.KindIdempotent, Timeout: 20 * time.Second}}, minResumeTime},
		"longer than is bounded": {[]site.Route{stream(time.Hour, true)}, maxResumeTime},
	} {
		t.Run(name, func(t *testing.T) { require.Equal(t, tt.want, longestResumeTime(tt.routes)) })
	}
}

// boundCall returns a request that continues a stream of the software of the first server of a
// service with two versions, and that server.
func (h *testGateway) boundCall() (*call, *backend) {
	h.view = fleetview.New(nil, &fleetv1.EntryInstance{Name: "e"}, http.DefaultClient, slog.New(slog.DiscardHandler))
	b := h.routing.services["llm"][0]
	b.software = dispatch.Software{Service: "llm", Version: "v1"}
	c := h.call(500)
	c.software.Store(&dispatch.Software{Service: "llm", Version: "v1"})
	return c, b
}

// Guards against streams that are joined at a server that has ended and started again under its
// ID with other software: an instance that had no connection to it sees nothing break, and its
// new announcement may be late, but the old ones end.
func TestStreamDoesNotGoOnAtServerThatAnnouncesNothing(t *testing.T) {
	h := newTestGateway(t, 1)
	c, b := h.boundCall()
	now := time.Now()
	require.True(t, c.mayContinueAt(b, now))
	b.tracker.SetUnreported(true)
	require.False(t, c.mayContinueAt(b, now))
	b.tracker.SetUnreported(false)
	require.True(t, c.mayContinueAt(b, now))
}

// Guards against streams that are joined at a server whose connection broke before it is known
// whether it has started again.
func TestStreamDoesNotGoOnAtServerSoonAfterItsConnectionBroke(t *testing.T) {
	h := newTestGateway(t, 1)
	c, b := h.boundCall()
	now := time.Now()
	b.recordBroken(now)
	require.False(t, c.mayContinueAt(b, now.Add(reannounceIntervals*h.announceInterval-time.Millisecond)))
	require.True(t, c.mayContinueAt(b, now.Add(reannounceIntervals*h.announceInterval)))
}

// Guards against streams that are recorded as begun by the software that their server announced
// before it ended and started again, and joined when they go on there.
func TestStreamOfServerThatAnnouncesNothingIsBoundToNoKnownSoftware(t *testing.T) {
	h := newTestGateway(t, 2)
	c, b := h.boundCall()
	h.streams = newStreamRecords(h.view, slog.New(slog.DiscardHandler))
	other := h.routing.services["llm"][1]
	other.software = b.software
	begin := func(id string) *call {
		c := h.call(500)
		c.route.Resumable, c.request.ID = true, id
		require.NoError(t, c.noteBegin(t.Context(), b))
		return c
	}
	b.tracker.SetUnreported(true)
	unsure := begin("r-1")
	require.False(t, unsure.mayContinueAt(other, time.Now()))
	// Without a record it could be taken for a stream of the first version.
	require.Equal(t, &dispatch.Software{Service: b.service.Name, Version: dispatch.UnknownVersion}, h.streams.get(c.streamDigest("r-1"), time.Now()))
	require.True(t, h.streams.current[c.streamDigest("r-1")].sent)
	b.tracker.SetUnreported(false)
	sure := begin("r-2")
	require.True(t, sure.mayContinueAt(other, time.Now()))
	require.Equal(t, &b.software, h.streams.get(c.streamDigest("r-2"), time.Now()))
}

// Guards against streams that are joined at a server whose end was found by a connection of its own, which
// was refused, before it is known whether it has started again.
func TestStreamDoesNotGoOnAtServerThatRefusedConnection(t *testing.T) {
	h := newTestGateway(t, 1)
	c, b := h.boundCall()
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	require.NoError(t, err)
	b.address = listener.Addr().String()
	h.evidence.confirmEnd(b)
	require.True(t, c.mayContinueAt(b, time.Now()))
	require.NoError(t, listener.Close())
	h.evidence.confirmEnd(b)
	require.False(t, c.mayContinueAt(b, time.Now()))
}
