package gateway

import (
	"bytes"
	"context"
	"io"
	"log/slog"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/galenaarch/galenaarch/api/fleetv1"
	"github.com/galenaarch/galenaarch/dispatch"
	"github.com/galenaarch/galenaarch/fleetview"
	"github.com/galenaarch/galenaarch/registry"
)

// slowControl is a control instance whose responses to look-ups take a time.
type slowControl struct {
	fleet fleetv1.Fleet
	takes atomic.Int64
	asked atomic.Int64
}

// newRecordsAt returns the records of an entry instance that polls control instances, which take some
// time for each look-up.
func newRecordsAt(t *testing.T, takes ...time.Duration) (*streamRecords, []*slowControl) {
	t.Helper()
	logger := slog.New(slog.DiscardHandler)
	var urls []string
	var controls []*slowControl
	for _, d := range takes {
		hub := registry.NewHub(time.Second, controlMembers(nil), logger)
		c := &slowControl{fleet: hub}
		c.takes.Store(int64(d))
		served := fleetv1.NewFleetServer(hub)
		server := httptest.NewServer(http.HandlerFunc(func(rw http.ResponseWriter, r *http.Request) {
			if strings.HasSuffix(r.URL.Path, "/LookUpStream") {
				c.asked.Add(1)
				body, err := io.ReadAll(r.Body) // the end of the connection is noticed only after it
				if err != nil {
					return
				}
				r.Body = io.NopCloser(bytes.NewReader(body))
				select {
				case <-time.After(time.Duration(c.takes.Load())):
				case <-r.Context().Done():
				}
			}
			served.ServeHTTP(rw, r)
		}))
		t.Cleanup(server.Close)
		t.Cleanup(server.CloseClientConnections)
		urls, controls = append(urls, server.URL), append(controls, c)
	}
	view := fleetview.New(urls, &fleetv1.EntryInstance{Name: "entry-1"}, peerClient(), logger)
	ctx, cancel := context.WithCancel(context.Background())
	t.Cleanup(cancel)
	view.Start(ctx)
	s := newStreamRecords(view, logger)
	require.Eventually(t, func() bool { return len(view.Current().ReachableURLs) == len(urls) }, 5*time.Second, time.Millisecond)
	return s, controls
}

// record records streams at all control instances.
func record(t *testing.T, controls []*slowControl, software dispatch.Software, digests ...registry.StreamDigest) {
	t.Helper()
	var streams []byte
	for _, d := range digests {
		streams = append(streams, d[:]...)
	}
	for _, c := range controls {
		_, err := c.fleet.RecordStreams(t.Context(), &fleetv1.RecordStreamsRequest{Entry: "entry-2", Groups: []*fleetv1.StreamGroup{{Service: software.Service, Software: software.Version, Streams: streams}}})
		require.NoError(t, err)
	}
}

// Guards against logs and metrics that do not tell a stream without a record from a look-up that was
// not made or not answered.
func TestFailedLookUpsNameTheirCause(t *testing.T) {
	t.Parallel()
	s, controls := newRecordsAt(t, 0, 0)
	_, source := s.lookUp(t.Context(), streamDigestOf(1))
	require.Equal(t, softwareUnknown, source)
	left, cancel := context.WithCancel(t.Context())
	cancel()
	_, source = s.lookUp(left, streamDigestOf(1))
	require.Equal(t, softwareNotAnswered, source)
	for _, c := range controls {
		c.takes.Store(int64(time.Minute))
	}
	_, source = s.lookUp(t.Context(), streamDigestOf(1))
	require.Equal(t, softwareNotAnswered, source)
	s.lookUps.SetBurst(0)
	_, source = s.lookUp(t.Context(), streamDigestOf(1))
	require.Equal(t, softwareLimited, source)
}
