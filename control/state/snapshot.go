package state

import (
	"cmp"
	"fmt"
	"slices"

	"google.golang.org/protobuf/proto"

	"github.com/galenaarch/galenaarch/api/controlv1"
	"github.com/galenaarch/galenaarch/config"
)

// Snapshot encodes the complete state. Equal states have equal encodings.
func (s *State) Snapshot() ([]byte, error) {
	snap := &controlv1.StateSnapshot{TimeUnixMs: s.nowMS, LastFencingNumber: s.lastFencing}
	for _, name := range sortedKeys(s.environments) {
		snap.Environments = append(snap.Environments, s.environments[name].snapshot())
	}
	for _, name := range sortedKeys(s.leases) {
		snap.Leases = append(snap.Leases, s.leases[name])
	}
	for _, account := range sortedKeys(s.calls) {
		records := s.calls[account].records
		for _, key := range sortedKeys(records) {
			snap.Calls = append(snap.Calls, records[key])
		}
	}
	snap.Published = s.PublishedWithPrefix("")
	return proto.MarshalOptions{Deterministic: true}.Marshal(snap)
}

func (e *environment) snapshot() *controlv1.EnvironmentState {
	snap := &controlv1.EnvironmentState{
		Name:       e.name,
		Revision:   e.revision,
		Items:      e.sortedItems(),
		Tombstones: e.tombstones,
		DeltaFloor: e.deltaFloor,
		History:    e.history,
		Routing:    e.routing.snapshot(),
	}
	for _, id := range e.changeOrder {
		snap.Changes = append(snap.Changes, &controlv1.AppliedChange{ChangeId: id, Response: e.changes[id]})
	}
	for _, name := range sortedKeys(e.instances) {
		snap.Instances = append(snap.Instances, e.instances[name])
	}
	return snap
}

// Restore decodes a snapshot.
func Restore(data []byte) (*State, error) {
	var snap controlv1.StateSnapshot
	if err := proto.Unmarshal(data, &snap); err != nil {
		return nil, fmt.Errorf("decode state snapshot: %w", err)
	}
	s := New()
	s.nowMS = snap.TimeUnixMs
	s.lastFencing = snap.LastFencingNumber
	for _, env := range snap.Environments {
		e, err := restoreEnvironment(env)
		if err != nil {
			return nil, err
		}
		s.environments[env.Name] = e
	}
	for _, l := range snap.Leases {
		s.leases[l.Name] = l
	}
	for _, r := range snap.Calls {
		account, ok := s.calls[r.ClientAccount]
		if !ok {
			account = &accountCalls{records: make(map[string]*controlv1.CallRecord)}
			s.calls[r.ClientAccount] = account
		}
		account.records[r.Key] = r
		account.answerBytes += len(r.Answer)
		s.answerBytes += len(r.Answer)
		s.callCount++
		if r.State == controlv1.CallState_CALL_STATE_BEGUN {
			s.expiryQueues.addBegun(r)
		} else {
			s.expiryQueues.addEnded(r)
		}
	}
	for _, d := range snap.Published {
		s.published[d.Name] = d
	}
	s.expiryQueues.sort()
	return s, nil
}

func restoreEnvironment(snap *controlv1.EnvironmentState) (*environment, error) {
	e := newEnvironment(snap.Name)
	e.revision = snap.Revision
	e.deltaFloor = snap.DeltaFloor
	e.tombstones = snap.Tombstones
	e.history = snap.History
	e.routing = restoreRouting(snap.Routing)
	checked, err := config.RestoreDocument(snap.Items)
	if err != nil {
		return nil, fmt.Errorf("environment %q: %w", snap.Name, err)
	}
	e.checked = checked
	// Items are added by increasing revision, which revisionLog requires.
	items := slices.Clone(snap.Items)
	slices.SortStableFunc(items, func(a, b *controlv1.ConfigItem) int { return cmp.Compare(a.Revision, b.Revision) })
	for _, it := range items {
		e.put(it)
	}
	for _, c := range snap.Changes {
		e.changes[c.ChangeId] = c.Response
		e.changeOrder = append(e.changeOrder, c.ChangeId)
	}
	for _, in := range snap.Instances {
		e.instances[in.Instance] = in
	}
	return e, nil
}
