package registry

import (
	"bytes"
	"context"
	"log/slog"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/galenaarch/galenaarch/api/fleetv1"
	"github.com/galenaarch/galenaarch/dispatch"
)

func softwareAnnouncement(server, software string, born int64, state fleetv1.ServerState) *fleetv1.Announcement {
	return &fleetv1.Announcement{Server: server, BornUnixMs: born, Sequence: 1, Service: "s", Address: "10.0.0.1:80", Software: software, State: state}
}

// Guards against streams that are joined because an instance that starts later is not told of
// the versions of servers that have ended, fallen silent, or come back with other software.
func TestSoftwareOfEndedServersIsRemembered(t *testing.T) {
	begin := time.Unix(1000, 0)
	end := map[string]func(*Table, time.Time){
		"ended":  func(table *Table, at time.Time) { table.MarkGone("i-1", 0, at.UnixMilli(), at) },
		"silent": func(table *Table, at time.Time) { table.Expire(at) },
		"next incarnation": func(table *Table, at time.Time) {
			table.Announce(softwareAnnouncement("i-1", "v2", 2, fleetv1.ServerState_SERVER_STATE_READY), at)
		},
	}
	for name, end := range end {
		t.Run(name, func(t *testing.T) {
			table := NewTable(time.Second)
			table.Announce(softwareAnnouncement("i-1", "v1", 1, fleetv1.ServerState_SERVER_STATE_READY), begin)
			endedAt := begin.Add(30 * time.Second)
			end(table, endedAt)
			age := func(now time.Time) (ms uint64, known bool) {
				for _, s := range table.Software(now) {
					if s.Software == "v1" {
						return s.AgeMs, true
					}
				}
				return 0, false
			}
			ms, known := age(endedAt.Add(time.Minute))
			require.True(t, known)
			require.Equal(t, uint64(time.Minute.Milliseconds()), ms)
			table.Expire(endedAt.Add(softwareRetention + time.Millisecond))
			_, known = age(endedAt)
			require.False(t, known, "a version is remembered for ever")
		})
	}
}

// Guards against lost or endless records of streams.
func TestStreamRecordsAreKeptForAGenerationAndBounded(t *testing.T) {
	begin := time.Unix(1000, 0)
	digest := func(n int) StreamDigest { return StreamDigest{byte(n), byte(n >> 8), byte(n >> 16)} }
	var r streamRecords
	one, two := digest(1), digest(2)
	require.False(t, r.add(dispatch.Software{Service: "s", Version: "v1"}, append(one[:], two[:]...), begin))
	require.False(t, r.add(dispatch.Software{Service: "s", Version: "v2"}, two[:], begin))
	require.Equal(t, "v1", r.get(one, begin.Add(streamGeneration)).Version)
	require.Equal(t, "v2", r.get(two, begin.Add(2*streamGeneration-1)).Version, "the newest record counts")
	require.Nil(t, r.get(one, begin.Add(2*streamGeneration)), "the record is kept for ever")
	for n := range maxStreamsPerGeneration {
		d := digest(n)
		require.False(t, r.add(dispatch.Software{Service: "s", Version: "v1"}, d[:], begin.Add(3*streamGeneration)))
	}
	last := digest(maxStreamsPerGeneration)
	require.True(t, r.add(dispatch.Software{Service: "s", Version: "v1"}, last[:], begin.Add(3*streamGeneration)))
	require.False(t, r.add(dispatch.Software{Service: "s", Version: "v1"}, last[:], begin.Add(3*streamGeneration)), "reported once")
	require.Nil(t, r.get(last, begin.Add(3*streamGeneration)))
}

// Guards against requests of other processes that take unbounded memory or are half applied.
func TestInvalidStreamRecordsAreRefused(t *testing.T) {
	h := NewHub(time.Second, nil, slog.New(slog.DiscardHandler))
	valid := &fleetv1.StreamGroup{Service: "s", Software: "v1", Streams: bytes.Repeat([]byte{1}, len(StreamDigest{}))}
	for name, group := range map[string]*fleetv1.StreamGroup{
		"part of a digest": {Service: "s", Software: "v1", Streams: make([]byte, 17)},
		"no service":       {Software: "v1", Streams: make([]byte, 16)},
		"long version":     {Service: "s", Software: string(make([]byte, maxSoftwareNameBytes+1)), Streams: make([]byte, 16)},
		"too many streams": {Service: "s", Software: "v1", Streams: make([]byte, 16*(maxStreamsPerRequest+1))},
	} {
		t.Run(name, func(t *testing.T) {
			_, err := h.RecordStreams(context.Background(), &fleetv1.RecordStreamsRequest{Groups: []*fleetv1.StreamGroup{valid, group}})
			require.Error(t, err)
			response, err := h.LookUpStream(context.Background(), &fleetv1.LookUpStreamRequest{Stream: valid.Streams})
			require.NoError(t, err)
			require.False(t, response.Known)
		})
	}
	_, err := h.LookUpStream(context.Background(), &fleetv1.LookUpStreamRequest{Stream: []byte("short")})
	require.Error(t, err)
}
