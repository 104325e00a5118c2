package membership

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"google.golang.org/protobuf/proto"

	"github.com/galenaarch/galenaarch/api/memberv1"
)

// Bytes of the HTTP headers of a request and its response between two
// instances, and of the TCP and IP headers of a round trip.
const (
	requestHeaderBytes  = 250
	responseHeaderBytes = 120
	packetHeaderBytes   = 2 * 52
)

// simulation runs cores that exchange messages in virtual time.
type simulation struct {
	now    time.Time
	random *rand.Rand
	cores  []*Core
	byURL  map[string]*Core
	// Instances that are down refuse connections; unresponsive ones do not
	// respond in time.
	down, unresponsive map[*Core]bool
	// partitioned reports whether two instances cannot reach each other.
	partitioned func(a, b *Core) bool
	queue       timers
	sent        map[*Core]int
	sequence    int
}

type timer struct {
	dueAt    time.Time
	sequence int
	callback func()
}

type timers []timer

func (t timers) Len() int { return len(t) }
func (t timers) Less(i, j int) bool {
	return t[i].dueAt.Before(t[j].dueAt) || t[i].dueAt.Equal(t[j].dueAt) && t[i].sequence < t[j].sequence
}
func (t timers) Swap(i, j int) { t[i], t[j] = t[j], t[i] }
func (t *timers) Push(x any)   { *t = append(*t, x.(timer)) }
func (t *timers) Pop() any {
	last := (*t)[len(*t)-1]
	*t = (*t)[:len(*t)-1]
	return last
}

func newSimulation() *simulation {
	return &simulation{
		now: time.Unix(1000, 0), random: rand.New(rand.NewPCG(1, 2)), byURL: make(map[string]*Core),
		down: make(map[*Core]bool), unresponsive: make(map[*Core]bool), sent: make(map[*Core]int),
		partitioned: func(a, b *Core) bool { return false },
	}
}

func testMember(i int, region string, incarnation uint64) Member {
	return Member{
		Instance: fmt.Sprintf("entry-%03d", i), FailureDomain: fmt.Sprintf("%s-%d", region, i%4), Region: region,
		ClientURL: fmt.Sprintf("http://10.0.%d.%d:8080", i/256, i%256), PeerURL: fmt.Sprintf("http://10.0.%d.%d:8082", i/256, i%256),
		BackendURL: fmt.Sprintf("http://10.0.%d.%d:8081", i/256, i%256), Incarnation: incarnation,
	}
}

// start adds an instance that joins through the first one.
func (sim *simulation) start(i int, region string, incarnation uint64) *Core {
	m := testMember(i, region, incarnation)
	c := NewCore(m, []string{testMember(0, region, 0).PeerURL}, sim.now, rand.New(rand.NewPCG(uint64(i), incarnation)))
	sim.cores = append(sim.cores, c)
	sim.byURL[m.PeerURL] = c
	sim.after(time.Duration(sim.random.Int64N(int64(TickInterval))), func() { sim.tick(c) })
	return c
}

func (sim *simulation) after(d time.Duration, callback func()) {
	sim.sequence++
	heap.Push(&sim.queue, timer{sim.now.Add(d), sim.sequence, callback})
}

func (sim *simulation) tick(c *Core) {
	if sim.down[c] {
		return
	}
	if !sim.unresponsive[c] {
		sim.deliver(c, c.Tick(sim.now))
	}
	sim.after(TickInterval, func() { sim.tick(c) })
}

// deliver sends messages with a delay of one millisecond each way.
func (sim *simulation) deliver(from *Core, messages []Message) {
	for _, m := range messages {
		sim.after(time.Millisecond, func() { sim.receive(from, m) })
	}
}

func (sim *simulation) receive(from *Core, m Message) {
	to := sim.byURL[m.URL]
	switch {
	case sim.down[from]:
		return
	case to == nil || sim.down[to]:
		sim.after(time.Millisecond, func() { sim.deliver(from, from.HandleFailure(sim.now, m)) })
		return
	case sim.unresponsive[to] || sim.partitioned(from, to):
		sim.after(requestTimeout, func() { sim.deliver(from, from.HandleFailure(sim.now, m)) })
		return
	}
	if m.Exchange != nil {
		response := to.HandleExchange(sim.now, m.Exchange)
		sim.count(from, to, proto.Size(m.Exchange), proto.Size(response))
		sim.after(time.Millisecond, func() { sim.deliver(from, from.HandleResponse(sim.now, m, response)) })
		return
	}
	response := to.HandlePush(sim.now, m.Push)
	sim.count(from, to, proto.Size(m.Push), proto.Size(response))
	sim.deliver(to, to.Flush())
	sim.after(time.Millisecond, func() { sim.deliver(from, from.HandlePushResponse(sim.now, m, response)) })
}

func (sim *simulation) count(from, to *Core, request, response int) {
	sim.sent[from] += request + requestHeaderBytes + packetHeaderBytes
	sim.sent[to] += response + responseHeaderBytes + packetHeaderBytes
}

// run advances the virtual time. put publishes an item and sends the resulting
// pushes.
func (sim *simulation) run(d time.Duration) {
	end := sim.now.Add(d)
	for len(sim.queue) > 0 && !sim.queue[0].dueAt.After(end) {
		t := heap.Pop(&sim.queue).(timer)
		sim.now = t.dueAt
		t.callback()
	}
	sim.now = end
}

func (sim *simulation) put(c *Core, key, value string) {
	c.Put(key, []byte(value), true)
	sim.deliver(c, c.Flush())
}

func (sim *simulation) requireMembers(t *testing.T, want int, except ...*Core) {
	t.Helper()
	for _, c := range sim.cores {
		if !sim.down[c] && !contains(except, c) {
			require.Len(t, c.Members(sim.now), want, "as seen by %s", c.self.identity.Instance)
		}
	}
}

func contains(list []*Core, c *Core) bool {
	for _, other := range list {
		if other == c {
			return true
		}
	}
	return false
}

func itemValue(c *Core, instance, key string) string {
	item := c.Items(instance)[key]
	if item == nil || item.Deleted {
		return ""
	}
	return string(item.Value)
}

func newRegionSimulation(n int) *simulation {
	sim := newSimulation()
	for i := range n {
		sim.start(i, "midlands", 1)
	}
	sim.run(10 * time.Second)
	return sim
}

func TestMembersDiscoverEachOther(t *testing.T) {
	t.Parallel()
	for _, n := range []int{1, 2, 5, 40} {
		sim := newRegionSimulation(n)
		sim.requireMembers(t, n)
		for _, c := range sim.cores {
			require.True(t, c.SeesMajority(sim.now))
		}
	}
}

func TestUrgentItemIsPushedToAllMembers(t *testing.T) {
	t.Parallel()
	sim := newRegionSimulation(40)
	sim.put(sim.cores[7], "server/a", "present")
	sim.run(10 * time.Millisecond)
	for _, c := range sim.cores {
		require.Equal(t, "present", itemValue(c, "entry-007", "server/a"))
	}
}

// TestMemberDepartureIsDetected covers a crash, a member that is paused or whose
// host is lost, and a graceful leave.
func TestMemberDepartureIsDetected(t *testing.T) {
	t.Parallel()
	tests := []struct {
		name string
		fail func(sim *simulation, c *Core)
		// within is the time within which all others must know. A backend
		// server must stop receiving work within 3 s; the difference is the
		// margin for its own propagation.
		within time.Duration
	}{
		{"crashed", func(sim *simulation, c *Core) { sim.down[c] = true }, 2500 * time.Millisecond},
		{"unresponsive", func(sim *simulation, c *Core) { sim.unresponsive[c] = true }, 2900 * time.Millisecond},
		{"left", func(sim *simulation, c *Core) {
			c.Leave(sim.now)
			sim.deliver(c, c.Flush())
			sim.run(5 * time.Millisecond)
			sim.down[c] = true
		}, 10 * time.Millisecond},
	}
	for _, tt := range tests {
		for _, n := range []int{4, 5, 110} {
			t.Run(fmt.Sprintf("%s of %d", tt.name, n), func(t *testing.T) {
				t.Parallel()
				sim := newRegionSimulation(n)
				failed := sim.cores[n-1]
				tt.fail(sim, failed)
				sim.run(tt.within)
				sim.requireMembers(t, n-1, failed)
			})
		}
	}
}

func TestPausedMemberRejoins(t *testing.T) {
	t.Parallel()
	sim := newRegionSimulation(5)
	sim.put(sim.cores[4], "k", "1")
	sim.unresponsive[sim.cores[4]] = true
	sim.run(30 * time.Second)
	sim.put(sim.cores[1], "k", "newer")
	sim.run(time.Second)
	sim.requireMembers(t, 4, sim.cores[4])
	sim.unresponsive[sim.cores[4]] = false
	// A process that was paused trusts no member until another responds.
	sim.deliver(sim.cores[4], sim.cores[4].Tick(sim.now))
	require.Len(t, sim.cores[4].Members(sim.now), 1)
	require.False(t, sim.cores[4].SeesMajority(sim.now))
	sim.run(5 * time.Second)
	sim.requireMembers(t, 5)
	require.Equal(t, "newer", itemValue(sim.cores[4], "entry-001", "k"))
	require.False(t, sim.cores[4].RejoinedAt().IsZero(), "it learned that it was considered dead")
	require.True(t, sim.cores[0].RejoinedAt().IsZero())
}

// TestShareIsReleasedAfterOwnerLosesMajority: an instance that is partitioned
// off must have been without a majority for 2 s before the others take over its
// share of the limits.
func TestShareIsReleasedAfterOwnerLosesMajority(t *testing.T) {
	t.Parallel()
	for seed := range uint64(20) {
		sim := newSimulation()
		sim.random.IntN(int(seed) + 1) // shifts the phase of the ticks
		for i := range 5 {
			sim.start(i, "midlands", seed+1)
		}
		sim.run(10 * time.Second)
		isolated := sim.cores[seed%5]
		sim.partitioned = func(a, b *Core) bool { return a == isolated || b == isolated }
		const step = 100 * time.Millisecond
		var noMajoritySince time.Time
		released := false
		for range int(30 * time.Second / step) {
			sim.run(step)
			if isolated.SeesMajority(sim.now) {
				noMajoritySince = time.Time{}
			} else if noMajoritySince.IsZero() {
				noMajoritySince = sim.now
			}
			for _, c := range sim.cores {
				if c != isolated && c.ShareCount(sim.now) < 5 {
					released = true
					require.False(t, noMajoritySince.IsZero())
					require.GreaterOrEqual(t, sim.now.Sub(noMajoritySince), 2*time.Second)
				}
			}
		}
		require.True(t, released)
	}
}

func TestMinorityNeverSeesMajority(t *testing.T) {
	t.Parallel()
	sim := newRegionSimulation(5)
	minority := map[*Core]bool{sim.cores[0]: true, sim.cores[1]: true}
	sim.partitioned = func(a, b *Core) bool { return minority[a] != minority[b] }
	for range 6 {
		sim.run(5 * time.Minute)
		for _, c := range sim.cores {
			require.Equal(t, !minority[c], c.SeesMajority(sim.now), c.self.identity.Instance)
		}
	}
	sim.partitioned = func(a, b *Core) bool { return false }
	sim.run(30 * time.Second)
	sim.requireMembers(t, 5)
}

func TestRestartedMemberReplacesOldRun(t *testing.T) {
	t.Parallel()
	sim := newRegionSimulation(5)
	sim.put(sim.cores[4], "server/old", "1")
	sim.run(time.Second)
	sim.down[sim.cores[4]] = true
	sim.run(100 * time.Millisecond)
	restarted := sim.start(4, "midlands", 2)
	sim.run(5 * time.Second)
	sim.requireMembers(t, 5)
	for _, c := range sim.cores[:4] {
		require.Empty(t, itemValue(c, "entry-004", "server/old"))
		require.Equal(t, uint64(2), c.byInstance["entry-004"].identity.Incarnation)
	}
	// A delayed identity of an old run changes nothing.
	old := &memberv1.Delta{Run: sim.cores[4].self.runID, Identity: sim.cores[4].self.identity}
	restarted.HandlePush(sim.now, &memberv1.PushRequest{Deltas: []*memberv1.Delta{old}})
	sim.cores[0].HandlePush(sim.now, &memberv1.PushRequest{Deltas: []*memberv1.Delta{old}})
	require.Equal(t, uint64(2), sim.cores[0].byInstance["entry-004"].identity.Incarnation)
}

func TestRecordsStayBounded(t *testing.T) {
	t.Parallel()
	sim := newRegionSimulation(5)
	for incarnation := uint64(2); incarnation < 60; incarnation++ {
		sim.down[sim.cores[len(sim.cores)-1]] = true
		sim.start(4, "midlands", incarnation)
		sim.run(2 * time.Second)
	}
	// Instances with new names join and fail too.
	for i := 10; i < 40; i++ {
		sim.down[sim.start(i, "midlands", 1)] = true
		c := sim.start(i+100, "midlands", 1)
		sim.run(2 * time.Second)
		sim.down[c] = true
	}
	sim.run(forgetAfter + time.Minute)
	// Dead members outnumber live ones, so the control plane has to confirm the
	// survivors.
	for _, c := range sim.cores {
		c.Confirm(sim.now)
	}
	sim.run(confirmationTTL + time.Second)
	for _, c := range sim.cores[:4] {
		require.LessOrEqual(t, c.KnownCount(), 5)
	}
	sim.requireMembers(t, 5)
}

func TestMissedDeletionIsRecovered(t *testing.T) {
	t.Parallel()
	sim := newRegionSimulation(5)
	sim.put(sim.cores[0], "server/a", "1")
	sim.run(time.Second)
	isolated := sim.cores[4]
	sim.partitioned = func(a, b *Core) bool { return a == isolated || b == isolated }
	sim.cores[0].Delete("server/a", sim.now, true)
	sim.put(sim.cores[0], "server/b", "2")
	sim.run(3 * tombstoneTTL)
	require.Len(t, sim.cores[0].self.items, 1, "tombstones expire")
	sim.partitioned = func(a, b *Core) bool { return false }
	sim.run(20 * time.Second)
	require.Empty(t, itemValue(isolated, "entry-000", "server/a"))
	require.Equal(t, "2", itemValue(isolated, "entry-000", "server/b"))
}

func TestDelayedDeltasDoNotRegressItems(t *testing.T) {
	t.Parallel()
	sim := newRegionSimulation(3)
	c, runID := sim.cores[1], sim.cores[0].self.runID
	push := func(from, to uint64, full bool, items ...*memberv1.Item) {
		c.HandlePush(sim.now, &memberv1.PushRequest{Deltas: []*memberv1.Delta{{Run: runID, From: from, To: to, Full: full, Items: items}}})
	}
	push(0, 1, false, &memberv1.Item{Key: "a", Value: []byte("1"), Version: 1})
	push(4, 5, false, &memberv1.Item{Key: "a", Value: []byte("5"), Version: 5})
	require.Equal(t, "5", itemValue(c, "entry-000", "a"), "an item pushed out of order is applied")
	require.Equal(t, uint64(1), c.byRunID[runID].itemsVersion, "the versions between are still missing")
	tests := []struct {
		name     string
		from, to uint64
		full     bool
		item     *memberv1.Item
	}{
		{"old", 0, 1, false, &memberv1.Item{Key: "a", Value: []byte("1"), Version: 1}},
		{"intermediate", 1, 3, false, &memberv1.Item{Key: "a", Value: []byte("3"), Version: 3}},
		{"old deletion", 1, 4, false, &memberv1.Item{Key: "a", Deleted: true, Version: 4}},
		{"old full map", 0, 4, true, &memberv1.Item{Key: "a", Value: []byte("4"), Version: 4}},
	}
	for _, tt := range tests {
		push(tt.from, tt.to, tt.full, tt.item)
		require.Equal(t, "5", itemValue(c, "entry-000", "a"), tt.name)
	}
}

func TestCrossRegionMembership(t *testing.T) {
	t.Parallel()
	sim := newSimulation()
	for i := range 4 {
		sim.start(i, "midlands", 1)
	}
	seed := testMember(0, "midlands", 0).PeerURL
	for i := range 4 {
		m := testMember(100+i, "quebec", 1)
		c := NewCore(m, []string{seed}, sim.now, rand.New(rand.NewPCG(9, uint64(i))))
		sim.cores = append(sim.cores, c)
		sim.byURL[m.PeerURL] = c
		sim.after(time.Duration(i)*time.Millisecond, func() { sim.tick(c) })
	}
	sim.run(time.Minute)
	sim.requireMembers(t, 8)
	sim.put(sim.cores[0], "server/a", "1")
	sim.run(30 * time.Second)
	require.Equal(t, "1", itemValue(sim.cores[1], "entry-000", "server/a"))
	require.Empty(t, itemValue(sim.cores[5], "entry-000", "server/a"), "items are not replicated across regions")
	region := func(c *Core) string { return c.self.identity.Region }
	sim.partitioned = func(a, b *Core) bool { return region(a) != region(b) }
	sim.run(regionTimeout + 20*time.Second)
	sim.requireMembers(t, 4)
	sim.partitioned = func(a, b *Core) bool { return false }
	sim.run(time.Minute)
	sim.requireMembers(t, 8)
}
