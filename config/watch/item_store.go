package watch

import (
	"maps"
	"slices"

	"github.com/galenaarch/galenaarch/api/controlv1"
	"github.com/galenaarch/galenaarch/config"
)

// maxTombstones limits the removals retained for deltas to other instances.
const maxTombstones = 4096

type itemKey struct{ kind, name string }

// itemStore holds the items of the applied document. It is replaced as a whole,
// so that an invalid response changes nothing.
type itemStore struct {
	revision uint64
	digest   uint64
	items    map[itemKey]*controlv1.ConfigItem
	// tombstones maps removed items to the revision of their removal. It is
	// complete for revisions after deltaFloor.
	tombstones map[itemKey]uint64
	deltaFloor uint64
	// digestMismatch is set when the digest differs from the control plane's.
	digestMismatch bool
}

func newItemStore() itemStore {
	return itemStore{
		items:      make(map[itemKey]*controlv1.ConfigItem),
		tombstones: make(map[itemKey]uint64),
	}
}

// transition is the store after a response, and the changes made by the
// response.
type transition struct {
	store   itemStore
	upserts []*controlv1.ConfigItem
	removes []*controlv1.ConfigKey
}

// next returns the transition that a response causes, or false if it changes
// nothing. A response at the current revision only compares digests, but a full
// document at that revision replaces one whose digest does not match.
func (s *itemStore) next(response *controlv1.GetConfigResponse) (transition, bool) {
	if response.Revision == s.revision && response.Revision > 0 && !response.Full {
		s.digestMismatch = s.digest != response.Digest
		return transition{}, false
	}
	repair := s.digestMismatch && response.Full && response.Revision == s.revision
	if !repair && response.Revision <= s.revision {
		return transition{}, false
	}
	if !response.Full && response.BaseRevision > s.revision {
		return transition{}, false
	}
	result := transition{store: s.clone(response.Full)}
	if response.Full {
		result.store.deltaFloor = response.Revision
	}
	for _, key := range response.Removes {
		if result.store.remove(key) {
			result.removes = append(result.removes, key)
		}
	}
	for _, item := range response.Items {
		if result.store.put(item) {
			result.upserts = append(result.upserts, item)
		}
	}
	result.store.revision = response.Revision
	result.store.digestMismatch = result.store.digest != response.Digest
	result.store.trimTombstones()
	return result, true
}

func (s *itemStore) clone(empty bool) itemStore {
	copied := newItemStore()
	if !empty {
		copied.items = maps.Clone(s.items)
		copied.tombstones = maps.Clone(s.tombstones)
		copied.deltaFloor = s.deltaFloor
		copied.digest = s.digest
	}
	return copied
}

// put stores an item unless a newer version of it is present, and reports
// whether the item was stored.
func (s *itemStore) put(item *controlv1.ConfigItem) bool {
	k := itemKey{item.Kind, item.Name}
	previous, ok := s.items[k]
	if ok && previous.Revision > item.Revision {
		return false
	}
	if ok {
		s.digest -= config.ItemDigest(previous)
	}
	s.digest += config.ItemDigest(item)
	s.items[k] = item
	delete(s.tombstones, k)
	return true
}

// remove removes an item unless it is newer than the removal, and reports
// whether the item is absent.
func (s *itemStore) remove(key *controlv1.ConfigKey) bool {
	k := itemKey{key.Kind, key.Name}
	previous, ok := s.items[k]
	if ok && previous.Revision > key.Revision {
		return false
	}
	if ok {
		s.digest -= config.ItemDigest(previous)
	}
	delete(s.items, k)
	s.tombstones[k] = key.Revision
	return true
}

// trimTombstones discards all tombstones once there are more than
// maxTombstones; deltas then start at the current revision.
func (s *itemStore) trimTombstones() {
	if len(s.tombstones) > maxTombstones {
		clear(s.tombstones)
		s.deltaFloor = s.revision
	}
}

func (s *itemStore) list() []*controlv1.ConfigItem {
	return slices.Collect(maps.Values(s.items))
}

// delta returns the changes after a revision, or the full document if the
// tombstones do not reach back that far.
func (s *itemStore) delta(from uint64) *controlv1.GetConfigResponse {
	response := &controlv1.GetConfigResponse{
		Revision:     s.revision,
		BaseRevision: from,
		Digest:       s.digest,
		Full:         from < s.deltaFloor || from == 0,
	}
	for _, item := range s.items {
		if response.Full || item.Revision > from {
			response.Items = append(response.Items, item)
		}
	}
	if response.Full {
		return response
	}
	for k, revision := range s.tombstones {
		if revision > from {
			response.Removes = append(response.Removes, &controlv1.ConfigKey{Kind: k.kind, Name: k.name, Revision: revision})
		}
	}
	return response
}
