package membership

import (
	"cmp"
	"slices"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/galenaarch/galenaarch/api/memberv1"
)

// maxIdentityFieldBytes is the maximum size of each text field of an identity.
const maxIdentityFieldBytes = 256

// knownVersions holds the versions that another instance has of a run.
type knownVersions struct {
	identity uint64
	data     uint64
	known    bool
}

// HandleExchange compares another instance's digest with the local state. It
// returns the deltas that the other lacks and requests those missing here.
func (c *Core) HandleExchange(now time.Time, r *memberv1.ExchangeRequest) *memberv1.ExchangeResponse {
	c.noteContact(now, r.FromRun, r.Region)
	sameRegion := r.Region == c.self.identity.Region
	remote := parseDigest(r.Digest)
	response := &memberv1.ExchangeResponse{FromRun: c.self.runID, Want: &memberv1.Digest{}}
	size := 0
	for _, member := range c.byRunID {
		if !r.Digest.GetAll() && !c.inRegion(member) {
			continue
		}
		if d := c.deltaFor(member, remote[member.runID], sameRegion && c.inRegion(member)); d != nil && size < maxDeltaBytes {
			response.Deltas = append(response.Deltas, d)
			size += proto.Size(d)
		}
	}
	for runID, v := range remote {
		c.addWanted(response.Want, runID, v, sameRegion)
	}
	return response
}

// parseDigest returns the versions listed in a digest, by run ID.
func parseDigest(d *memberv1.Digest) map[uint64]knownVersions {
	m := make(map[uint64]knownVersions, len(d.GetRuns()))
	for i, runID := range d.GetRuns() {
		v := knownVersions{known: true}
		if i < len(d.Identities) {
			v.identity = d.Identities[i]
		}
		if i < len(d.Data) {
			v.data = d.Data[i]
		}
		m[runID] = v
	}
	return m
}

// deltaFor returns what another instance lacks of a run, or nil.
func (c *Core) deltaFor(member *memberState, remote knownVersions, withItems bool) *memberv1.Delta {
	d := &memberv1.Delta{Run: member.runID, From: remote.data, To: remote.data}
	if !remote.known || remote.identity < identityVersion(member.identity) {
		d.Identity = member.identity
	}
	if withItems && remote.data < member.itemsVersion {
		c.addItems(d, member)
	}
	if d.Identity == nil && d.From == d.To {
		return nil
	}
	return d
}

// addItems adds the items of a run that are newer than the version at which the
// delta starts, or all items if some of the deletions since then have been purged.
func (c *Core) addItems(d *memberv1.Delta, member *memberState) {
	d.Full = d.From < member.purgedVersion
	for _, item := range member.items {
		if d.Full || item.Version > d.From {
			d.Items = append(d.Items, item)
		}
	}
	slices.SortFunc(d.Items, func(a, b *memberv1.Item) int { return cmp.Compare(a.Version, b.Version) })
	d.To = member.itemsVersion
}

// addWanted adds a run to the digest if the other instance has newer versions
// of it.
func (c *Core) addWanted(wanted *memberv1.Digest, runID uint64, remote knownVersions, sameRegion bool) {
	member := c.byRunID[runID]
	if member == nil {
		// A run that is dead and unknown here was removed before.
		if memberv1.Status(remote.identity%statusCount) >= memberv1.Status_STATUS_DEAD {
			return
		}
		wanted.Runs = append(wanted.Runs, runID)
		wanted.Identities = append(wanted.Identities, 0)
		wanted.Data = append(wanted.Data, 0)
		return
	}
	newer := remote.identity > identityVersion(member.identity)
	if newer || (sameRegion && c.inRegion(member) && remote.data > member.itemsVersion) {
		wanted.Runs = append(wanted.Runs, runID)
		wanted.Identities = append(wanted.Identities, identityVersion(member.identity))
		wanted.Data = append(wanted.Data, member.itemsVersion)
	}
}

// HandleResponse applies the response to an exchange and returns a push of the
// deltas that the responder requested.
func (c *Core) HandleResponse(now time.Time, m Message, r *memberv1.ExchangeResponse) []Message {
	c.noteResponse(now, m, r.FromRun)
	c.applyDeltas(now, r.Deltas)
	push := &memberv1.PushRequest{FromRun: c.self.runID}
	wanted := parseDigest(r.Want)
	for i, runID := range r.Want.GetRuns() {
		member := c.byRunID[runID]
		if member == nil {
			continue
		}
		remote := wanted[runID]
		// An instance that does not know the run requests it with version 0.
		remote.known = i < len(r.Want.Identities) && r.Want.Identities[i] > 0
		if d := c.deltaFor(member, remote, m.Exchange != nil && len(m.Exchange.Digest.Data) > 0 && c.inRegion(member)); d != nil {
			push.Deltas = append(push.Deltas, d)
		}
	}
	messages := c.Flush()
	if len(push.Deltas) > 0 {
		messages = append(messages, Message{URL: m.URL, RunID: r.FromRun, Push: push})
	}
	return messages
}

// HandlePush applies the deltas that another instance pushed.
func (c *Core) HandlePush(now time.Time, r *memberv1.PushRequest) *memberv1.PushResponse {
	c.applyDeltas(now, r.Deltas)
	c.noteContact(now, r.FromRun, "")
	return &memberv1.PushResponse{FromRun: c.self.runID}
}

// HandlePushResponse records that a member responded.
func (c *Core) HandlePushResponse(now time.Time, m Message, r *memberv1.PushResponse) []Message {
	c.noteResponse(now, m, r.FromRun)
	return c.Flush()
}

// HandleFailure records a failed request to a member. The first failure
// triggers another probe at once; after suspectFailures the member is
// suspected.
func (c *Core) HandleFailure(now time.Time, m Message) []Message {
	member := c.byRunID[m.RunID]
	if member == nil || member == c.self || !c.inRegion(member) || now.Before(c.ignoreFailuresUntil) {
		return nil
	}
	member.failures++
	if member.failures < suspectFailures {
		return []Message{c.probe(member)}
	}
	if member.status() == memberv1.Status_STATUS_ALIVE && c.applyTrigger(member, triggerSuspect, now) {
		c.pushIdentity(member)
	}
	return c.Flush()
}

// noteResponse records the response to a request. A response from another run
// means that the process was restarted, so the run that was addressed is dead.
func (c *Core) noteResponse(now time.Time, m Message, runID uint64) {
	c.noteContact(now, runID, "")
	addressed := c.byRunID[m.RunID]
	if addressed == nil || runID == 0 || runID == m.RunID || addressed == c.self {
		return
	}
	if addressed.status() < memberv1.Status_STATUS_DEAD && c.applyTrigger(addressed, triggerExpire, now) {
		c.pushIdentity(addressed)
	}
}

// noteContact records a message from a run.
func (c *Core) noteContact(now time.Time, runID uint64, region string) {
	member := c.byRunID[runID]
	if member == c.self {
		return
	}
	if member != nil {
		member.failures = 0
		region = member.identity.Region
	}
	if region != "" && region != c.self.identity.Region {
		if now.Sub(c.lastRegionContact[region]) >= regionTimeout {
			c.events = append(c.events, Event{Instance: c.self.identity.Instance})
		}
		c.lastRegionContact[region] = now
	}
	if c.stale && member != nil {
		c.stale = false
		for _, other := range c.byInstance {
			c.events = append(c.events, Event{Instance: other.identity.Instance})
		}
	}
}

// applyTrigger fires a lifecycle trigger for a member based on local
// observation.
func (c *Core) applyTrigger(member *memberState, t trigger, now time.Time) bool {
	id := proto.CloneOf(member.identity)
	if c.lifecycle.fire(id, t) != nil {
		return false
	}
	member.identity = id
	member.statusSince = now
	c.events = append(c.events, Event{Instance: id.Instance})
	return true
}

func (c *Core) applyDeltas(now time.Time, deltas []*memberv1.Delta) {
	for _, d := range deltas {
		if d == nil {
			continue
		}
		if d.Identity != nil && validIdentity(d) {
			c.applyIdentity(now, d.Identity)
		}
		if member := c.byRunID[d.Run]; member != nil && member != c.self && c.inRegion(member) {
			c.applyItems(now, member, d)
		}
	}
}

// validIdentity reports whether the text fields of a delta's identity have a
// permitted size, its status is known and it belongs to the run of the delta.
func validIdentity(d *memberv1.Delta) bool {
	id := d.Identity
	for _, field := range []string{id.Instance, id.FailureDomain, id.Region, id.CallerUrl, id.PeerUrl, id.BackendUrl} {
		if field == "" || len(field) > maxIdentityFieldBytes {
			return false
		}
	}
	return runIDOf(id) == d.Run && id.Status <= memberv1.Status_STATUS_LEFT && id.Status >= 0
}

// applyIdentity applies another instance's record of a run.
func (c *Core) applyIdentity(now time.Time, id *memberv1.Identity) {
	runID := runIDOf(id)
	member := c.byRunID[runID]
	switch {
	case member == c.self:
		c.refute(now, id)
	case member == nil:
		c.addMember(now, runID, id)
	case identityVersion(id) > identityVersion(member.identity):
		c.updateIdentity(now, member, id)
	}
}

// refute counters a suspicion of this instance with a higher count.
func (c *Core) refute(now time.Time, reported *memberv1.Identity) {
	own := c.self.identity
	if own.Status == memberv1.Status_STATUS_LEFT || identityVersion(reported) <= identityVersion(own) {
		return
	}
	if reported.Status >= memberv1.Status_STATUS_DEAD {
		c.rejoinedAt = now
	}
	id := proto.CloneOf(own)
	id.Count = reported.Count + 1
	c.self.identity = id
	c.pushIdentity(c.self)
}

func (c *Core) addMember(now time.Time, runID uint64, id *memberv1.Identity) {
	if id.Status >= memberv1.Status_STATUS_DEAD || len(c.byRunID) >= maxMembers {
		return
	}
	old := c.byInstance[id.Instance]
	if old == c.self || (old != nil && old.identity.Incarnation >= id.Incarnation) {
		return
	}
	if old != nil {
		// The process was restarted: its earlier run is obsolete.
		c.forget(old)
	}
	member := newMemberState(runID, proto.CloneOf(id), now)
	c.byRunID[runID] = member
	c.byInstance[id.Instance] = member
	c.events = append(c.events, Event{Instance: id.Instance})
}

func (c *Core) updateIdentity(now time.Time, member *memberState, reported *memberv1.Identity) {
	id := proto.CloneOf(reported)
	id.Status = member.status()
	if c.lifecycle.fire(id, triggerFor(reported.Status)) != nil {
		return
	}
	if id.Status != member.status() {
		member.statusSince = now
	}
	member.identity = id
	c.events = append(c.events, Event{Instance: id.Instance})
}

// applyItems applies items of another run. Invariant: the map holds every item
// up to itemsVersion, and possibly newer ones that were pushed out of order.
func (c *Core) applyItems(now time.Time, member *memberState, d *memberv1.Delta) {
	if d.Full && d.To > member.itemsVersion {
		c.dropItemsUpTo(member, d.To)
	}
	for _, item := range d.Items {
		if item == nil || item.Version <= member.itemsVersion && !d.Full {
			continue
		}
		c.applyItem(now, member, item)
	}
	if d.Full && d.To > member.itemsVersion {
		member.purgedVersion = d.To
		member.itemsVersion = d.To
		return
	}
	if d.From <= member.itemsVersion {
		member.itemsVersion = max(member.itemsVersion, d.To)
	}
}

// dropItemsUpTo removes the items that a full map of the given version
// replaces.
func (c *Core) dropItemsUpTo(member *memberState, to uint64) {
	for key, item := range member.items {
		if item.Version > to {
			continue
		}
		delete(member.items, key)
		delete(member.deleted, key)
		c.events = append(c.events, Event{Instance: member.identity.Instance, Key: key, Deleted: true})
	}
}

func (c *Core) applyItem(now time.Time, member *memberState, item *memberv1.Item) {
	old := member.items[item.Key]
	if old != nil && old.Version >= item.Version {
		return
	}
	if old == nil && len(member.items) >= maxItems {
		return
	}
	member.items[item.Key] = item
	delete(member.deleted, item.Key)
	if item.Deleted {
		member.deleted[item.Key] = now
	}
	c.events = append(c.events, Event{Instance: member.identity.Instance, Key: item.Key, Value: item.Value, Deleted: item.Deleted})
}
