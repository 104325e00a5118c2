package membership

import (
	"math/rand/v2"
	"slices"
	"strings"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/galenaarch/galenaarch/api/memberv1"
)

// Timing and limits of the protocol.
const (
	// TickInterval is the interval between calls of Core.Tick.
	TickInterval = 250 * time.Millisecond
	// suspectFailures is the number of consecutive failed requests after which a
	// member is suspected.
	suspectFailures = 2
	// suspectTimeout is how long a suspected member may refute the suspicion
	// before it is declared dead.
	suspectTimeout = 3 * time.Second
	// forgetAfter is how long the record of a member that is dead or has left
	// is kept.
	forgetAfter = 10 * time.Minute
	// shareReleaseDelay is the time after which a dead member's share of the
	// limits becomes available to the others.
	shareReleaseDelay = 5 * time.Second
	// tombstoneTTL is how long an owner remembers a deleted item. An instance
	// that missed the deletion receives the full map.
	tombstoneTTL = time.Minute
	// maxTickGap is the gap between ticks above which an instance no longer
	// trusts its own view of other members.
	maxTickGap = time.Second
	// regionExchangeTicks and rejoinTicks are the numbers of ticks between
	// exchanges with another region, and with a dead member or a seed address.
	regionExchangeTicks = 20
	rejoinTicks         = 8
	// regionTimeout is the time without an exchange after which a region is
	// considered unreachable.
	regionTimeout = 30 * time.Second
	// confirmationTTL is how long a confirmation by the control plane is valid.
	confirmationTTL = 5 * time.Second
	// smallRegionSize is the number of members up to which each member probes
	// all others.
	smallRegionSize = 5
	// largeRegionSize is the number of members above which a member gossips
	// only on every second tick.
	largeRegionSize = 24
	// probeTargets is the number of members that each member probes in a region
	// that is not small.
	probeTargets = 2
	// maxDeltaBytes is the total size in bytes at which no further delta is added
	// to an exchange response.
	maxDeltaBytes = 256 << 10
	// maxMembers bounds the members that an instance stores, maxItems the items
	// of each of them.
	maxMembers = 8192
	maxItems   = 16384
)

// Message is a request to another instance. Exactly one of Exchange and Push is
// set.
type Message struct {
	// URL is the peer listener of the receiver. RunID identifies the receiver's
	// process; 0 if unknown.
	URL      string
	RunID    uint64
	Exchange *memberv1.ExchangeRequest
	Push     *memberv1.PushRequest
}

// Event is a change of a member or of an item that it published.
type Event struct {
	Instance string
	// Key is empty for a change of the member itself.
	Key     string
	Value   []byte
	Deleted bool
}

// memberState is the state known of one run, that is one incarnation of an
// instance's process.
type memberState struct {
	runID    uint64
	identity *memberv1.Identity
	items    map[string]*memberv1.Item
	// itemsVersion is the version of the map. Deleted items up to purgedVersion
	// have been removed.
	itemsVersion  uint64
	purgedVersion uint64
	// deleted holds the time at which each deletion was seen, by item key.
	deleted map[string]time.Time

	// failures counts the consecutive failed requests to this member.
	failures int
	// statusSince is the local time at which the current status was set.
	statusSince time.Time
}

func newMemberState(runID uint64, id *memberv1.Identity, now time.Time) *memberState {
	return &memberState{
		runID:       runID,
		identity:    id,
		items:       make(map[string]*memberv1.Item),
		deleted:     make(map[string]time.Time),
		statusSince: now,
	}
}

func (m *memberState) status() memberv1.Status { return m.identity.Status }

// Core is the protocol state machine of one instance. It does not read a clock,
// has no source of randomness of its own and opens no connections. It is not
// safe for concurrent use.
type Core struct {
	self       *memberState
	byRunID    map[uint64]*memberState
	byInstance map[string]*memberState
	seeds      []string
	random     *rand.Rand
	lifecycle  *lifecycle

	ticks    int
	lastTick time.Time
	// ignoreFailuresUntil is the time until which failed probes are ignored.
	ignoreFailuresUntil time.Time
	// lastRegionContact is the time of the last successful exchange with each
	// other region.
	lastRegionContact map[string]time.Time
	// rejoinedAt is when this instance learned that others had considered it
	// dead.
	rejoinedAt time.Time
	// confirmedAt is when the control plane last confirmed this instance.
	confirmedAt time.Time
	// stale is true after a pause of this process until a message from another
	// member arrives.
	stale bool
	// events holds the changes since the last call of Events, urgentDeltas the
	// deltas that the next Flush pushes.
	events       []Event
	urgentDeltas []*memberv1.Delta
}

// NewCore returns the protocol state machine of an instance that joins through
// the peer URLs in seeds.
func NewCore(self Member, seeds []string, now time.Time, random *rand.Rand) *Core {
	id := self.identity()
	member := newMemberState(runIDOf(id), id, now)
	return &Core{
		self:              member,
		byRunID:           map[uint64]*memberState{member.runID: member},
		byInstance:        map[string]*memberState{id.Instance: member},
		seeds:             seeds,
		random:            random,
		lifecycle:         newLifecycle(),
		lastTick:          now,
		lastRegionContact: make(map[string]time.Time),
	}
}

// Put publishes an item of this instance. An urgent item is pushed to every
// member of the region immediately.
func (c *Core) Put(key string, value []byte, urgent bool) {
	c.setItem(&memberv1.Item{Key: key, Value: value}, urgent)
	delete(c.self.deleted, key)
}

// Delete removes an item of this instance.
func (c *Core) Delete(key string, now time.Time, urgent bool) {
	if old := c.self.items[key]; old == nil || old.Deleted {
		return
	}
	c.setItem(&memberv1.Item{Key: key, Deleted: true}, urgent)
	c.self.deleted[key] = now
}

// setItem stores an item of this instance under the next version. An urgent item
// is queued for the next Flush.
func (c *Core) setItem(item *memberv1.Item, urgent bool) {
	from := c.self.itemsVersion
	c.self.itemsVersion++
	item.Version = c.self.itemsVersion
	c.self.items[item.Key] = item
	if urgent {
		c.urgentDeltas = append(c.urgentDeltas, &memberv1.Delta{
			Run: c.self.runID, From: from, To: c.self.itemsVersion, Items: []*memberv1.Item{item},
		})
	}
}

// Drain announces to the others that this instance has started a graceful
// shutdown.
func (c *Core) Drain() {
	id := proto.CloneOf(c.self.identity)
	id.Count++
	id.Draining = true
	c.publishSelf(id)
}

// Leave announces to the others that this instance has left.
func (c *Core) Leave(now time.Time) {
	id := proto.CloneOf(c.self.identity)
	if c.lifecycle.fire(id, triggerLeave) != nil {
		return
	}
	c.self.statusSince = now
	c.publishSelf(id)
}

// publishSelf replaces the identity of this instance, records the change as an
// event and queues the identity for the next Flush.
func (c *Core) publishSelf(id *memberv1.Identity) {
	c.self.identity = id
	c.events = append(c.events, Event{Instance: id.Instance})
	c.pushIdentity(c.self)
}

// pushIdentity queues the identity of a run for the next Flush.
func (c *Core) pushIdentity(member *memberState) {
	c.urgentDeltas = append(c.urgentDeltas, &memberv1.Delta{Run: member.runID, Identity: member.identity, From: member.itemsVersion, To: member.itemsVersion})
}

// Events returns the changes since the last call.
func (c *Core) Events() []Event {
	events := c.events
	c.events = nil
	return events
}

// Members lists this instance and those considered alive and reachable, sorted by
// instance name. While stale is set, it lists only this instance.
func (c *Core) Members(now time.Time) []Member {
	return c.list(func(m *memberState) bool { return c.isReachable(m, now) })
}

// Unreachable lists the instances that are unreachable or considered dead and have
// not left. For an instance that is partitioned off, these may still be
// serving.
func (c *Core) Unreachable(now time.Time) []Member {
	return c.list(func(m *memberState) bool { return !c.isReachable(m, now) && m.status() != memberv1.Status_STATUS_LEFT })
}

func (c *Core) list(include func(member *memberState) bool) []Member {
	var list []Member
	for _, member := range c.byInstance {
		if include(member) {
			list = append(list, memberOf(member.identity))
		}
	}
	slices.SortFunc(list, func(a, b Member) int { return strings.Compare(a.Instance, b.Instance) })
	return list
}

// isReachable reports whether a member is considered alive and reachable.
func (c *Core) isReachable(member *memberState, now time.Time) bool {
	if member == c.self {
		return true
	}
	if c.stale || member.status() != memberv1.Status_STATUS_ALIVE {
		return false
	}
	return c.inRegion(member) || now.Sub(c.lastRegionContact[member.identity.Region]) < regionTimeout
}

func (c *Core) inRegion(m *memberState) bool { return m.identity.Region == c.self.identity.Region }

// SeesMajority reports whether this instance reaches a majority of the members that
// it knows. Members that left do not count; dead ones do until their records
// are removed.
func (c *Core) SeesMajority(now time.Time) bool {
	alive, known := 0, 0
	for _, member := range c.byInstance {
		if member.status() == memberv1.Status_STATUS_LEFT {
			continue
		}
		known++
		if c.isReachable(member, now) {
			alive++
		}
	}
	return 2*alive > known
}

// ShareCount counts the instances among which limits are divided: those that may
// still act as members. A member that has been considered dead for
// shareReleaseDelay does not act as one, since it has been without a majority
// for longer than that.
func (c *Core) ShareCount(now time.Time) int {
	count := 0
	for _, member := range c.byInstance {
		status := member.status()
		if status <= memberv1.Status_STATUS_SUSPECT || (status == memberv1.Status_STATUS_DEAD && now.Sub(member.statusSince) < shareReleaseDelay) {
			count++
		}
	}
	return count
}

// RejoinedAt returns when this instance last learned that the others had
// considered it dead, so that its share of the limits may be in use by others;
// zero for never.
func (c *Core) RejoinedAt() time.Time { return c.rejoinedAt }

// Confirm records that the control plane confirmed this instance. It is then
// not considered partitioned off even if it reaches few members.
func (c *Core) Confirm(now time.Time) { c.confirmedAt = now }

// KnownCount returns the number of member records, including those of dead members.
func (c *Core) KnownCount() int { return len(c.byRunID) }

// Items returns the items that a member published, or nil.
func (c *Core) Items(instance string) map[string]*memberv1.Item {
	if member := c.byInstance[instance]; member != nil {
		return member.items
	}
	return nil
}
