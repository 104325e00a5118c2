package state

import (
	"bytes"
	"cmp"
	"encoding/json"
	"maps"
	"slices"
	"strings"

	"google.golang.org/protobuf/proto"

	"github.com/galenaarch/galenaarch/api/controlv1"
	"github.com/galenaarch/galenaarch/config"
)

type itemKey struct{ kind, name string }

// environment holds the configuration of one environment and the status that its
// instances reported.
type environment struct {
	name     string
	revision uint64
	digest   uint64
	// promotionDigest covers the items that a promotion must match.
	promotionDigest uint64
	checked         *config.ValidatedDocument
	// revisionLog lists items by increasing revision. It may contain replaced
	// or removed items, which readers skip.
	revisionLog []*controlv1.ConfigItem
	items       map[itemKey]*controlv1.ConfigItem
	tombstones  []*controlv1.ConfigKey
	deltaFloor  uint64
	history     []*controlv1.HistoryEntry
	changes     map[string]*controlv1.ApplyConfigResponse
	// changeOrder lists the keys of changes, oldest first.
	changeOrder []string
	instances   map[string]*controlv1.InstanceStatus
	routing     *routing
}

func newEnvironment(name string) *environment {
	return &environment{
		name:      name,
		checked:   config.NewValidatedDocument(),
		items:     make(map[itemKey]*controlv1.ConfigItem),
		changes:   make(map[string]*controlv1.ApplyConfigResponse),
		instances: make(map[string]*controlv1.InstanceStatus),
		routing:   newRouting(),
	}
}

// apply accepts a valid change that is based on the current revision. A retry gets
// the response that was recorded for its change ID.
func (e *environment) apply(req *controlv1.ApplyConfigRequest, s *State) *controlv1.ApplyConfigResponse {
	if recorded, ok := e.changes[req.ChangeId]; ok && req.ChangeId != "" {
		return recorded
	}
	response, candidate := e.validate(req, s)
	if response.Accepted {
		e.checked.Commit(candidate)
		e.commit(req, s.wallMS)
		response.Revision = e.revision
		e.recordChange(req.ChangeId, response)
	}
	return response
}

// validate checks a change without applying it.
func (e *environment) validate(req *controlv1.ApplyConfigRequest, s *State) (*controlv1.ApplyConfigResponse, *config.ValidatedChange) {
	if req.ExpectedRevision != e.revision {
		return &controlv1.ApplyConfigResponse{
			Revision:    e.revision,
			Reason:      "the environment changed since the expected revision",
			Conflicting: e.changedSince(req.ExpectedRevision),
		}, nil
	}
	candidate, err := e.checked.Validate(req.Upserts, req.Removes)
	if err != nil {
		return &controlv1.ApplyConfigResponse{Revision: e.revision, Reason: "the document has faults: " + err.Error()}, nil
	}
	if reason := e.promotionRejection(req, candidate.Document, s); reason != "" {
		return &controlv1.ApplyConfigResponse{Revision: e.revision, Reason: reason}, nil
	}
	return &controlv1.ApplyConfigResponse{Accepted: true}, candidate
}

// promotionRejection returns the reason why a change may not enter a production
// environment, or an empty string. The resulting production document must equal
// the one that the trial environment accepted.
func (e *environment) promotionRejection(req *controlv1.ApplyConfigRequest, doc *config.Document, s *State) string {
	if doc.Environment != e.name {
		return "the document names another environment"
	}
	if doc.Stage != config.StageProduction {
		return ""
	}
	trial, ok := s.environments[req.PromotedFrom]
	if !ok || req.PromotedFrom != doc.PromotesFrom {
		return "a production environment takes only promotions from its trial environment"
	}
	if trial.revision != req.PromotedRevision {
		return "the promoted revision is not the trial environment's accepted one"
	}
	if e.promotionDigestAfter(req) == trial.promotionDigest {
		return ""
	}
	if !equalExceptKind(config.KindEnvironment, trial.sortedItems(), e.itemsAfter(req)) {
		return "the promoted document differs from the accepted trial document"
	}
	return ""
}

// promotionDigestAfter returns the promotion digest after a change.
func (e *environment) promotionDigestAfter(req *controlv1.ApplyConfigRequest) uint64 {
	promotionDigest := e.promotionDigest
	changed := make(map[itemKey]*controlv1.ConfigItem, len(req.Upserts)+len(req.Removes))
	for _, k := range req.Removes {
		changed[itemKey{k.Kind, k.Name}] = nil
	}
	for _, it := range req.Upserts {
		changed[itemKey{it.Kind, it.Name}] = it
	}
	for k, it := range changed {
		promotionDigest -= itemPromotionDigest(e.items[k])
		promotionDigest += itemPromotionDigest(it)
	}
	return promotionDigest
}

// itemPromotionDigest returns the contribution of an item to the promotion
// digest: its kind, name and body, but not its revision. Items of kind
// environment are ignored, since they differ between trial and production.
func itemPromotionDigest(it *controlv1.ConfigItem) uint64 {
	if it == nil || it.Kind == config.KindEnvironment {
		return 0
	}
	return config.ItemDigest(&controlv1.ConfigItem{Kind: it.Kind, Name: it.Name, Body: it.Body})
}

// itemsAfter returns the sorted items after a change.
func (e *environment) itemsAfter(req *controlv1.ApplyConfigRequest) []*controlv1.ConfigItem {
	next := maps.Clone(e.items)
	for _, k := range req.Removes {
		delete(next, itemKey{k.Kind, k.Name})
	}
	for _, it := range req.Upserts {
		next[itemKey{it.Kind, it.Name}] = it
	}
	return sortItems(next)
}

// equalExceptKind compares two sorted item lists, ignoring items of one kind.
func equalExceptKind(kind string, a, b []*controlv1.ConfigItem) bool {
	ignore := func(it *controlv1.ConfigItem) bool { return it.Kind == kind }
	a = slices.DeleteFunc(slices.Clone(a), ignore)
	b = slices.DeleteFunc(slices.Clone(b), ignore)
	return slices.EqualFunc(a, b, func(x, y *controlv1.ConfigItem) bool {
		return x.Kind == y.Kind && x.Name == y.Name && equalBody(x.Body, y.Body)
	})
}

func equalBody(a, b []byte) bool {
	if bytes.Equal(a, b) {
		return true
	}
	var x, y bytes.Buffer
	if json.Compact(&x, a) != nil || json.Compact(&y, b) != nil {
		return false
	}
	return bytes.Equal(x.Bytes(), y.Bytes())
}

func (e *environment) commit(req *controlv1.ApplyConfigRequest, wallMS int64) {
	e.revision++
	for _, k := range req.Removes {
		e.remove(itemKey{k.Kind, k.Name})
	}
	for _, it := range req.Upserts {
		it = proto.CloneOf(it)
		it.Revision = e.revision
		e.put(it)
	}
	e.routing.syncDeployments(req.Upserts, req.Removes)
	e.history = append(e.history, &controlv1.HistoryEntry{
		Revision:         e.revision,
		TimeUnixMs:       wallMS,
		ChangeId:         req.ChangeId,
		Author:           req.Author,
		Comment:          req.Comment,
		Upserts:          uint32(len(req.Upserts)),
		Removes:          uint32(len(req.Removes)),
		PromotedFrom:     req.PromotedFrom,
		PromotedRevision: req.PromotedRevision,
	})
	if excess := len(e.history) - maxHistory; excess > 0 {
		e.history = slices.Delete(e.history, 0, excess)
	}
}

func (e *environment) put(it *controlv1.ConfigItem) {
	k := itemKey{it.Kind, it.Name}
	if previous, ok := e.items[k]; ok {
		e.digest -= config.ItemDigest(previous)
		e.promotionDigest -= itemPromotionDigest(previous)
	}
	e.digest += config.ItemDigest(it)
	e.promotionDigest += itemPromotionDigest(it)
	e.items[k] = it
	e.revisionLog = append(e.revisionLog, it)
	if len(e.revisionLog) > 2*len(e.items)+minRevisionLog {
		e.revisionLog = slices.DeleteFunc(e.revisionLog, func(r *controlv1.ConfigItem) bool { return !e.isCurrent(r) })
	}
}

func (e *environment) remove(k itemKey) {
	previous, ok := e.items[k]
	if !ok {
		return
	}
	e.digest -= config.ItemDigest(previous)
	e.promotionDigest -= itemPromotionDigest(previous)
	delete(e.items, k)
	e.tombstones = append(e.tombstones, &controlv1.ConfigKey{Kind: k.kind, Name: k.name, Revision: e.revision})
	if excess := len(e.tombstones) - maxTombstones; excess > 0 {
		// A delta from before a discarded tombstone would miss the removal.
		e.deltaFloor = e.tombstones[excess-1].Revision
		e.tombstones = slices.Delete(e.tombstones, 0, excess)
	}
}

func (e *environment) recordChange(changeID string, response *controlv1.ApplyConfigResponse) {
	if changeID == "" {
		return
	}
	e.changes[changeID] = response
	e.changeOrder = append(e.changeOrder, changeID)
	if excess := len(e.changeOrder) - maxChangeIDs; excess > 0 {
		for _, id := range e.changeOrder[:excess] {
			delete(e.changes, id)
		}
		e.changeOrder = slices.Delete(e.changeOrder, 0, excess)
	}
}

// minRevisionLog avoids frequent compaction of a short revision log.
const minRevisionLog = 64

// isCurrent reports whether an item is the current version.
func (e *environment) isCurrent(it *controlv1.ConfigItem) bool {
	return e.items[itemKey{it.Kind, it.Name}] == it
}

// itemsSince returns the current items that changed after a revision.
func (e *environment) itemsSince(revision uint64) []*controlv1.ConfigItem {
	from, _ := slices.BinarySearchFunc(e.revisionLog, revision+1, func(it *controlv1.ConfigItem, r uint64) int {
		return cmp.Compare(it.Revision, r)
	})
	var list []*controlv1.ConfigItem
	for _, it := range e.revisionLog[from:] {
		if e.isCurrent(it) {
			list = append(list, it)
		}
	}
	return list
}

func (e *environment) changedSince(revision uint64) []*controlv1.ConfigKey {
	var keys []*controlv1.ConfigKey
	for _, it := range e.itemsSince(revision) {
		keys = append(keys, &controlv1.ConfigKey{Kind: it.Kind, Name: it.Name, Revision: it.Revision})
	}
	for _, k := range e.tombstones {
		if k.Revision > revision {
			keys = append(keys, k)
		}
	}
	return keys
}

// report records the revision and routing epoch that an instance has applied. A
// stale report is ignored. An entry whose routing epoch is below the required
// one gets no lease.
func (e *environment) report(req *controlv1.ReportAppliedRequest, nowMS int64) *controlv1.ReportAppliedResponse {
	response := &controlv1.ReportAppliedResponse{AcceptedRevision: e.revision, RequiredRoutingEpoch: e.routing.requiredEpoch}
	previous, ok := e.instances[req.Instance]
	if ok && isStaleReport(previous, req) {
		return response
	}
	if req.Role != roleEntry || req.RoutingEpoch >= e.routing.requiredEpoch {
		response.LeaseMs = req.LeaseMs
	}
	expires := nowMS + int64(response.LeaseMs)
	if ok && previous.Incarnation == req.Incarnation {
		expires = max(expires, previous.LeaseExpiresUnixMs)
	}
	if ok && previous.Incarnation < req.Incarnation {
		e.routing.addFormerIncarnation(previous, nowMS)
	}
	e.instances[req.Instance] = &controlv1.InstanceStatus{
		Instance:           req.Instance,
		Role:               req.Role,
		FailureDomain:      req.FailureDomain,
		Revision:           req.Revision,
		RoutingEpoch:       req.RoutingEpoch,
		Incarnation:        req.Incarnation,
		LeaseExpiresUnixMs: expires,
	}
	return response
}

// isStaleReport reports whether a report is of an older incarnation, or of the
// same one but of a lower revision or routing epoch, than the recorded one.
func isStaleReport(previous *controlv1.InstanceStatus, req *controlv1.ReportAppliedRequest) bool {
	if previous.Incarnation != req.Incarnation {
		return previous.Incarnation > req.Incarnation
	}
	return previous.Revision > req.Revision || previous.RoutingEpoch > req.RoutingEpoch
}

func (e *environment) sortedItems() []*controlv1.ConfigItem { return sortItems(e.items) }

func sortItems(items map[itemKey]*controlv1.ConfigItem) []*controlv1.ConfigItem {
	list := make([]*controlv1.ConfigItem, 0, len(items))
	for _, it := range items {
		list = append(list, it)
	}
	slices.SortFunc(list, func(a, b *controlv1.ConfigItem) int {
		if c := strings.Compare(a.Kind, b.Kind); c != 0 {
			return c
		}
		return strings.Compare(a.Name, b.Name)
	})
	return list
}

// Revision returns the accepted revision of an environment.
func (s *State) Revision(environment string) uint64 {
	e, ok := s.environments[environment]
	if !ok {
		return 0
	}
	return e.revision
}

// Routing returns the routing changes after an epoch, or nil if there are none.
func (s *State) Routing(environment string, knownEpoch uint64) *controlv1.RoutingDelta {
	e, ok := s.environments[environment]
	if !ok {
		return nil
	}
	return e.routing.delta(knownEpoch)
}

// Config returns the configuration changes after knownRevision, or the complete
// document if knownRevision is 0, unknown or too old for a delta.
func (s *State) Config(environment string, knownRevision uint64) *controlv1.GetConfigResponse {
	e, ok := s.environments[environment]
	if !ok {
		return &controlv1.GetConfigResponse{}
	}
	full := knownRevision == 0 || knownRevision < e.deltaFloor || knownRevision > e.revision
	response := &controlv1.GetConfigResponse{Revision: e.revision, Full: full, Digest: e.digest}
	if !full {
		response.BaseRevision = knownRevision
	}
	if knownRevision == e.revision && !full {
		return response
	}
	if full {
		response.Items = e.sortedItems()
		return response
	}
	response.Items = e.itemsSince(knownRevision)
	for _, k := range e.tombstones {
		_, exists := e.items[itemKey{k.Kind, k.Name}]
		if k.Revision > knownRevision && !exists {
			response.Removes = append(response.Removes, k)
		}
	}
	return response
}

// History returns the accepted changes, newest first; at most limit if it is
// above 0.
func (s *State) History(environment string, limit int) []*controlv1.HistoryEntry {
	e, ok := s.environments[environment]
	if !ok {
		return nil
	}
	list := slices.Clone(e.history)
	slices.Reverse(list)
	if limit > 0 && len(list) > limit {
		list = list[:limit]
	}
	return list
}

// Status returns the accepted revision, instances and routing of an environment,
// and all leases.
func (s *State) Status(environment string) *controlv1.GetStatusResponse {
	response := &controlv1.GetStatusResponse{
		AcceptedRevision: s.Revision(environment),
		NowUnixMs:        s.nowMS,
		CallsRecorded:    s.callCount,
	}
	if e, ok := s.environments[environment]; ok {
		for _, name := range sortedKeys(e.instances) {
			response.Instances = append(response.Instances, e.instances[name])
		}
		e.routing.addStatus(response)
	}
	for _, name := range sortedKeys(s.leases) {
		response.Leases = append(response.Leases, s.leases[name])
	}
	return response
}
