package gateway

import (
	"context"
	"fmt"
	"log/slog"
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/galenaarch/galenaarch/api/fleetv1"
	"github.com/galenaarch/galenaarch/dispatch"
	"github.com/galenaarch/galenaarch/fleetview"
	"github.com/galenaarch/galenaarch/registry"
)

func newTestRecords() *streamRecords {
	logger := slog.New(slog.DiscardHandler)
	return newStreamRecords(fleetview.New(nil, &fleetv1.EntryInstance{Name: "entry-1"}, http.DefaultClient, logger), logger)
}

func streamDigestOf(n int) registry.StreamDigest {
	return registry.StreamDigest{byte(n), byte(n >> 8), byte(n >> 16)}
}

// Guards against records that are asked for at other control instances than those that hold
// them, also where one instance more or less responds, and against one that holds them all.
func TestRecordsAreAskedForWhereTheyAreHeld(t *testing.T) {
	urls := []string{"http://c-1", "http://c-2", "http://c-3", "http://c-4", "http://c-5"}
	held := make(map[string]int)
	for n := range 1000 {
		digest := streamDigestOf(n)
		holders := recordHolders(digest, urls, recordCopies)
		require.Len(t, holders, recordCopies)
		for _, url := range holders {
			held[url]++
		}
		fewer := urls[1:] // the first does not respond to the instance that asks
		require.Subset(t, append(recordHolders(digest, fewer, lookUpAttempts), urls[0]), holders)
		require.Subset(t, recordHolders(digest, urls, lookUpAttempts), recordHolders(digest, fewer, recordCopies), "the first did not respond to the instance that recorded")
	}
	for _, url := range urls {
		require.InDelta(t, 1000*recordCopies/len(urls), held[url], 100, url)
	}
	require.Empty(t, recordHolders(streamDigestOf(1), nil, recordCopies))
	require.Len(t, recordHolders(streamDigestOf(1), urls[:1], recordCopies), 1)
}

// Guards against a table of streams that grows with the requests, and against forgetting
// streams whose clients may still return.
func TestOwnStreamRecordsAreBoundedInNumberAndTime(t *testing.T) {
	s := newTestRecords()
	v1 := &dispatch.Software{Service: "s", Version: "v1"}
	for n := range maxStreamRecords + 1 {
		s.add(streamDigestOf(n), v1, maxResumeTime, true)
	}
	now := time.Now()
	require.Len(t, s.current, maxStreamRecords)
	require.Equal(t, v1, s.get(streamDigestOf(0), now.Add(recordGeneration)))
	require.Nil(t, s.get(streamDigestOf(maxStreamRecords), now))
	require.Nil(t, s.get(streamDigestOf(0), now.Add(2*recordGeneration)))
	require.Zero(t, s.unsent["s"])
}

// Guards against memory that grows while no control instance takes records.
func TestPendingRecordsAreBounded(t *testing.T) {
	s := newTestRecords()
	v1 := &dispatch.Software{Service: "s", Version: "v1"}
	for n := range maxPendingRecords + 3 {
		s.enqueue("http://c-1", streamDigestOf(n), v1)
	}
	require.Equal(t, maxPendingRecords, s.pending["http://c-1"].count)
	require.Equal(t, 3, s.dropped)
}

// Guards against metrics that grow with each software version ever seen.
func TestForgottenVersionsLoseTheirMetric(t *testing.T) {
	s := newTestRecords()
	for n := range 3 {
		s.add(streamDigestOf(n), &dispatch.Software{Service: "s", Version: fmt.Sprint("v", n)}, maxResumeTime, true)
	}
	require.Len(t, s.forgotten(), 3)
	require.Empty(t, s.forgotten())
}

// Guards against clients that make the control instances busy by resuming streams that never were.
func TestLookUpsOfUnknownStreamsAreBounded(t *testing.T) {
	s := newTestRecords()
	ctx, cancel := context.WithCancel(t.Context())
	cancel() // nobody is asked
	for n := range 10 * lookUpBurst {
		software, _ := s.lookUp(ctx, streamDigestOf(n))
		require.Nil(t, software)
	}
	require.Less(t, s.lookUps.Tokens(), float64(lookUpBurst)/2)
	require.False(t, s.lookUps.AllowN(time.Now(), lookUpBurst))
}
