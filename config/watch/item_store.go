package watch

import (
	"maps"
	"slices"

	"github.com/galenaarch/galenaarch/api/controlv1"
	"github.com/galenaarch/galenaarch/config"
)

// maxTombstones bounds the removals kept for deltas to other instances.
const maxTombstones = 4096

type itemKey struct{ kind, name string }

// itemStore is the document in force as items. It is replaced as a whole, so
// that a faulty response changes nothing.
type itemStore struct {
	revision uint64
	digest   uint64
	items    map[itemKey]*controlv1.ConfigItem
	// removed holds removals after floor.
	removed map[itemKey]uint64
	floor   uint64
	// damaged is set when the digest differs from control's.
	damaged bool
}

func newItemStore() itemStore {
	return itemStore{
		items:   make(map[itemKey]*controlv1.ConfigItem),
		removed: make(map[itemKey]uint64),
	}
}

// step is the store after a response and what the response changed.
type step struct {
	store   itemStore
	upserts []*controlv1.ConfigItem
	removes []*controlv1.ConfigKey
}

// next returns the step that a response makes, or false if it changes
// nothing. A response at the revision in force only compares digests; a whole
// document at that revision replaces a damaged one.
func (s *itemStore) next(r *controlv1.GetConfigResponse) (step, bool) {
	if r.Revision == s.revision && r.Revision > 0 && !r.Full {
		s.damaged = s.digest != r.Digest
		return step{}, false
	}
	repair := s.damaged && r.Full && r.Revision == s.revision
	if !repair && r.Revision <= s.revision {
		return step{}, false
	}
	if !r.Full && r.BaseRevision > s.revision {
		return step{}, false
	}
	n := step{store: s.clone(r.Full)}
	if r.Full {
		n.store.floor = r.Revision
	}
	for _, k := range r.Removes {
		if n.store.remove(k) {
			n.removes = append(n.removes, k)
		}
	}
	for _, it := range r.Items {
		if n.store.put(it) {
			n.upserts = append(n.upserts, it)
		}
	}
	n.store.revision = r.Revision
	n.store.damaged = n.store.digest != r.Digest
	n.store.trim()
	return n, true
}

func (s *itemStore) clone(empty bool) itemStore {
	n := newItemStore()
	if !empty {
		n.items = maps.Clone(s.items)
		n.removed = maps.Clone(s.removed)
		n.floor = s.floor
		n.digest = s.digest
	}
	return n
}

// put keeps the newer of two versions of an item and reports whether that is
// the given one.
func (s *itemStore) put(it *controlv1.ConfigItem) bool {
	k := itemKey{it.Kind, it.Name}
	was, ok := s.items[k]
	if ok && was.Revision > it.Revision {
		return false
	}
	if ok {
		s.digest -= config.ItemDigest(was)
	}
	s.digest += config.ItemDigest(it)
	s.items[k] = it
	delete(s.removed, k)
	return true
}

// remove drops an item unless it is newer than the removal, and reports
// whether it is gone.
func (s *itemStore) remove(key *controlv1.ConfigKey) bool {
	k := itemKey{key.Kind, key.Name}
	was, ok := s.items[k]
	if ok && was.Revision > key.Revision {
		return false
	}
	if ok {
		s.digest -= config.ItemDigest(was)
	}
	delete(s.items, k)
	s.removed[k] = key.Revision
	return true
}

// trim forgets all removals once there are too many; deltas then begin at the
// present revision.
func (s *itemStore) trim() {
	if len(s.removed) > maxTombstones {
		clear(s.removed)
		s.floor = s.revision
	}
}

func (s *itemStore) list() []*controlv1.ConfigItem {
	return slices.Collect(maps.Values(s.items))
}

func (s *itemStore) delta(from uint64) *controlv1.GetConfigResponse {
	r := &controlv1.GetConfigResponse{
		Revision:     s.revision,
		BaseRevision: from,
		Digest:       s.digest,
		Full:         from < s.floor || from == 0,
	}
	for _, it := range s.items {
		if r.Full || it.Revision > from {
			r.Items = append(r.Items, it)
		}
	}
	if r.Full {
		return r
	}
	for k, revision := range s.removed {
		if revision > from {
			r.Removes = append(r.Removes, &controlv1.ConfigKey{Kind: k.kind, Name: k.name, Revision: revision})
		}
	}
	return r
}
