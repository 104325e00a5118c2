package gateway

import (
	"context"
	"log/slog"
	"time"

	"github.com/galenaarch/galenaarch/api/fleetv1"
	"github.com/galenaarch/galenaarch/dispatch"
	"github.com/galenaarch/galenaarch/registry"
)

// recordBatch are the records that wait to be sent to one control instance, as digests one after
// the other.
type recordBatch struct {
	holder holderID
	groups map[dispatch.Software][]byte
	count  int
	// urgent is set if streams wait for the batch. done is closed once it was sent; stored is set before if
	// the control instance has it.
	urgent bool
	done   chan struct{}
	stored bool
}

// enqueue adds a record to the batch of a control instance, and returns the batch; nil if it is full. The caller
// holds s.mu.
func (s *streamRecords) enqueue(url string, digest registry.StreamDigest, software *dispatch.Software) *recordBatch {
	batch := s.pending[url]
	if id := s.controls[url].id; batch == nil || batch.holder != id {
		// Records that wait for an earlier incarnation are placed again.
		batch = &recordBatch{holder: id, groups: make(map[dispatch.Software][]byte), done: make(chan struct{})}
		if s.pending[url] != nil {
			close(s.pending[url].done)
		}
		s.pending[url] = batch
	}
	if batch.count >= maxPendingRecords {
		s.dropped++
		return nil
	}
	batch.groups[*software] = append(batch.groups[*software], digest[:]...)
	batch.count++
	notify(s.wake)
	return batch
}

// hurry sends a batch without further delay.
func (s *streamRecords) hurry(b *recordBatch) {
	s.mu.Lock()
	b.urgent = true
	s.mu.Unlock()
	notify(s.urgent)
}

// flush sends the pending records without further delay: a client may be about to resume its
// stream elsewhere.
func (s *streamRecords) flush() {
	s.mu.Lock()
	for _, b := range s.pending {
		b.urgent = true
	}
	s.mu.Unlock()
	notify(s.urgent)
}

// run sends records until the context ends.
func (s *streamRecords) run(ctx context.Context) {
	var due <-chan time.Time
	for {
		select {
		case <-ctx.Done():
			return
		case <-s.wake:
			if due == nil {
				due = time.After(s.delay())
			}
		case <-s.urgent:
			s.send(ctx, true)
		case <-due:
			due = nil
			s.placeAll(time.Now())
			s.send(ctx, false)
		}
	}
}

// delay returns how long records are batched.
func (s *streamRecords) delay() time.Duration {
	entries := len(s.view.Current().Entries)
	return min(max(time.Duration(entries)*recordDelayPerEntry, minRecordDelay), maxRecordDelay)
}

// send sends the pending records, or those that are urgent, but none to control instances that have not
// responded to those before. It does not wait for the responses.
func (s *streamRecords) send(ctx context.Context, onlyUrgent bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.dropped > 0 {
		s.logger.Warn("records of streams dropped", slog.Int("records", s.dropped))
		s.dropped = 0
	}
	for url, batch := range s.pending {
		if s.sending[url] || (onlyUrgent && !batch.urgent) {
			continue
		}
		delete(s.pending, url)
		s.sending[url] = true
		request := &fleetv1.RecordStreamsRequest{}
		for software, streams := range batch.groups {
			request.Groups = append(request.Groups, &fleetv1.StreamGroup{Service: software.Service, Software: software.Version, Streams: streams})
		}
		go s.sendBatch(ctx, url, request, batch)
	}
}

// sendBatch sends records to one control instance.
func (s *streamRecords) sendBatch(ctx context.Context, url string, r *fleetv1.RecordStreamsRequest, batch *recordBatch) {
	ctx, cancel := context.WithTimeout(ctx, recordTimeout)
	defer cancel()
	err := s.view.RecordStreams(ctx, url, r)
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.sending, url)
	if next := s.pending[url]; next != nil {
		notify(s.wake)
		if next.urgent {
			notify(s.urgent)
		}
	}
	batch.stored = err == nil
	close(batch.done)
	if err == nil {
		delete(s.failing, url)
		return
	}
	s.forgetCopies(batch)
	if !s.failing[url] {
		s.failing[url] = true
		s.logger.Warn("records of streams not stored", slog.String("peer", url), slog.Int("records", batch.count), slog.Any("error", err))
	}
}

// forgetCopies makes the records of a batch that was not stored be sent again. The caller holds s.mu.
func (s *streamRecords) forgetCopies(batch *recordBatch) {
	for _, streams := range batch.groups {
		for ; len(streams) > 0; streams = streams[len(registry.StreamDigest{}):] {
			digest := registry.StreamDigest(streams)
			for _, generation := range []map[registry.StreamDigest]streamRecord{s.current, s.previous} {
				if r, ok := generation[digest]; ok {
					r.removeHolder(batch.holder)
					generation[digest] = r
				}
			}
		}
	}
	s.misplaced = true
	time.AfterFunc(resendDelay, func() { notify(s.wake) })
}
