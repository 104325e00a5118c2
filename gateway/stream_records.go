package gateway

import (
	"cmp"
	"context"
	"log/slog"
	"maps"
	"slices"
	"sync"
	"time"

	"golang.org/x/time/rate"

	"github.com/galenaarch/galenaarch/dispatch"
	"github.com/galenaarch/galenaarch/fleetview"
	"github.com/galenaarch/galenaarch/placement"
	"github.com/galenaarch/galenaarch/registry"
)

const (
	// recordCopies is the number of control instances that hold a record.
	recordCopies = 2
	// recordTimeout bounds one call to a control instance, beginTimeout how long the first event of a stream
	// waits for its record to be stored; after storePatience another control instance is told as well.
	// Records that were not stored are sent again after resendDelay.
	recordTimeout = 500 * time.Millisecond
	beginTimeout  = 400 * time.Millisecond
	storePatience = 100 * time.Millisecond
	resendDelay   = 500 * time.Millisecond
	// minRecordDelay is how long records are batched at least, recordDelayPerEntry what each
	// entry instance adds, up to maxRecordDelay: a control instance gets at most
	// 1/recordDelayPerEntry = 500 messages a second, above 150 entry instances n/maxRecordDelay.
	minRecordDelay      = 50 * time.Millisecond
	recordDelayPerEntry = 2 * time.Millisecond
	maxRecordDelay      = 300 * time.Millisecond
	// recordGeneration is the least time for which this instance keeps a record; it keeps it
	// for at most twice as long.
	recordGeneration = maxResumeTime
	// maxStreamRecords bounds the records of a generation, which take about 100 bytes each,
	// and maxPendingRecords those that wait to be sent to one control instance.
	maxStreamRecords  = 1 << 15
	maxPendingRecords = 1 << 13
	// maxKnownHolders bounds the holders that are remembered for a record; a copy that is
	// forgotten is sent once more. placedAtOnce is the number of records that are placed under
	// one lock.
	maxKnownHolders = 4
	placedAtOnce    = 256
)

// holderID identifies an incarnation of a control instance; 0 is none.
type holderID uint32

// streamRecord is the software that began a stream, and until when its client may resume it.
type streamRecord struct {
	software *dispatch.Software
	until    time.Time
	// sent is set once control instances are to hold the record; holders are those that it was sent to.
	sent    bool
	holders [maxKnownHolders]holderID
}

// addHolder records that a copy was sent to a holder.
func (r *streamRecord) addHolder(h holderID) {
	copy(r.holders[1:], r.holders[:])
	r.holders[0] = h
}

// removeHolder records that a copy did not arrive.
func (r *streamRecord) removeHolder(h holderID) {
	for i := range r.holders {
		if r.holders[i] == h {
			r.holders[i] = 0
		}
	}
}

// controlIncarnation is an incarnation of a control instance. Its records may be gone with it.
type controlIncarnation struct {
	feed uint64
	id   holderID
}

// streamRecords hold which software began the streams that this instance relays. While a service may have more
// than one version, or a route more than one service, the records are also sent to control instances, so that other
// instances, and this one after a restart, can go on with the streams.
//
// Invariant: a record that was sent is at recordCopies of the control instances that respond, as soon as these can be
// told: it is sent again when one of them restarts, stops responding, or did not store it.
type streamRecords struct {
	view   *fleetview.View
	logger *slog.Logger
	// wake has an element while records wait to be sent, urgent while they must not wait.
	wake, urgent chan struct{}
	lookUps      *rate.Limiter

	mu                sync.Mutex
	current, previous map[registry.StreamDigest]streamRecord
	generationStart   time.Time
	// controls are the incarnations of the control instances by URL, lastHolder the highest ID of one.
	// reachable are the URLs of those that respond.
	controls   map[string]controlIncarnation
	reachable  []string
	lastHolder holderID
	// misplaced is set while records may lack a copy at a control instance.
	misplaced bool
	pending   map[string]*recordBatch
	// sending holds the control instances to which a batch is being sent; the next one waits.
	sending map[string]bool
	// dropped counts the records that were lost for lack of room or by failed calls; failing
	// holds the control instances whose last call failed.
	dropped int
	failing map[string]bool
	// counted are the versions with a metric of their own.
	counted map[dispatch.Software]bool
	// unsent counts, by service, the records that no control instance was sent.
	unsent map[string]int
}

func newStreamRecords(view *fleetview.View, logger *slog.Logger) *streamRecords {
	return &streamRecords{
		view: view, logger: logger, wake: make(chan struct{}, 1), urgent: make(chan struct{}, 1), lookUps: rate.NewLimiter(lookUpRate, lookUpBurst), current: make(map[registry.StreamDigest]streamRecord), generationStart: time.Now(),
		pending: make(map[string]*recordBatch), sending: make(map[string]bool), controls: make(map[string]controlIncarnation), failing: make(map[string]bool), unsent: make(map[string]int), counted: make(map[dispatch.Software]bool),
	}
}

// add records that software began a stream, which its client may resume for lifetime. The
// newest record of a stream counts. It is sent to control instances at once, or once there may
// be other software. It returns the batches that contain it.
func (s *streamRecords) add(digest registry.StreamDigest, software *dispatch.Software, lifetime time.Duration, send bool) (batches []*recordBatch) {
	now := time.Now()
	s.mu.Lock()
	defer s.mu.Unlock()
	s.rotate(now)
	s.counted[*software] = true
	r := streamRecord{software: software, until: now.Add(lifetime), sent: send}
	if send {
		batches = s.place(digest, &r)
	}
	if len(s.current) >= maxStreamRecords {
		s.dropped++
		return batches
	}
	if s.current[digest] = r; !send {
		s.unsent[software.Service]++
	}
	return batches
}

// store is add for a record that has to be stored before the stream's first event is passed on. It reports whether
// recordCopies control instances have it, or the only one there is. Another one is told if they do not all respond.
func (s *streamRecords) store(ctx context.Context, digest registry.StreamDigest, software *dispatch.Software, lifetime time.Duration) bool {
	batches := s.add(digest, software, lifetime, true)
	missing := min(recordCopies, s.view.Current().KnownControls)
	if len(batches) < missing || missing == 0 {
		return false
	}
	ctx, cancel := context.WithTimeout(ctx, beginTimeout)
	defer cancel()
	stored := make(chan bool, recordCopies+1)
	await := func(b *recordBatch) {
		s.hurry(b)
		go func() {
			<-b.done
			stored <- b.stored
		}()
	}
	for _, b := range batches {
		await(b)
	}
	patience := time.NewTimer(storePatience)
	defer patience.Stop()
	for open := len(batches); missing > 0; {
		another := false
		select {
		case <-ctx.Done():
			return false
		case <-patience.C:
			another = true
		case ok := <-stored:
			open--
			if ok {
				missing--
			}
			another = !ok && patience.Stop()
		}
		if another {
			if b := s.placeAnother(digest); b != nil {
				await(b)
				open++
			}
		}
		if open < missing {
			return false
		}
	}
	return true
}

// placeAnother sends a record to the control instance that ranks first for it among those that it was not sent to. It returns
// the batch, nil if there is none.
func (s *streamRecords) placeAnother(digest registry.StreamDigest) *recordBatch {
	s.mu.Lock()
	defer s.mu.Unlock()
	r, ok := s.current[digest]
	if !ok {
		return nil
	}
	for _, url := range recordHolders(digest, s.reachable, len(s.reachable)) {
		if id := s.controls[url].id; !slices.Contains(r.holders[:], id) {
			batch := s.enqueue(url, digest, r.software)
			if batch != nil {
				r.addHolder(id)
				s.current[digest] = r
			}
			return batch
		}
	}
	return nil
}

// rotate starts a new generation when the current one is over. The caller holds s.mu.
func (s *streamRecords) rotate(now time.Time) {
	if now.Sub(s.generationStart) >= recordGeneration {
		for _, r := range s.previous {
			if !r.sent {
				s.unsent[r.software.Service]--
			}
		}
		s.previous, s.current, s.generationStart = s.current, make(map[registry.StreamDigest]streamRecord), now
	}
}

// get returns the software that began a stream relayed by this instance; nil if there is no
// record.
func (s *streamRecords) get(digest registry.StreamDigest, now time.Time) *dispatch.Software {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.rotate(now)
	if r, ok := s.current[digest]; ok {
		return r.software
	}
	return s.previous[digest].software
}

// place sends a record to the control instances that are to hold it and do not. The caller holds s.mu.
func (s *streamRecords) place(digest registry.StreamDigest, r *streamRecord) (batches []*recordBatch) {
	s.noteControls()
	for _, url := range recordHolders(digest, s.reachable, recordCopies) {
		id := s.controls[url].id
		if slices.Contains(r.holders[:], id) {
			continue
		}
		batch := s.enqueue(url, digest, r.software)
		if batch == nil {
			s.misplaced = true
			continue
		}
		r.addHolder(id)
		batches = append(batches, batch)
	}
	return batches
}

// noteControls takes over which control instances respond, and in which incarnation. The caller holds s.mu.
func (s *streamRecords) noteControls() {
	snapshot := s.view.Current()
	if slices.Equal(s.reachable, snapshot.ReachableURLs) && !slices.ContainsFunc(s.reachable, func(url string) bool { return s.controls[url].feed != snapshot.Feeds[url] }) {
		return
	}
	s.reachable, s.misplaced = snapshot.ReachableURLs, true
	maps.DeleteFunc(s.controls, func(url string, _ controlIncarnation) bool { return !slices.Contains(snapshot.ControlURLs, url) })
	for url, feed := range snapshot.Feeds {
		if known, ok := s.controls[url]; !ok || known.feed != feed {
			s.lastHolder++
			s.controls[url] = controlIncarnation{feed, s.lastHolder}
		}
	}
	notify(s.wake)
}

// placeAll sends the records that lack a copy to the control instances that are to hold them.
func (s *streamRecords) placeAll(now time.Time) {
	s.mu.Lock()
	s.noteControls()
	if !s.misplaced || len(s.reachable) == 0 {
		s.mu.Unlock()
		return
	}
	s.misplaced = false
	s.rotate(now)
	var digests []registry.StreamDigest
	for _, generation := range []map[registry.StreamDigest]streamRecord{s.previous, s.current} {
		for digest, r := range generation {
			if r.sent && now.Before(r.until) {
				digests = append(digests, digest)
			}
		}
	}
	s.mu.Unlock()
	sent := 0
	for chunk := range slices.Chunk(digests, placedAtOnce) {
		s.mu.Lock()
		for _, digest := range chunk {
			generation := s.current
			r, ok := generation[digest]
			if !ok {
				generation = s.previous
				r, ok = generation[digest]
			}
			if ok && len(s.place(digest, &r)) > 0 {
				generation[digest] = r
				sent++
			}
		}
		s.mu.Unlock()
	}
	if sent > 0 {
		s.logger.Info("records of streams sent again", slog.Int("records", sent), slog.Int("kept", len(digests)))
	}
}

// notify adds an element to a channel with room for one.
func notify(signal chan struct{}) {
	select {
	case signal <- struct{}{}:
	default:
	}
}

// recordHolders returns the control instances that hold the record of a stream, at most n, in the
// order in which they are asked: by a hash of both, so that few records move when an instance
// fails.
func recordHolders(digest registry.StreamDigest, urls []string, n int) []string {
	ranked := slices.Clone(urls)
	key := string(digest[:])
	slices.SortFunc(ranked, func(a, b string) int { return cmp.Compare(placement.Rank(key, b), placement.Rank(key, a)) })
	return ranked[:min(n, len(ranked))]
}

// forgotten returns the versions with a metric that no server has run for long, and forgets them.
func (s *streamRecords) forgotten() (list []dispatch.Software) {
	known := s.view.Current().Software
	s.mu.Lock()
	defer s.mu.Unlock()
	for software := range s.counted {
		if !known.Lists(software) {
			list = append(list, software)
			delete(s.counted, software)
		}
	}
	return list
}

// sendOlder enqueues the records of streams that began while no other instance had to ask for
// them, once one may have to: within the time for which a stream may be resumed, their service
// may have had several versions, or all records are due. It is called with each change of the
// fleet or of the document.
func (s *streamRecords) sendOlder(now time.Time, resumeTime time.Duration, all bool) {
	snapshot := s.view.Current()
	s.mu.Lock()
	defer s.mu.Unlock()
	s.noteControls()
	due := make(map[string]bool)
	for service, count := range s.unsent {
		if count > 0 && (all || snapshot.Software.MayDiffer(service, resumeTime, now)) {
			due[service] = true
			delete(s.unsent, service)
		}
	}
	if len(due) == 0 {
		return
	}
	for _, generation := range []map[registry.StreamDigest]streamRecord{s.previous, s.current} {
		for digest, r := range generation {
			if !due[r.software.Service] || r.sent {
				continue
			}
			if r.sent = true; now.Before(r.until) {
				s.place(digest, &r)
			}
			generation[digest] = r
		}
	}
}
