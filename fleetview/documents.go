package fleetview

import (
	"context"
	"log/slog"
	"time"

	"github.com/galenaarch/galenaarch/api/controlv1"
	"github.com/galenaarch/galenaarch/api/fleetv1"
)

const (
	// documentPause lies between two fetches of a document: many versions may
	// come in a second, and only the newest one counts.
	documentPause = 100 * time.Millisecond
	// documentTimeout bounds one fetch.
	documentTimeout = time.Second
	// maxDoublings of the pause follow fetches that fail one after another.
	maxDoublings = 4
)

// wanted is a document of which a newer version was named than is held.
type wanted struct {
	version uint64
	// fetching is set while somebody fetches it.
	fetching bool
}

// settle notes whether more than half of the control instances have answered in
// the life of this process, and reports whether that is new. Invariant: before
// that, no document is shown. What was acknowledged is held by more than half of
// them, but a single one may be far behind: a process that starts and hears it
// first would put an older document in force, with accounts' keys and servers
// that were withdrawn. The caller holds the lock.
func (v *View) settle() bool {
	if v.settled {
		return false
	}
	answered := 0
	for url := range v.members {
		if s := v.sources[url]; s != nil && !s.answered.IsZero() {
			answered++
		}
	}
	// A group without a list has one instance, which has answered.
	v.settled = 2*answered > len(v.members) || len(v.members) == 0
	if v.settled {
		v.logger.Info("documents may be put in force", slog.Int("answered", answered), slog.Int("members", len(v.members)))
	}
	return v.settled
}

// shown are the documents that may be put in force: each once its newest named
// version is held, and from then on whatever is held. The caller holds the lock.
func (v *View) shown() map[string]*controlv1.PublishedDocument {
	list := make(map[string]*controlv1.PublishedDocument)
	if !v.settled {
		return list
	}
	for name, d := range v.docs {
		if w := v.wanted[name]; w == nil || d.Version >= w.version {
			v.released[name] = true
		}
		if v.released[name] {
			list[name] = d
		}
	}
	return list
}

// want notes that a version exists and begins to fetch it; the caller holds the
// lock.
func (v *View) want(s *source, name string, version uint64) {
	w := v.wanted[name]
	if w == nil {
		w = &wanted{}
		v.wanted[name] = w
	}
	s.named[name] = max(s.named[name], version)
	if version <= w.version {
		return
	}
	w.version = version
	if !w.fetching {
		w.fetching = true
		go v.fetch(name)
	}
}

// known is the newest version of each document that this process has heard of;
// the caller holds the lock.
func (v *View) known() map[string]uint64 {
	list := make(map[string]uint64, len(v.wanted))
	for name, w := range v.wanted {
		list[name] = w.version
	}
	return list
}

// fetch gets a document until the newest version that was named is held.
func (v *View) fetch(name string) {
	asked := make(map[string]int)
	failed := 0
	for v.ctx.Err() == nil {
		s := v.holder(name, asked)
		if s == nil {
			return
		}
		asked[s.url]++
		d, err := v.ask(s, name)
		if err == nil {
			v.hold(d)
			failed = 0
		} else if failed++; failed == 1 {
			v.logger.Warn("document not fetched", slog.String("document", name), slog.String("peer", s.url), slog.Any("error", err))
		}
		select {
		case <-v.ctx.Done():
		case <-time.After(min(documentPause<<min(failed, maxDoublings), maxPause)):
		}
	}
}

// holder picks the control instance to ask for a document: of those that named
// the newest version, the one that was asked least. It is nil, and the fetch
// over, if the version is held or nobody who named it is left.
func (v *View) holder(name string, asked map[string]int) *source {
	v.mu.Lock()
	defer v.mu.Unlock()
	w := v.wanted[name]
	var best *source
	if held := v.docs[name]; held == nil || held.Version < w.version {
		for _, s := range v.sources {
			if s.named[name] < w.version {
				continue
			}
			if best == nil || better(s, best, asked) {
				best = s
			}
		}
	}
	if best == nil {
		w.fetching = false
		if held := v.docs[name]; held == nil || held.Version < w.version {
			// It is wanted again when somebody names it.
			w.version = held.GetVersion()
		}
	}
	return best
}

// better prefers those that answer, and then those that were asked less.
func better(s, best *source, asked map[string]int) bool {
	if s.lost != best.lost {
		return !s.lost
	}
	return asked[s.url] < asked[best.url]
}

func (v *View) ask(s *source, name string) (*controlv1.PublishedDocument, error) {
	ctx, cancel := context.WithTimeout(v.ctx, documentTimeout)
	defer cancel()
	return s.client.Document(ctx, &fleetv1.DocumentRequest{Name: name})
}

// hold takes a document. Invariant: in one life of this process a document never
// goes back.
func (v *View) hold(d *controlv1.PublishedDocument) {
	v.mu.Lock()
	defer v.mu.Unlock()
	if held := v.docs[d.Name]; held != nil && d.Version <= held.Version {
		return
	}
	v.docs[d.Name] = d
	if w := v.wanted[d.Name]; d.Version > w.version {
		w.version = d.Version
	}
	v.publish()
}
