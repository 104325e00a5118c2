package consensus

import (
	"flag"
	"math/rand/v2"
	"os"
	"testing"

	"pgregory.net/rapid"
)

// Limits of a random schedule.
const (
	scheduleSteps  = 60
	maxInFlight    = 200
	maxOperations  = 24
	recoveryRounds = 200
	// defaultSchedules applies if GALENA_SCHEDULES is not set.
	defaultSchedules = "300"
	defaultSeed      = "1"
)

func TestMain(m *testing.M) {
	flag.Parse()
	schedules := os.Getenv("GALENA_SCHEDULES")
	if schedules == "" {
		schedules = defaultSchedules
	}
	set := func(name, value string) {
		isSet := false
		flag.Visit(func(f *flag.Flag) { isSet = isSet || f.Name == name })
		if !isSet {
			_ = flag.Set(name, value) // rapid registers these flags
		}
	}
	set("rapid.seed", defaultSeed)
	set("rapid.checks", schedules)
	set("rapid.nofailfile", "true")
	os.Exit(m.Run())
}

// TestSchedules checks under random schedules of faults that replicas never commit
// different entries at the same index, that each term has at most one leader, that
// the history of client operations is linearizable, and that the group recovers
// once the faults end.
func TestSchedules(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		c := newCluster(t, rapid.SampledFrom([]int{1, 3, 3, 5}).Draw(t, "voters"))
		c.electFirst()
		for range scheduleSteps {
			c.randomStep()
		}
		c.heal()
		c.check(c.linearizable(), "history is not linearizable")
	})
}

// electFirst makes the first replica the leader, so that operations succeed from
// the start of a schedule.
func (c *cluster) electFirst() {
	r := c.replicas[c.ids[0]]
	for range 2 * r.node.cfg.ElectionTicks {
		r.node.Tick()
		c.processReady(r)
	}
	for range 40 {
		if len(c.network) > 0 {
			c.deliver(c.removeMessage(0))
		}
	}
}

// randomStep performs one random event.
func (c *cluster) randomStep() {
	action := rapid.IntRange(0, 99).Draw(c.t, "action")
	if action < 45 {
		c.runPartition()
		return
	}
	r := c.replicas[rapid.SampledFrom(c.ids).Draw(c.t, "replica")]
	if r.node == nil {
		if !r.diskLost {
			c.start(r)
		}
		return
	}
	switch {
	case action < 65:
		c.randomRequest(action)
	case action < 70:
		c.compact(r)
	case action < 75:
		if l := c.anyLeader(); l != nil {
			c.proposeRandomChange(l)
		}
	case action < 88:
		r.writesUntilCrash = rapid.IntRange(0, 6).Draw(c.t, "writes")
	case action < 94:
		c.crash(r)
	case action < 95:
		c.loseDisk(r)
	default:
		if l := c.anyLeader(); l != nil {
			_ = l.node.TransferLeadership(r.id) // rejections are expected
			c.processReady(l)
		}
	}
}

// runPartition runs a random subset of the replicas for a while, with clock drift
// and with lost, duplicated and reordered messages. Messages to or from the other
// replicas stay in flight.
func (c *cluster) runPartition() {
	rng := rand.New(rand.NewPCG(rapid.Uint64().Draw(c.t, "burst"), 2))
	connected := make(map[string]bool)
	for _, id := range c.ids {
		connected[id] = rng.IntN(4) > 0
	}
	lossPercent := []int{0, 0, 10, 50}[rng.IntN(4)]
	for range 1 + rng.IntN(12) {
		for _, id := range c.ids {
			if r := c.replicas[id]; connected[id] && r.node != nil && rng.IntN(4) > 0 {
				r.node.Tick()
				c.processReady(r)
			}
		}
		for budget := rng.IntN(60); budget > 0 && len(c.network) > 0; budget-- {
			c.handleMessage(rng, connected, lossPercent)
		}
	}
}

// handleMessage delivers, duplicates or drops one message within the partition,
// sometimes out of order. If there is none, it limits the messages in flight.
func (c *cluster) handleMessage(rng *rand.Rand, connected map[string]bool, lossPercent int) {
	i := 0
	if rng.IntN(3) == 0 {
		i = rng.IntN(len(c.network))
	}
	for range c.network {
		if m := c.network[i]; connected[m.From] && connected[m.To] {
			break
		}
		i = (i + 1) % len(c.network)
	}
	m := c.network[i]
	switch outcome := rng.IntN(100); {
	case !connected[m.From] || !connected[m.To]:
		if len(c.network) > maxInFlight {
			c.removeMessage(0)
		}
	case outcome < lossPercent:
		c.removeMessage(i)
	case outcome < lossPercent+5:
		c.deliver(m)
	default:
		c.deliver(c.removeMessage(i))
	}
}

func (c *cluster) randomRequest(action int) {
	l := c.anyLeader()
	if l == nil || len(c.ops) >= maxOperations {
		return
	}
	if action%2 == 0 {
		c.write(l)
		return
	}
	c.read(l)
}

// anyLeader returns one of the replicas that consider themselves leader, or nil.
func (c *cluster) anyLeader() *replica {
	var leaders []*replica
	for _, id := range c.ids {
		if r := c.replicas[id]; r.node != nil && r.node.Role() == RoleLeader {
			leaders = append(leaders, r)
		}
	}
	if len(leaders) == 0 {
		return nil
	}
	return rapid.SampledFrom(leaders).Draw(c.t, "leader")
}

// heal ends all faults. A write and then a read must succeed, and the read must
// return the written value.
func (c *cluster) heal() {
	for _, id := range c.ids {
		r := c.replicas[id]
		r.writesUntilCrash = -1
		if r.node == nil && !r.diskLost {
			c.start(r)
		}
	}
	var write, read *operation
	for range recoveryRounds {
		c.runRound()
		l := c.newestLeader()
		switch {
		case l == nil:
		case write == nil || (!write.done && l.pendingWrites == nil):
			before := len(c.ops)
			if c.write(l); len(c.ops) > before {
				write = c.ops[before]
			}
		case write.done && read == nil:
			before := len(c.ops)
			if c.read(l); len(c.ops) > before {
				read = c.ops[before]
			}
		}
		if read != nil && read.done {
			c.check(read.output == write.value, "read %d after writing %d", read.output, write.value)
			return
		}
	}
	c.check(false, "the group did not recover after the faults ended")
}

// runRound ticks every replica once and delivers the messages in flight.
func (c *cluster) runRound() {
	for _, id := range c.ids {
		if r := c.replicas[id]; r.node != nil {
			r.node.Tick()
			c.processReady(r)
		}
	}
	for budget := 2000; len(c.network) > 0 && budget > 0; budget-- {
		c.deliver(c.removeMessage(0))
	}
}

// newestLeader returns the leader of the highest term, or nil.
func (c *cluster) newestLeader() *replica {
	var newest *replica
	for _, id := range c.ids {
		r := c.replicas[id]
		if r.node == nil || r.node.Role() != RoleLeader {
			continue
		}
		if newest == nil || r.node.Term() > newest.node.Term() {
			newest = r
		}
	}
	return newest
}
