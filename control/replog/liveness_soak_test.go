package replog

import (
	"context"
	"encoding/binary"
	"errors"
	"fmt"
	"log/slog"
	"math/rand/v2"
	"os"
	"slices"
	"strconv"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/galenaarch/galenaarch/consensus"
)

// Parameters of TestGroupServesAfterFaults, in virtual time.
const (
	// livenessSeeds is the number of seeds in CI.
	livenessSeeds = 4
	// livenessRounds is the number of series of faults for each seed.
	livenessRounds = 5
)

// livenessSite is a size of the group with the users' bounds for it.
type livenessSite struct {
	nodes, tolerated int
	// catchUp is how long a replica that returns with an empty disk still counts as lost
	// (catch_up_s).
	catchUp time.Duration
	// serve is the time within which a read and a change succeed once all faults are over
	// (contact_ms), start that of the first acknowledgement (ack_ms).
	serve, start time.Duration
}

var livenessSites = []livenessSite{
	{nodes: 5, tolerated: 1, catchUp: 4 * time.Second, serve: 3 * time.Second, start: 4 * time.Second},
	{nodes: 9, tolerated: 2, catchUp: 6 * time.Second, serve: 5 * time.Second, start: 6 * time.Second},
}

// livenessGroup is a group of simulated nodes with an operator.
type livenessGroup struct {
	t        *testing.T
	net      *simNet
	random   *rand.Rand
	root     string
	settings Settings
	site     livenessSite
	replaced int

	// mu guards the fields below. lost counts the nodes whose disk counts as lost now; claimed
	// holds those that a fault has ended and will start again, or has removed.
	mu      sync.Mutex
	nodes   []*simNode
	lost    int
	claimed map[*simNode]bool
	// faults counts the faults in progress; lastFault is when one last began or ended.
	faults    int
	lastFault time.Time

	// acked is the highest acknowledged version, sent the highest one sent.
	acked, sent atomic.Uint64
	wg          sync.WaitGroup
	events      []string
	eventsMu    sync.Mutex
	startedAt   time.Time
}

func (g *livenessGroup) note(format string, args ...any) {
	g.eventsMu.Lock()
	defer g.eventsMu.Unlock()
	g.events = append(g.events, fmt.Sprintf("%8.3f s  ", time.Since(g.startedAt).Seconds())+fmt.Sprintf(format, args...))
}

// members lists the nodes that have not been replaced.
func (g *livenessGroup) members() []*simNode {
	g.mu.Lock()
	defer g.mu.Unlock()
	return slices.Clone(g.nodes)
}

// seeds are the URLs of the first three nodes, or of all if there are fewer.
func (g *livenessGroup) seeds() []Peer {
	var seeds []Peer
	nodes := g.members()
	for _, n := range nodes[:min(3, len(nodes))] {
		seeds = append(seeds, Peer{URL: n.url})
	}
	return seeds
}

func (g *livenessGroup) startNode(n *simNode, mayBootstrap bool) {
	s := g.settings
	s.Replicas, s.MayBootstrap = g.seeds(), mayBootstrap
	n.start(s)
	g.mu.Lock()
	defer g.mu.Unlock()
	delete(g.claimed, n)
}

// claim reports whether a fault may end a node: no other one has.
func (g *livenessGroup) claim(n *simNode) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.claimed[n] {
		return false
	}
	g.claimed[n] = true
	return true
}

// claimDisk is claim for a fault that loses the disk: no more are lost than tolerated.
func (g *livenessGroup) claimDisk(n *simNode) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.claimed[n] || g.lost >= g.site.tolerated {
		return false
	}
	g.claimed[n] = true
	g.lost++
	return true
}

// recoverDisk ends the loss of a disk once its node has run for catchUp without another
// fault: a node that is cut off, or that has no leader, cannot catch up.
func (g *livenessGroup) recoverDisk() {
	for {
		g.mu.Lock()
		left := time.Until(g.lastFault.Add(g.site.catchUp))
		if left <= 0 && g.faults == 0 {
			g.lost--
			g.mu.Unlock()
			return
		}
		g.mu.Unlock()
		time.Sleep(max(left, 10*time.Millisecond))
	}
}

// newNode adds a node with an empty disk.
func (g *livenessGroup) newNode() *simNode {
	number := len(g.members()) + g.replaced
	n := newSimNode(g.net, "c"+strconv.Itoa(number), "http://10.0.0."+strconv.Itoa(number+1)+":7700", g.root, g.random.Uint64())
	if err := n.newDisk(); err != nil {
		g.t.Fatal(err)
	}
	return n
}

// callLeader calls a node as an operator does: the node passes the call on to the leader.
func (g *livenessGroup) callLeader(ctx context.Context, n *simNode, call func(context.Context, *Group) error) error {
	ctx, cancel := context.WithTimeout(ctx, simOperatorTimeout)
	defer cancel()
	for {
		replica := n.service.group.Load()
		if replica == nil {
			return errSimRefused
		}
		err := call(ctx, replica)
		var notLeader *NotLeaderError
		if err == nil || ctx.Err() != nil {
			return err
		}
		if errors.As(err, &notLeader) && notLeader.LeaderURL != "" {
			attempt, stop := context.WithTimeout(ctx, simLeaderTimeout)
			if err = g.callRemote(attempt, n, notLeader.LeaderURL, call); err == nil {
				stop()
				return nil
			}
			stop()
		}
		if sleepOrDone(ctx, 40*time.Millisecond) != nil {
			return err
		}
	}
}

func (g *livenessGroup) callRemote(ctx context.Context, from *simNode, url string, call func(context.Context, *Group) error) error {
	to := g.net.node(url)
	if to == nil || to.off() || !g.net.passes(from.url, url) {
		return errors.Join(errSimTimeout, sleepOrDone(ctx, simDialTimeout))
	}
	if err := sleepOrDone(ctx, g.net.delay()+g.net.delay()); err != nil {
		return err
	}
	replica := to.service.group.Load()
	if replica == nil {
		return errSimRefused
	}
	if err := call(ctx, replica); err != nil {
		return err
	}
	return sleepOrDone(ctx, g.net.delay())
}

// callAny tries nodes in random order until one answers or the time is over.
func (g *livenessGroup) callAny(limit time.Duration, call func(context.Context, *Group) error) error {
	ctx, cancel := context.WithTimeout(context.Background(), limit)
	defer cancel()
	pause := 50 * time.Millisecond
	for {
		nodes := g.members()
		n := nodes[g.net.intN(len(nodes))]
		err := errSimTimeout
		if n.off() {
			_ = sleepOrDone(ctx, time.Second)
		} else {
			err = g.callLeader(ctx, n, call)
		}
		if err == nil {
			return nil
		}
		if sleepOrDone(ctx, pause) != nil {
			return err
		}
		pause = min(2*pause, 400*time.Millisecond)
	}
}

func (n *simNet) intN(k int) int {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.random.IntN(k)
}

// change sends the next version until it is acknowledged.
func (g *livenessGroup) change(limit time.Duration) error {
	version := g.sent.Add(1)
	err := g.callAny(limit, func(ctx context.Context, replica *Group) error {
		_, err := replica.Propose(ctx, func(int64) ([]byte, error) { return binary.BigEndian.AppendUint64(nil, version), nil })
		return err
	})
	for acked := g.acked.Load(); err == nil && acked < version && !g.acked.CompareAndSwap(acked, version); acked = g.acked.Load() {
	}
	return err
}

// read reads the state. What was acknowledged before must be in it.
func (g *livenessGroup) read(limit time.Duration) error {
	return g.callAny(limit, func(ctx context.Context, replica *Group) error {
		before := g.acked.Load()
		if err := replica.Barrier(ctx); err != nil {
			return err
		}
		if version := replica.machine.(*newest).version.Load(); version < before {
			g.t.Errorf("read version %d, %d was acknowledged before", version, before)
		}
		return nil
	})
}

// livenessFault is a fault: begin strikes, end heals.
type livenessFault func(g *livenessGroup)

// pick returns a random node.
func (g *livenessGroup) pick() *simNode {
	nodes := g.members()
	return nodes[g.random.IntN(len(nodes))]
}

// leader returns the node that leads, or nil.
func (g *livenessGroup) leader() *simNode {
	for _, n := range g.members() {
		if r := n.service.group.Load(); r != nil && r.Status().Role == consensus.RoleLeader {
			return n
		}
	}
	return nil
}

// pickLeader returns the node that leads, or a random one.
func (g *livenessGroup) pickLeader() *simNode {
	if leader := g.leader(); leader != nil && g.random.IntN(4) > 0 {
		return leader
	}
	return g.pick()
}

func (g *livenessGroup) between(least, most time.Duration) time.Duration {
	return least + time.Duration(g.random.Int64N(int64(most-least)))
}

// background runs the second half of a fault.
func (g *livenessGroup) background(f func()) {
	g.countFault(1)
	g.wg.Go(func() {
		defer g.countFault(-1)
		f()
	})
}

func (g *livenessGroup) countFault(n int) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.faults += n
	g.lastFault = time.Now()
}

// recoverDiskLater restarts a node with an empty disk after a time.
func (g *livenessGroup) recoverDiskLater(n *simNode, after time.Duration) {
	g.wg.Go(func() {
		time.Sleep(after)
		g.startNode(n, false)
		g.note("%s starts with an empty disk", n.name)
		g.countFault(0)
		g.recoverDisk()
	})
}

// restart starts a node again after a time.
func (g *livenessGroup) restart(n *simNode, after time.Duration) {
	g.background(func() {
		time.Sleep(after)
		g.startNode(n, false)
		g.note("%s starts", n.name)
	})
}

func (g *livenessGroup) lose(power bool, nodes ...*simNode) {
	var wg sync.WaitGroup
	for _, n := range nodes {
		if !g.claim(n) {
			continue
		}
		after := g.between(50*time.Millisecond, 1500*time.Millisecond)
		wg.Go(func() {
			if power {
				if err := n.losePower(); err != nil {
					g.t.Error(err)
				}
			} else {
				n.end(false)
			}
			g.note("%s ends, power lost %v", n.name, power)
		})
		wg.Wait()
		g.restart(n, after)
	}
}

// loseDisk empties the disk of a node, if that many losses are tolerated now.
func (g *livenessGroup) loseDisk(n *simNode, power bool) {
	if !g.claimDisk(n) {
		return
	}
	n.end(false)
	if power {
		n.mu.Lock()
		n.powerOff = true
		n.mu.Unlock()
	}
	if err := n.newDisk(); err != nil {
		g.t.Error(err)
	}
	g.note("%s loses its disk", n.name)
	after := g.between(100*time.Millisecond, 2*time.Second)
	g.recoverDiskLater(n, after)
}

// replace ends a node for good, if that many losses are tolerated now; another one comes after a
// time.
func (g *livenessGroup) replace(old *simNode, after time.Duration) {
	if !g.claimDisk(old) {
		return
	}
	old.end(g.random.IntN(2) == 0)
	old.mu.Lock()
	old.powerOff = true
	old.mu.Unlock()
	g.replaced++
	next := g.newNode()
	g.claim(next)
	g.mu.Lock()
	g.nodes[slices.Index(g.nodes, old)] = next
	g.mu.Unlock()
	g.note("%s is gone for good, %s comes", old.name, next.name)
	g.recoverDiskLater(next, after)
}

var livenessFaults = map[string]livenessFault{
	"kill leader":      func(g *livenessGroup) { g.lose(false, g.pickLeader()) },
	"kill all":         func(g *livenessGroup) { g.lose(false, g.members()...) },
	"power all":        func(g *livenessGroup) { g.lose(true, g.members()...) },
	"power some":       func(g *livenessGroup) { g.lose(true, g.pick(), g.pick(), g.pickLeader()) },
	"lose disk":        func(g *livenessGroup) { g.loseDisk(g.pick(), true) },
	"lose leader disk": func(g *livenessGroup) { g.loseDisk(g.pickLeader(), false) },
	"lose disks": func(g *livenessGroup) {
		for range g.site.tolerated {
			g.loseDisk(g.pick(), true)
		}
	},
	"lose disk, power all": func(g *livenessGroup) {
		g.loseDisk(g.pick(), true)
		g.lose(true, g.members()...)
	},
	"replace": func(g *livenessGroup) { g.replace(g.pick(), g.between(500*time.Millisecond, 2*time.Second)) },
	"terminate one by one": func(g *livenessGroup) {
		nodes := g.members()
		g.random.Shuffle(len(nodes), func(i, j int) { nodes[i], nodes[j] = nodes[j], nodes[i] })
		pause := g.between(100*time.Millisecond, time.Second)
		g.background(func() {
			for _, n := range nodes {
				if g.claim(n) {
					n.end(true)
					g.startNode(n, false)
				}
				time.Sleep(pause)
			}
		})
	},
	"halves": func(g *livenessGroup) {
		nodes := g.members()
		g.random.Shuffle(len(nodes), func(i, j int) { nodes[i], nodes[j] = nodes[j], nodes[i] })
		g.cut(nodes[:len(nodes)/2], nodes[len(nodes)/2:], true, g.between(time.Second, 12*time.Second))
	},
	"cut off leader": func(g *livenessGroup) {
		leader := g.pickLeader()
		others := slices.DeleteFunc(g.members(), func(n *simNode) bool { return n == leader })
		g.cut([]*simNode{leader}, others, g.random.IntN(2) == 0, g.between(time.Second, 6*time.Second))
	},
	"silent connections": func(g *livenessGroup) {
		g.net.silenceConnections([]float64{0.3, 1}[g.random.IntN(2)])
		g.note("connections fall silent")
	},
	"packet loss": func(g *livenessGroup) {
		loss := []float64{0.03, 0.1}[g.random.IntN(2)]
		g.net.mu.Lock()
		g.net.loss = loss
		g.net.mu.Unlock()
		g.note("packet loss of %v", loss)
		for_ := g.between(time.Second, 6*time.Second)
		g.background(func() {
			time.Sleep(for_)
			g.net.mu.Lock()
			g.net.loss = 0
			g.net.mu.Unlock()
		})
	},
	"stalled disk": func(g *livenessGroup) {
		n := g.pickLeader()
		for_ := g.between(500*time.Millisecond, 4*time.Second)
		n.disk.Stall(for_)
		g.note("the disk of %s stalls for %v", n.name, for_)
		g.background(func() { time.Sleep(for_) })
	},
	"full disk": func(g *livenessGroup) {
		n := g.pickLeader()
		for_ := g.between(500*time.Millisecond, 4*time.Second)
		disk := n.disk
		disk.SetFull(true)
		g.note("the disk of %s is full for %v", n.name, for_)
		g.background(func() {
			time.Sleep(for_)
			disk.SetFull(false)
		})
	},
}

// cut separates two sets of nodes for a time, in one direction or both.
func (g *livenessGroup) cut(left, right []*simNode, both bool, duration time.Duration) {
	set := func(cut bool) {
		for _, a := range left {
			for _, b := range right {
				g.net.setCut(a.url, b.url, cut)
				if both {
					g.net.setCut(b.url, a.url, cut)
				}
			}
		}
	}
	g.note("cut between %d and %d nodes for %v, both ways %v", len(left), len(right), duration, both)
	set(true)
	g.background(func() {
		time.Sleep(duration)
		set(false)
		g.note("cut healed")
	})
}

// newLivenessGroup starts a group of nodes within 300 ms.
func newLivenessGroup(t *testing.T, seed uint64, site livenessSite) *livenessGroup {
	g := newUnstartedGroup(t, seed, site)
	for _, n := range g.nodes {
		g.startLater(n, func() time.Duration { return time.Duration(g.net.intN(300)) * time.Millisecond })
	}
	return g
}

// startLater starts a node for the first time after a delay.
func (g *livenessGroup) startLater(n *simNode, delay func() time.Duration) {
	g.claim(n)
	g.background(func() {
		time.Sleep(delay())
		g.startNode(n, true)
		g.note("%s starts for the first time", n.name)
	})
}

// newUnstartedGroup prepares a group of nodes.
func newUnstartedGroup(t *testing.T, seed uint64, site livenessSite) *livenessGroup {
	logger := slog.New(slog.DiscardHandler)
	if os.Getenv("GALENA_SOAK_LOG") != "" {
		logger = slog.New(slog.NewTextHandler(os.Stderr, nil))
	}
	g := &livenessGroup{
		t: t, net: newSimNet(seed), random: rand.New(rand.NewPCG(seed, 2)), root: t.TempDir(), site: site, startedAt: time.Now(), claimed: make(map[*simNode]bool),
		settings: Settings{Group: "main", DynamicMembership: true, ToleratedLosses: site.tolerated, CatchUpTime: site.catchUp, LeaderWait: -1, SnapshotThreshold: 16, Logger: logger},
	}
	for range site.nodes {
		n := g.newNode()
		g.nodes = append(g.nodes, n)
	}
	return g
}

// close ends all nodes, and logs the events of a failed test.
func (g *livenessGroup) close() {
	g.wg.Wait()
	for _, n := range g.members() {
		n.end(false)
	}
	if g.t.Failed() {
		for _, e := range g.events {
			g.t.Log(e)
		}
	}
}

// calm requires that the group serves within a time.
func (g *livenessGroup) calm(limit time.Duration) bool {
	began := time.Now()
	err := g.change(limit)
	if err == nil {
		err = g.read(limit - time.Since(began))
	}
	if err != nil {
		g.t.Errorf("%v after the last fault neither a change nor a read succeeds: %v", limit, err)
		for _, n := range g.members() {
			if r := n.service.group.Load(); r != nil {
				s := r.Status()
				g.note("%s: %s of term %d, leader %q, last entry %d, committed %d, failure %v, members %v", r.ID(), s.Role, s.Term, s.Leader, s.LastIndex, s.CommitIndex, r.Err(), s.Membership)
			}
		}
		return false
	}
	g.note("served %v after the last fault", time.Since(began))
	return true
}

// awaitFaults waits until all faults are over and all nodes run.
func (g *livenessGroup) awaitFaults() {
	for {
		g.mu.Lock()
		over := g.faults == 0
		for _, n := range g.nodes {
			over = over && !g.claimed[n]
		}
		g.mu.Unlock()
		if over {
			return
		}
		time.Sleep(time.Millisecond)
	}
}

// run plays series of faults that overlap, and requires after each that the group serves.
func (g *livenessGroup) run() {
	names := slices.Sorted(func(yield func(string) bool) {
		for name := range livenessFaults {
			if !yield(name) {
				return
			}
		}
	})
	if !g.calm(g.site.start) {
		return
	}
	for round := range livenessRounds {
		if round == 0 {
			livenessFaults["lose disks"](g)
		}
		stop := make(chan struct{})
		var operator sync.WaitGroup
		operator.Go(func() {
			for {
				select {
				case <-stop:
					return
				default:
					_ = g.change(g.site.serve) // it is sent again with a higher version
					time.Sleep(100 * time.Millisecond)
				}
			}
		})
		for range 1 + g.random.IntN(6) {
			name := names[g.random.IntN(len(names))]
			g.note("fault: %s", name)
			livenessFaults[name](g)
			time.Sleep(g.between(time.Millisecond, 2*time.Second))
		}
		close(stop)
		g.awaitFaults()
		ok := g.calm(g.site.serve)
		g.wg.Wait()
		operator.Wait()
		if !ok {
			return
		}
	}
}

// TestGroupServesAfterFaults guards against a group of which a majority runs with its disks, and
// that serves neither reads nor changes: faults come in series and overlap, and no more disks
// are lost at a time than the settings tolerate. GALENA_SOAK_SEED and GALENA_SOAK_SEEDS select
// the seeds.
func TestGroupServesAfterFaults(t *testing.T) {
	first, count := soakSeeds(t)
	for seed := first; seed < first+count; seed++ {
		for _, site := range livenessSites {
			t.Run(fmt.Sprintf("%d nodes, seed %d", site.nodes, seed), func(t *testing.T) {
				t.Parallel()
				synctest.Test(t, func(t *testing.T) {
					g := newLivenessGroup(t, seed, site)
					defer g.close()
					g.run()
				})
			})
		}
	}
}

func soakSeeds(t *testing.T) (first, count uint64) {
	first, count = 1, livenessSeeds
	for name, value := range map[string]*uint64{"GALENA_SOAK_SEED": &first, "GALENA_SOAK_SEEDS": &count} {
		if text := os.Getenv(name); text != "" {
			n, err := strconv.ParseUint(text, 10, 64)
			if err != nil {
				t.Fatal(err)
			}
			*value = n
		}
	}
	return first, count
}

// TestReplacedReplicasDoNotOutnumberOthers guards against voters that are gone for good and still
// count: one node after the other is replaced, each once the successor of the one before no longer counts as lost,
// and leaders change in between, until those that are gone deny the others a majority.
func TestReplacedReplicasDoNotOutnumberOthers(t *testing.T) {
	const downTime = 200 * time.Millisecond
	for _, site := range livenessSites {
		t.Run(fmt.Sprint(site.nodes), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				g := newLivenessGroup(t, 1, site)
				defer g.close()
				if !g.calm(site.start) {
					return
				}
				time.Sleep(site.catchUp)
				for range 2 * site.nodes {
					leader := g.leader()
					leader.end(false)
					time.Sleep(downTime)
					g.startNode(leader, false)
					time.Sleep(site.catchUp)
					nodes := slices.DeleteFunc(g.members(), func(n *simNode) bool { return n == g.leader() })
					g.replace(nodes[0], time.Second)
					g.wg.Wait()
					if !g.calm(site.serve) {
						return
					}
				}
			})
		})
	}
}

// TestGroupServesSoonAfterConnectionsFallSilent guards against messages that wait behind connections
// whose packets are lost for good, one after the other, while new connections work.
func TestGroupServesSoonAfterConnectionsFallSilent(t *testing.T) {
	for _, site := range livenessSites {
		t.Run(fmt.Sprint(site.nodes), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				g := newLivenessGroup(t, 1, site)
				defer g.close()
				if !g.calm(site.start) {
					return
				}
				for range 40 {
					livenessFaults["kill all"](g)
					g.wg.Wait()
					time.Sleep(g.between(site.catchUp, 2*site.catchUp))
					for range 3 {
						g.net.silenceConnections(1)
						time.Sleep(g.between(0, time.Second))
					}
					if !g.calm(site.serve) {
						return
					}
				}
			})
		})
	}
}

// TestGroupIsFoundedThoughReplicasRestart guards against a group that is never founded: settings allow
// that at the first start only, and the process of the founding replica, or of any other, ends
// before it is done.
func TestGroupIsFoundedThoughReplicasRestart(t *testing.T) {
	const firstStartTime = 500 * time.Millisecond
	for _, site := range livenessSites {
		for seed := range uint64(20) {
			t.Run(fmt.Sprintf("%d nodes, seed %d", site.nodes, seed), func(t *testing.T) {
				t.Parallel()
				synctest.Test(t, func(t *testing.T) {
					g := newLivenessGroup(t, seed, site)
					defer g.close()
					for range 3 {
						time.Sleep(g.between(0, firstStartTime))
						g.lose(seed%2 == 0, g.members()[0], g.pick())
					}
					g.awaitFaults()
					g.calm(site.start)
				})
			})
		}
	}
}
