package registry

import (
	"context"
	"log/slog"
	"sync"
	"time"

	"github.com/twitchtv/twirp"

	"github.com/galenaarch/galenaarch/api/fleetv1"
	"github.com/galenaarch/galenaarch/dispatch"
)

// Limits of the records of streams.
const (
	// streamGeneration is the least time for which a record is kept; it is kept for at most
	// twice as long. Clients that resume a stream do so sooner.
	streamGeneration = time.Minute
	// maxStreamsPerGeneration bounds the records, which take about 100 bytes each.
	maxStreamsPerGeneration = 1 << 16
	// maxStreamsPerRequest bounds the records in one request.
	maxStreamsPerRequest = 1 << 13
	maxSoftwareNameBytes = 256
)

// StreamDigest identifies a stream: a digest of the client account and of the request ID of the
// client's attempt that brought its first event.
type StreamDigest [16]byte

// streamRecords hold which software began streams, for two generations.
type streamRecords struct {
	mu                sync.Mutex
	current, previous map[StreamDigest]*dispatch.Software
	startedAt         time.Time
	// dropped counts the records of the current generation for which there was no room, droppedAt is
	// when there last was none.
	dropped   int
	droppedAt time.Time
}

// rotate starts a new generation when the current one is over. mu must be held.
func (r *streamRecords) rotate(now time.Time) {
	if age := now.Sub(r.startedAt); r.current == nil || age >= streamGeneration {
		if r.previous = r.current; age >= 2*streamGeneration {
			r.previous = nil
		}
		r.current, r.startedAt, r.dropped = make(map[StreamDigest]*dispatch.Software), now, 0
	}
}

// add records streams that a software version began. The newest record of a stream counts. It
// reports whether records were dropped for the first time in this generation.
func (r *streamRecords) add(software dispatch.Software, streams []byte, now time.Time) (full bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.rotate(now)
	shared := &software
	for ; len(streams) >= len(StreamDigest{}); streams = streams[len(StreamDigest{}):] {
		digest := StreamDigest(streams)
		if _, known := r.current[digest]; !known && len(r.current) >= maxStreamsPerGeneration {
			r.dropped++
			r.droppedAt = now
			full = full || r.dropped == 1
			continue
		}
		r.current[digest] = shared
	}
	return full
}

// get returns the software that began a stream; nil if there is no record.
func (r *streamRecords) get(digest StreamDigest, now time.Time) *dispatch.Software {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.rotate(now)
	if software := r.current[digest]; software != nil {
		return software
	}
	return r.previous[digest]
}

// RecordStreams implements fleetv1.Fleet.
func (h *Hub) RecordStreams(ctx context.Context, r *fleetv1.RecordStreamsRequest) (*fleetv1.RecordStreamsResponse, error) {
	if err := checkStreams(r); err != nil {
		return nil, err
	}
	h.addStreams(r, time.Now())
	if h.journal != nil {
		h.journal.append(ctx, r)
	}
	return &fleetv1.RecordStreamsResponse{}, nil
}

// checkStreams returns an error for records that are malformed or too many.
func checkStreams(r *fleetv1.RecordStreamsRequest) error {
	count := 0
	for _, g := range r.Groups {
		if count += len(g.Streams) / len(StreamDigest{}); count > maxStreamsPerRequest {
			return twirp.InvalidArgumentError("groups", "has too many streams")
		}
		if len(g.Streams)%len(StreamDigest{}) != 0 || g.Service == "" || max(len(g.Service), len(g.Software)) > maxSoftwareNameBytes {
			return twirp.InvalidArgumentError("groups", "has a service, software version or digest of invalid length")
		}
	}
	return nil
}

// addStreams adds records in memory and returns their number.
func (h *Hub) addStreams(r *fleetv1.RecordStreamsRequest, now time.Time) (count int) {
	for _, g := range r.Groups {
		count += len(g.Streams) / len(StreamDigest{})
		if h.streams.add(dispatch.Software{Service: g.Service, Version: g.Software}, g.Streams, now) {
			h.logger.Warn("records of streams dropped: no room", slog.String("entry", r.Entry), slog.Int("records", maxStreamsPerGeneration))
		}
	}
	return count
}

// LookUpStream implements fleetv1.Fleet.
func (h *Hub) LookUpStream(_ context.Context, r *fleetv1.LookUpStreamRequest) (*fleetv1.LookUpStreamResponse, error) {
	if len(r.Stream) != len(StreamDigest{}) {
		return nil, twirp.InvalidArgumentError("stream", "is no digest")
	}
	now := time.Now()
	software := h.streams.get(StreamDigest(r.Stream), now)
	if software == nil {
		return &fleetv1.LookUpStreamResponse{HistoryMs: uint64(max(0, now.Sub(h.recordsCompleteSince()).Milliseconds()))}, nil
	}
	return &fleetv1.LookUpStreamResponse{Known: true, Service: software.Service, Software: software.Version}, nil
}

// recordsCompleteSince returns the time since which no record that was sent here is missing, and every entry
// instance that polls had the records of newer software versions stored first.
func (h *Hub) recordsCompleteSince() (since time.Time) {
	h.mu.Lock()
	since = h.startedAt
	if h.lateRecordsAt.After(since) {
		since = h.lateRecordsAt
	}
	h.mu.Unlock()
	h.streams.mu.Lock()
	defer h.streams.mu.Unlock()
	if h.streams.droppedAt.After(since) {
		since = h.streams.droppedAt
	}
	return since
}
