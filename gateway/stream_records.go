package gateway

import (
	"cmp"
	"context"
	"log/slog"
	"slices"
	"sync"
	"time"

	"golang.org/x/time/rate"

	"github.com/galenaarch/galenaarch/api/fleetv1"
	"github.com/galenaarch/galenaarch/dispatch"
	"github.com/galenaarch/galenaarch/fleetview"
	"github.com/galenaarch/galenaarch/placement"
	"github.com/galenaarch/galenaarch/registry"
)

const (
	// recordCopies is the number of control instances that hold a record, lookUpAttempts the
	// number of those that are asked for it: one more, as instances may differ on which ones
	// respond.
	recordCopies   = 2
	lookUpAttempts = recordCopies + 1
	// recordTimeout bounds one call to a control instance, lookUpTimeout all questions about a
	// stream. Without a response for questionPatience, another control instance is asked as well.
	recordTimeout    = 500 * time.Millisecond
	questionPatience = 250 * time.Millisecond
	lookUpTimeout    = 900 * time.Millisecond
	// minRecordDelay is how long records are batched at least, recordDelayPerEntry what each
	// entry instance adds, up to maxRecordDelay: a control instance gets at most
	// 1/recordDelayPerEntry = 500 messages a second, above 150 entry instances n/maxRecordDelay.
	minRecordDelay      = 50 * time.Millisecond
	recordDelayPerEntry = 2 * time.Millisecond
	maxRecordDelay      = 300 * time.Millisecond
	// lookUpRate bounds the look-ups a second of all instances together, each of at most
	// 2*lookUpAttempts questions: clients may name attempts that never were. lookUpBurst bounds
	// those of one instance at once; after a restart of all, many streams are resumed.
	lookUpRate  = 1000
	lookUpBurst = 64
	// recordGeneration is the least time for which this instance keeps a record; it keeps it
	// for at most twice as long.
	recordGeneration = maxResumeTime
	// maxStreamRecords bounds the records of a generation, which take about 100 bytes each,
	// and maxPendingRecords those that wait to be sent to one control instance.
	maxStreamRecords  = 1 << 15
	maxPendingRecords = 1 << 13
)

// streamRecord is the software that began a stream, and until when its client may resume it.
type streamRecord struct {
	software *dispatch.Software
	until    time.Time
	// sent is set once the record has been sent to control instances.
	sent bool
}

// recordBatch are the records that wait to be sent to one control instance, as digests one after
// the other.
type recordBatch struct {
	groups map[dispatch.Software][]byte
	count  int
}

// streamRecords hold which software began the streams that this instance relays. While a
// service may have more than one version, or a route more than one service, the records are also sent to control instances, so
// that other instances, and this one after a restart, can go on with the streams.
type streamRecords struct {
	view   *fleetview.View
	logger *slog.Logger
	// wake has an element while records wait to be sent, urgent while they must not wait.
	wake, urgent chan struct{}
	lookUps      *rate.Limiter

	mu                sync.Mutex
	current, previous map[registry.StreamDigest]streamRecord
	generationStart   time.Time
	pending           map[string]*recordBatch
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
		pending: make(map[string]*recordBatch), failing: make(map[string]bool), unsent: make(map[string]int), counted: make(map[dispatch.Software]bool),
	}
}

// add records that software began a stream, which its client may resume for lifetime. The
// newest record of a stream counts. It is sent to control instances at once, or once there may
// be other software.
func (s *streamRecords) add(digest registry.StreamDigest, software *dispatch.Software, lifetime time.Duration, send bool) {
	now := time.Now()
	s.mu.Lock()
	defer s.mu.Unlock()
	s.rotate(now)
	s.counted[*software] = true
	if len(s.current) >= maxStreamRecords {
		s.dropped++
	} else if s.current[digest] = (streamRecord{software: software, until: now.Add(lifetime), sent: send}); !send {
		s.unsent[software.Service]++
	}
	if send {
		s.enqueue(digest, software, s.view.Current().ReachableURLs)
	}
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

// enqueue adds a record to the batches of the control instances that hold it. The caller holds
// s.mu.
func (s *streamRecords) enqueue(digest registry.StreamDigest, software *dispatch.Software, urls []string) {
	for _, url := range recordHolders(digest, urls, recordCopies) {
		batch := s.pending[url]
		if batch == nil {
			batch = &recordBatch{groups: make(map[dispatch.Software][]byte)}
			s.pending[url] = batch
		}
		if batch.count >= maxPendingRecords {
			s.dropped++
			continue
		}
		batch.groups[*software] = append(batch.groups[*software], digest[:]...)
		batch.count++
	}
	notify(s.wake)
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

// flush sends the pending records without further delay: a client may be about to resume its
// stream elsewhere.
func (s *streamRecords) flush() { notify(s.urgent) }

// run sends records until the context ends.
func (s *streamRecords) run(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-s.wake:
		}
		select {
		case <-ctx.Done():
			return
		case <-s.urgent:
		case <-time.After(s.delay()):
		}
		s.send(ctx)
	}
}

// delay returns how long records are batched.
func (s *streamRecords) delay() time.Duration {
	entries := len(s.view.Current().Entries)
	return min(max(time.Duration(entries)*recordDelayPerEntry, minRecordDelay), maxRecordDelay)
}

// sendOlder enqueues the records of streams that began while no other instance had to ask for
// them, once one may have to: within the time for which a stream may be resumed, their service
// may have had several versions, or all records are due. It is called with each change of the
// fleet or of the document.
func (s *streamRecords) sendOlder(now time.Time, resumeTime time.Duration, all bool) {
	snapshot := s.view.Current()
	s.mu.Lock()
	defer s.mu.Unlock()
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
			r.sent = true
			generation[digest] = r
			if now.Before(r.until) {
				s.enqueue(digest, r.software, snapshot.ReachableURLs)
			}
		}
	}
}

// send sends the pending records. It does not wait for the responses.
func (s *streamRecords) send(ctx context.Context) {
	s.mu.Lock()
	pending, dropped := s.pending, s.dropped
	s.pending, s.dropped = make(map[string]*recordBatch), 0
	s.mu.Unlock()
	if dropped > 0 {
		s.logger.Warn("records of streams dropped", slog.Int("records", dropped))
	}
	for url, batch := range pending {
		request := &fleetv1.RecordStreamsRequest{}
		for software, streams := range batch.groups {
			request.Groups = append(request.Groups, &fleetv1.StreamGroup{Service: software.Service, Software: software.Version, Streams: streams})
		}
		go s.sendBatch(ctx, url, request, batch.count)
	}
}

// sendBatch sends records to one control instance. Failed records are not sent again: another
// instance holds a copy.
func (s *streamRecords) sendBatch(ctx context.Context, url string, r *fleetv1.RecordStreamsRequest, count int) {
	ctx, cancel := context.WithTimeout(ctx, recordTimeout)
	defer cancel()
	err := s.view.RecordStreams(ctx, url, r)
	s.mu.Lock()
	defer s.mu.Unlock()
	if err == nil {
		delete(s.failing, url)
		return
	}
	s.dropped += count
	if !s.failing[url] {
		s.failing[url] = true
		s.logger.Warn("records of streams not stored", slog.String("peer", url), slog.Int("records", count), slog.Any("error", err))
	}
}

// lookUp asks control instances which software began a stream, and returns how it became known;
// nil if none knows, or if there are too many look-ups.
func (s *streamRecords) lookUp(ctx context.Context, digest registry.StreamDigest) (software *dispatch.Software, source string) {
	s.lookUps.SetLimit(rate.Limit(lookUpRate / float64(max(1, len(s.view.Current().Entries)))))
	if !s.lookUps.Allow() {
		return nil, softwareLimited
	}
	ctx, cancel := context.WithTimeout(ctx, lookUpTimeout)
	defer cancel()
	return s.askHolders(ctx, digest)
}

// lookUpAnswer is the response of a control instance to one of up to two questions; last is set if no
// further one follows.
type lookUpAnswer struct {
	url      string
	software *dispatch.Software
	err      error
	last     bool
}

// askHolders asks the control instances that may hold a record: the next one as well once one
// has responded without it, or has not responded for questionPatience.
//
// A question goes on until ctx ends or another one finds the record. On an instance whose processor is
// overloaded all responses are late; a question that is given up has cost the same, and so do its successors.
func (s *streamRecords) askHolders(ctx context.Context, digest registry.StreamDigest) (software *dispatch.Software, source string) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	holders := recordHolders(digest, s.view.Current().ReachableURLs, lookUpAttempts)
	answers := make(chan lookUpAnswer, 2*len(holders))
	patience := time.NewTimer(questionPatience)
	defer patience.Stop()
	source = softwareUnknown
	for asked, open := 0, 0; asked < len(holders) || open > 0; {
		if asked < len(holders) {
			go s.askHolder(ctx, holders[asked], digest, answers)
			asked, open = asked+1, open+1
			patience.Reset(questionPatience)
		}
		select {
		case <-ctx.Done():
			return nil, softwareNotAnswered
		case <-patience.C:
		case a := <-answers:
			if a.software != nil {
				return a.software, softwareLookup
			}
			if a.last {
				open--
			}
			if a.err != nil && ctx.Err() == nil {
				source = softwareNotAnswered
				s.logger.Info("record of a stream not read", slog.String("peer", a.url), slog.Any("error", a.err))
			}
		}
	}
	return nil, source
}

// askHolder asks a control instance for a record, which may be on its way to it: without one, it asks
// once more after the time that takes.
func (s *streamRecords) askHolder(ctx context.Context, url string, digest registry.StreamDigest, answers chan<- lookUpAnswer) {
	for _, last := range []bool{false, true} {
		software, err := s.view.LookUpStream(ctx, url, digest[:])
		answers <- lookUpAnswer{url, software, err, last}
		if last || software != nil {
			return
		}
		select {
		case <-ctx.Done():
			return
		case <-time.After(s.delay() + minRecordDelay):
		}
	}
}
