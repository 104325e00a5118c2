package replog

import (
	"context"
	"encoding/binary"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"
)

// startSeedsAndLater starts the seeds at once, and the other nodes after a delay.
func startSeedsAndLater(t *testing.T, site livenessSite, late time.Duration) *livenessGroup {
	t.Helper()
	g := newUnstartedGroup(t, 1, site)
	for i, n := range g.nodes {
		g.startLater(n, func() time.Duration {
			if i < 3 {
				return 0
			}
			return late
		})
	}
	return g
}

// acknowledged sends changes until one is acknowledged, and reports whether that was within a time.
func (g *livenessGroup) acknowledged(within time.Duration) bool {
	for began := time.Now(); time.Since(began) < within; {
		if g.change(min(100*time.Millisecond, within-time.Since(began))) == nil {
			return true
		}
	}
	return false
}

// TestChangeBeforeLateReplicasSurvivesLossOfTwoDisks guards against a group that is founded without the
// replicas that come late, and acknowledges a change with fewer voters than the loss of two disks requires.
func TestChangeBeforeLateReplicasSurvivesLossOfTwoDisks(t *testing.T) {
	for _, nodes := range []int{5, 9} {
		for _, late := range []time.Duration{2 * time.Second, 3300 * time.Millisecond, 30 * time.Second} {
			for _, lost := range [][]int{{0, 1}, {0, 2}, {1, 2}} {
				t.Run(fmt.Sprintf("%d nodes, %v late, disks %v lost", nodes, late, lost), func(t *testing.T) {
					t.Parallel()
					synctest.Test(t, func(t *testing.T) {
						site := livenessSites[1]
						site.nodes = nodes
						g := startSeedsAndLater(t, site, late)
						defer g.close()
						if !g.acknowledged(late + site.start) {
							t.Fatalf("no change is acknowledged %v after all replicas have started", site.start)
						}
						g.note("version %d is acknowledged", g.acked.Load())
						disks := g.members()
						for _, i := range lost {
							g.loseDisk(disks[i], true)
						}
						g.awaitFaults()
						g.calm(site.serve)
					})
				})
			}
		}
	}
}

// TestChangesAreRejectedAtOnceWhileReplicasAreMissing guards against a change that waits, or is acknowledged,
// while fewer replicas have started than the tolerated losses require.
func TestChangesAreRejectedAtOnceWhileReplicasAreMissing(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const late = 30 * time.Second
		g := startSeedsAndLater(t, livenessSites[1], late)
		defer g.close()
		for range 29 {
			time.Sleep(time.Second)
			for _, n := range g.members()[:3] {
				began := time.Now()
				ctx, cancel := context.WithTimeout(t.Context(), simOperatorTimeout)
				_, err := n.service.group.Load().Propose(ctx, func(int64) ([]byte, error) { return binary.BigEndian.AppendUint64(nil, 1), nil })
				cancel()
				var notLeader *NotLeaderError
				require.ErrorAs(t, err, &notLeader)
				require.Zero(t, time.Since(began))
			}
		}
		g.awaitFaults()
		g.calm(livenessSites[1].start)
	})
}

// TestGroupOfFewReplicasIsFounded guards against a site with no more replicas than its seeds whose group
// waits for others.
func TestGroupOfFewReplicasIsFounded(t *testing.T) {
	for nodes := 1; nodes <= 3; nodes++ {
		for tolerated := 0; tolerated <= 1; tolerated++ {
			t.Run(fmt.Sprintf("%d nodes, %d losses tolerated", nodes, tolerated), func(t *testing.T) {
				t.Parallel()
				synctest.Test(t, func(t *testing.T) {
					site := livenessSites[0]
					site.nodes, site.tolerated = nodes, tolerated
					g := newLivenessGroup(t, 1, site)
					defer g.close()
					if !g.calm(site.start) {
						return
					}
					livenessFaults["power all"](g)
					g.awaitFaults()
					g.calm(site.serve)
				})
			})
		}
	}
}

// TestGroupIsFoundedThoughSeedRespondsLate guards against replicas that the founding one never counts
// together, since each announces itself anew only once all seeds have responded to it.
func TestGroupIsFoundedThoughSeedRespondsLate(t *testing.T) {
	for seed := range uint64(20) {
		t.Run(fmt.Sprintf("seed %d", seed), func(t *testing.T) {
			t.Parallel()
			synctest.Test(t, func(t *testing.T) {
				site := livenessSites[1]
				site.nodes = 5
				g := newUnstartedGroup(t, seed, site)
				defer g.close()
				nodes := g.members()
				nodes[2].service.identifyDelay = identifyTimeout - 100*time.Millisecond
				for _, n := range nodes {
					g.startLater(n, func() time.Duration { return time.Duration(g.net.intN(3000)) * time.Millisecond })
				}
				g.awaitFaults()
				g.calm(site.start)
			})
		})
	}
}

// TestRemovalBelowVotersThatLossesRequireIsRefused guards against an operator's removal that leaves fewer
// voters than the loss of two disks requires, and changes that are acknowledged by these.
func TestRemovalBelowVotersThatLossesRequireIsRefused(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		site := livenessSites[1]
		site.nodes = 6
		g := newLivenessGroup(t, 1, site)
		defer g.close()
		if !g.calm(site.start) {
			return
		}
		time.Sleep(site.catchUp)
		leader := g.leader().service.group.Load()
		voters := func() int { return countVoters(leader.Status().Membership) }
		require.Equal(t, 6, voters())
		remove := func(n *simNode) error { return leader.RemoveReplica(t.Context(), n.service.group.Load().ID()) }
		var followers []*simNode
		for _, n := range g.members() {
			if n != g.leader() {
				followers = append(followers, n)
			}
		}
		followers[0].end(false) // otherwise it is admitted again
		require.NoError(t, leader.RemoveReplica(t.Context(), memberOf(leader, followers[0])))
		for _, n := range followers[1:] {
			require.ErrorIs(t, remove(n), ErrTooFewVoters)
		}
		time.Sleep(time.Second)
		require.Equal(t, 5, voters())
		g.calm(site.serve)
	})
}

// memberOf returns the ID under which a group knows a node.
func memberOf(leader *Group, n *simNode) string {
	for _, m := range leader.Status().Membership.Members {
		if m.Url == n.url {
			return m.Id
		}
	}
	return ""
}
