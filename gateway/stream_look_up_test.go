package gateway

import (
	"bytes"
	"context"
	"io"
	"log/slog"
	"net/http"
	"net/http/httptest"
	"slices"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/galenaarch/galenaarch/api/fleetv1"
	"github.com/galenaarch/galenaarch/dispatch"
	"github.com/galenaarch/galenaarch/fleetview"
	"github.com/galenaarch/galenaarch/registry"
)

// slowControl is a control instance whose responses to look-ups take a time.
type slowControl struct {
	url   string
	fleet fleetv1.Fleet
	takes atomic.Int64
	asked atomic.Int64
	// resetsPolls is set while the connections of polls break.
	resetsPolls atomic.Bool
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
			if c.resetsPolls.Load() && strings.HasSuffix(r.URL.Path, "/Sync") {
				panic(http.ErrAbortHandler)
			}
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
		c.url = server.URL
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
		assert.NoError(t, err)
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

// Guards against streams that are lost at an instance, or at control instances, where each response is late:
// a question was given up, and asked again elsewhere, although its response was on its way.
func TestLookUpAwaitsLateResponses(t *testing.T) {
	t.Parallel()
	const late = 2 * questionPatience
	s, controls := newRecordsAt(t, late, late, late, late, late)
	v1 := dispatch.Software{Service: "s", Version: "v1"}
	record(t, controls, v1, streamDigestOf(1))
	began := time.Now()
	software, source := s.lookUp(t.Context(), streamDigestOf(1))
	require.Equal(t, softwareLookup, source)
	require.Equal(t, v1, *software)
	require.Less(t, time.Since(began), late+questionPatience)
}

// Guards against a look-up that waits for a control instance which does not respond, while another one
// has the record, and against more questions than the bound of look-ups goes by.
func TestLookUpAsksAnotherControlInstanceBesideSilentOne(t *testing.T) {
	t.Parallel()
	s, controls := newRecordsAt(t, 0, 0, 0, 0, 0)
	v1 := dispatch.Software{Service: "s", Version: "v1"}
	record(t, controls, v1, streamDigestOf(1))
	first := recordHolders(streamDigestOf(1), s.view.Current().ReachableURLs, 1)[0]
	for _, c := range controls {
		if c.url == first {
			c.takes.Store(int64(time.Minute))
		}
	}
	began := time.Now()
	_, source := s.lookUp(t.Context(), streamDigestOf(1))
	require.Equal(t, softwareLookup, source)
	require.GreaterOrEqual(t, time.Since(began), questionPatience)
	require.Less(t, time.Since(began), lookUpTimeout)
}

// Guards against streams that are rejected because their record was on its way when it was asked for,
// also beside a control instance that does not respond; and against more questions than bounded.
func TestLookUpAwaitsRecordOnItsWay(t *testing.T) {
	t.Parallel()
	for name, silent := range map[string]bool{"all respond": false, "the first one is silent": true} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			s, controls := newRecordsAt(t, 0, 0, 0)
			holders := recordHolders(streamDigestOf(1), s.view.Current().ReachableURLs, recordCopies)
			after := minRecordDelay
			for _, c := range controls {
				if silent && c.url == holders[0] {
					c.takes.Store(int64(time.Minute))
					after += questionPatience
				}
			}
			v1 := dispatch.Software{Service: "s", Version: "v1"}
			time.AfterFunc(after, func() {
				for _, c := range controls {
					if c.url == holders[1] {
						record(t, []*slowControl{c}, v1, streamDigestOf(1))
					}
				}
			})
			software, source := s.lookUp(t.Context(), streamDigestOf(1))
			require.Equal(t, softwareLookup, source)
			require.Equal(t, v1, *software)
			_, source = s.lookUp(t.Context(), streamDigestOf(2))
			require.NotEqual(t, softwareLookup, source)
			for _, c := range controls {
				require.LessOrEqual(t, c.asked.Load(), int64(4), "at most two questions a look-up")
			}
		})
	}
}

// Guards against streams that are rejected because the connections to the control instances that hold their
// record were reset a moment before: these counted as unreachable, and were not asked.
func TestLookUpAsksControlInstancesWhoseConnectionsWereReset(t *testing.T) {
	t.Parallel()
	s, controls := newRecordsAt(t, 0, 0, 0, 0, 0)
	v1 := dispatch.Software{Service: "s", Version: "v1"}
	all := s.view.Current().ReachableURLs
	holders := recordHolders(streamDigestOf(1), all, recordCopies)
	for _, c := range controls {
		if slices.Contains(holders, c.url) {
			record(t, []*slowControl{c}, v1, streamDigestOf(1))
			c.resetsPolls.Store(true)
		}
	}
	require.Eventually(t, func() bool { return len(s.view.Current().ReachableURLs) == len(all)-recordCopies }, 5*time.Second, time.Millisecond)
	software, source := s.lookUp(t.Context(), streamDigestOf(1))
	require.Equal(t, softwareLookup, source)
	require.Equal(t, v1, *software)
	_, source = s.lookUp(t.Context(), streamDigestOf(2))
	require.Equal(t, softwareUnknown, source)
}
