package gateway

import (
	"context"
	"log/slog"
	"slices"
	"time"

	"golang.org/x/time/rate"

	"github.com/galenaarch/galenaarch/dispatch"
	"github.com/galenaarch/galenaarch/registry"
)

const (
	// lookUpAttempts is the number of control instances that are asked for a record: one more than hold
	// it, as instances may differ on which ones respond.
	lookUpAttempts = recordCopies + 1
	// lookUpTimeout bounds all questions about a stream. Without a response for questionPatience,
	// another control instance is asked as well.
	questionPatience = 250 * time.Millisecond
	lookUpTimeout    = 900 * time.Millisecond
	// lookUpRate bounds the look-ups a second of all instances together, as clients may name attempts that
	// never were. Each is at most 2*lookUpAttempts questions, and one to each control instance. lookUpBurst
	// bounds those of one instance at once; after a restart of all, many streams are resumed.
	lookUpRate  = 1000
	lookUpBurst = 64
)

// lookUp asks control instances which software began a stream, and returns how it became known;
// nil if none knows, or if there are too many look-ups.
func (s *streamRecords) lookUp(ctx context.Context, digest registry.StreamDigest) (software *dispatch.Software, source string) {
	s.lookUps.SetLimit(rate.Limit(lookUpRate / float64(max(1, len(s.view.Current().Entries)))))
	if !s.lookUps.Allow() {
		return nil, softwareLimited
	}
	ctx, cancel := context.WithTimeout(ctx, lookUpTimeout)
	defer cancel()
	reachable := s.view.Current().ReachableURLs
	software, source = s.askHolders(ctx, digest, reachable)
	if source == softwareUnknown {
		// A control instance whose connection was reset counts as unreachable until the next poll.
		others := slices.DeleteFunc(s.view.Members(), func(url string) bool { return slices.Contains(reachable, url) })
		if software, _ = s.askAll(ctx, digest, others, time.Now()); software != nil {
			source = softwareLookup
		}
	}
	return software, source
}

// lookUpAnswer is the response of a control instance to one of up to two questions; last is set if no
// further one follows.
type lookUpAnswer struct {
	url      string
	software *dispatch.Software
	err      error
	last     bool
}

// askHolders asks those of the reachable control instances that may hold a record: the next one as well once one
// has responded without it, or has not responded for questionPatience.
//
// A question goes on until ctx ends or another one finds the record: where the processor is overloaded all
// responses are late, and to ask again costs as much.
func (s *streamRecords) askHolders(ctx context.Context, digest registry.StreamDigest, reachable []string) (software *dispatch.Software, source string) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	holders := recordHolders(digest, reachable, lookUpAttempts)
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
		software, _, err := s.view.LookUpStream(ctx, url, digest[:])
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

// isRecorded asks all control instances for a record, and returns the software in it. missing is true if there is none,
// although it would have been found if a newer version had begun the stream since a time: it was stored at recordCopies of
// the control instances, and fewer have been lost since, or do not respond.
func (s *streamRecords) isRecorded(ctx context.Context, digest registry.StreamDigest, since time.Time) (software *dispatch.Software, missing bool) {
	members := s.view.Members()
	software, complete := s.askAll(ctx, digest, members, since)
	return software, software == nil && len(members) > 0 && complete > len(members)-min(recordCopies, len(members))
}

// askAll asks control instances for a record at the same time, and returns the software in it. Without one, complete is
// the number of them that responded within questionPatience and would have a record that was stored since a time.
func (s *streamRecords) askAll(ctx context.Context, digest registry.StreamDigest, urls []string, since time.Time) (software *dispatch.Software, complete int) {
	type answer struct {
		software *dispatch.Software
		complete bool
	}
	answers := make(chan answer, len(urls))
	for _, url := range urls {
		go func() {
			askedAt := time.Now()
			software, history, err := s.view.LookUpStream(ctx, url, digest[:])
			answers <- answer{software, err == nil && history > 0 && !askedAt.Add(-history).After(since)}
		}()
	}
	patience := time.NewTimer(questionPatience)
	defer patience.Stop()
	for range urls {
		select {
		case a := <-answers:
			if a.software != nil {
				return a.software, 0
			}
			if a.complete {
				complete++
			}
		case <-patience.C:
			return nil, complete
		}
	}
	return nil, complete
}
